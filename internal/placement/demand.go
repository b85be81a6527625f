package placement

import (
	"math"
	"time"

	"github.com/guavatrack/guavatrack/internal/residence"
	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// nodeDemand is the last demand message of a node and when it was received.
type nodeDemand struct {
	demandMessage
	receivedAt time.Time
}

// usageExpired reports whether the item usage in the message is no longer valid.
func (n *nodeDemand) usageExpired(now time.Time) bool { return now.Sub(n.receivedAt) > usageTTL }

// Validity of demand messages and averaging of call rates.
const (
	// waitingTTL is how long a node's waiting calls stay valid without a new
	// message, usageTTL how long its item usage does.
	waitingTTL = time.Second
	// rateSettleTime is how long call rates have to be averaged before plans
	// rely on them.
	rateSettleTime = 4 * time.Second
	usageTTL       = 3 * time.Second
	// rateWindow is the time constant of the averages of call rates.
	rateWindow = 6 * time.Second
	// restrictionTTL is how long a plan has regard to calls that need a version after the
	// last of them has waited, since they run then.
	restrictionTTL = 10 * time.Second
)

// trafficRate holds decaying averages of an item's traffic: calls that arrived
// a second, calls sent to servers a second, and servers occupied.
type trafficRate struct {
	arrived, sent, busy float64
	at                  time.Time
}

func (r *trafficRate) add(now time.Time, counts ArrivalCounts) {
	r.decay(now)
	r.arrived += float64(counts.Count) / rateWindow.Seconds()
	r.sent += float64(counts.Sent) / rateWindow.Seconds()
	r.busy += float64(counts.BusyMs) / float64(rateWindow.Milliseconds())
}

func (r *trafficRate) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(r.at)) / float64(rateWindow))
	r.arrived, r.sent, r.busy, r.at = r.arrived*factor, r.sent*factor, r.busy*factor, now
}

// Bounds of the estimated service time of a call.
const (
	minServiceTime = 100 * time.Millisecond
	maxServiceTime = 5 * time.Second
)

// serviceTime returns how long a call occupies a server on average; 0 if none
// was sent.
func (r *trafficRate) serviceTime() time.Duration {
	if r.sent <= 0 {
		return 0
	}
	return min(maxServiceTime, max(minServiceTime, time.Duration(r.busy/r.sent*float64(time.Second))))
}

// aggregateUsages sums the item usage of all nodes and drops the nodes whose
// last message is older than usageTTL.
func (s *Scheduler) aggregateUsages(now time.Time) map[usageKey]*usage {
	usages := make(map[usageKey]*usage)
	for id, node := range s.nodes {
		if node.usageExpired(now) {
			delete(s.nodes, id)
			continue
		}
		for _, reported := range node.Uses {
			key := usageKey{server: reported.Server, item: reported.Item}
			total := usages[key]
			if total == nil {
				total = &usage{}
				usages[key] = total
			}
			total.count += reported.Count
			lastUsed := node.receivedAt.Add(-time.Duration(reported.IdleMs) * time.Millisecond)
			if lastUsed.After(total.lastUsed) {
				total.lastUsed = lastUsed
			}
		}
	}
	return usages
}

// aggregateDemands sums the demand of all nodes for the items of a pool.
func (s *Scheduler) aggregateDemands(now time.Time, pool fleet.PoolID) []residence.Demand {
	sums := make(map[wantKey]*residence.Demand)
	sumFor := func(want wantKey) *residence.Demand {
		found := sums[want]
		if found == nil {
			found = &residence.Demand{Item: want.item, Software: want.software}
			sums[want] = found
		}
		return found
	}
	for key, rate := range s.rates {
		if key.pool == pool {
			rate.decay(now)
			sum := sumFor(wantKey{indexKey: key})
			sum.Rate, sum.ServiceTime = rate.arrived, rate.serviceTime()
		}
	}
	for _, node := range s.nodes {
		if now.Sub(node.receivedAt) > waitingTTL {
			continue
		}
		for _, waiting := range node.Waiting {
			if waiting.Pool == pool {
				addWaiting(sumFor(waiting.want()), waiting, node)
			}
		}
	}
	for want, lastWaited := range s.restricted {
		switch {
		case now.Sub(lastWaited) > restrictionTTL:
			delete(s.restricted, want)
		case want.pool == pool:
			sumFor(want)
		}
	}
	demands := make([]residence.Demand, 0, len(sums))
	for _, demand := range sums {
		demands = append(demands, *demand)
	}
	return demands
}

// addWaiting adds the waiting calls of one node to the demand for an item.
func addWaiting(sum *residence.Demand, waiting WaitingCalls, node *nodeDemand) {
	since := node.receivedAt.Add(-time.Duration(waiting.SinceMs) * time.Millisecond)
	objective := node.receivedAt.Add(time.Duration(waiting.ObjectiveMs) * time.Millisecond)
	if sum.Waiting == 0 {
		sum.WaitingSince, sum.Objective, sum.Rank, sum.Region = since, objective, waiting.Rank, node.Region
	}
	sum.Waiting += waiting.Count
	sum.Rank = min(sum.Rank, waiting.Rank)
	if since.Before(sum.WaitingSince) {
		sum.WaitingSince = since
	}
	if objective.Before(sum.Objective) {
		sum.Objective = objective
	}
}

// handleDemand records a node's message. The answer has the engine changes that
// the node has not seen and when the items that its calls wait for are expected
// to be ready.
func (s *Scheduler) handleDemand(message demandMessage) demandAnswer {
	now := time.Now()
	if !s.Lease.IsHolder() {
		return demandAnswer{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.nodes[message.From] = &nodeDemand{demandMessage: message, receivedAt: now}
	for _, arrival := range message.Arrivals {
		key := indexKey{pool: arrival.Pool, item: arrival.Item}
		rate := s.rates[key]
		if rate == nil {
			rate = &trafficRate{at: now}
			s.rates[key] = rate
		}
		rate.add(now, arrival)
	}
	for _, server := range message.Lost {
		s.suspectEngine(now, server)
	}
	if len(message.Waiting) > 0 {
		s.triggerPlan()
	}
	answer := demandAnswer{Schedules: true, Update: s.updateFor(now, message)}
	for _, waiting := range message.Waiting {
		if waiting.Software != "" {
			s.restricted[waiting.want()] = now
		}
		readyIn := s.expectedReadyIn(now, waiting)
		answer.Ready = append(answer.Ready, ReadyEstimate{
			Pool: waiting.Pool, Item: waiting.Item, Software: waiting.Software, InMs: readyIn.Milliseconds(),
		})
	}
	return answer
}

// expectedReadyIn returns the expected time until an engine of the pool that may run the
// calls has the item ready. The caller holds the lock.
func (s *Scheduler) expectedReadyIn(now time.Time, waiting WaitingCalls) time.Duration {
	model := s.View().Model(waiting.Pool, waiting.Item.Model)
	if model == nil {
		return 0
	}
	readyIn := model.FromStore
	for _, e := range s.engines {
		if e.server.Pool == waiting.Pool && waiting.mayRun(e.server.Software) && !e.server.Draining {
			readyIn = min(readyIn, e.expectedReadyIn(now, waiting.Item.Model, model))
		}
	}
	return readyIn
}

// expectedReadyIn returns the expected time until the engine has the model
// ready.
func (e *engine) expectedReadyIn(now time.Time, id fleet.ModelID, model *roster.Model) time.Duration {
	held := e.held[id]
	switch {
	case held != nil && !held.unloading:
		return 0
	case e.active != nil && e.active.Load && e.active.Item.Model == id:
		return max(0, e.active.due.Sub(now))
	case e.reservedFor == id && now.Before(e.reservedUntil), e.OnDisk[id]:
		return model.FromDisk + residence.UnloadTime
	default:
		return model.FromStore
	}
}
