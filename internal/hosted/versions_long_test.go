package hosted_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/platform/standin"
)

// longVariable is the environment variable that has the long tests run.
const longVariable = "GUAVATRACK_LONG"

// Sizes and times of a drawn replacement.
const (
	replacements       = 20
	replacementNodes   = 6
	replacementEngines = 4
	// replacementStreams is the number of streams that are taken up, and of new ones.
	replacementStreams = 24
	replacementTries   = 4
	// killTime is the time at which a node is killed, replacementSpan that within which
	// streams begin, both from the begin of the replacement.
	killTime        = 600 * time.Millisecond
	replacementSpan = time.Second
	replacementWait = 300 * time.Millisecond
)

// replacement is a drawn replacement of engines by engines of another version, beside
// streams that are taken up and new ones.
type replacement struct {
	f      *fixture
	random *rand.Rand
	// from is the version at the start, to the one that replaces it in count engines.
	from, to string
	count    int
	// kills is set if the last node is killed in the middle.
	kills bool
	group sync.WaitGroup
}

// drawReplacement draws a replacement. Two engines at least keep the old version.
func drawReplacement(seed uint64) *replacement {
	r := &replacement{random: rand.New(rand.NewPCG(seed, 0)), from: oldSoftware, to: newSoftware, kills: seed%2 == 0}
	if r.random.IntN(2) == 0 {
		r.from, r.to = r.to, r.from
	}
	r.count = 1 + r.random.IntN(replacementEngines/2)
	return r
}

// node draws a node that stays, or any if the killed one is included.
func (r *replacement) node(killed bool) int {
	if r.kills && !killed {
		return r.random.IntN(replacementNodes - 1)
	}
	return r.random.IntN(replacementNodes)
}

// send begins a stream at a drawn time and node and takes it up at others. If cut is set,
// the connection breaks after some events.
func (r *replacement) send(cut bool) (stream *standin.Stream) {
	nodes := make([]int, replacementTries)
	for try := range nodes {
		nodes[try] = r.node(cut && try == 0)
	}
	at := time.Duration(r.random.Int64N(int64(replacementSpan)))
	caller := standin.StreamCaller{
		Model: fmt.Sprint("m", r.random.IntN(r.f.site.Models)), Tries: replacementTries,
		Node: func(try int) string { return r.f.nodes[nodes[try]].Addresses().Callers },
	}
	if cut {
		caller.CutAfter = 1 + r.random.IntN(versionEvents/2)
	}
	stream = new(standin.Stream)
	r.group.Go(func() {
		time.Sleep(at)
		var err error
		*stream, err = caller.Do(context.Background())
		r.f.Check(err, qt.IsNil)
	})
	return stream
}

// run plays the replacement and returns the streams that were to be taken up and the new
// ones.
func (r *replacement) run() (cut, fresh []standin.Stream) {
	cutting, begun := make([]*standin.Stream, replacementStreams), make([]*standin.Stream, replacementStreams)
	for at := range replacementStreams {
		cutting[at], begun[at] = r.send(true), r.send(false)
	}
	r.group.Go(func() {
		r.f.Check(r.f.site.Release(r.from, r.to, r.count, replacementWait), qt.IsNil)
	})
	if r.kills {
		time.Sleep(killTime)
		r.f.nodes[replacementNodes-1].Stop()
	}
	r.group.Wait()
	for at := range cutting {
		cut, fresh = append(cut, *cutting[at]), append(fresh, *begun[at])
	}
	return cut, fresh
}

// tally counts streams.
type tally struct{ joined, takenUp, wentOn, fresh, began int }

// add adds the streams of a replacement.
func (t *tally) add(cut, fresh []standin.Stream) {
	for _, stream := range append(cut, fresh...) {
		if stream.Joined() != nil {
			t.joined++
		}
	}
	for _, stream := range cut {
		if !stream.TakenUp() {
			continue
		}
		t.takenUp++
		if stream.IsWhole() {
			t.wentOn++
		}
	}
	for _, stream := range fresh {
		t.fresh++
		if len(stream.Events()) > 0 {
			t.began++
		}
	}
}

func (t tally) String() string {
	return fmt.Sprintf("%d joined; %d of %d went on, share %.3f; %d of %d new ones began, share %.3f", t.joined,
		t.wentOn, t.takenUp, float64(t.wentOn)/float64(max(1, t.takenUp)),
		t.began, t.fresh, float64(t.began)/float64(max(1, t.fresh)))
}

// TestNoStreamIsJoinedInDrawnReplacements guards against joined streams in replacements of
// servers at drawn times, by hand only. It logs how many streams go on and begin.
func TestNoStreamIsJoinedInDrawnReplacements(t *testing.T) {
	if os.Getenv(longVariable) == "" {
		t.Skipf("a long test: set %s to run it", longVariable)
	}
	var total tally
	for seed := range uint64(replacements) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := drawReplacement(seed)
			software := make([]string, replacementEngines)
			for at := range software {
				software[at] = r.from
			}
			r.f = newSerialFixture(t, versionSite(software...), replacementNodes)
			cut, fresh := r.run()
			var counts tally
			counts.add(cut, fresh)
			total.add(cut, fresh)
			t.Logf("%d by %s, a node killed: %v: %v", r.count, r.to, r.kills, counts)
			r.f.checkNoneJoined(append(cut, fresh...))
			r.f.Check(counts.takenUp >= replacementStreams/2, qt.IsTrue)
		})
	}
	t.Logf("%d replacements: %v", replacements, total)
}
