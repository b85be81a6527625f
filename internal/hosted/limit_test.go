package hosted_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/platform/standin"
)

// press sends requests of a plain service to all nodes, some at a time, for a while. It
// returns how many were answered 200 and how many there were.
func (f *fixture) press(duration time.Duration) (served, sent int) {
	var mu sync.Mutex
	var group sync.WaitGroup
	end := time.Now().Add(duration)
	for i := range 3 * len(f.nodes) {
		group.Go(func() {
			for time.Now().Before(end) {
				answer := f.send(i%len(f.nodes), http.MethodGet, standin.Repeatable+"stock", "", "")
				mu.Lock()
				sent++
				if answer.Status == http.StatusOK {
					served++
				}
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	group.Wait()
	return served, sent
}

// TestServerThatNamesALimitGetsNoMoreThanThat guards against nodes that each send a server
// in need as much as before: one of two services names a limit of two requests a second,
// for all nodes together, while three nodes have many more. The stand-in reports a breach.
// The other service answers the rest. Once no limit is named both are used again.
func TestServerThatNamesALimitGetsNoMoreThanThat(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 1, Services: 2, Models: 3}, 3)
	limited := f.site.ServiceList[0]
	f.press(500 * time.Millisecond)
	limited.NameLimit("2")
	served, sent := f.press(9 * time.Second)
	f.Check(served, qt.Equals, sent)
	f.Check(limited.LimitedArrivals() > 2, qt.IsTrue, qt.Commentf("the limit is used: %d", limited.LimitedArrivals()))
	limited.NameLimit("")
	f.press(2 * time.Second)
	// A limit that never binds has the stand-in count requests again.
	limited.NameLimit("1000")
	f.waitFor(func() bool {
		f.press(500 * time.Millisecond)
		return limited.LimitedArrivals() > 10
	})
}
