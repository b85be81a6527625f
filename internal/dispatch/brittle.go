package dispatch

import (
	"log/slog"
	"math"
	"sync"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// brittlePools holds the pools whose servers are brittle: a server that has to turn away
// more than a number of calls a second for want of room falls over. All servers of a pool
// say so at the same time, in all their answers.
type brittlePools struct {
	mu    sync.Mutex
	pools map[fleet.PoolID]brittlePool
}

// brittlePool is what the servers of a pool said last.
type brittlePool struct {
	// perSecond is how many calls a server may turn away in a second, until until.
	perSecond float64
	until     time.Time
}

const (
	// brittleDuration is how long a pool counts as brittle after an answer that says so.
	brittleDuration = 5 * time.Second
	// brittleShare is the share of the calls that a server may turn away which all nodes
	// together have it turn away.
	brittleShare = 0.5
	// minBrittleRate is the smallest number of calls a second by which rests are computed,
	// maxBrittleRest the longest rest.
	minBrittleRate = 0.1
	maxBrittleRest = 5 * time.Second
)

// RecordBrittle records that the server said with its answer that it falls over if it has to
// turn away more than perSecond calls a second.
func (a *Attempt) RecordBrittle(perSecond float64) {
	d := a.dispatcher
	if d.brittle.record(a.slot.call.Pool, perSecond, time.Now()) {
		d.Log.Info("servers of a pool are brittle", slog.String("pool", string(a.slot.call.Pool)),
			slog.String("server", string(a.Replica.Server)), slog.Float64("perSecond", perSecond))
	}
}

// record records what a server of a pool said, and reports whether the pool was not brittle
// before. Of several numbers the smallest counts while it lasts.
func (b *brittlePools) record(pool fleet.PoolID, perSecond float64, now time.Time) (isNew bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pools == nil {
		b.pools = make(map[fleet.PoolID]brittlePool)
	}
	before := b.pools[pool]
	if now.Before(before.until) {
		perSecond = min(perSecond, before.perSecond)
	}
	b.pools[pool] = brittlePool{perSecond: perSecond, until: now.Add(brittleDuration)}
	return !now.Before(before.until)
}

// rate returns how many calls a second a server of a pool may turn away.
func (b *brittlePools) rate(pool fleet.PoolID, now time.Time) (perSecond float64, brittle bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	found := b.pools[pool]
	return found.perSecond, now.Before(found.until)
}

// brittleRate returns how many calls a second a server of a pool may turn away for this node.
func (d *Dispatcher) brittleRate(pool fleet.PoolID, now time.Time) (perSecond float64, brittle bool) {
	perSecond, brittle = d.brittle.rate(pool, now)
	if !brittle {
		return 0, false
	}
	nodes := 1
	if d.Nodes != nil {
		nodes = max(1, d.Nodes())
	}
	return max(minBrittleRate, brittleShare*perSecond/float64(nodes)), true
}

// restBrittle has a brittle server get no calls of this node for a while after it turned one
// away, so that all nodes together have it turn away few in a second.
func (d *Dispatcher) restBrittle(taken *slot, now time.Time) {
	perSecond, brittle := d.brittleRate(taken.call.Pool, now)
	if !brittle {
		return
	}
	rest := min(time.Duration(float64(time.Second)/perSecond), maxBrittleRest)
	if taken.server.recordRest(taken.replica.Boot, now.Add(rest)) {
		d.Log.Info("brittle server gets no requests", slog.String("server", string(taken.replica.Server)),
			slog.Duration("for", rest))
	}
}

// maxUnanswered returns how many calls that have not been answered a server of a pool may
// have from this node: any of them may be turned away. It is 0 if there is no bound.
func (d *Dispatcher) maxUnanswered(pool fleet.PoolID, now time.Time) int {
	perSecond, brittle := d.brittleRate(pool, now)
	if !brittle {
		return 0
	}
	return max(1, int(min(perSecond, math.MaxInt32)))
}

// unanswered returns the number of the node's calls on the server whose answer has not begun.
func (s *serverState) unanswered() (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for taken := range s.running {
		if taken.answeredAt.Load() == nil {
			count++
		}
	}
	return count
}
