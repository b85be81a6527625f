package bench

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/node"
	"github.com/guavatrack/guavatrack/internal/operator"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/refusal"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// Faults runs whole nodes under mixed traffic while everything fails.
var Faults = Experiment{
	Name: "faults", Run: runFaults,
	Help: "mixed traffic through whole nodes while nodes, engines, connections and the table fail; then a rolling replacement",
}

// FaultsResult is the outcome of [Faults]. Nodes run in this process, so a
// paused node isn't among the faults.
type FaultsResult struct {
	FaultsInjected             int            `json:"faultsInjected"`
	Faults                     map[string]int `json:"faults"`
	ReplicaViolations          int            `json:"replicaViolations"`
	MemoryViolations           int            `json:"memoryViolations"`
	RecoverySecondsP99         float64        `json:"recoverySecondsP99"`
	Recoveries                 int64          `json:"recoveries"`
	TableWritesPerSecondPeak   int            `json:"tableWritesPerSecondPeak"`
	WakeupsServedInOutageRatio *float64       `json:"wakeupsServedInOutageRatio,omitempty"`
	WakeupsInOutage            int            `json:"wakeupsInOutage"`

	Requests               int            `json:"requests"`
	Answered               int            `json:"answered"`
	Refused                int            `json:"refused"`
	Reasons                map[string]int `json:"reasons"`
	Dropped                int            `json:"dropped"`
	Late                   int            `json:"late"`
	WrongAnswers           int            `json:"wrongAnswers"`
	DoubleRuns             int            `json:"doubleRuns"`
	FalseNotRun            int            `json:"falseNotRun"`
	ServersLostToOnePoison int            `json:"serversLostToOnePoison"`

	// The rolling replacement has no other faults.
	Replaced          int `json:"replaced"`
	CutOff            int `json:"cutOff"`
	RefusedNeedlessly int `json:"refusedNeedlessly"`
	DroppedInRolling  int `json:"droppedInRolling"`
	// RollingReasons counts the refusals of the rolling replacement.
	RollingReasons map[string]int `json:"rollingReasons"`
	ConfigReverts  int            `json:"configReverts"`
	Tickets        int            `json:"tickets"`
	// NotMeasured names fields of the plan that this run has no figure for.
	NotMeasured []string `json:"notMeasured"`
	Violations  []string `json:"violations,omitempty"`
}

// Sizes and times of the experiment.
const (
	faultEngines   = 6
	faultModels    = 40
	warmModels     = 16
	faultAdapters  = 20
	faultTokens    = 8
	faultRate      = 300.0
	faultDeadline  = 10 * time.Second
	faultSpan      = 90 * time.Second
	faultEvery     = 1500 * time.Millisecond
	faultLength    = 2 * time.Second
	outageLength   = 4 * time.Second
	ticketEvery    = 2 * time.Second
	reclaimNotice  = 3 * time.Second
	maxReclaimed   = 3
	loadSpeed      = 40
	poisonText     = "poison!"
	poisonRepeats  = 3
	outageWakeups  = 3
	wakeDeadline   = 3 * time.Second
	jobPoll        = 500 * time.Millisecond
	jobDeadline    = time.Minute
	maxListed      = 20
	settleTime     = 3 * time.Second
	rollingPause   = 200 * time.Millisecond
	configInterval = 250 * time.Millisecond
)

// faultsRun is one run of the experiment.
type faultsRun struct {
	*system
	o      Options
	random *rand.Rand
	result FaultsResult
	// background waits for probes, poisons and what heals faults.
	background sync.WaitGroup

	mu sync.Mutex
	// bookings are the calls that must run at most once.
	bookings  map[string]Result
	recovery  *hdrhistogram.Histogram
	cold      []fleet.Item
	served    int
	reclaimed int
	// tableFaults numbers the faults of the table.
	tableFaults int
}

// faultSite returns a site with two kinds of engine: the servers of the pool
// wreath-advisor check fencing numbers, those of wreath-legacy ignore them.
func faultSite(seed uint64) (standin.SiteConfig, []fleet.Place) {
	config := standin.Wreaths()
	config.Seed, config.Speed, config.ListLag = seed, loadSpeed, time.Second
	config.Pools[0].Engine.ChecksFencing = true
	legacy := config.Pools[0]
	legacy.ID, legacy.Engine.ChecksFencing = "wreath-legacy", false
	config.Pools = append(config.Pools, legacy)
	old := config.Models[0]
	old.Pool, old.Prefix = legacy.ID, "hop-legacy"
	config.Models = append(config.Models, old)
	config = config.Resize(faultEngines, faultModels/2, faultAdapters/2)
	places := config.Pools[0].Places
	return config, append(slices.Clone(places), places...)
}

func runFaults(ctx context.Context, o Options) (any, error) {
	config, places := faultSite(o.Seed)
	started, err := newSystem(ctx, config, places)
	if err != nil {
		return nil, err
	}
	run := &faultsRun{
		system: started, o: o, random: rand.New(rand.NewPCG(o.Seed, 2)),
		bookings: make(map[string]Result), recovery: newHistogram(),
	}
	defer run.close()
	run.result.Faults = make(map[string]int)
	for number := warmModels / 2; number < faultModels/2; number++ {
		for _, kind := range config.Models {
			run.cold = append(run.cold, fleet.Item{Model: kind.ModelName(number)})
		}
	}
	if err := run.warmUp(ctx); err != nil {
		return nil, err
	}
	watching, stop := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	watchers.Go(func() { run.watchTable(watching) })
	watchers.Go(func() { run.watchConfig(watching) })
	span := o.Span(faultSpan)
	o.Printf("mixed load with faults for %s …", span*2/3)
	mixed := run.phase(ctx, o.Seed, span*2/3, run.inject)
	o.Printf("rolling replacement of all nodes under load …")
	rolling := run.phase(ctx, o.Seed+1, span/3, run.replaceAll)
	stop()
	watchers.Wait()
	run.finish(mixed, rolling)
	return run.result, nil
}

// warmUp waits until each model in use has answered a call at each node, so
// that neither the first ticket's spread nor first loads count as faults.
func (f *faultsRun) warmUp(ctx context.Context) error {
	for number := range warmModels / 2 {
		for _, kind := range f.config.Models {
			item := fleet.Item{Model: kind.ModelName(number)}
			for _, at := range f.running() {
				call := chat{
					base: "http://" + at.Addresses().Callers, item: item, text: "warm up", tokens: 1, deadline: readyTimeout,
				}
				for until := time.Now().Add(readyTimeout); f.client.chat(ctx, call).Outcome != Answered; wait.For(ctx, retryPause) {
					if time.Now().After(until) {
						return errors.Errorf("%s: no answer within %s without faults", item, readyTimeout)
					}
				}
			}
		}
	}
	return nil
}

// phase offers the mixed load while something is done to the system.
func (f *faultsRun) phase(ctx context.Context, seed uint64, span time.Duration, do func(context.Context, time.Duration)) Summary {
	call := f.mixedCall(seed)
	var shown atomic.Int64
	begun := time.Now()
	load := Load{Rate: faultRate, Span: span, Seed: seed, Call: func(ctx context.Context, number int) Result {
		result := call(ctx, number)
		if result.Outcome == Dropped || result.Outcome == Refused && shown.Add(1) <= maxListed {
			f.o.Printf("    at %s: call %d %s: %s: %s",
				time.Since(begun).Round(time.Millisecond), number, result.Outcome, result.Reason, result.Message)
		}
		return result
	}}
	done := make(chan struct{})
	go func() {
		defer close(done)
		do(ctx, span)
	}()
	summary := load.Run(ctx)
	<-done
	f.background.Wait()
	return summary
}

// Shares of the mixed load, in percent: the rest are look-ups.
const (
	chatShare      = 60
	bookingShare   = 15
	quotationShare = 1
	percent        = 100
)

// mixedCall returns calls that are a function of seed and number.
func (f *faultsRun) mixedCall(seed uint64) Call {
	return func(ctx context.Context, number int) Result {
		random := rand.New(rand.NewPCG(seed, uint64(number)))
		text := fmt.Sprintf("request %d of %d", number, seed)
		switch draw := random.IntN(percent); {
		case draw < chatShare:
			return f.chat(ctx, f.warmItem(random), text, faultDeadline)
		case draw < chatShare+bookingShare:
			body := fmt.Sprintf(`{"wreaths":1,"order":"%d-%d"}`, seed, number)
			result := f.book(ctx, body, text, faultDeadline)
			f.mu.Lock()
			f.bookings[standin.Reference(bookingTarget, []byte(body), "")] = result
			f.mu.Unlock()
			return result
		case draw < chatShare+bookingShare+quotationShare:
			return f.quotation(ctx, f.warmItem(random), text)
		default:
			return f.stock(ctx, number, faultDeadline)
		}
	}
}

// warmItem draws one of the models in use, the first ones most often, at times
// with an adapter.
func (f *faultsRun) warmItem(random *rand.Rand) fleet.Item {
	kind := f.config.Models[random.IntN(len(f.config.Models))]
	number := min(random.IntN(warmModels/2), random.IntN(warmModels/2))
	item := fleet.Item{Model: kind.ModelName(number)}
	if number < kind.Adapters && random.IntN(4) == 0 {
		item.Adapter = fleet.AdapterID(fmt.Sprintf("style-%03d", number))
	}
	return item
}

// inject brings about one fault after the other.
func (f *faultsRun) inject(ctx context.Context, span time.Duration) {
	for _, server := range f.site.Engines {
		f.engineFault(server, standin.EngineFaults{})
	}
	kinds := f.kinds()
	names := slices.Sorted(maps.Keys(kinds))
	for until := time.Now().Add(span - outageLength); time.Now().Before(until) && ctx.Err() == nil; wait.For(ctx, faultEvery) {
		name := names[f.random.IntN(len(names))]
		f.o.Printf("  %s", name)
		f.result.Faults[name]++
		f.result.FaultsInjected++
		kinds[name](ctx)
	}
	f.background.Wait()
	f.site.Table.SetFaults(standin.TableFaults{})
	f.site.Store.SetSlowdown(1)
	for _, service := range f.site.Services {
		service.SetFaults(standin.Faults{})
	}
	wait.For(ctx, settleTime)
}

// engineFault sets the faults of an engine, which always crashes on poison.
func (f *faultsRun) engineFault(server *standin.Engine, faults standin.EngineFaults) {
	faults.CrashOn = poisonText
	server.SetFaults(faults)
}

func (f *faultsRun) anyEngine() *standin.Engine {
	return f.site.Engines[f.random.IntN(len(f.site.Engines))]
}

// forAWhile sets faults of an engine and takes them back later.
func (f *faultsRun) forAWhile(ctx context.Context, faults standin.EngineFaults) {
	server := f.anyEngine()
	f.engineFault(server, faults)
	f.background.Go(func() {
		wait.For(ctx, faultLength)
		f.engineFault(server, standin.EngineFaults{})
	})
}

func (f *faultsRun) tableFault(ctx context.Context, faults standin.TableFaults, length time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tableFaults++
	number := f.tableFaults
	f.site.Table.SetFaults(faults)
	f.background.Go(func() {
		wait.For(ctx, length)
		f.mu.Lock()
		defer f.mu.Unlock()
		if number == f.tableFaults { // a later fault isn't cut short
			f.site.Table.SetFaults(standin.TableFaults{})
		}
	})
}

// kinds returns what brings about each kind of fault.
func (f *faultsRun) kinds() map[string]func(context.Context) {
	engineFaults := func(faults standin.EngineFaults) func(context.Context) {
		return func(ctx context.Context) { f.forAWhile(ctx, faults) }
	}
	tableFaults := func(faults standin.TableFaults) func(context.Context) {
		return func(ctx context.Context) { f.tableFault(ctx, faults, faultLength) }
	}
	slow := fleet.Duration(500 * time.Millisecond)
	lag := fleet.Duration(5 * time.Second)
	return map[string]func(context.Context){
		"nodeKilled":        f.killNode,
		"engineCrashed":     f.crashEngine,
		"engineReclaimed":   f.reclaim,
		"poison":            f.poison,
		"tableDown":         f.tableDown,
		"engineSlow":        engineFaults(standin.EngineFaults{Faults: standin.Faults{Slow: slow}}),
		"engineDown":        engineFaults(standin.EngineFaults{Faults: standin.Faults{Down: true}}),
		"engineSilent":      engineFaults(standin.EngineFaults{Faults: standin.Faults{Silence: true}}),
		"engineLostAnswers": engineFaults(standin.EngineFaults{Faults: standin.Faults{LoseAnswers: 3}}),
		"engineThrottled":   engineFaults(standin.EngineFaults{Faults: standin.Faults{Throttle: 5}}),
		"crashInLoad":       engineFaults(standin.EngineFaults{CrashInLoads: 1}),
		"ordersDelayed":     engineFaults(standin.EngineFaults{DelayOrders: slow}),
		"reportsLag":        engineFaults(standin.EngineFaults{ReportLag: lag, EventGap: 3}),
		"tableSlow":         tableFaults(standin.TableFaults{Delay: slow.Std()}),
		"tableLostAnswers":  tableFaults(standin.TableFaults{LoseAnswers: 5}),
		"tableLostRequests": tableFaults(standin.TableFaults{LoseRequests: 5}),
		"serviceLost": func(context.Context) {
			f.site.Services[f.random.IntN(len(f.site.Services))].SetFaults(standin.Faults{LoseAnswers: 5})
		},
		"storeSlow": func(ctx context.Context) {
			f.site.Store.SetSlowdown(5)
			f.background.Go(func() {
				wait.For(ctx, faultLength)
				f.site.Store.SetSlowdown(1)
			})
		},
	}
}

// killNode ends a node as the death of its process would, starts another one,
// and measures until a model answers again.
func (f *faultsRun) killNode(ctx context.Context) {
	running := f.running()
	if len(running) < len(f.places) {
		return // the one killed before isn't replaced yet
	}
	victim := running[f.random.IntN(len(running))]
	f.remove(victim)
	f.probe(ctx, f.warmItem(f.random))
	f.background.Go(func() {
		victim.Stop()
		wait.For(ctx, faultLength/2)
		if err := f.addNode(ctx); err != nil {
			f.o.Printf("  new node: %v", err)
		}
	})
}

func (f *faultsRun) crashEngine(ctx context.Context) {
	f.anyEngine().Crash()
	f.probe(ctx, f.warmItem(f.random))
}

func (f *faultsRun) reclaim(context.Context) {
	if f.reclaimed < maxReclaimed {
		// One by one over the places, so that every place keeps some.
		f.site.Reclaim(f.site.Engines[f.reclaimed*faultEngines/2].ID(), reclaimNotice)
		f.reclaimed++
	}
}

// probe measures until a model answers.
func (f *faultsRun) probe(ctx context.Context, item fleet.Item) {
	f.background.Go(func() {
		begun := time.Now()
		for ctx.Err() == nil && time.Since(begun) < jobDeadline {
			if f.chat(ctx, item, "probe", faultDeadline).Outcome == Answered {
				break
			}
			wait.For(ctx, retryPause)
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		record(f.recovery, time.Since(begun))
	})
}

// poison sends a request that crashes engines, and sends it again.
func (f *faultsRun) poison(ctx context.Context) {
	text := fmt.Sprintf("%s %d", poisonText, f.random.Uint64())
	item := f.warmItem(f.random)
	f.background.Go(func() {
		for range poisonRepeats {
			f.chat(ctx, item, text, faultDeadline)
		}
	})
}

// tableDown takes the table away and wakes models that nothing holds.
func (f *faultsRun) tableDown(ctx context.Context) {
	f.tableFault(ctx, standin.TableFaults{Down: true}, outageLength)
	for range outageWakeups {
		f.mu.Lock()
		if len(f.cold) == 0 {
			f.mu.Unlock()
			return
		}
		item := f.cold[0]
		f.cold = f.cold[1:]
		f.result.WakeupsInOutage++
		f.mu.Unlock()
		f.background.Go(func() {
			if f.chat(ctx, item, "wake up in an outage", wakeDeadline).Outcome == Answered {
				f.mu.Lock()
				f.served++
				f.mu.Unlock()
			}
		})
	}
}

// replaceAll replaces every node: a new one starts, then the old one drains.
func (f *faultsRun) replaceAll(ctx context.Context, _ time.Duration) {
	for _, old := range f.running() {
		if err := f.addNode(ctx); err != nil {
			f.o.Printf("  new node: %v", err)
			continue
		}
		f.drain(ctx, old)
		wait.For(ctx, rollingPause)
	}
}

func (f *faultsRun) drain(ctx context.Context, old *node.Node) {
	report, err := old.Drain(ctx)
	if err != nil {
		f.o.Printf("  drain: %v", err)
	}
	f.remove(old)
	f.result.Replaced++
	f.result.CutOff += report.CutOff
}

// watchTable finds the peak of table writes a second.
func (f *faultsRun) watchTable(ctx context.Context) {
	last := f.site.Table.Counts().Writes
	for wait.For(ctx, time.Second); ctx.Err() == nil; wait.For(ctx, time.Second) {
		now := f.site.Table.Counts().Writes
		f.result.TableWritesPerSecondPeak = max(f.result.TableWritesPerSecondPeak, now-last)
		last = now
	}
}

// watchConfig applies a ticket now and then and reads the configuration of all
// nodes; a node whose timeout falls back has reverted.
func (f *faultsRun) watchConfig(ctx context.Context) {
	seen := make(map[fleet.NodeID]time.Duration)
	model := f.config.Models[0].ModelName(0)
	next := time.Now().Add(ticketEvery)
	for ; ctx.Err() == nil; wait.For(ctx, configInterval) {
		if time.Now().After(next) {
			next = time.Now().Add(ticketEvery)
			before := f.number
			if err := f.apply(ctx, time.Duration(f.number)*time.Millisecond); err != nil {
				f.o.Printf("  %v", err)
			} else {
				f.result.Tickets += int(f.number - before)
			}
		}
		for _, at := range f.running() {
			admin := operator.Client{URL: "http://" + at.Addresses().Operators, HTTP: f.client.http}
			view, err := admin.Configuration(ctx)
			if err != nil || view.Snapshot == nil {
				continue
			}
			if timeout := timeoutOf(view.Snapshot, model); timeout < seen[view.Node] {
				f.result.ConfigReverts++
			} else {
				seen[view.Node] = timeout
			}
		}
	}
}

func timeoutOf(snapshot *ticket.Snapshot, model fleet.ModelID) time.Duration {
	if deployment := snapshot.Deployments[model]; deployment != nil {
		return deployment.Timeout.Std()
	}
	return 0
}

// finish works out the result.
func (f *faultsRun) finish(mixed, rolling Summary) {
	all := NewSummary()
	all.merge(mixed)
	all.merge(rolling)
	r := &f.result
	r.Requests, r.Answered, r.Refused = all.Sent, all.Outcomes[Answered], all.Outcomes[Refused]
	r.Dropped, r.WrongAnswers, r.Late = all.Outcomes[Dropped], all.Outcomes[Wrong], all.Late
	r.Reasons, r.RollingReasons = byName(all.Reasons), byName(rolling.Reasons)
	r.RefusedNeedlessly, r.DroppedInRolling = rolling.Outcomes[Refused], rolling.Outcomes[Dropped]
	r.ReplicaViolations = f.site.Ledger.Count(standin.ReplicaViolation)
	r.MemoryViolations = f.site.Ledger.Count(standin.MemoryViolation)
	r.DoubleRuns = f.site.Ledger.Count(standin.DoubleRun)
	r.ServersLostToOnePoison = f.site.Ledger.LostToOnePrompt()
	r.RecoverySecondsP99 = Ms(f.recovery, 99) / 1000
	r.Recoveries = f.recovery.TotalCount()
	if r.WakeupsInOutage > 0 {
		r.WakeupsServedInOutageRatio = new(float64(f.served) / float64(r.WakeupsInOutage))
	}
	for reference, result := range f.bookings {
		runs := f.site.Runs.Count(reference)
		if result.Outcome == Refused && result.Run == refusal.NotRun && runs > 0 {
			r.FalseNotRun++
		}
		if result.Outcome == Answered && runs == 0 {
			r.WrongAnswers++
		}
	}
	for _, violation := range f.site.Violations()[:min(maxListed, len(f.site.Violations()))] {
		r.Violations = append(r.Violations, fmt.Sprintf("%s %s: %s", violation.Kind, violation.Server, violation.Detail))
	}
	r.NotMeasured = []string{"reservedMemoryRatio", "pausedNodes", "hourLongOutage"}
}

// byName returns counts of reasons with plain keys for JSON.
func byName(reasons map[refusal.Reason]int) map[string]int {
	named := make(map[string]int, len(reasons))
	for reason, count := range reasons {
		named[string(reason)] = count
	}
	return named
}

// Text returns the result for a person.
func (r FaultsResult) Text() string {
	var text strings.Builder
	row := func(name string, value any) { _, _ = fmt.Fprintf(&text, "%-28s %v\n", name, value) }
	row("faults injected", r.FaultsInjected)
	row("requests", r.Requests)
	row("answered", r.Answered)
	row("refused", fmt.Sprint(r.Refused, " ", r.Reasons))
	row("dropped", r.Dropped)
	row("late", r.Late)
	row("wrong answers", r.WrongAnswers)
	row("double runs", r.DoubleRuns)
	row("false not run", r.FalseNotRun)
	row("servers lost to one poison", r.ServersLostToOnePoison)
	row("replica violations", r.ReplicaViolations)
	row("memory violations", r.MemoryViolations)
	row("recovery p99 s", fmt.Sprintf("%.2f of %d", r.RecoverySecondsP99, r.Recoveries))
	row("table writes/s at the peak", r.TableWritesPerSecondPeak)
	row("wake-ups in table outages", r.WakeupsInOutage)
	row("nodes replaced, cut off", fmt.Sprint(r.Replaced, ", ", r.CutOff))
	row("refused needlessly", fmt.Sprint(r.RefusedNeedlessly, " ", r.RollingReasons))
	row("tickets, reverts", fmt.Sprint(r.Tickets, ", ", r.ConfigReverts))
	_, _ = io.WriteString(&text, strings.Join(r.Violations, "\n"))
	return text.String()
}
