package placement_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// streamObjective is the latency objective of a route whose streams may be continued. Their
// callers take them for broken after a gap of four times that.
const streamObjective = 2500 * time.Millisecond

// resumeStreams deploys a route whose streams may be continued.
func (s *cluster) resumeStreams() {
	next := *s.view.Load()
	manifest := *next.Manifest
	manifest.Hosts = map[string][]*roster.Route{"host": {{
		Kind: roster.Stream, Resumable: true, Objective: streamObjective, Targets: []roster.Target{{Pool: pool}},
	}}}
	next.Manifest = &manifest
	s.view.Store(&next)
}

// occupy takes slots for calls of a model at an engine of the first version, and returns a
// function that releases them.
func (s *cluster) occupy(id fleet.ModelID, calls int) (release func()) {
	replica := dispatch.Replica{Server: "e0", Boot: "1", Item: fleet.Item{Model: id}}
	for range calls {
		s.reporters[1].SlotTaken(&replica, time.Now())
	}
	return func() {
		for range calls {
			s.reporters[1].SlotReleased(&replica, time.Now())
		}
	}
}

// callOthers has calls wait for all models but the first four for a time.
func (s *cluster) callOthers(length time.Duration) {
	since := time.Now()
	for time.Since(since) < length {
		for i := 4; i < 8; i++ {
			s.wake(0, fleet.Item{Model: model(i)}, since)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (s *cluster) holds(engine fleet.ServerID, id fleet.ModelID) bool {
	s.engines.mu.Lock()
	defer s.engines.mu.Unlock()
	_, held := s.engines.engines[engine].held[id]
	return held
}

// TestModelsOfBrokenStreamsAreKept guards against rests that are refused after a loss of all
// nodes: the models of the broken streams look unused and are given up for other calls
// before callers take the streams up again.
func TestModelsOfBrokenStreamsAreKept(t *testing.T) {
	for name, inherits := range map[string]bool{"inherited": true, "not inherited": false} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, 2, func(s *cluster) {
				s.mixVersions()
				s.resumeStreams()
				releaseMany, releaseFew := s.occupy(model(0), 3), s.occupy(model(1), 1)
				time.Sleep(time.Second)
				note := s.scheduler.Note()
				s.Assert(note, qt.Equals, `[{"server":"e0","model":"m0"},{"server":"e0","model":"m1"}]`)
				releaseMany()
				releaseFew()
				time.Sleep(time.Second)
				if inherits {
					s.note.Store(&note)
				}
				s.lease.set(6, true)
				s.callOthers(10 * time.Second)
				s.Check(s.holds("e0", model(0)), qt.Equals, inherits)
				// The engine keeps one place for other calls, and the model only for a while.
				s.Check(s.holds("e0", model(1)), qt.IsFalse)
				s.callOthers(10 * time.Second)
				s.Check(s.holds("e0", model(0)), qt.IsFalse)
			})
		})
	}
}

// TestNothingIsLeftWhileOneVersionServes guards against a record of the lease that grows
// although a stream may go on anywhere, and against one for routes whose streams end.
func TestNothingIsLeftWhileOneVersionServes(t *testing.T) {
	withCluster(t, 2, func(s *cluster) {
		s.occupy(model(0), 1)
		s.resumeStreams()
		time.Sleep(time.Second)
		s.Check(s.scheduler.Note(), qt.Equals, "")
	})
	withCluster(t, 2, func(s *cluster) {
		s.occupy(model(0), 1)
		s.mixVersions()
		time.Sleep(time.Second)
		s.Check(s.scheduler.Note(), qt.Equals, "")
	})
}

// TestOddNoteIsIgnored guards against a holder that gives no orders since another writer has
// written the record of the lease.
func TestOddNoteIsIgnored(t *testing.T) {
	withCluster(t, 2, func(s *cluster) {
		odd := "{"
		s.note.Store(&odd)
		s.lease.set(6, true)
		s.Check(s.awaitReplica(1, fleet.Item{Model: model(5)}, 2*time.Second), qt.IsTrue)
	})
}
