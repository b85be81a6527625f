package placement

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// reportingEngines are engines that have accepted a number of orders.
type reportingEngines struct {
	EngineClient
	sequence uint64
}

func (e *reportingEngines) Report(context.Context, *roster.Server) (Report, error) {
	return Report{Sequence: e.sequence}, nil
}

// Guards against streams that begin unasked at the next run of an engine, which has carried
// out a late first order of the holder of the lease before: that ended before it could tell.
func TestFirstOrderOfTheHolderBeforeMayBeLate(t *testing.T) {
	for _, test := range []struct {
		name     string
		term     fleet.FencingNumber
		after    time.Duration
		sequence uint64
		late     bool
	}{
		{"engine without orders", 2, time.Second, 0, true},
		{"engine with orders", 2, time.Second, 1, false},
		{"first term", 1, time.Second, 0, false},
		{"long after", 2, unansweredOrderTTL + time.Second, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := &Scheduler{Engines: &reportingEngines{sequence: test.sequence}, Log: slog.New(slog.DiscardHandler)}
				s.init()
				s.beginTerm(test.term)
				time.Sleep(test.after)
				server := &roster.Server{ID: "s", Boot: "b"}
				e := newEngine(server)
				s.readState(t.Context(), e, server)
				directory := &Directory{}
				directory.applyUpdate(test.term, []engineUpdate{e.update(time.Now())})
				c.Check(directory.LateOrder("s"), qt.Equals, test.late)
				time.Sleep(lateOrderTime)
				c.Check(directory.LateOrder("s"), qt.IsFalse)
			})
		})
	}
}
