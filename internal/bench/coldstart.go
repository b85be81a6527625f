package bench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/node"
	"github.com/guavatrack/guavatrack/internal/settings"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/internal/vmlist"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// ColdStartResult is the result of the coldstart experiment: a burst of first
// requests for each model at every node. Times are those until a request's
// first token.
type ColdStartResult struct {
	ColdStartP50S float64 `json:"coldStartP50S"`
	ColdStartP99S float64 `json:"coldStartP99S"`
	// LimitP99S is computed: the loads one by one over their best path, those
	// from the store on as many slots as run at full speed, longest first.
	LimitP99S float64 `json:"limitP99S"`
	// BaselineP99S is computed as LimitP99S is, with a load by each node for
	// itself, first on the VMs that have the checkpoint cached.
	BaselineP99S float64 `json:"baselineP99S"`
	// LoadsPerReplica is the number of loads that nodes ordered for each model,
	// of which one replica is decided.
	LoadsPerReplica float64 `json:"loadsPerReplica"`
	OverLimit       float64 `json:"overLimit"`
	OverBaseline    float64 `json:"overBaseline"`
	Requests        int     `json:"requests"`
	Failed          int     `json:"failed"`
	Nodes           int     `json:"nodes"`
	Models          int     `json:"models"`
	// RemoteLoads counts the models of which no VM has the checkpoint cached.
	RemoteLoads int `json:"remoteLoads"`
}

// Sizes of the experiment.
const (
	coldStartNodes    = 7
	coldStartModels   = 20
	coldStartEngines  = 20
	coldStartDeadline = 5 * time.Minute
	coldStartSettle   = 20 * time.Second // for nodes to be ready
	coldStartConfig   = 5 * time.Second  // for a ticket to be in force everywhere
	maxStreamLine     = 1 << 20
)

// ColdStartFlags are the flags of the coldstart experiment.
type ColdStartFlags struct {
	Uncached bool `long:"uncached" description:"start with empty caches on the VMs, so that every load reads from the store"`
}

func coldStartExperiment() Experiment {
	flags := &ColdStartFlags{}
	return Experiment{
		Name:  "coldstart",
		Help:  "a burst of first requests for 20 models at every node, live",
		Flags: flags,
		Run:   func(ctx context.Context, o Options) (any, error) { return ColdStart(ctx, o, *flags) },
	}
}

// coldStartRun is the state of one run.
type coldStartRun struct {
	Options
	config standin.SiteConfig
	site   *standin.Site
	nodes  []*node.Node
	models map[fleet.ModelID]*ticket.Deployment
}

// ColdStart runs the experiment.
func ColdStart(ctx context.Context, o Options, flags ColdStartFlags) (result *ColdStartResult, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "cold start")
		}
	}()
	config := standin.Wreaths().Resize(coldStartEngines, coldStartModels, 0)
	config.Seed, config.EmptyCaches = o.Seed, flags.Uncached
	run := &coldStartRun{Options: o, config: config}
	if run.site, err = standin.StartSite(config); err != nil {
		return nil, err
	}
	defer run.site.Close()
	defer func() {
		for _, started := range run.nodes {
			started.Stop()
		}
	}()
	if err := run.start(ctx); err != nil {
		return nil, err
	}
	result = &ColdStartResult{Nodes: coldStartNodes, Models: coldStartModels}
	if err := run.limits(ctx, result); err != nil {
		return nil, err
	}
	o.Printf("%d nodes, %d models, %d of them on no VM; limit of p99 %.1f s", coldStartNodes, coldStartModels,
		result.RemoteLoads, result.LimitP99S)
	run.burst(ctx, result)
	loads := int64(0)
	for _, started := range run.nodes {
		loads += metrics.GetOrRegisterCounter("policy.loads", started.Metrics()).Count()
	}
	result.LoadsPerReplica = float64(loads) / coldStartModels
	result.OverLimit = ratio(result.ColdStartP99S, result.LimitP99S)
	result.OverBaseline = ratio(result.ColdStartP99S, result.BaselineP99S)
	return result, nil
}

// start runs the nodes and applies the ticket.
func (r *coldStartRun) start(ctx context.Context) error {
	places := r.config.Pools[0].Places
	for i := range coldStartNodes {
		given := settings.Defaults()
		given.AllowPlainText, given.Node.Place = true, places[i%len(places)]
		const anyPort = "127.0.0.1:0"
		given.Callers.Listen, given.Operators.Listen, given.Peers.Listen = anyPort, anyPort, anyPort
		given.Table.Endpoint, given.VMList.URL = r.site.TableURL, r.site.VMListURL+"/vms"
		given.WeightStore = settings.WeightStore{
			LoadsPerSecond: r.config.Store.LoadsPerSecond, Concurrent: r.config.Store.FullSpeed,
			AdaptersInFlight: r.config.Store.AdapterSlots, Bandwidth: r.config.Store.Rate,
		}
		started := node.New(given, slog.New(slog.DiscardHandler))
		if err := started.Start(ctx); err != nil {
			return err
		}
		r.nodes = append(r.nodes, started)
	}
	for until := time.Now().Add(coldStartSettle); ; time.Sleep(100 * time.Millisecond) {
		waiting := slices.IndexFunc(r.nodes, func(n *node.Node) bool { return n.Ready() != nil })
		if waiting < 0 {
			break
		}
		if time.Now().After(until) {
			return errors.Wrapf(r.nodes[waiting].Ready(), "node %d not ready", waiting)
		}
	}
	change := r.site.Ticket(1, "bench")
	r.models = change.Deployments
	body, err := json.Marshal(change)
	if err != nil {
		return errors.Wrap(err, "ticket")
	}
	response, err := r.post(ctx, r.nodes[0].Addresses().Operators, "/v1/tickets", body)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("ticket: status %d", response.StatusCode)
	}
	time.Sleep(coldStartConfig)
	return nil
}

func (r *coldStartRun) post(ctx context.Context, address, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(engine.DeadlineHeader, fmt.Sprint(coldStartDeadline.Milliseconds()))
	return http.DefaultClient.Do(request)
}

// burst sends one request for each model to each node, all at once.
func (r *coldStartRun) burst(ctx context.Context, result *ColdStartResult) {
	ctx, cancel := context.WithTimeout(ctx, coldStartDeadline)
	defer cancel()
	var mu sync.Mutex
	var waits []time.Duration
	var calls sync.WaitGroup
	for _, at := range r.nodes {
		for model := range r.models {
			calls.Go(func() {
				wait, err := r.firstToken(ctx, at.Addresses().Callers, model)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					r.Printf("%s: %v", model, err)
					result.Failed++
					return
				}
				waits = append(waits, wait)
			})
		}
	}
	calls.Wait()
	result.Requests = len(waits) + result.Failed
	result.ColdStartP50S, result.ColdStartP99S = quantileOf(waits, 0.5), quantileOf(waits, 0.99)
}

// firstToken sends a streamed chat and returns the time until its first data.
func (r *coldStartRun) firstToken(ctx context.Context, address string, model fleet.ModelID) (time.Duration, error) {
	begun := time.Now()
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":4,"messages":[{"role":"user","content":"hello"}]}`, model)
	response, err := r.post(ctx, address, "/v1/chat/completions", []byte(body))
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return 0, errors.Errorf("status %d", response.StatusCode)
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxStreamLine)
	first := time.Duration(0)
	for lines.Scan() {
		if first == 0 && bytes.HasPrefix(lines.Bytes(), []byte("data:")) {
			first = time.Since(begun)
		}
	}
	if first == 0 {
		return 0, errors.New("stream without data")
	}
	return first, lines.Err()
}

// quantileOf returns a quantile in seconds by the nearest rank.
func quantileOf(waits []time.Duration, q float64) float64 {
	if len(waits) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(waits))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))].Seconds()
}

// limits computes the limit and the baseline from what the VMs have cached.
func (r *coldStartRun) limits(ctx context.Context, result *ColdStartResult) error {
	cached, err := r.cachedTiers(ctx)
	if err != nil {
		return err
	}
	var best, bestRemote, each, eachRemote []time.Duration
	for model, deployment := range r.models {
		near := r.nearLoads(cached[string(model)], deployment.Size)
		remote := bytesAt(deployment.Size, r.config.Store.Rate)
		if len(near) > 0 {
			best = append(best, near[0])
		} else {
			bestRemote = append(bestRemote, remote)
		}
		near = near[:min(len(near), coldStartNodes)]
		each = append(each, near...)
		for range coldStartNodes - len(near) {
			eachRemote = append(eachRemote, remote)
		}
	}
	slots := r.config.Store.FullSpeed
	result.RemoteLoads = len(bestRemote)
	result.LimitP99S = quantileOf(append(best, scheduled(bestRemote, slots)...), 0.99)
	result.BaselineP99S = quantileOf(append(each, scheduled(eachRemote, slots)...), 0.99)
	return nil
}

// nearLoads returns the times of loads on the VMs that have the checkpoint
// cached, shortest first.
func (r *coldStartRun) nearLoads(tiers []engine.CacheTier, size fleet.Bytes) (loads []time.Duration) {
	engines := r.config.Pools[0].Engine
	for _, tier := range tiers {
		rate := engines.DiskRate
		if tier == engine.HostMemory {
			rate = engines.MemoryRate
		}
		loads = append(loads, bytesAt(size, rate))
	}
	slices.Sort(loads)
	return loads
}

func bytesAt(size, rate fleet.Bytes) time.Duration {
	return time.Duration(float64(size) / float64(rate) * float64(time.Second))
}

// scheduled returns when loads end that run on some slots, longest first.
func scheduled(loads []time.Duration, slots int) (ends []time.Duration) {
	loads = slices.Sorted(slices.Values(loads))
	free := make([]time.Duration, slots)
	for _, load := range slices.Backward(loads) {
		slot := slices.Index(free, slices.Min(free))
		free[slot] += load
		ends = append(ends, free[slot])
	}
	return ends
}

// cachedTiers returns the tiers in which VMs have each checkpoint.
func (r *coldStartRun) cachedTiers(ctx context.Context) (map[string][]engine.CacheTier, error) {
	var list vmlist.List
	if err := getJSON(ctx, r.site.VMListURL+"/vms", &list); err != nil {
		return nil, err
	}
	tiers := make(map[string][]engine.CacheTier)
	for _, vm := range list.VMs {
		if vm.Memory == 0 {
			continue
		}
		var report engine.Report
		if err := getJSON(ctx, "http://"+vm.Address+"/admin/report", &report); err != nil {
			return nil, err
		}
		for name, tier := range report.Checkpoints {
			tiers[name] = append(tiers[name], tier)
		}
	}
	return tiers, nil
}

func getJSON(ctx context.Context, target string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return errors.Wrap(err, target)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, target)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		return errors.Wrap(err, target)
	}
	return nil
}
