package placement

import (
	"math"
	"time"

	"github.com/guavatrack/guavatrack/internal/residence"
	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// nodeDemand is what a node said last.
type nodeDemand struct {
	demandMessage
	at time.Time
}

// Lives of what nodes say.
const (
	// waitingLife is how long what a node's calls wait for is believed, usesLife
	// what they run on.
	waitingLife = time.Second
	// settleTime is how long rates of calls are followed before they are relied
	// on.
	settleTime = 4 * time.Second
	usesLife   = 3 * time.Second
	// rateSpan is the time over which rates of calls are averaged.
	rateSpan = 6 * time.Second
)

// rate is a moving average of calls a second, of those sent to servers, and of
// the servers that they occupied.
type rate struct {
	came, sent, busy float64
	at               time.Time
}

func (r *rate) add(now time.Time, counted Arrival) {
	r.fade(now)
	r.came += float64(counted.Count) / rateSpan.Seconds()
	r.sent += float64(counted.Sent) / rateSpan.Seconds()
	r.busy += float64(counted.BusyMs) / float64(rateSpan.Milliseconds())
}

func (r *rate) fade(now time.Time) {
	factor := math.Exp(-float64(now.Sub(r.at)) / float64(rateSpan))
	r.came, r.sent, r.busy, r.at = r.came*factor, r.sent*factor, r.busy*factor, now
}

// Bounds of the time that a call is taken to occupy a server.
const (
	leastTakes = 100 * time.Millisecond
	mostTakes  = 5 * time.Second
)

// takes returns how long a call occupies a server.
func (r *rate) takes() time.Duration {
	if r.sent <= 0 {
		return 0
	}
	return min(mostTakes, max(leastTakes, time.Duration(r.busy/r.sent*float64(time.Second))))
}

// sumUses joins what all nodes' calls run on, and forgets nodes that are silent.
func (s *Scheduler) sumUses(now time.Time) map[useKey]*use {
	sum := make(map[useKey]*use)
	for id, node := range s.nodes {
		if now.Sub(node.at) > usesLife {
			delete(s.nodes, id)
			continue
		}
		for _, told := range node.Uses {
			key := useKey{server: told.Server, item: told.Item}
			found := sum[key]
			if found == nil {
				found = &use{}
				sum[key] = found
			}
			found.count += told.Count
			last := node.at.Add(-time.Duration(told.IdleMs) * time.Millisecond)
			if last.After(found.last) {
				found.last = last
			}
		}
	}
	return sum
}

// sumDemands joins what all nodes' calls of a pool wait for.
func (s *Scheduler) sumDemands(now time.Time, pool fleet.PoolID) []residence.Demand {
	sums := make(map[fleet.Item]*residence.Demand)
	of := func(item fleet.Item) *residence.Demand {
		found := sums[item]
		if found == nil {
			found = &residence.Demand{Item: item}
			sums[item] = found
		}
		return found
	}
	for key, known := range s.rates {
		if key.pool == pool {
			known.fade(now)
			sum := of(key.item)
			sum.Rate, sum.Takes = known.came, known.takes()
		}
	}
	for _, node := range s.nodes {
		if now.Sub(node.at) > waitingLife {
			continue
		}
		for _, told := range node.Waiting {
			if told.Pool == pool {
				addWaiting(of(told.Item), told, node)
			}
		}
	}
	demands := make([]residence.Demand, 0, len(sums))
	for _, demand := range sums {
		demands = append(demands, *demand)
	}
	return demands
}

// addWaiting joins what the calls of one node wait for.
func addWaiting(sum *residence.Demand, told Waiting, node *nodeDemand) {
	began := node.at.Add(-time.Duration(told.SinceMs) * time.Millisecond)
	objective := node.at.Add(time.Duration(told.ObjectiveMs) * time.Millisecond)
	if sum.Waiting == 0 {
		sum.Since, sum.Objective, sum.Rank, sum.Region = began, objective, told.Rank, node.Region
	}
	sum.Waiting += told.Count
	sum.Rank = min(sum.Rank, told.Rank)
	if began.Before(sum.Since) {
		sum.Since = began
	}
	if objective.Before(sum.Objective) {
		sum.Objective = objective
	}
}

// receive takes in what a node says and answers with what is new.
func (s *Scheduler) receive(message demandMessage) demandAnswer {
	now := time.Now()
	if !s.Lease.Mine() {
		return demandAnswer{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.nodes[message.From] = &nodeDemand{demandMessage: message, at: now}
	for _, arrival := range message.Arrivals {
		key := indexKey{pool: arrival.Pool, item: arrival.Item}
		known := s.rates[key]
		if known == nil {
			known = &rate{at: now}
			s.rates[key] = known
		}
		known.add(now, arrival)
	}
	for _, server := range message.Lost {
		s.doubt(now, server)
	}
	if len(message.Waiting) > 0 {
		s.stir()
	}
	answer := demandAnswer{Schedules: true, News: s.newsAfter(now, message)}
	for _, told := range message.Waiting {
		ready := s.expect(now, told)
		answer.Ready = append(answer.Ready, Expected{Pool: told.Pool, Item: told.Item, InMs: ready.Milliseconds()})
	}
	return answer
}

// newsAfter returns what a node does not know yet. The caller holds the lock.
func (s *Scheduler) newsAfter(now time.Time, message demandMessage) news {
	told := news{Fencing: s.fencing, Number: s.number}
	for _, e := range s.engines {
		if e.known && (message.Fencing != s.fencing || e.changed > message.Seen) {
			told.Engines = append(told.Engines, e.news(now))
		}
	}
	return told
}

// expect returns when an item is expected to be ready. The caller holds the
// lock.
func (s *Scheduler) expect(now time.Time, told Waiting) time.Duration {
	model := s.View().Model(told.Pool, told.Item.Model)
	if model == nil {
		return 0
	}
	ready := model.FromStore
	for _, e := range s.engines {
		if e.server.Pool == told.Pool {
			ready = min(ready, e.expect(now, told.Item.Model, model))
		}
	}
	return ready
}

// expect returns when the engine is expected to have a model ready.
func (e *engine) expect(now time.Time, id fleet.ModelID, model *roster.Model) time.Duration {
	held := e.held[id]
	switch {
	case held != nil && !held.leaving:
		return 0
	case e.open != nil && e.open.Load && e.open.Item.Model == id:
		return max(0, e.open.due.Sub(now))
	case e.next == id && now.Before(e.nextUntil), e.OnDisk[id]:
		return model.FromDisk + residence.UnloadTime
	default:
		return model.FromStore
	}
}
