package claim_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/guavatrack/guavatrack/internal/claim"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// A fixed seed gives the same verdict on every run.
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// arrival is one arrival of the call in the model.
type arrival struct {
	owner  *claim.Owner
	action claim.Action
	ended  bool
	sent   bool
}

// world is a model of the table and of all arrivals of one call.
type world struct {
	now      time.Time
	record   *claim.Record
	late     []claim.Record
	arrivals []*arrival
	runs     int
}

func (w *world) arrive(deadline time.Duration) {
	owner := &claim.Owner{
		Attempt: claim.Attempt(fmt.Sprint(len(w.arrivals))), Content: "booking", Deadline: w.now.Add(deadline),
	}
	w.arrivals = append(w.arrivals, &arrival{owner: owner, action: owner.Next(w.now, claim.Event{Kind: claim.Begin})})
}

func (w *world) claimOf(a *arrival) claim.Record {
	return claim.Record{
		Attempt: a.owner.Attempt, Content: a.owner.Content, State: claim.Claimed,
		SettleBy: a.owner.Deadline.Add(claim.SettleGrace),
	}
}

// write applies a conditional write and reports whether the condition held.
func (w *world) write(record claim.Record) bool {
	if w.record != nil {
		return false
	}
	w.record = &record
	return true
}

// step carries out the action of an arrival with an outcome that rapid draws.
func (w *world) step(t *rapid.T, a *arrival) {
	w.now = w.now.Add(a.action.After)
	event := claim.Event{}
	switch a.action.Kind {
	case claim.Write:
		event.Kind = w.attemptWrite(t, a)
	case claim.Read:
		event.Kind = claim.Missing
		if rapid.IntRange(0, 3).Draw(t, "readFails") == 0 {
			event.Kind = claim.ReadFailed
		} else if w.record != nil {
			event = claim.Event{Kind: claim.Found, Record: *w.record}
		}
	case claim.Wait:
		event.Kind = claim.Elapsed
	case claim.Run:
		w.run(t, a)
		return
	default:
		w.check(t, a)
		return
	}
	a.action = a.owner.Next(w.now, event)
}

func (w *world) attemptWrite(t *rapid.T, a *arrival) claim.EventKind {
	record := w.claimOf(a)
	switch rapid.IntRange(0, 5).Draw(t, "write") {
	case 0:
		return claim.WriteRefused
	case 1:
		w.write(record)
		return claim.WriteLost
	case 2:
		return claim.WriteLost
	case 3:
		w.late = append(w.late, record)
		return claim.WriteLost
	}
	if w.write(record) {
		return claim.Wrote
	}
	return claim.Conflicted
}

// run sends the call or finds no server, and may die on the way.
func (w *world) run(t *rapid.T, a *arrival) {
	a.ended = true
	if rapid.Bool().Draw(t, "sent") {
		a.sent = true
		w.runs++
		if rapid.Bool().Draw(t, "settled") {
			w.record.State = claim.Done
			w.record.Answer = &claim.Answer{Body: []byte(a.owner.Attempt)}
		}
		return
	}
	if rapid.Bool().Draw(t, "released") && w.record.Attempt == a.owner.Attempt {
		w.record = nil
	}
}

// check looks at the end of an arrival that did not run the call.
func (w *world) check(t *rapid.T, a *arrival) {
	a.ended = true
	switch a.action.Kind {
	case claim.Replay:
		if w.runs != 1 || a.action.Answer == nil {
			t.Fatalf("replay of %v after %d runs", a.action.Answer, w.runs)
		}
	case claim.EndReused:
		t.Fatal("the key was not reused")
	case claim.EndRefusedAndRelease:
		if w.record != nil && w.record.Attempt == a.owner.Attempt {
			w.record = nil
		}
	default:
	}
}

// TestACallRunsAtMostOnce drives several arrivals of one call through every
// interleaving that rapid finds, with lost writes that take effect or not, now
// or later, failing reads and arrivals that die.
func TestACallRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: time.Unix(0, 0)}
		w.arrive(time.Second)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			w.turn(t)
			if w.runs > 1 {
				t.Fatalf("the call ran %d times", w.runs)
			}
		}
	})
}

func (w *world) turn(t *rapid.T) {
	choice := rapid.IntRange(0, 9).Draw(t, "turn")
	switch {
	case choice == 0 && len(w.arrivals) < 5:
		w.arrive(time.Duration(rapid.IntRange(1, 3000).Draw(t, "deadline")) * time.Millisecond)
	case choice == 1 && len(w.late) > 0:
		w.write(w.late[0])
		w.late = w.late[1:]
	default:
		a := w.arrivals[rapid.IntRange(0, len(w.arrivals)-1).Draw(t, "arrival")]
		if a.ended {
			return
		}
		if choice == 2 {
			a.ended = true // its node dies
			return
		}
		w.step(t, a)
	}
}

// TestEveryArrivalEnds checks that an arrival ends soon after its deadline,
// whatever the table does.
func TestEveryArrivalEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: time.Unix(0, 0)}
		w.arrive(time.Duration(rapid.IntRange(1, 5000).Draw(t, "deadline")) * time.Millisecond)
		a := w.arrivals[0]
		if rapid.Bool().Draw(t, "taken") {
			w.record = &claim.Record{Attempt: "other", Content: "booking", State: claim.Claimed, SettleBy: w.now.Add(time.Hour)}
		}
		for range 1000 {
			if a.ended {
				break
			}
			w.step(t, a)
		}
		if !a.ended || w.now.After(a.owner.Deadline.Add(time.Second)) {
			t.Fatalf("ended %v at %v, deadline %v", a.ended, w.now, a.owner.Deadline)
		}
	})
}

func TestOwnerDecisions(t *testing.T) {
	now := time.Unix(100, 0)
	later := now.Add(time.Second)
	cases := []struct {
		name   string
		record claim.Record
		want   claim.ActionKind
	}{
		{"other content", claim.Record{Attempt: "b", Content: "y"}, claim.EndReused},
		{"done", claim.Record{Attempt: "b", Content: "x", State: claim.Done}, claim.Replay},
		{"unknown", claim.Record{Attempt: "b", Content: "x", State: claim.Unknown, SettleBy: later}, claim.EndUnknown},
		{"running elsewhere", claim.Record{Attempt: "b", Content: "x", State: claim.Claimed, SettleBy: later}, claim.Wait},
		{"its node died", claim.Record{Attempt: "b", Content: "x", State: claim.Claimed, SettleBy: now.Add(-1)}, claim.EndUnknown},
		{"own", claim.Record{Attempt: "a", Content: "x", State: claim.Claimed, SettleBy: later}, claim.Run},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			owner := &claim.Owner{Attempt: "a", Content: "x", Deadline: later}
			action := owner.Next(now, claim.Event{Kind: claim.Found, Record: test.record})
			qt.Assert(t, action.Kind, qt.Equals, test.want)
		})
	}
}
