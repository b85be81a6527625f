// Package admission decides which requests are queued, in what order they run
// and which are refused because they would miss their deadline. It also limits
// the requests in flight at a replica.
//
// It does no I/O and reads no clock: events and the time are arguments.
package admission

import (
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Ticket identifies a request in a [Queue].
type Ticket uint64

// Request holds the properties of a request that a [Queue] uses.
type Request struct {
	Ticket Ticket
	Caller fleet.CallerID
	// Rank is the priority class of the request; 0 is the most urgent. Ranks
	// above MaxRank count as MaxRank.
	Rank     int
	Item     fleet.Item
	Deadline time.Time
	// StartBy is the time by which the request must start, since its caller
	// waits no longer for the first byte; zero means no limit.
	StartBy time.Time
	// Work is the service time of the request relative to that of others; 0
	// means 1.
	Work float64
	// Tokens is the size by which the request is charged to its caller; 0 means 1.
	Tokens int
	// Weight is the share of the caller relative to that of other callers; 0 means 1.
	Weight float64
	// Surges is set if the caller sends more than usual. Its share is then that of the
	// least urgent class.
	Surges bool
}

// flow returns the key of the flow of the request.
func (r *Request) flow() flowKey { return flowKey{class: classOf(r.Rank), caller: r.Caller} }

// work returns Work or its default.
func (r *Request) work() float64 {
	if r.Work <= 0 {
		return 1
	}
	return r.Work
}

// scale multiplies a duration for one unit of work by the work of the request.
func (r *Request) scale(d time.Duration) time.Duration {
	return time.Duration(r.work() * float64(d))
}

// Capacity is the serving capacity that is available to a queue.
type Capacity struct {
	// Slots is the number of requests that run at once.
	Slots int
	// Free is the number of slots that are not in use.
	Free int
	// ReadyIn is the time until the slots are ready; 0 if they are.
	ReadyIn time.Duration
	// StartInterval is the minimum time between the starts of two requests; 0 if there is
	// none.
	StartInterval time.Duration
}

// startTime returns the time in which a number of requests start one after the other on
// slots that are all in use.
func (c *Capacity) startTime(count int, serviceTime time.Duration) time.Duration {
	return max(serviceTime*time.Duration(count)/time.Duration(max(1, c.Slots)), c.StartInterval*time.Duration(count))
}

// Outcome is the result of an offer.
type Outcome int

// Outcomes of an offer.
const (
	// Queued means that the request was added to the queue.
	Queued Outcome = iota
	// Late means that the request could not end by its deadline or start by its
	// StartBy.
	Late
	// Full means that the queue has reached its bound.
	Full
)

// Decision is the full result of an offer.
type Decision struct {
	Outcome Outcome
	// RetryAfter is the estimated time until a similar request would be queued.
	RetryAfter time.Duration
	// Displaced is the request that was removed to make room, if any. The caller
	// of Offer must refuse it.
	Displaced Ticket
}

// DefaultBound is the default of [Queue.Bound].
const DefaultBound = 512

// reversedInterval is the interval, in started requests, at which the classes
// are served in reverse order, so that the least urgent one is not starved.
const reversedInterval = 8

// servedMemory is how long a queue without requests remembers what it has
// served.
const servedMemory = 5 * time.Second

// minRetryAfter is the minimum of [Decision.RetryAfter] of a refused request.
const minRetryAfter = 100 * time.Millisecond

// Queue orders the waiting requests of one model. The most urgent class is
// served first; within a class, the caller with the fewest served requests; for
// a caller, the request with the earliest deadline. With Shares, the callers
// share the capacity by start-time fair queueing in tokens while several wait.
type Queue struct {
	// Bound is the maximum number of waiting requests; 0 means [DefaultBound].
	Bound int
	// Shares is set if callers share the capacity by their work. It must not be
	// changed after the first request.
	Shares bool

	counts       countOrder
	flows        fairShare
	size         int
	startedCount int
	offeredAt    time.Time
	// meanServiceTime is the moving average of the service time for one unit of
	// work, meanDeviation that of the absolute deviation from it.
	meanServiceTime, meanDeviation time.Duration
}

// serviceOrder is the order in which the requests of a queue are served.
type serviceOrder interface {
	add(request Request)
	// remove removes a request without service and reports whether it was waiting.
	remove(request Request) bool
	// removeStarted removes a request that starts to run and counts it as served.
	removeStarted(request Request) bool
	// next returns the next request among those that the filter accepts. Reversed
	// asks for the order that keeps the least urgent class from starving.
	next(accept func(Request) bool, reversed bool) (Request, bool)
	// ahead returns the number of requests that would be served before a new one,
	// the sum of their work, and the time until its caller's turn comes.
	ahead(request Request) (count int, work float64, turnIn time.Duration)
	// inOrder calls visit for each request with its work until visit has seen all.
	// One for which it returns false is not served.
	inOrder(visit func(request Request, work float64) bool)
	// displaced returns the request that gives way to a new one in a full queue.
	displaced(request Request) (Request, bool)
	// observe is called before each estimate and each check for late requests.
	observe(now time.Time)
	// reset forgets what was served, while no request waits.
	reset()
}

// order returns the order of service of the queue.
func (q *Queue) order() serviceOrder {
	if q.Shares {
		return &q.flows
	}
	return &q.counts
}

// MaxRank is the rank of the least urgent requests.
const MaxRank = 9

const classCount = MaxRank + 1

// classOf returns the index of the class of a rank.
func classOf(rank int) int { return min(max(0, rank), MaxRank) }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.size }

// averageWeight is the weight of the newest service time in the moving averages.
const averageWeight = 0.1

// RecordServiceTime records the service time of a request of the given work,
// from its start to its end.
func (q *Queue) RecordServiceTime(serviceTime time.Duration, work float64) {
	if work > 0 {
		serviceTime = time.Duration(float64(serviceTime) / work)
	}
	if q.meanServiceTime == 0 {
		q.meanServiceTime, q.meanDeviation = serviceTime, serviceTime/4
		return
	}
	distance := max(serviceTime-q.meanServiceTime, q.meanServiceTime-serviceTime)
	q.meanDeviation += time.Duration(averageWeight * float64(distance-q.meanDeviation))
	q.meanServiceTime += time.Duration(averageWeight * float64(serviceTime-q.meanServiceTime))
}

// Allowances for requests that take longer than the average, so that few of the
// admitted requests miss their deadline. Under overload every request starts
// with little more time left than its estimated service time.
const (
	deviationFactor = 2
	// marginDivisor divides the average service time to give the added margin.
	marginDivisor = 4
)

// serviceTimeBound returns an estimate of the service time for one unit of work
// that few requests exceed.
func (q *Queue) serviceTimeBound() time.Duration {
	return q.meanServiceTime + q.meanServiceTime/marginDivisor + deviationFactor*q.meanDeviation
}

// MeanServiceTime returns the average service time for one unit of work; 0 if
// unknown.
func (q *Queue) MeanServiceTime() time.Duration { return q.meanServiceTime }

// ExpectedServiceTime returns an estimate of the service time of a request of the given
// work that few requests exceed; 0 if no service time is known.
func (q *Queue) ExpectedServiceTime(work float64) time.Duration {
	request := Request{Work: work}
	return request.scale(q.serviceTimeBound())
}

// Estimate returns the estimated start and end of a request if it were queued
// now.
func (q *Queue) Estimate(now time.Time, request Request, capacity Capacity) (start, end time.Time) {
	q.order().observe(now)
	count, work, wait := q.order().ahead(request)
	start = now.Add(max(wait, q.startIn(count, work, capacity)))
	return start, start.Add(request.scale(q.serviceTimeBound()))
}

// startIn returns the time until a request starts, given the number of requests that are
// served before it and the sum of their work.
func (q *Queue) startIn(ahead int, work float64, capacity Capacity) time.Duration {
	position := ahead - capacity.Free
	if position < 0 {
		return capacity.ReadyIn
	}
	serviceTime := q.meanServiceTime
	if work != float64(ahead) {
		serviceTime = time.Duration(min(float64(serviceTime)*work/float64(ahead), float64(time.Hour)))
	}
	return capacity.ReadyIn + capacity.startTime(position+1, serviceTime)
}

// RoomIn returns the time until a request like the given one would be queued.
func (q *Queue) RoomIn(now time.Time, request Request, capacity Capacity) time.Duration {
	return max(minRetryAfter, request.lateness(q.Estimate(now, request, capacity)))
}

// lateness returns by how much a request that starts and ends at these times
// would exceed StartBy or Deadline, whichever is more; 0 if neither.
func (r *Request) lateness(start, end time.Time) time.Duration {
	lateness := max(0, end.Sub(r.Deadline))
	if !r.StartBy.IsZero() {
		lateness = max(lateness, start.Sub(r.StartBy))
	}
	return lateness
}

// Offer adds a request to the queue unless it would be late or the queue is
// full.
func (q *Queue) Offer(now time.Time, request Request, capacity Capacity) Decision {
	if q.size == 0 && now.Sub(q.offeredAt) > servedMemory {
		q.order().reset()
	}
	q.offeredAt = now
	if lateness := request.lateness(q.Estimate(now, request, capacity)); lateness > 0 {
		return Decision{Outcome: Late, RetryAfter: max(minRetryAfter, lateness)}
	}
	decision := Decision{}
	if q.size >= q.bound() {
		displaced, found := q.order().displaced(request)
		if !found {
			wait := capacity.startTime(q.size, q.meanServiceTime)
			return Decision{Outcome: Full, RetryAfter: max(minRetryAfter, wait/2)}
		}
		q.Remove(displaced)
		decision.Displaced = displaced.Ticket
	}
	q.order().add(request)
	q.size++
	return decision
}

func (q *Queue) bound() int {
	if q.Bound > 0 {
		return q.Bound
	}
	return DefaultBound
}

// Remove removes a request and reports whether it was waiting.
func (q *Queue) Remove(request Request) bool {
	if !q.order().remove(request) {
		return false
	}
	q.size--
	return true
}

// SetDeadline changes the deadline of a waiting request. It returns the changed request,
// which takes the place of the given one.
func (q *Queue) SetDeadline(request Request, deadline time.Time) Request {
	waits := q.Remove(request)
	request.Deadline = deadline
	if waits {
		q.order().add(request)
		q.size++
	}
	return request
}

// Next returns the next request to run among those that the filter accepts. It
// stays in the queue until RemoveStarted removes it.
func (q *Queue) Next(accept func(Request) bool) (request Request, found bool) {
	return q.order().next(accept, q.startedCount%reversedInterval == reversedInterval-1)
}

// RemoveStarted removes a request that starts to run and counts it as served.
func (q *Queue) RemoveStarted(request Request) {
	if q.order().removeStarted(request) {
		q.size--
		q.startedCount++
	}
}

// Expire removes and returns the requests that would be late: those with too
// little time left and those with too many others ahead of them. The caller must
// refuse them at once.
func (q *Queue) Expire(now time.Time, capacity Capacity) (expired []Request) {
	q.order().observe(now)
	ahead, workAhead := 0, 0.0
	q.order().inOrder(func(request Request, work float64) bool {
		start := now.Add(q.startIn(ahead, workAhead, capacity))
		if request.lateness(start, start.Add(request.scale(q.serviceTimeBound()))) > 0 {
			expired = append(expired, request)
			return false
		}
		ahead++
		workAhead += work
		return true
	})
	for _, request := range expired {
		q.Remove(request)
	}
	return expired
}
