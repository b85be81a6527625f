package hosted_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/platform/standin"
)

// TestRestoredStoreRevertsNothingInForce restores the store to a copy without the newest
// manifest, without the end of a server and without the lease. The manifest in force
// stays, the server that has left is not used, models are loaded again in time, and the
// stand-ins see no order under an old fencing number or of two holders.
func TestRestoredStoreRevertsNothingInForce(t *testing.T) {
	const age = 2 * time.Second
	f := newFixture(t, &standin.Site{Engines: 2, Services: 2, Models: 12, HandOver: 500 * time.Millisecond}, 2)
	for i := range 6 {
		f.checkCompleteStream(f.send(i%2, http.MethodPost, standin.Resumable+"chat", fmt.Sprint("m", i), "hello"))
	}
	time.Sleep(age) // The copy has the first entries of all servers.
	left := f.site.ServiceList[0]
	f.site.Store.Remove("servers", left.ID)
	f.site.Publish(2)
	for node := range f.nodes {
		f.waitFor(func() bool {
			return f.send(node, http.MethodPost, "/extra1/chat", "m0", "").Status == http.StatusOK
		})
		f.waitFor(func() bool { return f.nodes[node].Ready() == nil })
	}
	time.Sleep(age / 2)
	f.site.Store.Restore(age)
	for range 40 {
		for node := range f.nodes {
			f.Check(f.send(node, http.MethodPost, "/extra1/chat", "m0", "").Status, qt.Equals, http.StatusOK)
			answer := f.send(node, http.MethodGet, standin.Repeatable+"stock", "", "")
			f.Check(answer.Status, qt.Equals, http.StatusOK)
			f.Check(answer.Body, qt.Not(qt.Contains), left.ID)
		}
		time.Sleep(50 * time.Millisecond)
	}
	// A swap needs the lease.
	f.waitFor(func() bool {
		return f.send(0, http.MethodPost, standin.Resumable+"chat", "m9", "hello").Status == http.StatusOK
	})
}
