// Package admission decides which requests wait, in what order they run and
// which are refused because they would be late.
//
// All of it is pure: events and the time are arguments.
package admission

import (
	"slices"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Ticket names a request in a [Queue].
type Ticket uint64

// Request is what a [Queue] knows of a request.
type Request struct {
	Ticket Ticket
	Caller fleet.CallerID
	// Rank orders requests of different urgency, the most urgent being 0. All
	// ranks from LeastRank on are alike.
	Rank     int
	Item     fleet.Item
	Deadline time.Time
	// StartBy is when the request has to start, since its caller waits no longer
	// for the first byte; zero if there is no such time.
	StartBy time.Time
	// Work is how much longer than others the request takes; 0 means 1.
	Work float64
}

// work returns the request's work.
func (r *Request) work() float64 {
	if r.Work <= 0 {
		return 1
	}
	return r.Work
}

// times returns a time for one unit of work, scaled to the request.
func (r *Request) times(span time.Duration) time.Duration {
	return time.Duration(r.work() * float64(span))
}

// Capacity is what the requests of a queue can run on.
type Capacity struct {
	// Slots is the number of requests that run at once.
	Slots int
	// Free is the number of slots that are not in use.
	Free int
	// ReadyIn is the time until the slots exist; 0 if they do.
	ReadyIn time.Duration
}

// Outcome is what becomes of an offered request.
type Outcome int

// Outcomes of an offer.
const (
	// Queued says that the request waits.
	Queued Outcome = iota
	// Late says that the request could not end before its deadline.
	Late
	// Full says that the queue has no room.
	Full
)

// Decision is the answer to an offer.
type Decision struct {
	Outcome Outcome
	// RetryAfter says when a request like this one would be queued.
	RetryAfter time.Duration
	// Displaced is set if another request lost its place. It must be refused.
	Displaced Ticket
}

// DefaultBound is the number of requests that a queue holds at most.
const DefaultBound = 512

// lowerTurn is the number of requests after which the least urgent class that
// waits has a turn, so that it is never starved.
const lowerTurn = 8

// leastRetryAfter is the shortest time after which a refused request is asked
// to come back.
const leastRetryAfter = 100 * time.Millisecond

// Queue orders the waiting requests of one model. Among classes the most urgent
// goes first, among the callers of a class the one that was served least, and
// among the requests of a caller the one with the earliest deadline.
type Queue struct {
	// Bound is the number of requests that may wait; 0 means [DefaultBound].
	Bound int

	classes [classCount]line
	size    int
	turn    int
	// service is the average time that a request takes, deviation the average
	// distance from it.
	service, deviation time.Duration
}

// LeastRank is the rank of the least urgent requests.
const LeastRank = 9

const classCount = LeastRank + 1

// rank returns the line of a rank.
func rank(given int) int { return min(max(0, given), LeastRank) }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.size }

// serviceWeight is the weight of the newest service time in the average.
const serviceWeight = 0.1

// Served notes how long a request of some work took from its start to its end.
func (q *Queue) Served(span time.Duration, work float64) {
	if work > 0 {
		span = time.Duration(float64(span) / work)
	}
	if q.service == 0 {
		q.service, q.deviation = span, span/4
		return
	}
	distance := max(span-q.service, q.service-span)
	q.deviation += time.Duration(serviceWeight * float64(distance-q.deviation))
	q.service += time.Duration(serviceWeight * float64(span-q.service))
}

// Allowances for requests that take longer than the average, so that few of
// those that are let in miss their deadline. In overload every request starts
// with little more than the time that it is taken to need.
const (
	deviations = 2
	// margin is the part of the average that is added, as one over it.
	margin = 4
)

// longest returns the time that nearly every request takes at most for one unit
// of work.
func (q *Queue) longest() time.Duration {
	return q.service + q.service/margin + deviations*q.deviation
}

// Service returns the average time that a request takes; 0 if not known.
func (q *Queue) Service() time.Duration { return q.service }

// Estimate returns when a request would start and end if it were queued now.
func (q *Queue) Estimate(now time.Time, request Request, capacity Capacity) (start, end time.Time) {
	ahead := q.ahead(request) - capacity.Free
	wait := capacity.ReadyIn
	if ahead >= 0 {
		wait += q.service * time.Duration(ahead+1) / time.Duration(max(1, capacity.Slots))
	}
	start = now.Add(wait)
	return start, start.Add(request.times(q.longest()))
}

// late returns by how much a request that starts and ends at these times would
// be late; 0 if it would not.
func (r *Request) late(start, end time.Time) time.Duration {
	late := max(0, end.Sub(r.Deadline))
	if !r.StartBy.IsZero() {
		late = max(late, start.Sub(r.StartBy))
	}
	return late
}

// ahead returns how many of the waiting requests would run before a new one.
func (q *Queue) ahead(request Request) int {
	count := 0
	class := rank(request.Rank)
	for at := range class {
		count += q.classes[at].size
	}
	own := len(q.classes[class].callers[request.Caller])
	for _, requests := range q.classes[class].callers {
		count += min(len(requests), own+1)
	}
	return count
}

// Offer asks for a place in the queue.
func (q *Queue) Offer(now time.Time, request Request, capacity Capacity) Decision {
	if late := request.late(q.Estimate(now, request, capacity)); late > 0 {
		return Decision{Outcome: Late, RetryAfter: max(leastRetryAfter, late)}
	}
	decision := Decision{}
	if q.size >= q.bound() {
		displaced, found := q.displace(request)
		if !found {
			wait := q.service * time.Duration(q.size) / time.Duration(max(1, capacity.Slots))
			return Decision{Outcome: Full, RetryAfter: max(leastRetryAfter, wait/2)}
		}
		decision.Displaced = displaced
	}
	q.classes[rank(request.Rank)].add(request)
	q.size++
	return decision
}

func (q *Queue) bound() int {
	if q.Bound > 0 {
		return q.Bound
	}
	return DefaultBound
}

// displace takes out the last request of the caller with the most requests in
// the least urgent class, if that class is less urgent than the new request's
// or the caller has more requests than the new one's.
func (q *Queue) displace(request Request) (displaced Ticket, found bool) {
	for class := classCount - 1; class >= rank(request.Rank); class-- {
		line := &q.classes[class]
		heaviest, count := line.heaviest()
		own := len(line.callers[request.Caller])
		if count == 0 || class == rank(request.Rank) && count <= own+1 {
			continue
		}
		last := line.callers[heaviest][count-1]
		q.Remove(last)
		return last.Ticket, true
	}
	return 0, false
}

// Remove takes a request out and reports whether it waited.
func (q *Queue) Remove(request Request) bool {
	if !q.classes[rank(request.Rank)].remove(request) {
		return false
	}
	q.size--
	return true
}

// Next returns the request that is to run next among those that the filter
// accepts. It stays in the queue until it is removed with Started.
func (q *Queue) Next(accept func(Request) bool) (request Request, found bool) {
	for at := range classCount {
		class := at
		if q.turn%lowerTurn == lowerTurn-1 {
			class = classCount - 1 - at
		}
		if request, found = q.classes[class].next(accept); found {
			return request, true
		}
	}
	return Request{}, false
}

// Started removes a request because it runs now.
func (q *Queue) Started(request Request) {
	if q.Remove(request) {
		q.turn++
		q.classes[rank(request.Rank)].charge(request.Caller)
	}
}

// Expire removes the requests that can no longer end before their deadline and
// returns them. They are to be refused at once. Besides those whose time is too
// short it takes out those that have too many others before them.
func (q *Queue) Expire(now time.Time, capacity Capacity) (expired []Request) {
	place := -capacity.Free
	for at := range q.classes {
		for _, request := range q.classes[at].byDeadline() {
			wait := capacity.ReadyIn
			if place >= 0 {
				wait += q.service * time.Duration(place+1) / time.Duration(max(1, capacity.Slots))
			}
			start := now.Add(wait)
			if request.late(start, start.Add(request.times(q.longest()))) > 0 {
				expired = append(expired, request)
				continue
			}
			place++
		}
	}
	for _, request := range expired {
		q.Remove(request)
	}
	return expired
}

// line holds the waiting requests of one class.
type line struct {
	callers map[fleet.CallerID][]Request
	// served counts the requests of each waiting caller, from the least count
	// of the others when it began to wait.
	served map[fleet.CallerID]int
	size   int
}

func (l *line) add(request Request) {
	if l.callers == nil {
		l.callers = make(map[fleet.CallerID][]Request)
		l.served = make(map[fleet.CallerID]int)
	}
	if _, waits := l.callers[request.Caller]; !waits {
		l.served[request.Caller] = l.leastServed()
	}
	requests := l.callers[request.Caller]
	at, _ := slices.BinarySearchFunc(requests, request, compareDeadlines)
	l.callers[request.Caller] = slices.Insert(requests, at, request)
	l.size++
}

// compareDeadlines orders by deadline, and by arrival among equal ones.
func compareDeadlines(a, b Request) int {
	if order := a.Deadline.Compare(b.Deadline); order != 0 {
		return order
	}
	return int(int64(a.Ticket) - int64(b.Ticket))
}

func (l *line) leastServed() int {
	least, found := 0, false
	for _, count := range l.served {
		if !found || count < least {
			least, found = count, true
		}
	}
	return least
}

func (l *line) remove(request Request) bool {
	requests := l.callers[request.Caller]
	at, found := slices.BinarySearchFunc(requests, request, compareDeadlines)
	if !found {
		return false
	}
	l.size--
	if len(requests) == 1 {
		delete(l.callers, request.Caller)
		return true
	}
	l.callers[request.Caller] = slices.Delete(requests, at, at+1)
	return true
}

// charge counts a request of a caller. A caller that no longer waits is
// forgotten once all others have been served as often.
func (l *line) charge(caller fleet.CallerID) {
	l.served[caller]++
	least := 0
	if l.size > 0 {
		least = -1
		for waiting := range l.callers {
			if least < 0 || l.served[waiting] < least {
				least = l.served[waiting]
			}
		}
	}
	for known, count := range l.served {
		if _, waits := l.callers[known]; !waits && (l.size == 0 || count <= least) {
			delete(l.served, known)
		}
	}
}

func (l *line) next(accept func(Request) bool) (best Request, found bool) {
	for caller, requests := range l.callers {
		for _, request := range requests {
			if !accept(request) {
				continue
			}
			if !found || l.goesBefore(request, best, caller) {
				best, found = request, true
			}
			break
		}
	}
	return best, found
}

func (l *line) goesBefore(request, best Request, caller fleet.CallerID) bool {
	if difference := l.served[caller] - l.served[best.Caller]; difference != 0 {
		return difference < 0
	}
	return compareDeadlines(request, best) < 0
}

func (l *line) heaviest() (heaviest fleet.CallerID, count int) {
	for caller, requests := range l.callers {
		if len(requests) > count || len(requests) == count && caller < heaviest {
			heaviest, count = caller, len(requests)
		}
	}
	return heaviest, count
}

func (l *line) byDeadline() []Request {
	all := make([]Request, 0, l.size)
	for _, requests := range l.callers {
		all = append(all, requests...)
	}
	slices.SortFunc(all, compareDeadlines)
	return all
}
