package bench

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/policy"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/internal/trace"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

type cacheTier = engine.CacheTier

// idleStart is the wall time at which traces start, a Monday.
var idleStart = time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)

// maxCandidates bounds the servers that a placement weighs, so that large
// fleets replay in reasonable time.
const maxCandidates = 32

// strategy decides for how long items stay loaded.
type strategy interface {
	// schedule returns when the item is to be loaded after it became idle.
	schedule(r *idleReplay, item *replayItem) policy.Schedule
	// value orders evictions: the least value per byte goes first.
	value(r *idleReplay, item *replayItem) float64
}

// replayItem is the state of one item, and for nodes that act for themselves of
// one item at one node.
type replayItem struct {
	fleet.Item
	base       *replayItem // nil for base models
	deployment *ticket.Deployment
	size       fleet.Bytes
	grant      fleet.GrantID
	candidates []int
	arrivals   []time.Duration
	next       int // index of the next arrival
	pattern    policy.Pattern

	server   int // -1 if absent
	readyAt  time.Duration
	loadTime time.Duration
	waited   time.Duration // by all requests for the current load
	expected time.Duration // load time when the schedule was made
	idleFrom time.Duration // the end of the last request or the start of the load
	lastEnd  time.Duration // the end of the last request
	seen     bool
	windows  policy.Schedule
	version  int // of the timer
	adapters []*replayItem
}

// idleReplay runs one strategy over one trace.
type idleReplay struct {
	site        idleSite
	store       policy.WeightStore
	strategy    strategy
	population  *policy.Population
	servers     []policy.Server
	caches      []checkpointCache
	byGrant     map[fleet.GrantID]*replayItem
	scratch     []policy.Server
	slots       []time.Duration // when each slot of the store is free
	timers      timerHeap
	now         time.Duration
	measureFrom time.Duration
	random      *rand.Rand // places at random when set
	unbounded   bool       // neither memory nor the store is ever short
	reluctant   bool       // evicts only if no near server has room

	waits      *hdrhistogram.Histogram
	coldCount  int
	coldTotal  float64 // seconds
	idleHours  float64 // of accelerators
	holdPrice  float64
	loadsTotal int
	forced     int
}

// Range of the recorded waits, in milliseconds.
const (
	maxWaitMillis = 24 * 3600 * 1000
	waitDigits    = 3
)

func newReplay(site idleSite, strategy strategy, measureFrom time.Duration) *idleReplay {
	r := &idleReplay{
		site: site, store: site.store(), strategy: strategy, population: policy.NewPopulation(),
		servers: site.servers(), caches: make([]checkpointCache, site.engines),
		byGrant: make(map[fleet.GrantID]*replayItem), slots: make([]time.Duration, site.store().Concurrency),
		measureFrom: measureFrom, waits: hdrhistogram.New(1, maxWaitMillis, waitDigits),
	}
	return r
}

// run replays the arrivals, where stream[i] is the item of arrival i, until the
// end of the span.
func (r *idleReplay) run(arrivals []trace.Arrival, stream []*replayItem, span time.Duration) {
	for i, arrival := range arrivals {
		r.advance(arrival.At)
		r.arrive(stream[i])
	}
	r.advance(span)
	for _, item := range r.byGrant {
		r.countIdle(item, span)
	}
}

// advance fires the timers up to a time.
func (r *idleReplay) advance(until time.Duration) {
	for len(r.timers) > 0 && r.timers[0].at <= until {
		timer := heap.Pop(&r.timers).(idleTimer)
		if timer.version == timer.item.version {
			r.now = timer.at
			r.fire(timer.item)
		}
	}
	r.now = until
}

// arrive serves one request.
func (r *idleReplay) arrive(item *replayItem) {
	if item.base != nil {
		r.touch(item.base)
	}
	ready := r.touch(item)
	if item.base != nil {
		ready = max(ready, item.base.readyAt)
	}
	wait := ready - r.now
	if r.now >= r.measureFrom {
		_ = r.waits.RecordValue(min(maxWaitMillis, max(1, wait.Milliseconds())))
		r.coldTotal += wait.Seconds()
		if wait > 0 {
			r.coldCount++
		}
	}
	item.waited += wait
	r.serve(item, ready)
	if item.base != nil {
		item.base.waited += wait
		r.serve(item.base, ready)
	}
}

// touch makes sure that the item is loaded or being loaded and returns when it
// is ready.
func (r *idleReplay) touch(item *replayItem) time.Duration {
	item.next++
	if item.seen && r.now > item.lastEnd {
		item.pattern.Observe(r.population, idleStart.Add(item.lastEnd), idleStart.Add(r.now))
	}
	if item.server < 0 {
		r.load(item, false)
	}
	return max(r.now, item.readyAt)
}

// serve lets a request run from the time that the item is ready.
func (r *idleReplay) serve(item *replayItem, ready time.Duration) {
	if ready > item.idleFrom {
		r.countIdle(item, ready)
	}
	end := ready + serviceTime
	item.idleFrom = max(item.idleFrom, end)
	item.lastEnd = max(item.lastEnd, end)
	item.seen = true
	item.version++
	heap.Push(&r.timers, idleTimer{at: item.lastEnd, item: item, version: item.version})
	item.windows = policy.Schedule{}
}

// countIdle accounts for the time that the item was held without serving.
func (r *idleReplay) countIdle(item *replayItem, until time.Duration) {
	from := max(item.idleFrom, r.measureFrom)
	if until <= from {
		return
	}
	costs := policy.CostsOf(item.deployment, item.Item, item.loadTime)
	price := costs.HoldPerSecond * (until - from).Seconds()
	r.holdPrice += price
	r.idleHours += price / item.deployment.Prices.AcceleratorHour
	item.idleFrom = until
}

// fire acts on the schedule of an idle item.
func (r *idleReplay) fire(item *replayItem) {
	if r.now == item.lastEnd {
		r.becomeIdle(item)
	}
	idle := r.now - item.lastEnd
	loaded, until := item.windows.At(idle)
	if !loaded && item.server < 0 && until > 0 {
		loadTime := r.expectedLoad(item)
		if idle+loadTime >= until { // the load starts ahead of the window
			loaded, until = item.windows.At(until)
		} else {
			until -= loadTime
		}
	}
	if loaded && item.server < 0 && (item.base == nil || item.base.server >= 0) {
		r.load(item, true)
	}
	if !loaded && item.server >= 0 {
		r.unload(item)
		if until > 0 {
			until = max(idle+1, until-r.slowestLoad(item)) // then looks again where the checkpoint is
		}
	}
	if until > 0 {
		heap.Push(&r.timers, idleTimer{at: max(r.now+1, item.lastEnd+until), item: item, version: item.version})
	}
}

// becomeIdle learns from the load that ended, if there was one, and makes the
// schedule.
func (r *idleReplay) becomeIdle(item *replayItem) {
	if item.waited > 0 && item.expected > 0 {
		item.pattern.ObserveColdStart(item.waited, item.expected)
	}
	item.waited = 0
	item.expected = r.expectedLoad(item)
	item.windows = r.strategy.schedule(r, item)
}

// expectedLoad returns how long a load is expected to take where the item's
// checkpoint is nearest.
func (r *idleReplay) expectedLoad(item *replayItem) time.Duration {
	best := time.Duration(0)
	for _, i := range item.candidates {
		loadTime := r.store.LoadTime(item.Item, item.size, &r.servers[i])
		if best == 0 || loadTime < best {
			best = loadTime
		}
	}
	return best
}

// slowestLoad returns how long a load takes from the store.
func (r *idleReplay) slowestLoad(item *replayItem) time.Duration {
	return r.store.LoadTime(item.Item, item.size, &policy.Server{Place: fleet.Place{Region: r.store.Region}})
}

// load places the item and starts its load; ahead says that nobody waits.
func (r *idleReplay) load(item *replayItem, ahead bool) {
	index, found := r.place(item, ahead)
	if !found {
		return
	}
	server := &r.servers[index]
	start := r.now
	loadTime := r.store.LoadTime(item.Item, item.size, server)
	if _, cached := server.Checkpoints[item.String()]; !cached && item.base == nil && !r.unbounded {
		slot := slices.Index(r.slots, slices.Min(r.slots))
		start = max(start, r.slots[slot])
		r.slots[slot] = start + loadTime
	}
	item.server, item.loadTime = index, start+loadTime-r.now
	item.readyAt, item.idleFrom = start+loadTime, r.now
	if item.base != nil {
		item.readyAt = max(item.readyAt, item.base.readyAt+loadTime)
	}
	if !r.unbounded {
		server.Reserved += item.size
	}
	server.Grants = append(server.Grants, policy.ServerGrant{Grant: item.grant, Item: item.Item, Size: item.size, State: engine.Ready})
	r.byGrant[item.grant] = item
	r.caches[index].add(server, item.Item, item.size)
	if r.now >= r.measureFrom {
		r.loadsTotal++
	}
}

// place chooses a server and makes room on it. If every server is full of items
// that serve, a waiting request gets the cheapest server all the same: the
// replay counts that as forced, and the memory is over its limit meanwhile.
func (r *idleReplay) place(item *replayItem, ahead bool) (index int, found bool) {
	if item.base != nil {
		return r.placeAdapter(item, ahead)
	}
	query := policy.Query{Item: item.Item, Size: item.size, Deployment: item.deployment}
	if !ahead {
		query.EvictionCost = r.evictionValue
	}
	placement, found := r.choose(&query, item)
	if !found {
		if !ahead {
			r.forced++
			return slices.IndexFunc(r.servers, func(s policy.Server) bool { return s.Region == r.store.Region }), true
		}
		return 0, false
	}
	for _, grant := range placement.Evict {
		if victim := r.byGrant[grant]; victim != nil { // not gone with its base model
			r.unload(victim)
		}
	}
	for _, i := range item.candidates {
		if r.servers[i].ID == placement.Server {
			return i, true
		}
	}
	return 0, false
}

// placeAdapter makes room beside the base model.
func (r *idleReplay) placeAdapter(item *replayItem, ahead bool) (index int, found bool) {
	index = item.base.server
	if index < 0 {
		return 0, false
	}
	query := policy.Query{Item: item.Item, Size: item.size, Deployment: item.deployment}
	if !ahead {
		query.EvictionCost = r.evictionValue
	}
	placement, found := policy.Place(&query, r.store, r.servers[index:index+1])
	if !found {
		if !ahead {
			r.forced++
		}
		return index, !ahead
	}
	for _, grant := range placement.Evict {
		if victim := r.byGrant[grant]; victim != nil {
			r.unload(victim)
		}
	}
	return index, true
}

// choose places by the product's decision, or for the baselines on a near server
// with room, the cheapest or a random one, and evicts only if there is none.
func (r *idleReplay) choose(query *policy.Query, item *replayItem) (placement policy.Placement, found bool) {
	if r.random == nil && !r.reluctant {
		return policy.Place(query, r.store, r.view(item.candidates, false))
	}
	near := r.view(item.candidates, true)
	value := query.EvictionCost
	query.EvictionCost = nil
	if placement, found = r.chooseNear(query, near); found || value == nil {
		return placement, found
	}
	query.EvictionCost = value
	return r.chooseNear(query, near)
}

func (r *idleReplay) chooseNear(query *policy.Query, near []policy.Server) (placement policy.Placement, found bool) {
	if r.random == nil {
		return policy.Place(query, r.store, near)
	}
	for _, i := range r.random.Perm(len(near)) {
		if placement, found = policy.Place(query, r.store, near[i:i+1]); found {
			return placement, true
		}
	}
	return placement, false
}

// view returns some servers; near leaves out those behind the link between
// regions, over which a load takes an hour.
func (r *idleReplay) view(candidates []int, near bool) []policy.Server {
	r.scratch = r.scratch[:0]
	for _, i := range candidates {
		if !near || r.servers[i].Region == r.store.Region {
			r.scratch = append(r.scratch, r.servers[i])
		}
	}
	return r.scratch
}

func (r *idleReplay) evictionValue(_ *policy.Server, held policy.ServerGrant) (float64, bool) {
	item := r.byGrant[held.Grant]
	if r.now < item.lastEnd || r.now < item.readyAt {
		return 0, false // serves
	}
	return r.strategy.value(r, item), true
}

// unload drops an item and the adapters on it.
func (r *idleReplay) unload(item *replayItem) {
	if item.server < 0 {
		return
	}
	for _, adapter := range item.adapters {
		r.unload(adapter)
	}
	r.countIdle(item, r.now)
	server := &r.servers[item.server]
	if !r.unbounded {
		server.Reserved -= item.size
	}
	server.Grants = slices.DeleteFunc(slices.Clone(server.Grants), func(h policy.ServerGrant) bool { return h.Grant == item.grant })
	delete(r.byGrant, item.grant)
	item.server = -1
}

// checkpointCache is the cache of one server's host memory and disk, each with
// the most recently loaded checkpoints.
type checkpointCache struct {
	recent []cachedCheckpoint // newest last
}

type cachedCheckpoint struct {
	name string
	size fleet.Bytes
}

// add puts a checkpoint in front and updates the tiers that the server reports.
func (c *checkpointCache) add(server *policy.Server, item fleet.Item, size fleet.Bytes) {
	name := item.String()
	c.recent = slices.DeleteFunc(c.recent, func(e cachedCheckpoint) bool { return e.name == name })
	c.recent = append(c.recent, cachedCheckpoint{name, size})
	engines := standin.DefaultEngine()
	sum := fleet.Bytes(0)
	for i := len(c.recent) - 1; i >= 0; i-- {
		entry := c.recent[i]
		sum += entry.size
		switch {
		case sum <= engines.HostMemory:
			server.Checkpoints[entry.name] = engine.HostMemory
		case sum <= engines.Disk:
			server.Checkpoints[entry.name] = engine.LocalDisk
		default:
			for _, gone := range c.recent[:i+1] {
				delete(server.Checkpoints, gone.name)
			}
			c.recent = slices.Clone(c.recent[i+1:])
			return
		}
	}
}

// idleTimer wakes the replay for one item.
type idleTimer struct {
	at      time.Duration
	item    *replayItem
	version int
}

type timerHeap []idleTimer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements [heap.Interface].
func (h *timerHeap) Push(x any) { *h = append(*h, x.(idleTimer)) }

// Pop implements [heap.Interface].
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
