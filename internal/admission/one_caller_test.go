package admission_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/guavatrack/guavatrack/internal/admission"
)

// Guards against platforms without organisations, where all requests have the same caller,
// being served, refused or given estimates differently because of shares.
func TestOneCallerIsServedAsWithoutShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue, former := admission.Queue{Bound: 10, Shares: true}, admission.Queue{Bound: 10}
		now := start
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		ms := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		for step := range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(ms("passes", 200))
			capacity := admission.Capacity{
				Slots: slots, Free: rapid.IntRange(0, slots).Draw(t, "free"), ReadyIn: ms("ready", 300),
				StartInterval: ms("interval", 50),
			}
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1, 2:
				request := admission.Request{
					Ticket: admission.Ticket(step + 1), Rank: rapid.IntRange(0, admission.MaxRank).Draw(t, "rank"), Deadline: now.Add(ms("patience", 5000)),
					Work: rapid.Float64Range(0, 4).Draw(t, "work"), Tokens: rapid.IntRange(0, 4000).Draw(t, "tokens"),
				}
				if rapid.Bool().Draw(t, "impatient") {
					request.StartBy = now.Add(ms("startBy", 1000))
				}
				begins, ends := queue.Estimate(now, request, capacity)
				formerBegins, formerEnds := former.Estimate(now, request, capacity)
				if begins != formerBegins || ends != formerEnds {
					t.Fatalf("estimate %v to %v, formerly %v to %v", begins, ends, formerBegins, formerEnds)
				}
				if decision, before := queue.Offer(now, request, capacity), former.Offer(now, request, capacity); decision != before {
					t.Fatalf("%+v, formerly %+v", decision, before)
				}
			case 3:
				odd := rapid.Bool().Draw(t, "odd")
				accept := func(r admission.Request) bool { return !odd || r.Ticket%2 == 1 }
				request, found := queue.Next(accept)
				if before, foundBefore := former.Next(accept); request != before || found != foundBefore {
					t.Fatalf("next %+v, formerly %+v", request, before)
				}
				if found {
					queue.RemoveStarted(request)
					former.RemoveStarted(request)
				}
			case 4:
				took, work := ms("took", 900), rapid.Float64Range(0, 4).Draw(t, "done")
				queue.RecordServiceTime(took, work)
				former.RecordServiceTime(took, work)
			default:
				if expired, before := queue.Expire(now, capacity), former.Expire(now, capacity); !slices.Equal(expired, before) {
					t.Fatalf("expired %+v, formerly %+v", expired, before)
				}
			}
		}
	})
}
