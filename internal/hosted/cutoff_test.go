package hosted_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/hosted"
	"github.com/guavatrack/guavatrack/platform/standin"
)

// contactTime is the time after the beginning of a cut from which on callers must not be
// served worse at a node that is cut off.
const contactTime = 3 * time.Second

// serverLinks opens a node's connections to backend servers, and can be cut.
type serverLinks struct {
	cut atomic.Bool
	// refuses has a cut link reset new connections; otherwise they hang.
	refuses bool
	// keeps leaves the connections that are open alive when the links are cut.
	keeps bool

	mu   sync.Mutex
	open []net.Conn
}

var errLinkCut = errors.New("link cut")

func (l *serverLinks) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if l.cut.Load() {
		if !l.refuses {
			<-ctx.Done()
		}
		return nil, errLinkCut
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err == nil {
		l.mu.Lock()
		l.open = append(l.open, conn)
		l.mu.Unlock()
	}
	return conn, err
}

// begin cuts the links.
func (l *serverLinks) begin() {
	l.cut.Store(true)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.open {
		if !l.keeps {
			_ = conn.Close()
		}
	}
}

// startCutNode adds a node with links to the backend servers that can be cut.
func (f *fixture) startCutNode(links *serverLinks) {
	f.Helper()
	nodeSettings := f.site.NodeSettings(fmt.Sprint("cut", len(f.nodes)))
	node := &hosted.Node{Settings: nodeSettings, Log: slog.New(slog.DiscardHandler), DialServers: links.dial}
	f.Assert(node.Start(context.Background()), qt.IsNil)
	f.Cleanup(node.Stop)
	f.waitFor(func() bool { return node.Ready() == nil })
	f.nodes = append(f.nodes, node)
}

// countServed sends requests of all kinds to a node and returns how many were answered in
// full at the first try.
func (f *fixture) countServed(node, rounds int) (served int) {
	f.Helper()
	for i := range rounds {
		stream := f.send(node, http.MethodPost, standin.Streaming+"chat", fmt.Sprint("m", i%2), "hello")
		resumable := f.send(node, http.MethodPost, standin.Resumable+"chat", fmt.Sprint("m", i%2), "hello")
		once := f.send(node, http.MethodPost, standin.Once+"book", "", "{}")
		repeatable := f.send(node, http.MethodPost, standin.Repeatable+"read", "", "{}")
		for _, answer := range []response{stream, resumable, once, repeatable} {
			if answer.err == nil && answer.Status == http.StatusOK {
				served++
			}
		}
		f.Check(f.site.Ledger.Runs(once.ID) <= 1, qt.IsTrue)
		if once.Status == http.StatusServiceUnavailable {
			f.Check(f.site.Ledger.Runs(once.ID), qt.Equals, 0)
		}
	}
	return served
}

// TestNodeThatReachesNoServerServesItsCallers guards against callers that are served far
// worse at a node that is cut off from all backend servers than at the others, which reach
// them: it refused whatever it got.
func TestNodeThatReachesNoServerServesItsCallers(t *testing.T) {
	for name, links := range map[string]*serverLinks{
		"unanswered": {},
		"refused":    {refuses: true},
		"openLive":   {refuses: true, keeps: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, &standin.Site{Engines: 2, Services: 2, Models: 2}, 2)
			f.startCutNode(links)
			const rounds = 10
			f.Assert(f.countServed(2, rounds) > 0, qt.IsTrue)
			links.begin()
			time.Sleep(contactTime)
			others := f.countServed(0, rounds)
			f.Check(3*f.countServed(2, rounds) >= 2*others, qt.IsTrue)
			links.cut.Store(false)
			time.Sleep(contactTime)
			f.Check(3*f.countServed(2, rounds) >= 2*others, qt.IsTrue)
		})
	}
}
