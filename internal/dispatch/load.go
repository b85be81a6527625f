package dispatch

import (
	"context"
	"time"

	"github.com/guavatrack/guavatrack/internal/admission"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

// Timing of load requests.
const (
	// loadRequestInterval is the time between two load requests for one item, or for one
	// at a software version.
	loadRequestInterval = 200 * time.Millisecond
	// loadFailureTimeout bounds how long a request waits while load requests
	// fail.
	loadFailureTimeout = 2 * time.Second
)

// loadState is the result of the last load request for an item, or for one at a software
// version.
type loadState struct {
	// requestedAt is the time of the request.
	requestedAt time.Time
	estimate    Estimate
	// failingSince is when the requests began to fail. It is set anew by a failure
	// after more than 2*loadFailureTimeout.
	failingSince time.Time
	err          error
	// requesting is set while a request is in progress.
	requesting bool
}

// noServerRetryAfter is the time after which a caller should retry if no server
// is available.
const noServerRetryAfter = time.Second

// canLoad reports whether a replica for the call can be loaded on demand.
func (d *Dispatcher) canLoad(call *Call) bool { return d.Loader != nil && call.Item.Model != "" }

// readyIn returns the time until a replica of the call's item is ready, or a
// refusal if that is too late. It requests a load if there is no replica.
func (q *waitQueue) readyIn(call *Call, now time.Time) (time.Duration, error) {
	if len(q.dispatcher.replicas(call)) > 0 {
		return 0, nil
	}
	if err := q.dispatcher.checkVersion(call); err != nil {
		return 0, err
	}
	if !q.dispatcher.canLoad(call) {
		return 0, &refusal.Refusal{
			Reason: refusal.NoServer, Message: "no server is there to run the request", RetryAfter: noServerRetryAfter,
		}
	}
	return q.requestLoad(call, now).readyIn(call, now)
}

// readyIn returns the time until the load is complete, or a refusal if that is
// too late for the call. While load requests fail it returns 0 until
// loadFailureTimeout, or a third of the time from the start of the call to its
// deadline if that is shorter, has passed, and then a refusal.
func (s loadState) readyIn(call *Call, now time.Time) (time.Duration, error) {
	if s.err != nil {
		timeout := min(loadFailureTimeout, call.Deadline.Sub(call.Started)/3)
		if now.Sub(s.failingSince) < timeout {
			return 0, nil
		}
		return 0, &refusal.Refusal{
			Reason: refusal.NoServer, Message: "no replica can be loaded: " + s.err.Error(),
			RetryAfter: loadFailureTimeout,
		}
	}
	remaining := s.estimate.ReadyIn - now.Sub(s.requestedAt)
	if ready := now.Add(remaining); ready.After(call.Deadline) || !call.StartBy.IsZero() && ready.After(call.StartBy) {
		return 0, &refusal.Refusal{
			Reason: refusal.DeadlineUnreachable, Message: "the model will not be loaded before the deadline",
			RetryAfter: remaining,
		}
	}
	return max(0, remaining), nil
}

// requestLoad requests a load of the call's item where the call may run, unless a request
// is in progress or was made within loadRequestInterval, and returns the last result.
func (q *waitQueue) requestLoad(call *Call, now time.Time) loadState {
	q.mu.Lock()
	wanted := q.dispatcher.eligibility(call)
	state := q.loads[wanted]
	if state == nil {
		state = &loadState{}
		q.loads[wanted] = state
	}
	if state.requesting || now.Sub(state.requestedAt) < loadRequestInterval && !state.requestedAt.IsZero() {
		defer q.mu.Unlock()
		return *state
	}
	state.requesting = true
	demand := q.demand(call)
	q.mu.Unlock()
	estimate, err := q.dispatcher.Loader.RequestLoad(context.WithoutCancel(call.Context), demand)
	q.mu.Lock()
	defer q.mu.Unlock()
	if err != nil && (state.err == nil || now.Sub(state.failingSince) > 2*loadFailureTimeout) {
		state.failingSince = now
	}
	state.estimate, state.err, state.requestedAt, state.requesting = estimate, err, now, false
	return *state
}

// demand summarises the calls that wait for the same replicas as a call, including the
// call itself. The calls of callers that surge count as one, and as least urgent, so that a
// surge doesn't have the models of others unloaded. The caller holds the lock.
func (q *waitQueue) demand(call *Call) Demand {
	wanted := q.dispatcher.eligibility(call)
	demand := Demand{
		Item: call.Item, Pool: call.Pool, Software: wanted.software, Since: call.Started, Rank: call.Rank,
		Objective: call.Objective, Deadline: call.Deadline,
	}
	if call.surges {
		demand.Rank = admission.MaxRank
	}
	counted, surging := false, 0
	for _, waiting := range q.waiters {
		if waiting.eligibility == wanted {
			demand.add(waiting.call)
			counted = counted || waiting.call == call
			if waiting.call.surges {
				surging++
			}
		}
	}
	if !counted {
		demand.Waiting++
	}
	demand.Waiting -= max(0, surging-1)
	return demand
}

// add adds a waiting call.
func (d *Demand) add(call *Call) {
	d.Waiting++
	if !call.surges {
		d.Rank = min(d.Rank, call.Rank)
	}
	if call.Started.Before(d.Since) {
		d.Since = call.Started
	}
	if call.Deadline.Before(d.Deadline) {
		d.Deadline = call.Deadline
	}
	if call.Objective.Before(d.Objective) {
		d.Objective = call.Objective
	}
}

// capacity returns the slots available to calls for the item of a call: those in
// the node's region, or all if the region of the node is not set or there is only
// one replica.
func (d *Dispatcher) capacity(call *Call, now time.Time, readyIn time.Duration) (capacity admission.Capacity) {
	replicas := d.replicas(call)
	for i := range replicas {
		if !d.countsLocally(replicas, i) {
			continue
		}
		candidate := d.servers.get(replicas[i].Server).candidate(now, &replicas[i], call)
		capacity.Slots += candidate.Limit
		capacity.Free += max(0, candidate.MaxInFlight()-candidate.InFlight)
	}
	if capacity.Slots == 0 {
		// There is no replica, or none that accepts calls now: assume one that is
		// ready after readyIn, or when the first server wants requests again.
		slots := max(1, call.Concurrency)
		capacity = admission.Capacity{Slots: slots, Free: slots, ReadyIn: max(readyIn, d.shortestRest(replicas, now))}
	}
	if capacity.StartInterval = d.startInterval(replicas); capacity.StartInterval > 0 {
		capacity.Free = min(capacity.Free, 1)
	}
	return capacity
}

// countsLocally reports whether the replica at a position of a list is one of the node's
// region, or counts as such.
func (d *Dispatcher) countsLocally(replicas []Replica, at int) bool {
	return replicas[at].Region == d.Place.Region || len(replicas) == 1 || d.Place.Region == ""
}

// shortestRest returns the shortest time for which a server of the replicas still wants
// no requests, or has no token for one; 0 if that holds for none.
func (d *Dispatcher) shortestRest(replicas []Replica, now time.Time) (shortest time.Duration) {
	for i := range replicas {
		id := replicas[i].Server
		left := max(d.servers.get(id).restLeft(now, replicas[i].Boot), d.RateLimits.ReadyIn(id, replicas[i].Boot))
		if left > 0 && d.countsLocally(replicas, i) && (shortest == 0 || left < shortest) {
			shortest = left
		}
	}
	return shortest
}
