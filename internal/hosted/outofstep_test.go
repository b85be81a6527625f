package hosted_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/hosted"
	"github.com/guavatrack/guavatrack/platform/standin"
)

// storeGate passes calls on to the store until it is shut. Then it answers none.
type storeGate struct {
	*httptest.Server
	shut atomic.Bool
	// ended is closed at the end of the test.
	ended chan struct{}
}

func newStoreGate(f *fixture) *storeGate {
	gate := &storeGate{ended: make(chan struct{})}
	pass := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: f.site.StoreAddress})
	gate.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !gate.shut.Load() {
			pass.ServeHTTP(w, r)
		}
		if gate.shut.Load() {
			<-gate.ended
		}
	}))
	f.Cleanup(func() {
		close(gate.ended)
		gate.Close()
	})
	return gate
}

// startNodeBehind starts a node that reads the store through a gate.
func (f *fixture) startNodeBehind(gate *storeGate) {
	nodeSettings := f.site.NodeSettings(fmt.Sprint("vm", len(f.nodes)))
	nodeSettings.Platform.Store = strings.TrimPrefix(gate.URL, "http://")
	node := &hosted.Node{Settings: nodeSettings, Log: slog.New(slog.DiscardHandler)}
	f.Assert(node.Start(context.Background()), qt.IsNil)
	f.Cleanup(node.Stop)
	f.waitFor(func() bool { return node.Ready() == nil })
	f.nodes = append(f.nodes, node)
}

// TestStreamIsNotBegunUnrecordedByANodeOutOfStep guards against streams that are joined from
// two versions because of a node that was cut off from the store and the others during a
// release: an engine has come back under its id with another version, which that node does
// not list yet. It began streams there as ones of the old version, and another node, which
// has started since, continued them at that. In less time than that no model is loaded there,
// see TestEngineThatCameBackWithAnotherVersionGetsNoOrdersAtOnce in package placement.
func TestStreamIsNotBegunUnrecordedByANodeOutOfStep(t *testing.T) {
	const outOfStep = 4 * time.Second
	f := newFixture(t, versionSite(oldSoftware, oldSoftware), 0)
	gate := newStoreGate(f)
	f.startNodeBehind(gate)
	f.startNodes(1)
	f.Check(f.softwareOfANewStream(0), qt.Equals, oldSoftware)
	gate.shut.Store(true)
	f.nodes[1].Stop()
	f.site.CurrentEngines()[0].Restart(standin.Restart{Software: newSoftware, Holds: []string{"m0", "m1", "m2"}})
	time.Sleep(outOfStep)
	f.startNodes(1)
	streams := f.interruptStreams(versionStreams, func() int {
		f.nodes[0].Stop()
		return 2
	})
	f.checkNoneJoined(streams)
}
