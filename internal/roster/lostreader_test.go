package roster_test

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/peer"
	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// scriptedReaders answers requests for changes: the readers in lost have lost the store,
// those in silent never answer, the others have no changes.
type scriptedReaders struct {
	lost, silent map[fleet.NodeID]bool
	asked        []fleet.NodeID
}

func (*scriptedReaders) Handle(string, peer.Handler) {}

func (s *scriptedReaders) Call(ctx context.Context, node fleet.NodeID, _ string, _, out any) error {
	s.asked = append(s.asked, node)
	if s.silent[node] {
		<-ctx.Done()
		return ctx.Err()
	}
	if s.lost[node] {
		return json.Unmarshal([]byte(`{"lost": true}`), out)
	}
	return json.Unmarshal([]byte(`{"at": 7}`), out)
}

// countedSource counts the reads of a source without entries.
type countedSource struct{ reads int }

func (s *countedSource) List(context.Context) ([]roster.ServerEntry, roster.Revision, error) {
	s.reads++
	return nil, 7, nil
}

func (s *countedSource) Follow(context.Context, roster.Revision, time.Duration) ([]roster.ServerEntry, roster.Revision, error) {
	s.reads++
	return nil, 7, nil
}

// TestFollowerOfALostReaderAsksAnotherOne guards against nodes that all read the store as
// soon as the reader that they read from says that it has lost it, or has too old a copy,
// while other readers read it; and against a long wait for readers in place of the store.
func TestFollowerOfALostReaderAsksAnotherOne(t *testing.T) {
	all := []fleet.NodeID{"a", "b", "c", "d"}
	for _, test := range []struct {
		name         string
		lost, silent []fleet.NodeID
		// reads is the number of reads of the store.
		reads int
		// within bounds the time that the read takes.
		within time.Duration
	}{
		{"the first", all[:1], nil, 0, 0},
		{"three", all[:3], nil, 0, 0},
		{"all", all, nil, 1, 0},
		{"one, the others are silent", all[:1], all[1:], 1, 150 * time.Millisecond},
	} {
		for _, list := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				readers := &scriptedReaders{lost: make(map[fleet.NodeID]bool), silent: make(map[fleet.NodeID]bool)}
				for _, node := range test.lost {
					readers.lost[node] = true
				}
				for _, node := range test.silent {
					readers.silent[node] = true
				}
				source := &countedSource{}
				relay := &roster.Relay[roster.ServerEntry]{
					Name: "servers", Source: source, Node: "z", Peers: readers,
					Ranked: func() []fleet.NodeID { return append(all[:4:4], "z") },
					Key:    func(entry roster.ServerEntry) string { return string(entry.ID) },
				}
				relay.Register()
				began := time.Now()
				var err error
				if list {
					_, _, err = relay.List(t.Context())
				} else {
					_, _, err = relay.Follow(t.Context(), 7, 0)
				}
				comment := qt.Commentf("%s, list %t: asked %v", test.name, list, readers.asked)
				c.Check(err, qt.IsNil, comment)
				c.Check(source.reads, qt.Equals, test.reads, comment)
				c.Check(time.Since(began) <= test.within, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
			})
		}
	}
}
