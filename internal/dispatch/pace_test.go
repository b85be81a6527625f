package dispatch_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/retry"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// TestWindowIsSeenInLogAndMetrics guards against a server that gets few requests without a
// trace of the reason.
func TestWindowIsSeenInLogAndMetrics(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		s := newFakeServers(1)
		var log bytes.Buffer
		d := s.dispatcher()
		d.Pace = func() dispatch.PaceMode { return dispatch.PaceAlways }
		d.Metrics, d.Log = metrics.NewRegistry(), slog.New(slog.NewTextHandler(&log, nil))
		s.replicas[0].Slots = 32
		do := func(id string) error { return d.Do(s.call(id, nil)) }
		windows := func() int64 { return metrics.GetOrRegisterGauge("servers.startWindows", d.Metrics).Value() }
		s.replicas[0].Boot = "1"
		c.Assert(do("before"), qt.IsNil)
		c.Check(windows(), qt.Equals, int64(0))
		s.replicas[0].Boot = "2"
		s.answer = func(id string, _ fleet.ServerID) error {
			if id == "rejected" {
				return failureError(retry.Declined, true)
			}
			return nil
		}
		c.Assert(do("rejected"), qt.IsNotNil)
		c.Check(windows(), qt.Equals, int64(1))
		rejections := metrics.GetOrRegisterCounter("servers.startRejections", d.Metrics).Count()
		c.Check(rejections > 0 && rejections == int64(len(s.runs["rejected"])), qt.IsTrue, qt.Commentf("%d", rejections))
		c.Check(do("good"), qt.IsNil)
		time.Sleep(10 * time.Second)
		c.Check(do("late"), qt.IsNil)
		c.Check(windows(), qt.Equals, int64(0))
		c.Check(strings.Contains(log.String(), `msg="start window begins" server=s0 boot=2 cause=started`), qt.IsTrue)
		c.Check(strings.Contains(log.String(), `msg="start window ends" server=s0 cause=quiet`), qt.IsTrue)
	})
}

// TestCausesOfWindows checks after what a server is sent few requests again.
func TestCausesOfWindows(t *testing.T) {
	for cause, fail := range map[string]func(d *dispatch.Dispatcher, s *fakeServers){
		"unreachable": func(_ *dispatch.Dispatcher, s *fakeServers) { s.failOnce(retry.Unreachable, 1) },
		"ejected":     func(_ *dispatch.Dispatcher, s *fakeServers) { s.failOnce(retry.ServerError, 3) },
		"rested": func(d *dispatch.Dispatcher, s *fakeServers) {
			d.RecordRest("s0", s.replicas[0].Boot, 100*time.Millisecond)
		},
		"started": func(_ *dispatch.Dispatcher, s *fakeServers) { s.replicas[0].ListedAt = time.Now() },
	} {
		runInBubble(t, func(c *qt.C) {
			s := newFakeServers(1)
			var log bytes.Buffer
			d := s.dispatcher()
			d.Pace = func() dispatch.PaceMode { return dispatch.PaceAlways }
			d.Log = slog.New(slog.NewTextHandler(&log, nil))
			c.Assert(d.Do(s.call("before", nil)), qt.IsNil)
			fail(d, s)
			for range 5 {
				_ = d.Do(s.call("next", nil))
			}
			time.Sleep(5 * time.Second)
			c.Assert(d.Do(s.call("after", nil)), qt.IsNil)
			c.Check(strings.Count(log.String(), "start window begins"), qt.Equals, 1, qt.Commentf("%s", cause))
			c.Check(strings.Contains(log.String(), "cause="+cause+"\n"), qt.IsTrue, qt.Commentf("%s: %s", cause, log.String()))
		})
	}
}

// failOnce has the next attempts fail.
func (s *fakeServers) failOnce(kind retry.Failure, count int) {
	s.answer = func(string, fleet.ServerID) error {
		if count--; count >= 0 {
			return failureError(kind, false)
		}
		return nil
	}
}
