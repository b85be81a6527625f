package admission

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// formerQueue is the queue as it was before flows, for requests of one caller.
type formerQueue struct {
	Queue

	classes [classCount][]Request
	size    int
	started int
}

func (q *formerQueue) expected(now time.Time, r *Request, ahead int, c Capacity) (start, end time.Time) {
	wait := c.ReadyIn
	if ahead -= c.Free; ahead >= 0 {
		wait += c.startTime(ahead+1, q.meanServiceTime)
	}
	start = now.Add(wait)
	return start, start.Add(r.scale(q.serviceTimeBound()))
}

func (q *formerQueue) estimate(now time.Time, r Request, c Capacity) (start, end time.Time) {
	ahead := 0
	for class := range r.Rank + 1 {
		ahead += len(q.classes[class])
	}
	return q.expected(now, &r, ahead, c)
}

func (q *formerQueue) offer(now time.Time, r Request, c Capacity) (decision Decision) {
	if lateness := r.lateness(q.estimate(now, r, c)); lateness > 0 {
		return Decision{Outcome: Late, RetryAfter: max(minRetryAfter, lateness)}
	}
	if q.size >= q.Bound {
		class := classCount - 1
		for class > r.Rank && len(q.classes[class]) == 0 {
			class--
		}
		if class <= r.Rank {
			return Decision{Outcome: Full, RetryAfter: max(minRetryAfter, c.startTime(q.size, q.meanServiceTime)/2)}
		}
		last := q.classes[class][len(q.classes[class])-1]
		q.remove(last)
		decision.Displaced = last.Ticket
	}
	i, _ := slices.BinarySearchFunc(q.classes[r.Rank], r, compareDeadlines)
	q.classes[r.Rank] = slices.Insert(q.classes[r.Rank], i, r)
	q.size++
	return decision
}

func (q *formerQueue) remove(r Request) {
	i, _ := slices.BinarySearchFunc(q.classes[r.Rank], r, compareDeadlines)
	q.classes[r.Rank] = slices.Delete(q.classes[r.Rank], i, i+1)
	q.size--
}

func (q *formerQueue) next(accept func(Request) bool) (Request, bool) {
	for i := range classCount {
		if q.started%reversedInterval == reversedInterval-1 {
			i = classCount - 1 - i
		}
		if at := slices.IndexFunc(q.classes[i], accept); at >= 0 {
			return q.classes[i][at], true
		}
	}
	return Request{}, false
}

func (q *formerQueue) expire(now time.Time, c Capacity) (expired []Request) {
	position := 0
	for i := range q.classes {
		for _, r := range q.classes[i] {
			if r.lateness(q.expected(now, &r, position, c)) > 0 {
				expired = append(expired, r)
				continue
			}
			position++
		}
	}
	for _, r := range expired {
		q.remove(r)
	}
	return expired
}

// Guards against deployments without organisations, where all requests have the same
// caller, being served, refused or given estimates differently because of fair shares.
func TestOneCallerIsServedAsBeforeFlows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue, former := Queue{Bound: 10}, formerQueue{Queue: Queue{Bound: 10}}
		now := time.Unix(0, 0)
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		ms := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		for step := range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(ms("passes", 200))
			capacity := Capacity{
				Slots: slots, Free: rapid.IntRange(0, slots).Draw(t, "free"), ReadyIn: ms("ready", 300),
				StartInterval: ms("interval", 50),
			}
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1, 2:
				request := Request{
					Ticket: Ticket(step + 1), Rank: rapid.IntRange(0, MaxRank).Draw(t, "rank"), Deadline: now.Add(ms("patience", 5000)),
					Work: rapid.Float64Range(0, 4).Draw(t, "work"), Tokens: rapid.IntRange(0, 4000).Draw(t, "tokens"),
				}
				if rapid.Bool().Draw(t, "impatient") {
					request.StartBy = now.Add(ms("startBy", 1000))
				}
				start, end := queue.Estimate(now, request, capacity)
				formerStart, formerEnd := former.estimate(now, request, capacity)
				if start != formerStart || end != formerEnd {
					t.Fatalf("estimate %v to %v, formerly %v to %v", start, end, formerStart, formerEnd)
				}
				if decision, before := queue.Offer(now, request, capacity), former.offer(now, request, capacity); decision != before {
					t.Fatalf("%+v, formerly %+v", decision, before)
				}
			case 3:
				odd := rapid.Bool().Draw(t, "odd")
				accept := func(r Request) bool { return !odd || r.Ticket%2 == 1 }
				request, found := queue.Next(accept)
				if before, foundBefore := former.next(accept); request != before || found != foundBefore {
					t.Fatalf("next %+v, formerly %+v", request, before)
				}
				if found {
					queue.RemoveStarted(request)
					former.remove(request)
					former.started++
				}
			case 4:
				took, work := ms("took", 900), rapid.Float64Range(0, 4).Draw(t, "done")
				queue.RecordServiceTime(took, work)
				former.RecordServiceTime(took, work)
			default:
				if expired, before := queue.Expire(now, capacity), former.expire(now, capacity); !slices.Equal(expired, before) {
					t.Fatalf("expired %+v, formerly %+v", expired, before)
				}
			}
		}
	})
}
