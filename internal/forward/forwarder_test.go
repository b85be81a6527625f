package forward_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/backend"
	"github.com/guavatrack/guavatrack/internal/forward"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// fixture passes requests on to stand-ins of nodes.
type fixture struct {
	*qt.C
	forwarder forward.Forwarder
	nodes     []forward.Node
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{C: qt.New(t)}
	f.forwarder = forward.Forwarder{
		Nodes: func() []forward.Node { return f.nodes },
		Transport: &http.Transport{
			DialContext: backend.RecordConns((&net.Dialer{Timeout: time.Second}).DialContext), DisableKeepAlives: true,
		},
	}
	return f
}

// add adds a node that handles requests, and returns the number of those that it got.
func (f *fixture) add(id fleet.NodeID, handler http.Handler) *atomic.Int64 {
	got := new(atomic.Int64)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got.Add(1)
		handler.ServeHTTP(w, r)
	}))
	f.Cleanup(server.Close)
	f.nodes = append(f.nodes, forward.Node{ID: id, Address: server.Listener.Addr().String()})
	return got
}

// addGone adds a node whose process has ended.
func (f *fixture) addGone(id fleet.NodeID) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	f.Assert(err, qt.IsNil)
	f.nodes = append(f.nodes, forward.Node{ID: id, Address: listener.Addr().String()})
	f.Assert(listener.Close(), qt.IsNil)
}

func (f *fixture) send() (status int, body string, err error) {
	response, err := f.forwarder.Send(context.Background(), "r1", func(address string) *http.Request {
		request := httptest.NewRequest(http.MethodPost, "http://"+address+"/x", strings.NewReader("{}"))
		request.RequestURI = ""
		return request
	})
	if err != nil {
		return 0, "", err
	}
	defer func() { f.Check(response.Body.Close(), qt.IsNil) }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

var (
	answering = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
	breaking  = http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
)

func handlerOf(cutOff bool) http.Handler {
	return &forward.Handler{Next: answering, CutOff: func() bool { return cutOff }}
}

// TestRequestGoesToTheFirstNodeThatTakesIt checks that nodes that are gone, or cut off as
// well, are passed over, and not asked again at once.
func TestRequestGoesToTheFirstNodeThatTakesIt(t *testing.T) {
	f := newFixture(t)
	f.addGone("gone")
	cutOff := f.add("cutOff", handlerOf(true))
	sound := f.add("sound", handlerOf(false))
	for range 3 {
		status, body, err := f.send()
		f.Check(err, qt.IsNil)
		f.Check(status, qt.Equals, http.StatusOK)
		f.Check(body, qt.Equals, "done")
	}
	f.Check(cutOff.Load(), qt.Equals, int64(1))
	f.Check(sound.Load(), qt.Equals, int64(3))
}

// TestRequestThatMayHaveRunIsNotSentAgain guards against a request that runs twice, or is
// called not run, since the node that had it broke off.
func TestRequestThatMayHaveRunIsNotSentAgain(t *testing.T) {
	f := newFixture(t)
	f.add("breaking", breaking)
	other := f.add("other", handlerOf(false))
	_, _, err := f.send()
	f.Check(err, qt.IsNotNil)
	f.Check(err, qt.Not(qt.ErrorIs), forward.ErrNoNode)
	f.Check(other.Load(), qt.Equals, int64(0))
}

// TestNoNodeTakesTheRequest checks that a request which no node takes counts as not run.
func TestNoNodeTakesTheRequest(t *testing.T) {
	f := newFixture(t)
	f.addGone("gone")
	f.add("cutOff", handlerOf(true))
	_, _, err := f.send()
	f.Check(err, qt.ErrorIs, forward.ErrNoNode)
}
