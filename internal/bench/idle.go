package bench

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/trace"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// IdleFlags are the flags of the idle experiment.
type IdleFlags struct {
	Trace string `long:"trace" value-name:"FILE.csv" description:"replay this trace (header atSeconds,model,adapter) instead of made ones"`
	Sweep bool   `long:"sweep" description:"also replay the policy with other prices of a cold-start second"`
	Large bool   `long:"large" description:"also replay 1,500 models with 4,400 adapters"`
}

// IdleCosts is what one price setting gives, measured in the second half of the
// trace; the first half is for learning.
type IdleCosts struct {
	// ColdStartP99S and ColdStartP999S are over all requests, in seconds that a
	// request waited for a load; most requests wait for none.
	ColdStartP99S  float64 `json:"coldStartP99S"`
	ColdStartP999S float64 `json:"coldStartP999S"`
	// IdleAcceleratorHours counts accelerators that hold an item without
	// serving, loads included.
	IdleAcceleratorHours float64 `json:"idleAcceleratorHours"`
	Cost                 float64 `json:"cost"`
	BestFixedCost        float64 `json:"bestFixedCost"`
	// ClairvoyantCost is that of a policy that knows the next request of each
	// item and loads it just in time, with memory and store never short.
	ClairvoyantCost float64 `json:"clairvoyantCost"`
	// ClairvoyantOnDemandCost is that of one that knows the next request but
	// loads only when it arrives.
	ClairvoyantOnDemandCost float64 `json:"clairvoyantOnDemandCost"`
	// OverBestFixed and OverClairvoyant are the ratios of the cost.
	OverBestFixed           float64       `json:"overBestFixed"`
	OverClairvoyant         float64       `json:"overClairvoyant"`
	OverClairvoyantOnDemand float64       `json:"overClairvoyantOnDemand"`
	Requests                int           `json:"requests"`
	Strategies              []IdleOutcome `json:"strategies"`
	// Frontier is what the policy gives at other prices of a cold-start second.
	Frontier []IdlePoint `json:"frontier,omitempty"`
}

// IdlePoint is what the policy gives at one price of a cold-start second.
type IdlePoint struct {
	ColdStartSecond float64 `json:"coldStartSecond"`
	IdleOutcome
}

// IdleOutcome is what one strategy gives.
type IdleOutcome struct {
	Name           string  `json:"name"`
	ColdStartP99S  float64 `json:"coldStartP99S"`
	ColdStartP999S float64 `json:"coldStartP999S"`
	ColdStarts     int     `json:"coldStarts"`
	ColdStartMeanS float64 `json:"coldStartMeanS"`
	Loads          int     `json:"loads"`
	// Forced counts loads for which no memory could be freed.
	Forced               int     `json:"forced"`
	IdleAcceleratorHours float64 `json:"idleAcceleratorHours"`
	Cost                 float64 `json:"cost"`
}

// IdleResult is the result of the idle experiment.
type IdleResult struct {
	Seed    uint64     `json:"seed"`
	Wreaths IdleCosts  `json:"wreaths"`
	Pedals  IdleCosts  `json:"pedals"`
	Large   *IdleLarge `json:"large,omitempty"`
}

// IdleLarge holds the results at the size of the fleet in two years.
type IdleLarge struct {
	Wreaths IdleCosts `json:"wreaths"`
	Pedals  IdleCosts `json:"pedals"`
}

// Spans of the made traces and the greatest rate in them, in requests an hour.
const (
	idleTraceSpan  = 14 * 24 * time.Hour
	idleLargeSpan  = 7 * 24 * time.Hour
	idleMaxPerHour = 60
)

func idleExperiment() Experiment {
	flags := &IdleFlags{}
	return Experiment{
		Name:  "idle",
		Help:  "replay arrival traces through placement and idling, with baselines",
		Flags: flags,
		Run: func(ctx context.Context, o Options) (any, error) {
			result, err := Idle(ctx, o, *flags)
			if err != nil || o.Plot == "" {
				return result, err
			}
			return result, plotIdle(result, o.Plot)
		},
	}
}

// Idle replays traces through the pure decisions and through the baselines.
func Idle(_ context.Context, o Options, flags IdleFlags) (*IdleResult, error) {
	result := &IdleResult{Seed: o.Seed}
	if flags.Trace != "" {
		arrivals, err := readTrace(flags.Trace)
		if err != nil {
			return nil, err
		}
		result.Wreaths = replayAll(o, "wreaths", wreathSite(), arrivals)
		result.Pedals = replayAll(o, "pedals", pedalSite(), arrivals)
		return result, nil
	}
	result.Wreaths = replayMade(o, "wreaths", wreathSite(), idleTraceSpan)
	result.Pedals = replayMade(o, "pedals", pedalSite(), idleTraceSpan)
	if flags.Sweep {
		result.Wreaths.Frontier = sweepPrices(o, "wreaths", wreathSite())
		result.Pedals.Frontier = sweepPrices(o, "pedals", pedalSite())
	}
	if flags.Large {
		result.Large = &IdleLarge{
			Wreaths: replayMade(o, "wreaths, large", wreathSite().enlarge(), idleLargeSpan),
			Pedals:  replayMade(o, "pedals, large", pedalSite().enlarge(), idleLargeSpan),
		}
	}
	return result, nil
}

func readTrace(name string) (arrivals []trace.Arrival, err error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "open trace")
	}
	defer func() { _ = file.Close() }()
	arrivals, err = trace.Read(file)
	switch {
	case err != nil:
		return nil, errors.Wrap(err, name)
	case len(arrivals) == 0:
		return nil, errors.Errorf("%s: trace has no rows", name)
	}
	return arrivals, nil
}

func replayMade(o Options, name string, site idleSite, span time.Duration) IdleCosts {
	config := site.trace
	config.Seed, config.Span, config.MaxPerHour = o.Seed, span, idleMaxPerHour
	return replayAll(o, name, site, trace.Generate(config))
}

// sweepFactors multiply the site's price of a cold-start second.
var sweepFactors = []float64{0.04, 0.2, 1, 5, 25, 125}

// sweepPrices replays the policy at several prices.
func sweepPrices(o Options, name string, site idleSite) (points []IdlePoint) {
	config := site.trace
	config.Seed, config.Span, config.MaxPerHour = o.Seed, idleTraceSpan, idleMaxPerHour
	arrivals := trace.Generate(config)
	base := site.prices.ColdStartSecond
	for _, factor := range sweepFactors {
		site.prices.ColdStartSecond = base * factor
		outcome := replayOne(o, site, contenders()[0], arrivals, arrivals[len(arrivals)-1].At)
		points = append(points, IdlePoint{site.prices.ColdStartSecond, outcome})
		o.Printf("%s: cold-start second at %g: idle %.1f h, mean wait %.4f s, p99 %.3f s, p99.9 %.3f s", name,
			site.prices.ColdStartSecond, outcome.IdleAcceleratorHours, outcome.ColdStartMeanS, outcome.ColdStartP99S,
			outcome.ColdStartP999S)
	}
	return points
}

// fixedMinutes are the fixed keep-alives of the baselines.
var fixedMinutes = []int{1, 5, 10, 30, 60}

// ownNodes is the number of nodes that each act for themselves, with a fixed
// keep-alive.
const (
	ownNodes     = 7
	ownKeepAlive = 10 * time.Minute
)

// contender is one strategy with what it needs of the replay.
type contender struct {
	name string
	strategy
	unbounded, random bool
	nodes             int
}

func contenders() []contender {
	list := []contender{{name: "guavatrack", strategy: learned{}}}
	for _, minutes := range fixedMinutes {
		list = append(list, contender{
			name: fmt.Sprintf("fixed %d min", minutes), strategy: fixed(time.Duration(minutes) * time.Minute),
		})
	}
	return append(list,
		contender{name: "least recently used", strategy: fixed(forever)},
		contender{name: "never unload", strategy: fixed(forever), unbounded: true},
		contender{name: "random placement", strategy: learned{}, random: true},
		contender{name: "each node for itself", strategy: fixed(ownKeepAlive), nodes: ownNodes},
		contender{name: "clairvoyant", strategy: clairvoyant{ahead: true}, unbounded: true},
		contender{name: "clairvoyant on demand", strategy: clairvoyant{}, unbounded: true},
	)
}

// replayAll runs every contender over the arrivals.
func replayAll(o Options, name string, site idleSite, arrivals []trace.Arrival) IdleCosts {
	span := arrivals[len(arrivals)-1].At
	costs := IdleCosts{Requests: len(arrivals)}
	for _, contender := range contenders() {
		started := time.Now()
		outcome := replayOne(o, site, contender, arrivals, span)
		o.Printf("%s: %-22s cost %10.2f  idle %9.1f h  cold p99 %7.3f s  p99.9 %7.3f s  mean %7.4f s  loads %d forced %d (%s)",
			name, outcome.Name, outcome.Cost, outcome.IdleAcceleratorHours, outcome.ColdStartP99S,
			outcome.ColdStartP999S, outcome.ColdStartMeanS, outcome.Loads, outcome.Forced, time.Since(started).Round(time.Millisecond))
		costs.Strategies = append(costs.Strategies, outcome)
	}
	costs.summarise()
	return costs
}

// summarise fills the figures that compare the strategies.
func (c *IdleCosts) summarise() {
	for _, outcome := range c.Strategies {
		switch {
		case outcome.Name == "guavatrack":
			c.ColdStartP99S, c.ColdStartP999S = outcome.ColdStartP99S, outcome.ColdStartP999S
			c.IdleAcceleratorHours, c.Cost = outcome.IdleAcceleratorHours, outcome.Cost
		case outcome.Name == "clairvoyant":
			c.ClairvoyantCost = outcome.Cost
		case outcome.Name == "clairvoyant on demand":
			c.ClairvoyantOnDemandCost = outcome.Cost
		case strings.HasPrefix(outcome.Name, "fixed"):
			if c.BestFixedCost == 0 || outcome.Cost < c.BestFixedCost {
				c.BestFixedCost = outcome.Cost
			}
		}
	}
	c.OverBestFixed = ratio(c.Cost, c.BestFixedCost)
	c.OverClairvoyant = ratio(c.Cost, c.ClairvoyantCost)
	c.OverClairvoyantOnDemand = ratio(c.Cost, c.ClairvoyantOnDemandCost)
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// replayOne runs one contender.
func replayOne(o Options, site idleSite, contender contender, arrivals []trace.Arrival, span time.Duration) IdleOutcome {
	r := newReplay(site, contender.strategy, span/2)
	r.unbounded = contender.unbounded
	_, product := contender.strategy.(learned)
	r.reluctant = !product
	if contender.random {
		r.random = rand.New(rand.NewPCG(o.Seed, 1))
	}
	nodes := cmp.Or(contender.nodes, 1)
	r.run(arrivals, r.streams(arrivals, nodes, o.Seed), span)
	return IdleOutcome{
		Name:                 contender.name,
		ColdStartP99S:        r.quantile(99),
		ColdStartP999S:       r.quantile(99.9),
		ColdStarts:           r.coldCount,
		ColdStartMeanS:       r.coldTotal / max(1, float64(r.waits.TotalCount())),
		Loads:                r.loadsTotal,
		Forced:               r.forced,
		IdleAcceleratorHours: r.idleHours,
		Cost:                 r.holdPrice + site.prices.ColdStartSecond*r.coldTotal,
	}
}

// quantile returns a quantile of the waits in seconds. A recorded millisecond
// stands for no wait.
func (r *idleReplay) quantile(q float64) float64 {
	millis := r.waits.ValueAtQuantile(q)
	if millis <= 1 {
		return 0
	}
	return float64(millis) / 1000
}

// itemKey tells the items of nodes that act for themselves apart.
type itemKey struct {
	fleet.Item
	node int
}

// streams returns the item of each arrival, one per node that acts for itself.
func (r *idleReplay) streams(arrivals []trace.Arrival, nodes int, seed uint64) []*replayItem {
	snapshot := r.site.snapshot(arrivals)
	random := rand.New(rand.NewPCG(seed, 2))
	items := make(map[itemKey]*replayItem)
	get := func(key itemKey) *replayItem {
		item := items[key]
		if item == nil {
			item = &replayItem{
				Item: key.Item, deployment: snapshot.Deployments[key.Model], size: snapshot.Size(key.Item),
				grant: fleet.GrantID(fmt.Sprintf("%s@%d", key.Item, key.node)), server: -1,
				candidates: r.candidates(key.Base()),
			}
			items[key] = item
		}
		return item
	}
	stream := make([]*replayItem, len(arrivals))
	for i, arrival := range arrivals {
		node := random.IntN(nodes)
		item := get(itemKey{arrival.Item, node})
		item.arrivals = append(item.arrivals, arrival.At)
		if arrival.Item.IsAdapter() {
			base := get(itemKey{arrival.Item.Base(), node})
			base.arrivals = append(base.arrivals, arrival.At)
			if item.base == nil {
				item.base = base
				base.adapters = append(base.adapters, item)
			}
		}
		stream[i] = item
	}
	return stream
}

// candidates returns the servers that may hold an item: all of a small fleet,
// and of a large one a part by the hash of the name.
func (r *idleReplay) candidates(item fleet.Item) []int {
	count := min(maxCandidates, len(r.servers))
	first := int(xxhash.Sum64String(item.String()) % uint64(len(r.servers)))
	list := make([]int, count)
	for i := range list {
		list[i] = (first + i) % len(r.servers)
	}
	return list
}
