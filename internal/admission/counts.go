package admission

import (
	"slices"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// countOrder serves the most urgent class first; within a class, the caller with the fewest
// served requests; for a caller, the request with the earliest deadline.
type countOrder struct {
	classes [classCount]classQueue
}

func (o *countOrder) add(request Request) { o.classes[classOf(request.Rank)].add(request) }

func (o *countOrder) remove(request Request) bool {
	return o.classes[classOf(request.Rank)].remove(request)
}

func (o *countOrder) removeStarted(request Request) bool {
	if !o.remove(request) {
		return false
	}
	o.classes[classOf(request.Rank)].recordServed(request.Caller)
	return true
}

func (o *countOrder) next(accept func(Request) bool, reversed bool) (request Request, found bool) {
	for class := range classCount {
		if reversed {
			class = classCount - 1 - class
		}
		if request, found = o.classes[class].next(accept); found {
			return request, true
		}
	}
	return Request{}, false
}

func (o *countOrder) ahead(request Request) (count int, work float64, turnIn time.Duration) {
	class := classOf(request.Rank)
	for i := range class {
		count += o.classes[i].size
	}
	own := len(o.classes[class].callers[request.Caller])
	for _, requests := range o.classes[class].callers {
		count += min(len(requests), own+1)
	}
	return count, float64(count), 0
}

func (o *countOrder) inOrder(visit func(request Request, work float64) bool) {
	for i := range o.classes {
		for _, request := range o.classes[i].byDeadline() {
			visit(request, 1)
		}
	}
}

// displaced returns the last request of the caller with the most requests in the
// least urgent class, if that class is less urgent than the new request's or, in
// the same class, that caller has at least two requests more than the new one's.
func (o *countOrder) displaced(request Request) (displaced Request, found bool) {
	for class := classCount - 1; class >= classOf(request.Rank); class-- {
		queue := &o.classes[class]
		caller, count := queue.busiestCaller()
		own := len(queue.callers[request.Caller])
		if count == 0 || class == classOf(request.Rank) && count <= own+1 {
			continue
		}
		return queue.callers[caller][count-1], true
	}
	return Request{}, false
}

func (*countOrder) observe(time.Time) {}

func (*countOrder) reset() {}

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
