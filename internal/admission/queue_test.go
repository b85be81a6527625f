package admission_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/guavatrack/guavatrack/internal/admission"
	"github.com/guavatrack/guavatrack/internal/rapidtest"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

var (
	start = time.Unix(0, 0)
	ranks = []int{0, 1, admission.MaxRank}
)

// model checks a queue against the set of requests that must be waiting in it.
type model struct {
	queue   admission.Queue
	now     time.Time
	last    admission.Ticket
	waiting map[admission.Ticket]admission.Request
	slots   int
}

func (m *model) offer(t *rapid.T) {
	m.last++
	request := admission.Request{
		Ticket: m.last, Caller: fleet.CallerID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller")),
		Rank:   rapid.SampledFrom(ranks).Draw(t, "rank"),
		Tokens: rapid.IntRange(0, 4000).Draw(t, "tokens"), Weight: rapid.Float64Range(0, 8).Draw(t, "weight"),
		Surges:   rapid.Bool().Draw(t, "surges"),
		Deadline: m.now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "patience")) * time.Millisecond),
	}
	capacity := admission.Capacity{Slots: m.slots}
	_, end := m.queue.Estimate(m.now, request, capacity)
	decision := m.queue.Offer(m.now, request, capacity)
	if decision.Displaced != 0 {
		if _, waits := m.waiting[decision.Displaced]; !waits {
			t.Fatalf("displaced %d does not wait", decision.Displaced)
		}
		delete(m.waiting, decision.Displaced)
	}
	switch decision.Outcome {
	case admission.Queued:
		if end.After(request.Deadline) {
			t.Fatal("queued although late")
		}
		m.waiting[request.Ticket] = request
	default:
		if decision.RetryAfter <= 0 {
			t.Fatal("refused without a time to come back")
		}
	}
}

func (m *model) run(t *rapid.T) {
	request, found := m.queue.Next(func(admission.Request) bool { return true })
	if found != (len(m.waiting) > 0) {
		t.Fatalf("next found %v with %d waiting", found, len(m.waiting))
	}
	if !found {
		return
	}
	if m.waiting[request.Ticket] != request {
		t.Fatalf("next %v does not wait", request)
	}
	m.queue.RemoveStarted(request)
	delete(m.waiting, request.Ticket)
	m.queue.RecordServiceTime(time.Duration(rapid.IntRange(1, 500).Draw(t, "service"))*time.Millisecond, 1)
}

func (m *model) expire(t *rapid.T) {
	for _, request := range m.queue.Expire(m.now, admission.Capacity{Slots: m.slots}) {
		if _, waits := m.waiting[request.Ticket]; !waits {
			t.Fatalf("expired %d does not wait", request.Ticket)
		}
		delete(m.waiting, request.Ticket)
	}
	for _, request := range m.waiting {
		if request.Deadline.Before(m.now.Add(m.queue.MeanServiceTime())) {
			t.Fatal("a request waits that cannot end in time")
		}
	}
}

// bringForward gives the waiting requests an earlier deadline, as a node does that stops.
func (m *model) bringForward(t *rapid.T) {
	end := m.now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "left")) * time.Millisecond)
	for ticket, request := range m.waiting {
		if end.Before(request.Deadline) {
			m.waiting[ticket] = m.queue.SetDeadline(request, end)
		}
	}
}

// TestEveryRequestLeavesTheQueueOnce offers, starts, cancels, brings forward and expires
// requests at random and checks that none is lost, returned twice or kept too
// long.
func TestEveryRequestLeavesTheQueueOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			now: start, waiting: make(map[admission.Ticket]admission.Request),
			slots: rapid.IntRange(1, 8).Draw(t, "slots"),
		}
		m.queue.Bound, m.queue.Shares = 12, rapid.Bool().Draw(t, "shares")
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "passes")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1, 2:
				m.offer(t)
			case 3:
				m.run(t)
			case 4:
				m.expire(t)
			case 5:
				m.bringForward(t)
			default:
				for ticket, request := range m.waiting {
					if ticket%3 == 0 && m.queue.Remove(request) {
						delete(m.waiting, ticket)
					}
				}
			}
			if m.queue.Len() != len(m.waiting) || m.queue.Len() > m.queue.Bound {
				t.Fatalf("length %d, waiting %d", m.queue.Len(), len(m.waiting))
			}
		}
	})
}

// offerMany offers count requests of one caller and rank to a queue.
func offerMany(queue *admission.Queue, first, count int, caller string, rank int) {
	for i := range count {
		queue.Offer(start, admission.Request{
			Ticket: admission.Ticket(first + i), Caller: fleet.CallerID(caller), Rank: rank,
			Deadline: start.Add(time.Hour + time.Duration(i)*time.Second),
		}, admission.Capacity{Slots: 1})
	}
}

// startOrder starts count requests and returns their callers in order.
func startOrder(queue *admission.Queue, count int) (callers string) {
	for range count {
		request, _ := queue.Next(func(admission.Request) bool { return true })
		queue.RemoveStarted(request)
		callers += string(request.Caller)
	}
	return callers
}

func TestCallersOfAClassAreServedInTurn(t *testing.T) {
	var queue admission.Queue
	offerMany(&queue, 1, 20, "a", 0)
	offerMany(&queue, 100, 3, "b", 0)
	qt.Assert(t, startOrder(&queue, 7), qt.Equals, "abababa")
}

func TestUrgentClassRunsFirstWithoutStarvation(t *testing.T) {
	var queue admission.Queue
	offerMany(&queue, 1, 20, "q", admission.MaxRank)
	offerMany(&queue, 100, 20, "i", 0)
	qt.Assert(t, startOrder(&queue, 16), qt.Equals, "iiiiiiiqiiiiiiiq")
}

// Guards against a class of one caller that takes all from a less urgent one of another.
func TestClassesOfDifferentCallersShare(t *testing.T) {
	queue := admission.Queue{Shares: true}
	offerMany(&queue, 1, 20, "q", admission.MaxRank)
	offerMany(&queue, 100, 20, "i", 0)
	qt.Assert(t, startOrder(&queue, 16), qt.Equals, "iqiiiiiqiiiiiqii")
}

// Guards against shares by count: a caller of large requests would get four times the work.
func TestCallersShareByTokens(t *testing.T) {
	queue := admission.Queue{Shares: true}
	for i := range 20 {
		for caller, tokens := range map[fleet.CallerID]int{"large": 4000, "small": 1000} {
			queue.Offer(start, admission.Request{
				Ticket: admission.Ticket(2*i + tokens/4000), Caller: caller, Tokens: tokens, Deadline: start.Add(time.Hour),
			}, admission.Capacity{Slots: 1})
		}
	}
	qt.Assert(t, strings.Count(startOrder(&queue, 20), "large"), qt.Equals, 4)
}

// Guards against a caller that is not served any more after a request that states a huge size.
func TestHugeRequestDoesNotBarItsCaller(t *testing.T) {
	queue := admission.Queue{Shares: true}
	for i, tokens := range []int{1 << 31, 1} {
		queue.Offer(start, admission.Request{
			Ticket: admission.Ticket(900 + i), Caller: "huge", Tokens: tokens, Deadline: start.Add(time.Duration(i+1) * time.Minute),
		}, admission.Capacity{Slots: 1})
	}
	for i := range 100 {
		queue.Offer(start, admission.Request{
			Ticket: admission.Ticket(1 + i), Caller: "other", Tokens: 1000, Deadline: start.Add(time.Hour),
		}, admission.Capacity{Slots: 1})
	}
	qt.Assert(t, strings.Count(startOrder(&queue, 70), "huge"), qt.Equals, 2)
}

// Guards against traces in the accounts of callers that leave while they wait, or whose
// requests a stopping node gives an earlier deadline: they would be served later, or the
// queue would grow.
func TestRequestsThatLeaveAreNotCharged(t *testing.T) {
	c := qt.New(t)
	order := func(leave bool) string {
		queue := admission.Queue{Shares: true}
		offerMany(&queue, 1, 10, "a", 0)
		offerMany(&queue, 100, 10, "b", 0)
		before := startOrder(&queue, 4)
		if leave {
			for i := range 30 {
				request := admission.Request{Ticket: admission.Ticket(500 + i), Caller: "b", Tokens: 9, Deadline: start.Add(time.Minute)}
				c.Assert(queue.Offer(start, request, admission.Capacity{Slots: 1}).Outcome, qt.Equals, admission.Queued)
				request.Caller = "c"
				request.Ticket += 100
				c.Assert(queue.Offer(start, request, admission.Capacity{Slots: 1}).Outcome, qt.Equals, admission.Queued)
				c.Assert(queue.Remove(request), qt.IsTrue)
				request.Caller, request.Ticket = "b", request.Ticket-100
				c.Assert(queue.Remove(queue.SetDeadline(request, start.Add(time.Second))), qt.IsTrue)
			}
		}
		order := before + startOrder(&queue, queue.Len())
		last := admission.Request{Ticket: 900, Deadline: start.Add(2 * time.Hour)}
		queue.Offer(start.Add(time.Hour), last, admission.Capacity{Slots: 1})
		c.Assert(queue.Remove(last), qt.IsTrue)
		c.Check(queue.Accounts(), qt.Equals, 0)
		return order
	}
	c.Check(order(true), qt.Equals, order(false))
}

// Guards against an organisation that fills a queue and has the requests of others displaced.
func TestFullQueueDisplacesTheCallerWithTheMostWork(t *testing.T) {
	c := qt.New(t)
	queue := admission.Queue{Bound: 6, Shares: true}
	offerMany(&queue, 1, 5, "surging", 0)
	offerMany(&queue, 10, 1, "other", admission.MaxRank)
	offer := func(ticket admission.Ticket, caller fleet.CallerID, rank int) admission.Decision {
		return queue.Offer(start, admission.Request{
			Ticket: ticket, Caller: caller, Rank: rank, Deadline: start.Add(time.Hour),
		}, admission.Capacity{Slots: 1})
	}
	c.Check(offer(20, "surging", 0).Outcome, qt.Equals, admission.Full)
	c.Check(offer(21, "third", 0).Displaced, qt.Equals, admission.Ticket(10))
	c.Check(offer(22, "third", 0).Displaced, qt.Equals, admission.Ticket(5))
}

func TestFullQueueDisplacesLessUrgentRequest(t *testing.T) {
	c := qt.New(t)
	queue := admission.Queue{Bound: 4}
	offerMany(&queue, 1, 4, "q", admission.MaxRank)
	decision := queue.Offer(start, admission.Request{
		Ticket: 9, Caller: "i", Rank: 0, Deadline: start.Add(time.Hour),
	}, admission.Capacity{Slots: 1})
	c.Assert(decision.Displaced, qt.Equals, admission.Ticket(4))
	decision = queue.Offer(start, admission.Request{
		Ticket: 10, Caller: "q", Rank: admission.MaxRank, Deadline: start.Add(time.Hour),
	}, admission.Capacity{Slots: 1})
	c.Assert(decision.Outcome, qt.Equals, admission.Full)
}

func TestLimitsOfNodesConvergeToReplicaCapacity(t *testing.T) {
	c := qt.New(t)
	limits := []*admission.Limit{{Max: 32}, {Max: 32}, {Max: 32}, {Max: 32}}
	now := start
	total := 0
	for range 300 {
		now = now.Add(500 * time.Millisecond)
		total = 0
		for _, limit := range limits {
			total += limit.Value()
		}
		for _, limit := range limits {
			limit.RecordLoad(now, now.Add(-200*time.Millisecond), min(total, 32), max(0, total-32), limit.Value())
		}
	}
	c.Assert(total <= 40, qt.IsTrue, qt.Commentf("%d", total))
	c.Assert(total >= 20, qt.IsTrue, qt.Commentf("%d", total))
}

func ExampleQueue_Offer() {
	var queue admission.Queue
	queue.RecordServiceTime(2*time.Second, 1)
	decision := queue.Offer(start, admission.Request{
		Ticket: 1, Caller: "taproom", Rank: 0, Deadline: start.Add(time.Second),
	}, admission.Capacity{Slots: 1, Free: 1})
	fmt.Println(decision.Outcome == admission.Late, decision.RetryAfter)
	// Output: true 2.5s
}

// TestServiceTimeScalesWithWork guards against refusing short requests, such as
// summaries of a few tokens, because of the service time of long ones, such as
// chats of many tokens, in the same queue.
func TestServiceTimeScalesWithWork(t *testing.T) {
	c := qt.New(t)
	var queue admission.Queue
	for range 20 {
		queue.RecordServiceTime(2*time.Second, 1)
		queue.RecordServiceTime(200*time.Millisecond, 0.1)
	}
	capacity := admission.Capacity{Slots: 4, Free: 0}
	short := admission.Request{Ticket: 1, Work: 0.1, Deadline: start.Add(1500 * time.Millisecond)}
	c.Assert(queue.Offer(start, short, capacity).Outcome, qt.Equals, admission.Queued)
	long := admission.Request{Ticket: 2, Work: 1, Deadline: start.Add(1500 * time.Millisecond)}
	c.Assert(queue.Offer(start, long, capacity).Outcome, qt.Equals, admission.Late)
}

// TestRequestThatCannotStartByStartByIsRefused guards against queueing requests
// of callers that give up long before their deadline if no byte arrives.
func TestRequestThatCannotStartByStartByIsRefused(t *testing.T) {
	c := qt.New(t)
	var queue admission.Queue
	request := admission.Request{Ticket: 1, StartBy: start.Add(2 * time.Second), Deadline: start.Add(time.Minute)}
	decision := queue.Offer(start, request, admission.Capacity{Slots: 1, ReadyIn: 3 * time.Second})
	c.Assert(decision.Outcome, qt.Equals, admission.Late)
	c.Assert(decision.RetryAfter, qt.Equals, time.Second)
	capacity := admission.Capacity{Slots: 1, ReadyIn: time.Second}
	c.Assert(queue.Offer(start, request, capacity).Outcome, qt.Equals, admission.Queued)
	c.Assert(queue.Expire(start.Add(500*time.Millisecond), capacity), qt.HasLen, 0)
	c.Assert(queue.Expire(start.Add(1100*time.Millisecond), capacity), qt.HasLen, 1)
}
