package hosted_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/metric"
	"github.com/guavatrack/guavatrack/platform/standin"
)

// TestOddEntriesChangeNothingForCallers guards against requests that fail or come late
// because another writer fills the list of servers with entries that name none, and
// against nodes that no longer follow the list after them.
func TestOddEntriesChangeNothingForCallers(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 2, Services: 2, Models: 6}, 2)
	const entries = 300
	for i := range entries {
		f.site.Store.PutOddEntry(fmt.Sprint("odd", i), i)
	}
	for i := range 60 {
		f.checkCompleteStream(f.send(i%2, http.MethodPost, standin.Resumable+"chat", fmt.Sprint("m", i%6), "hello"))
		for _, prefix := range []string{standin.Repeatable, standin.Once} {
			answer := f.send(i%2, http.MethodPost, prefix+"stock", "", "{}")
			f.Check(answer.Status, qt.Equals, http.StatusOK, qt.Commentf("%s", answer.Body))
			f.Check(f.site.Ledger.Runs(answer.ID), qt.Equals, 1)
		}
		time.Sleep(20 * time.Millisecond)
	}
	left := f.site.ServiceList[0]
	f.site.Store.RemoveEntry(left.ID)
	for node := range f.nodes {
		f.waitFor(func() bool {
			for range 8 {
				if answer := f.send(node, http.MethodGet, standin.Repeatable+"stock", "", ""); strings.Contains(answer.Body, left.ID) {
					return false
				}
			}
			return true
		})
	}
}

// TestServerIsUsedAgainAfterAnOddEntry guards against a server that stays out after another
// writer has overwritten its entry, and against the loss of the requests that it runs.
func TestServerIsUsedAgainAfterAnOddEntry(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 1, Services: 1, Models: 3, EventTime: 100 * time.Millisecond}, 1)
	engine := f.site.EngineList[0]
	ask := func() response { return f.send(0, http.MethodPost, standin.Streaming+"chat", "m0", "hello") }
	for kind := range 3 {
		answers := make(chan response, 1)
		go func() { answers <- ask() }()
		f.waitFor(func() bool { return engine.Running() > 0 })
		f.site.Store.PutOddEntry(engine.ID, kind*17)
		f.checkCompleteStream(<-answers)
		f.waitFor(func() bool {
			answer := ask()
			return answer.Status == http.StatusServiceUnavailable && f.site.Ledger.Runs(answer.ID) == 0
		})
		engine.Register()
		f.waitFor(func() bool { return ask().Status == http.StatusOK })
	}
}

// TestNodesAreNoServers guards against requests that nodes send to themselves and to each
// other until their time is over, because another writer has named nodes as servers.
func TestNodesAreNoServers(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 1, Services: 1, Models: 3}, 2)
	for node := range f.nodes {
		f.waitFor(func() bool { return f.listedServers(node) == 2 && len(f.lookUp(node)) == len(f.nodes) })
	}
	for node := range f.nodes {
		addresses := f.nodes[node].Addresses()
		for i, address := range []string{addresses.Callers, addresses.Peers} {
			f.site.Store.Put("servers", fmt.Sprintf("odd%d-%d", node, i), map[string]any{
				"service": standin.ServicePool, "address": address, "zone": "east-a", "version": "v1", "slots": 64, "state": "ready",
				"born": time.Now().UnixMilli(), "sequence": 1, "coldLeftMs": 0,
			})
		}
	}
	f.site.Store.RemoveEntry(f.site.EngineList[0].ID)
	for node := range f.nodes {
		f.waitFor(func() bool { return f.listedServers(node) == 1 })
	}
}

// listedServers returns the number of servers in a node's list.
func (f *fixture) listedServers(node int) (count int) {
	answer, err := http.Get("http://" + f.nodes[node].Addresses().Metrics + "/metrics")
	f.Assert(err, qt.IsNil)
	text, err := io.ReadAll(answer.Body)
	f.Assert(err, qt.IsNil)
	f.Assert(answer.Body.Close(), qt.IsNil)
	_, text, _ = bytes.Cut(text, []byte("\n"+metric.ExposedName("roster.servers")+" "))
	_, _ = fmt.Sscan(string(text), &count)
	return count
}
