package dispatch

import (
	"cmp"
	"log/slog"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/internal/pace"
	"github.com/guavatrack/guavatrack/internal/route"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// PaceMode says whether the pace of servers counts in choices and limits: how long work takes
// there, and whether they have just started or recovered.
type PaceMode int

// Modes of pace.
const (
	// PaceReported has it count in pools whose servers report how long work takes.
	PaceReported PaceMode = iota
	// PaceAlways has it count in all pools.
	PaceAlways
	// PaceNever has it count in none.
	PaceNever
)

// paceState is what the states of all servers share for their pace.
type paceState struct {
	mode   func() PaceMode
	nodes  func() int
	random func() float64
	log    *slog.Logger
	// windows is the number of servers in their start window, gauge its metric.
	windows atomic.Int64
	gauge   metrics.Gauge

	mu sync.RWMutex
	// reporting holds the pools of which a server has reported how long work takes.
	reporting map[fleet.PoolID]bool
	lowTimes  map[lowTimeKey]*pace.LowTime
	// demands holds the rates of the calls of each queue.
	demands map[queueKey]*pace.Demand
}

// lowTimeKey identifies the answers whose times to the first byte are comparable.
type lowTimeKey struct {
	pool   fleet.PoolID
	stream bool
}

// serverPace is the pace of one server.
type serverPace struct {
	factor pace.Factor
	window pace.Window
	// recovers is why a window begins once the server can be sent requests; empty if none
	// does.
	recovers pace.Cause
	// seenBoot is the run that the node last saw, seenListedAt its ListedAt.
	seenBoot     fleet.BootID
	seenListedAt time.Time
}

func (p *paceState) setUp(d *Dispatcher) {
	p.mode, p.nodes, p.random, p.log, p.gauge = d.Pace, d.Nodes, d.Rand.Float64, d.Log, d.meters.startWindows
	if p.mode == nil {
		p.mode = func() PaceMode { return PaceReported }
	}
	if p.nodes == nil {
		p.nodes = func() int { return 1 }
	}
	p.reporting = make(map[fleet.PoolID]bool)
	p.lowTimes = make(map[lowTimeKey]*pace.LowTime)
	p.demands = make(map[queueKey]*pace.Demand)
}

// applies reports whether the pace of the servers of a pool counts.
func (p *paceState) applies(pool fleet.PoolID) bool {
	mode := p.mode()
	return mode == PaceAlways || mode == PaceReported && p.reports(pool)
}

// reports reports whether a server of a pool has reported how long work takes.
func (p *paceState) reports(pool fleet.PoolID) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.reporting[pool]
}

// recordReport records that a server of a pool has reported how long work takes.
func (p *paceState) recordReport(pool fleet.PoolID) {
	if p.reports(pool) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reporting[pool] = true
}

// lowTime returns the low time to the first byte of calls like the given one, and records
// one if it is above 0.
func (p *paceState) lowTime(call *Call, elapsed time.Duration) time.Duration {
	key := lowTimeKey{pool: call.Pool, stream: call.Stream}
	p.mu.Lock()
	defer p.mu.Unlock()
	times := p.lowTimes[key]
	if times == nil {
		times = &pace.LowTime{}
		p.lowTimes[key] = times
	}
	if elapsed > 0 {
		times.Record(call.Tokens, elapsed)
	}
	return times.Low(call.Tokens)
}

// recordArrival records that a call has come.
func (p *paceState) recordArrival(call *Call, now time.Time) {
	call.arrivedAt = now
	if !p.applies(call.Pool) {
		return
	}
	key := queueKey{pool: call.Pool, model: call.Item.Model}
	p.mu.Lock()
	defer p.mu.Unlock()
	demand := p.demands[key]
	if demand == nil {
		demand = &pace.Demand{}
		p.demands[key] = demand
	}
	demand.Record(now)
}

// maxNewCall is the age up to which a call counts as one that has just come: those that wait
// are tried again at intervals of up to this time.
const maxNewCall = notifiedStartInterval

// want describes a call to the window of a server.
func (p *paceState) want(call *Call, now time.Time) pace.Want {
	if now.Sub(call.arrivedAt) >= maxNewCall {
		return pace.Want{Rate: 1}
	}
	p.mu.RLock()
	defer p.mu.RUnlock()
	want := pace.Want{Since: call.arrivedAt}
	if demand := p.demands[queueKey{pool: call.Pool, model: call.Item.Model}]; demand != nil {
		want.Rate = demand.Rate(now)
	}
	return want
}

// maxNewRun is the time after the first listing of a run up to which it counts as started
// when the node first has a call for it: a server may get its first model late.
const maxNewRun = time.Minute

// applyPace completes a candidate by the pace of the server. available is set if the server
// can be sent calls. The caller holds the lock.
func (s *serverState) applyPace(now time.Time, replica *Replica, call *Call, candidate *route.Candidate, available bool) {
	if !s.pace.applies(call.Pool) {
		s.endWindow(now, pace.Inapplicable)
		s.recovers = ""
		return
	}
	candidate.ReadySince = time.Time{}
	candidate.Slowdown = s.factor.Estimate(now.Add(candidate.TimeToFirstByte / 2))
	s.noticeRun(now, replica)
	if available && !candidate.Ejected && s.recovers != "" {
		s.beginWindow(now, replica)
	}
	if !s.window.Active() {
		return
	}
	load := pace.Load{Nodes: s.pace.nodes(), Slots: replica.Slots}
	if candidate.ReportedAt.After(s.window.Began) {
		load.Others = decayedOthers(now, candidate.OtherNodesInFlight, candidate.ReportedAt)
	}
	if end, ended := s.window.Ended(now, load); ended {
		s.endWindow(now, end)
		return
	}
	candidate.Window = s.window.Limit(now, s.pace.want(call, now), load, s.pace.random)
	if candidate.Window == 0 {
		// The limit stays, since the window soon opens.
		candidate.InFlight = math.MaxInt32
	}
}

// noticeRun notices that the node sees a run of the server for the first time. The caller
// holds the lock.
func (s *serverState) noticeRun(now time.Time, replica *Replica) {
	isOther := s.seenBoot != "" && replica.Boot != s.seenBoot
	isNew := replica.ListedAt.After(s.seenListedAt) && now.Sub(replica.ListedAt) < maxNewRun
	if isOther || isNew {
		s.recovers, s.factor = pace.Started, pace.Factor{}
	}
	s.seenBoot, s.seenListedAt = replica.Boot, replica.ListedAt
}

// expectRecovery has a window begin once the server can be sent requests.
func (s *serverState) expectRecovery(cause pace.Cause) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recovers = cause
}

// beginWindow begins the window of the server. The caller holds the lock.
func (s *serverState) beginWindow(now time.Time, replica *Replica) {
	if !s.window.Active() {
		s.pace.gauge.Update(s.pace.windows.Add(1))
	}
	began := now
	if s.recovers == pace.Started && !replica.ListedAt.IsZero() {
		began = replica.ListedAt
	}
	s.window.Begin(began, s.recovers)
	s.recovers = ""
	s.pace.log.Info("start window begins", slog.String("server", string(s.id)), slog.String("boot", string(replica.Boot)),
		slog.String("cause", string(s.window.Cause)))
}

// endWindow ends the window of the server, if it has begun. The caller holds the lock.
func (s *serverState) endWindow(now time.Time, end pace.End) {
	if !s.window.Active() {
		return
	}
	s.pace.gauge.Update(s.pace.windows.Add(-1))
	s.pace.log.Info("start window ends", slog.String("server", string(s.id)), slog.String("cause", string(end)),
		slog.Duration("after", now.Sub(s.window.Began)), slog.Int("sent", s.window.Sent), slog.Int("good", s.window.Good))
	s.window.Stop()
}

// windowStays reports whether a server that runs no request of this node keeps its window. One
// that is quiet ends even if no request was answered: the server may be gone. The caller holds
// the lock.
func (s *serverState) windowStays(now time.Time) bool {
	if s.window.Quiet(now) {
		s.endWindow(now, pace.NoTrouble)
	}
	return s.window.Active()
}

// recordSlowdown records how long work takes at the server.
func (s *serverState) recordSlowdown(now time.Time, factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.factor.Record(now, factor)
}

// slowdown returns the expected factor of the server now, and its mean.
func (s *serverState) slowdown(now time.Time) (expected, mean float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.factor.Estimate(now), s.factor.Mean(now)
}

// recordStartAnswer records the first byte of an answer in the window of its server, or in
// the low time of the pool if there is no window. usual is the time to it, corrected by the
// factor of the server.
func (d *Dispatcher) recordStartAnswer(taken *slot, now time.Time, usual time.Duration) {
	if !d.pace.applies(taken.call.Pool) {
		return
	}
	s := taken.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.window.Active() {
		d.pace.lowTime(taken.call, usual)
		return
	}
	s.window.RecordAnswer(now, taken.started, usual, d.pace.lowTime(taken.call, 0))
}

// countStartRejection counts that a server rejected a call in its window.
func (d *Dispatcher) countStartRejection(taken *slot) {
	s := taken.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.window.Active() {
		d.meters.startRejections.Inc(1)
	}
}

// usualTime returns the time since a slot was taken, corrected by the factor of the server.
func (d *Dispatcher) usualTime(taken *slot, now time.Time) time.Duration {
	elapsed := now.Sub(taken.started)
	if !d.pace.applies(taken.call.Pool) {
		return elapsed
	}
	expected, _ := taken.server.slowdown(now)
	return time.Duration(float64(elapsed) / expected)
}

// workAt returns the work of the call of a slot as its server does it.
func (d *Dispatcher) workAt(taken *slot) float64 {
	if !d.pace.applies(taken.call.Pool) {
		return taken.call.Work
	}
	_, mean := taken.server.slowdown(time.Now())
	return mean * cmp.Or(max(0, taken.call.Work), 1)
}

// expectedWork returns the work of a call as the servers that may run it do it on average.
func (d *Dispatcher) expectedWork(call *Call, now time.Time) float64 {
	if !d.pace.applies(call.Pool) {
		return call.Work
	}
	return d.meanSlowdown(call, now) * cmp.Or(max(0, call.Work), 1)
}

// meanSlowdown returns the mean factor of the servers that may run a call; 1 if there are
// none.
func (d *Dispatcher) meanSlowdown(call *Call, now time.Time) float64 {
	replicas, sum, count := d.replicas(call), 0.0, 0
	for i := range replicas {
		if d.countsLocally(replicas, i) {
			_, mean := d.servers.get(replicas[i].Server).slowdown(now)
			sum += mean
			count++
		}
	}
	if count == 0 {
		return 1
	}
	return sum / float64(count)
}

// firstByteTimeouts returns how long an attempt waits for the first byte before it is hedged
// and before its connection is checked for silence. The times were recorded corrected by the
// factors of the servers. The hedge delay is that of the servers' average pace, so that an
// attempt at a server that is slower than the others now is hedged when most others would
// have answered.
func (r *callRunner) firstByteTimeouts(taken *slot) (hedge, silence time.Duration) {
	hedge, silence = r.call.queue.firstByteTimeouts(r.call.Stream)
	if !r.pace.applies(r.call.Pool) {
		return hedge, silence
	}
	now := time.Now()
	expected, _ := taken.server.slowdown(now)
	silence = min(maxSilenceTimeout, time.Duration(max(1, expected)*float64(silence)))
	return time.Duration(r.meanSlowdown(r.call, now) * float64(hedge)), silence
}
