package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// flowKey identifies the waiting requests of one caller in one class.
type flowKey struct {
	class  int
	caller fleet.CallerID
}

// flow holds the waiting requests of one caller in one class, in order of deadline.
type flow struct {
	flowKey
	requests []Request
	// start is the virtual start time of the next request to be served.
	start float64
	// usual is the usual work of the caller, weight its share of the capacity.
	usual, weight float64
	// size is the sum of the sizes of the requests.
	size float64
}

// classRatio is the factor between the shares of a class and of the next less urgent one
// when more work waits than can be served. Nine classes differ by a factor of 4.3; 1.25 left
// organisations of the least urgent class 0.4 of the average share in a burst of all, 1.2
// leaves them half.
const classRatio = 1.2

// weightOf returns the weight of the flow of a request.
func weightOf(request *Request) float64 {
	class := classOf(request.Rank)
	if request.Surges {
		class = MaxRank
	}
	return request.usual() * math.Pow(classRatio, float64(-class))
}

// usual returns Weight or its default.
func (r *Request) usual() float64 {
	if r.Weight <= 0 {
		return 1
	}
	return r.Weight
}

// tokens returns the size of the request for the accounts of flows.
func (r *Request) tokens() float64 { return float64(min(max(1, r.Tokens), maxTokens)) }

// cost returns the virtual time that the service of a request takes.
func (f *flow) cost(request *Request) float64 { return request.tokens() / f.weight }

// fairShare is the start-time fair queueing of the flows of a [Queue]. Each flow has a
// virtual start time, which advances by the tokens of each served request divided by the
// weight of the flow.
type fairShare struct {
	flows map[flowKey]*flow
	// callers is the number of flows of each caller that waits.
	callers map[fleet.CallerID]int
	// finished are the virtual finish times of flows without waiting requests that are
	// later than the virtual time.
	finished map[flowKey]float64
	// virtualTime is the latest virtual start time of a request that was started. A flow
	// that begins to wait starts there.
	virtualTime float64
	// paceGain is by how much the virtual time advanced in paceTime seconds in which
	// several callers waited; both decay.
	paceGain, paceTime float64
	// The other fields are the state when the pace was last updated.
	observedAt        time.Time
	observedTime      float64
	observedContended bool
}

// contended reports whether requests of more than one caller wait.
func (s *fairShare) contended() bool { return len(s.callers) > 1 }

// contendedFor reports whether requests of other callers wait than the given one.
func (s *fairShare) contendedFor(caller fleet.CallerID) bool {
	_, waits := s.callers[caller]
	return len(s.callers) > 1 || len(s.callers) == 1 && !waits
}

// ofClass returns the requests of a class while those of one caller at most wait.
func (s *fairShare) ofClass(class int) []Request {
	for caller := range s.callers {
		if found := s.flows[flowKey{class: class, caller: caller}]; found != nil {
			return found.requests
		}
	}
	return nil
}

// observe updates the pace of the virtual time. It is called before each estimate and at
// each check for late requests.
func (s *fairShare) observe(now time.Time) {
	passed := max(0, now.Sub(s.observedAt))
	decay := math.Exp(-float64(passed) / float64(paceWindow))
	s.paceTime, s.paceGain = s.paceTime*decay, s.paceGain*decay
	if s.observedContended && s.contended() {
		s.paceTime += passed.Seconds()
		s.paceGain += s.virtualTime - s.observedTime
	}
	s.observedAt, s.observedContended, s.observedTime = now, s.contended(), s.virtualTime
}

// paceWindow is the time constant of the average pace of the virtual time. The pace counts
// only if several callers waited for minPaceTime of it: if others wait now and then only,
// requests are served sooner than by the pace of those times.
const (
	paceWindow  = time.Second
	minPaceTime = 600 * time.Millisecond
)

// reachedIn returns the time until the virtual time reaches the given one at its present
// pace; 0 if the pace is not known. Callers that go on to send as they do are served before
// a request that starts later than the virtual time, also with requests that arrive later.
func (s *fairShare) reachedIn(start float64) time.Duration {
	if start <= s.virtualTime || s.paceTime < minPaceTime.Seconds() || s.paceGain <= 0 {
		return 0
	}
	seconds := (start - s.virtualTime) * s.paceTime / s.paceGain
	return time.Duration(min(seconds, time.Hour.Seconds()) * float64(time.Second))
}

// reset forgets all served work. It is called only while nothing waits.
func (s *fairShare) reset() {
	clear(s.finished)
	s.virtualTime, s.observedTime = 0, 0
}

// startOf returns the virtual start time of the next request of a flow.
func (s *fairShare) startOf(key flowKey) float64 {
	if found := s.flows[key]; found != nil {
		return found.start
	}
	return max(s.virtualTime, s.finished[key])
}

// add adds a request to its flow.
func (s *fairShare) add(request Request) {
	key := request.flow()
	found := s.flows[key]
	if found == nil {
		if s.flows == nil {
			s.flows = make(map[flowKey]*flow)
			s.callers = make(map[fleet.CallerID]int)
			s.finished = make(map[flowKey]float64)
		}
		found = &flow{flowKey: key, start: s.startOf(key)}
		s.flows[key] = found
		s.callers[key.caller]++
		delete(s.finished, key)
	}
	found.usual, found.weight = request.usual(), weightOf(&request)
	i, _ := slices.BinarySearchFunc(found.requests, request, compareDeadlines)
	found.requests = slices.Insert(found.requests, i, request)
	found.size += request.tokens()
}

// remove removes a request without service and reports whether it was waiting.
func (s *fairShare) remove(request Request) bool {
	found := s.flows[request.flow()]
	if found == nil {
		return false
	}
	i, waits := slices.BinarySearchFunc(found.requests, request, compareDeadlines)
	if !waits {
		return false
	}
	found.size -= request.tokens()
	found.requests = slices.Delete(found.requests, i, i+1)
	if len(found.requests) > 0 {
		return true
	}
	delete(s.flows, found.flowKey)
	if s.callers[found.caller]--; s.callers[found.caller] == 0 {
		delete(s.callers, found.caller)
	}
	if found.start > s.virtualTime {
		s.finished[found.flowKey] = found.start
	}
	return true
}

// removeStarted removes a request that starts to run and charges its flow for it. While no
// requests of other callers wait, the flow is charged for its last request only: a caller
// that comes then goes first, and owes nothing for the time before.
func (s *fairShare) removeStarted(request Request) bool {
	found := s.flows[request.flow()]
	if found == nil {
		return false
	}
	start, contended := found.start, s.contended()
	if !contended {
		found.start = s.virtualTime
	}
	found.start += found.cost(&request)
	if !s.remove(request) {
		found.start = start
		return false
	}
	if contended && start > s.virtualTime {
		s.virtualTime = start
		for key, finish := range s.finished {
			if finish <= s.virtualTime {
				delete(s.finished, key)
			}
		}
	}
	return true
}

// place is the position of a request in the order of service: by virtual start time, then
// by class, then by deadline.
type place struct {
	start   float64
	class   int
	request *Request
}

func (p place) before(other place) bool {
	if order := cmp.Or(cmp.Compare(p.start, other.start), cmp.Compare(p.class, other.class)); order != 0 {
		return order < 0
	}
	return compareDeadlines(*p.request, *other.request) < 0
}

// next returns the next request in the order of service among those that the filter
// accepts. While one caller waits, its most urgent class is served first, or its least
// urgent one with reversed.
func (s *fairShare) next(accept func(Request) bool, reversed bool) (Request, bool) {
	if !s.contended() {
		return s.nextOfOne(accept, reversed)
	}
	first, found := place{}, false
	for _, waiting := range s.flows {
		at := slices.IndexFunc(waiting.requests, accept)
		if at < 0 {
			continue
		}
		candidate := place{start: waiting.start, class: waiting.class, request: &waiting.requests[at]}
		if !found || candidate.before(first) {
			first, found = candidate, true
		}
	}
	if !found {
		return Request{}, false
	}
	return *first.request, true
}

// nextOfOne is next while one caller waits.
func (s *fairShare) nextOfOne(accept func(Request) bool, reversed bool) (Request, bool) {
	for class := range classCount {
		if reversed {
			class = classCount - 1 - class
		}
		requests := s.ofClass(class)
		if at := slices.IndexFunc(requests, accept); at >= 0 {
			return requests[at], true
		}
	}
	return Request{}, false
}

// ahead returns the number of requests that would be served before a new one, the sum of
// their work, and the time until its caller's turn comes at the present pace. While one
// caller waits, each request counts as one unit of work and there are no turns.
func (s *fairShare) ahead(request Request) (count int, work float64, turnIn time.Duration) {
	if s.contendedFor(request.Caller) {
		count, work, start := s.aheadOf(request)
		return count, work, s.reachedIn(start)
	}
	for class := range classOf(request.Rank) + 1 {
		count += len(s.ofClass(class))
	}
	return count, float64(count), 0
}

// aheadOf returns the number of waiting requests that are served before a new one, the sum
// of their work, and the virtual start time of the new one.
func (s *fairShare) aheadOf(request Request) (count int, work, start float64) {
	own := request.flow()
	var weight float64
	start, weight = s.startOf(own), weightOf(&request)
	if waiting := s.flows[own]; waiting != nil {
		for i := range waiting.requests {
			if compareDeadlines(waiting.requests[i], request) > 0 {
				break
			}
			count++
			work += waiting.requests[i].work()
			start += waiting.requests[i].tokens() / weight
		}
	}
	position := place{start: start, class: own.class, request: &request}
	for key, waiting := range s.flows {
		if key == own {
			continue
		}
		start := waiting.start
		for i := range waiting.requests {
			other := &waiting.requests[i]
			if !(place{start: start, class: key.class, request: other}).before(position) {
				break
			}
			count++
			work += other.work()
			start += waiting.cost(other)
		}
	}
	return count, work, start
}

// inOrder calls visit for each waiting request in the order of service. A request for which
// it returns false is not served, so that the following ones of its flow take its place.
func (s *fairShare) inOrder(visit func(request Request, work float64) bool) {
	if !s.contended() {
		for class := range classCount {
			for _, request := range s.ofClass(class) {
				visit(request, 1)
			}
		}
		return
	}
	type cursor struct {
		*flow
		at    int
		start float64
	}
	cursors := make([]cursor, 0, len(s.flows))
	for _, waiting := range s.flows {
		cursors = append(cursors, cursor{flow: waiting, start: waiting.start})
	}
	for len(cursors) > 0 {
		best := 0
		var first place
		for i := range cursors {
			c := &cursors[i]
			candidate := place{start: c.start, class: c.class, request: &c.requests[c.at]}
			if i == 0 || candidate.before(first) {
				best, first = i, candidate
			}
		}
		c := &cursors[best]
		if visit(*first.request, first.request.work()) {
			c.start += c.cost(first.request)
		}
		if c.at++; c.at == len(c.requests) {
			cursors[best] = cursors[len(cursors)-1]
			cursors = cursors[:len(cursors)-1]
		}
	}
}

// busiest returns the flow of a class with the most waiting work relative to the usual;
// nil if nothing of the class waits. Only the flows of the callers that the filter accepts
// count.
func (s *fairShare) busiest(class int, only func(fleet.CallerID) bool) (busiest *flow) {
	for key, waiting := range s.flows {
		if key.class != class || !only(key.caller) {
			continue
		}
		if busiest == nil || waiting.load() > busiest.load() ||
			waiting.load() == busiest.load() && key.caller < busiest.caller {
			busiest = waiting
		}
	}
	return busiest
}

// load returns the waiting work of the flow relative to the usual.
func (f *flow) load() float64 { return f.size / f.usual }

// isBusiest reports whether a caller has more work waiting, relative to its usual, than each
// other caller.
func (s *fairShare) isBusiest(caller fleet.CallerID) bool {
	loads := make(map[fleet.CallerID]float64, len(s.callers))
	for _, waiting := range s.flows {
		loads[waiting.caller] += waiting.load()
	}
	for other, load := range loads {
		if other != caller && load >= loads[caller] {
			return false
		}
	}
	return true
}

// displaced returns the request that gives way to a new one in a full queue: the last one
// of the flow with the most waiting work in the least urgent class. In the class of the new
// request that flow must be left with as much as the flow of the new request then has. If
// several callers wait, the one with the most waiting work displaces only its own requests.
func (s *fairShare) displaced(request Request) (displaced Request, found bool) {
	own := request.flow()
	only := func(fleet.CallerID) bool { return true }
	if s.contendedFor(own.caller) && s.isBusiest(own.caller) {
		only = func(caller fleet.CallerID) bool { return caller == own.caller }
	}
	for class := classCount - 1; class >= own.class; class-- {
		busiest := s.busiest(class, only)
		if busiest == nil {
			continue
		}
		last := busiest.requests[len(busiest.requests)-1]
		if class > own.class {
			return last, true
		}
		load := request.tokens() / request.usual()
		if waiting := s.flows[own]; waiting != nil {
			load += waiting.load()
		}
		if busiest.load()-last.tokens()/busiest.usual >= load {
			return last, true
		}
	}
	return Request{}, false
}

// compareDeadlines orders by deadline, then by ticket, that is by arrival.
func compareDeadlines(a, b Request) int {
	if order := a.Deadline.Compare(b.Deadline); order != 0 {
		return order
	}
	return int(int64(a.Ticket) - int64(b.Ticket))
}
