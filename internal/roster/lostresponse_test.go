package roster_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/roster"
)

// contactBound is how long after its channels were disturbed a node is in touch again.
const contactBound = 3 * time.Second

// TestServerThatLeftBesideLostResponses guards against requests that are sent to a server
// that has left: the responses under way were lost while the store answered all new calls,
// and the removal of the entry counted as one that an outage had caused.
func TestServerThatLeftBesideLostResponses(t *testing.T) {
	const (
		step     = 100 * time.Millisecond
		longest  = 3 * time.Second
		leaveLag = 10 * time.Millisecond
	)
	for _, nodes := range []int{3, 9} {
		for offset := time.Duration(0); offset < longest; offset += step {
			synctest.Test(t, func(t *testing.T) {
				r := newOutageRegion(t, nodes)
				time.Sleep(5*time.Second + offset)
				r.outage.begin()
				r.outage.end()
				time.Sleep(leaveLag)
				r.servers.put(roster.ServerEntry{ID: "e7"})
				time.Sleep(contactBound - leaveLag)
				for node, controller := range r.nodes {
					r.Check(controller.View().Servers["e7"], qt.IsNil, qt.Commentf("%s, offset %s", node, offset))
				}
			})
		}
	}
}

// TestEntryThatLapsesInAnOutageIsAwaited guards against a running server that is out of use
// since its entry lapsed in an outage of the store, also if that was noticed only by a
// response that was lost.
func TestEntryThatLapsesInAnOutageIsAwaited(t *testing.T) {
	for length := 3 * time.Second; length < 8*time.Second; length += 300 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			r := newOutageRegion(t, 6)
			time.Sleep(5 * time.Second)
			r.outage.begin()
			time.Sleep(length)
			r.servers.put(roster.ServerEntry{ID: "e7"})
			r.outage.end()
			for range 4 {
				time.Sleep(400 * time.Millisecond)
				for node, controller := range r.nodes {
					r.Check(controller.View().Servers["e7"], qt.IsNotNil, qt.Commentf("%s, outage of %s", node, length))
				}
			}
			r.servers.put(entry("e7", "1"))
			time.Sleep(5 * time.Second)
			for node, controller := range r.nodes {
				r.Check(controller.View().Servers["e7"], qt.IsNotNil, qt.Commentf("%s, outage of %s", node, length))
			}
		})
	}
}
