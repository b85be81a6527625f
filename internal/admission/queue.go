// Package admission decides which requests are queued, in what order they run
// and which are refused because they would miss their deadline. It also limits
// the requests in flight at a replica.
//
// It does no I/O and reads no clock: events and the time are arguments.
package admission

import (
	"slices"
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
}

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

// minRetryAfter is the minimum of [Decision.RetryAfter] of a refused request.
const minRetryAfter = 100 * time.Millisecond

// Queue orders the waiting requests of one model. The most urgent class is
// served first; within a class, the caller with the fewest served requests; for
// a caller, the request with the earliest deadline.
type Queue struct {
	// Bound is the maximum number of waiting requests; 0 means [DefaultBound].
	Bound int

	classes      [classCount]classQueue
	size         int
	startedCount int
	// meanServiceTime is the moving average of the service time for one unit of
	// work, meanDeviation that of the absolute deviation from it.
	meanServiceTime, meanDeviation time.Duration
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
	ahead := q.countAhead(request) - capacity.Free
	wait := capacity.ReadyIn
	if ahead >= 0 {
		wait += capacity.startTime(ahead+1, q.meanServiceTime)
	}
	start = now.Add(wait)
	return start, start.Add(request.scale(q.serviceTimeBound()))
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

// countAhead returns the number of waiting requests that would run before a new
// one.
func (q *Queue) countAhead(request Request) int {
	count := 0
	class := classOf(request.Rank)
	for i := range class {
		count += q.classes[i].size
	}
	own := len(q.classes[class].callers[request.Caller])
	for _, requests := range q.classes[class].callers {
		count += min(len(requests), own+1)
	}
	return count
}

// Offer adds a request to the queue unless it would be late or the queue is
// full.
func (q *Queue) Offer(now time.Time, request Request, capacity Capacity) Decision {
	if lateness := request.lateness(q.Estimate(now, request, capacity)); lateness > 0 {
		return Decision{Outcome: Late, RetryAfter: max(minRetryAfter, lateness)}
	}
	decision := Decision{}
	if q.size >= q.bound() {
		displaced, found := q.displace(request)
		if !found {
			wait := capacity.startTime(q.size, q.meanServiceTime)
			return Decision{Outcome: Full, RetryAfter: max(minRetryAfter, wait/2)}
		}
		decision.Displaced = displaced
	}
	q.classes[classOf(request.Rank)].add(request)
	q.size++
	return decision
}

func (q *Queue) bound() int {
	if q.Bound > 0 {
		return q.Bound
	}
	return DefaultBound
}

// displace removes the last request of the caller with the most requests in the
// least urgent class, if that class is less urgent than the new request's or, in
// the same class, that caller has at least two requests more than the new one's.
func (q *Queue) displace(request Request) (displaced Ticket, found bool) {
	for class := classCount - 1; class >= classOf(request.Rank); class-- {
		queue := &q.classes[class]
		caller, count := queue.busiestCaller()
		own := len(queue.callers[request.Caller])
		if count == 0 || class == classOf(request.Rank) && count <= own+1 {
			continue
		}
		last := queue.callers[caller][count-1]
		q.Remove(last)
		return last.Ticket, true
	}
	return 0, false
}

// Remove removes a request and reports whether it was waiting.
func (q *Queue) Remove(request Request) bool {
	if !q.classes[classOf(request.Rank)].remove(request) {
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
		q.classes[classOf(request.Rank)].add(request)
		q.size++
	}
	return request
}

// Next returns the next request to run among those that the filter accepts. It
// stays in the queue until RemoveStarted removes it.
func (q *Queue) Next(accept func(Request) bool) (request Request, found bool) {
	for i := range classCount {
		class := i
		if q.startedCount%reversedInterval == reversedInterval-1 {
			class = classCount - 1 - i
		}
		if request, found = q.classes[class].next(accept); found {
			return request, true
		}
	}
	return Request{}, false
}

// RemoveStarted removes a request that starts to run and counts it as served.
func (q *Queue) RemoveStarted(request Request) {
	if q.Remove(request) {
		q.startedCount++
		q.classes[classOf(request.Rank)].recordServed(request.Caller)
	}
}

// Expire removes and returns the requests that would be late: those with too
// little time left and those with too many others ahead of them. The caller must
// refuse them at once.
func (q *Queue) Expire(now time.Time, capacity Capacity) (expired []Request) {
	position := -capacity.Free
	for i := range q.classes {
		for _, request := range q.classes[i].byDeadline() {
			wait := capacity.ReadyIn
			if position >= 0 {
				wait += capacity.startTime(position+1, q.meanServiceTime)
			}
			start := now.Add(wait)
			if request.lateness(start, start.Add(request.scale(q.serviceTimeBound()))) > 0 {
				expired = append(expired, request)
				continue
			}
			position++
		}
	}
	for _, request := range expired {
		q.Remove(request)
	}
	return expired
}

// classQueue holds the waiting requests of one class.
type classQueue struct {
	callers map[fleet.CallerID][]Request
	// servedCounts is the number of served requests of each caller. A caller
	// that begins to wait starts at the minimum of the others.
	servedCounts map[fleet.CallerID]int
	size         int
}

func (c *classQueue) add(request Request) {
	if c.callers == nil {
		c.callers = make(map[fleet.CallerID][]Request)
		c.servedCounts = make(map[fleet.CallerID]int)
	}
	if _, waits := c.callers[request.Caller]; !waits {
		c.servedCounts[request.Caller] = c.minServed()
	}
	requests := c.callers[request.Caller]
	i, _ := slices.BinarySearchFunc(requests, request, compareDeadlines)
	c.callers[request.Caller] = slices.Insert(requests, i, request)
	c.size++
}

// compareDeadlines orders by deadline, then by ticket, that is by arrival.
func compareDeadlines(a, b Request) int {
	if order := a.Deadline.Compare(b.Deadline); order != 0 {
		return order
	}
	return int(int64(a.Ticket) - int64(b.Ticket))
}

// minServed returns the lowest count of served requests; 0 if there is none.
func (c *classQueue) minServed() int {
	least, found := 0, false
	for _, count := range c.servedCounts {
		if !found || count < least {
			least, found = count, true
		}
	}
	return least
}

func (c *classQueue) remove(request Request) bool {
	requests := c.callers[request.Caller]
	i, found := slices.BinarySearchFunc(requests, request, compareDeadlines)
	if !found {
		return false
	}
	c.size--
	if len(requests) == 1 {
		delete(c.callers, request.Caller)
		return true
	}
	c.callers[request.Caller] = slices.Delete(requests, i, i+1)
	return true
}

// recordServed counts a served request of a caller. The count of a caller
// without waiting requests is deleted once all others have been served as
// often.
func (c *classQueue) recordServed(caller fleet.CallerID) {
	c.servedCounts[caller]++
	least := 0
	if c.size > 0 {
		least = -1
		for waiting := range c.callers {
			if least < 0 || c.servedCounts[waiting] < least {
				least = c.servedCounts[waiting]
			}
		}
	}
	for known, count := range c.servedCounts {
		if _, waits := c.callers[known]; !waits && (c.size == 0 || count <= least) {
			delete(c.servedCounts, known)
		}
	}
}

// next returns the next request of the class among those that the filter
// accepts.
func (c *classQueue) next(accept func(Request) bool) (best Request, found bool) {
	for caller, requests := range c.callers {
		for _, request := range requests {
			if !accept(request) {
				continue
			}
			if !found || c.runsBefore(request, best, caller) {
				best, found = request, true
			}
			break
		}
	}
	return best, found
}

// runsBefore reports whether a request of the caller is served before best.
func (c *classQueue) runsBefore(request, best Request, caller fleet.CallerID) bool {
	if difference := c.servedCounts[caller] - c.servedCounts[best.Caller]; difference != 0 {
		return difference < 0
	}
	return compareDeadlines(request, best) < 0
}

// busiestCaller returns the caller with the most waiting requests, and their
// number.
func (c *classQueue) busiestCaller() (busiest fleet.CallerID, count int) {
	for caller, requests := range c.callers {
		if len(requests) > count || len(requests) == count && caller < busiest {
			busiest, count = caller, len(requests)
		}
	}
	return busiest, count
}

// byDeadline returns all requests of the class in order of deadline.
func (c *classQueue) byDeadline() []Request {
	all := make([]Request, 0, c.size)
	for _, requests := range c.callers {
		all = append(all, requests...)
	}
	slices.SortFunc(all, compareDeadlines)
	return all
}
