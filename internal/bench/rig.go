package bench

import (
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/caller"
	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/internal/vmlist"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// rig is a caller server before engines that all hold one model. It has no
// grants and no policy, so experiments about relaying and overload measure
// nothing else.
type rig struct {
	item     fleet.Item
	node     *caller.Server
	nodeURL  string
	engines  []*standin.Engine
	addrs    []string
	snapshot *ticket.Snapshot
	servers  []*standin.Server
	stop     context.CancelFunc
	running  sync.WaitGroup

	mu       sync.RWMutex
	replicas []engine.Replica
}

// rigTimeout bounds the start of a rig.
const rigTimeout = 10 * time.Second

// newRig starts a rig; edit changes the configuration of each engine.
func newRig(ctx context.Context, seed uint64, engines int, edit func(int, *standin.EngineConfig)) (r *rig, err error) {
	r = &rig{item: fleet.Item{Model: "hop-advisor"}}
	defer func() {
		if err != nil {
			r.close()
			r, err = nil, errors.Wrap(err, "start the rig")
		}
	}()
	ctx, r.stop = context.WithCancel(ctx)
	r.snapshot = &ticket.Snapshot{Deployments: map[fleet.ModelID]*ticket.Deployment{
		r.item.Model: {Class: ticket.Interactive, Replicas: ticket.Replicas{Max: engines}, Concurrency: 1},
	}}
	for i := range engines {
		config := standin.DefaultEngine()
		config.ID, config.MemoryRate = fleet.ServerID(fmt.Sprintf("engine-%02d", i)), 64*fleet.TiB
		edit(i, &config)
		r.snapshot.Deployments[r.item.Model].Concurrency = config.Concurrency
		started := standin.NewEngine(config)
		started.Cache(r.item, fleet.GiB, engine.HostMemory)
		server, err := standin.Serve("127.0.0.1:0", started)
		if err != nil {
			return r, err
		}
		r.engines, r.addrs = append(r.engines, started), append(r.addrs, server.Address)
		r.servers = append(r.servers, server)
		if err := r.load(ctx, i); err != nil {
			return r, err
		}
	}
	r.refresh(ctx)
	r.node = &caller.Server{
		Snapshot: func() *ticket.Snapshot { return r.snapshot }, Directory: r, Node: "node",
		Services: func(fleet.PoolID) []vmlist.VM { return nil },
		Store:    standin.NewTable(), Rand: rand.New(rand.NewPCG(seed, seed)),
	}
	server, err := standin.Serve("127.0.0.1:0", r.node.Handler())
	if err != nil {
		return r, err
	}
	r.servers, r.nodeURL = append(r.servers, server), "http://"+server.Address
	r.running.Go(func() { _ = r.node.Run(ctx) })
	r.running.Go(func() { r.follow(ctx) })
	return r, nil
}

// load orders an engine to load the model and waits until it is ready.
func (r *rig) load(ctx context.Context, i int) error {
	ctx, cancel := context.WithTimeout(ctx, rigTimeout)
	defer cancel()
	admin := engine.Client{Address: r.addrs[i], HTTP: http.DefaultClient}
	order := engine.LoadOrder{Item: r.item, Size: fleet.GiB, Grant: "grant", Fencing: 1}
	if err := admin.Load(ctx, order); err != nil {
		return err
	}
	for ctx.Err() == nil {
		report, err := admin.Report(ctx)
		if err == nil && len(report.Held) == 1 && report.Held[0].State == engine.Ready {
			return nil
		}
		wait.For(ctx, time.Millisecond)
	}
	return errors.Errorf("engine %d: not loaded within %s", i, rigTimeout)
}

// reportInterval is how often a rig reads the reports of its engines.
const reportInterval = 250 * time.Millisecond

func (r *rig) follow(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, reportInterval)
		r.refresh(ctx)
	}
}

// refresh reads the reports. An engine that doesn't answer keeps its last one.
func (r *rig) refresh(ctx context.Context) {
	r.mu.RLock()
	replicas := make([]engine.Replica, len(r.engines))
	copy(replicas, r.replicas)
	r.mu.RUnlock()
	var group sync.WaitGroup
	for i := range r.engines {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, reportInterval)
			defer cancel()
			admin := engine.Client{Address: r.addrs[i], HTTP: http.DefaultClient}
			report, err := admin.Report(ctx)
			if err != nil || len(report.Held) == 0 {
				return
			}
			held := report.Held[0]
			replicas[i] = engine.Replica{
				Item: r.item, Grant: held.Grant, Server: report.Server, Boot: report.Boot, Address: r.addrs[i],
				Place: fleet.Place{FailureDomain: fleet.FailureDomain(fmt.Sprint(i % 3))}, State: held.State,
				Progress: held.Progress, Running: held.Running, Queued: held.Queued, AsOf: report.AsOf,
			}
		})
	}
	group.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replicas = replicas
}

// Replicas implements caller.Directory.
func (r *rig) Replicas(item fleet.Item) []engine.Replica {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if item != r.item {
		return nil
	}
	return r.replicas
}

// started returns the number of requests that the engines began to run.
func (r *rig) started() (sum int) {
	for _, server := range r.engines {
		sum += server.Started()
	}
	return sum
}

// baseline starts a proxy that sends each request to the next engine: no
// admission, no budget, no hedging, no look at loads.
func (r *rig) baseline() (string, error) {
	targets := make([]*url.URL, len(r.addrs))
	for i, address := range r.addrs {
		targets[i] = &url.URL{Scheme: "http", Host: address}
	}
	var next atomic.Uint64
	proxy := &httputil.ReverseProxy{
		FlushInterval: -1,
		ErrorLog:      log.New(io.Discard, "", 0),
		Transport:     &http.Transport{MaxIdleConnsPerHost: maxIdle},
		Rewrite: func(request *httputil.ProxyRequest) {
			request.SetURL(targets[next.Add(1)%uint64(len(targets))])
		},
		ErrorHandler: func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusBadGateway) },
	}
	server, err := standin.Serve("127.0.0.1:0", proxy)
	if err != nil {
		return "", err
	}
	r.servers = append(r.servers, server)
	return "http://" + server.Address, nil
}

func (r *rig) close() {
	r.stop()
	for _, server := range r.servers {
		server.Close()
	}
	r.running.Wait()
}
