package peer_test

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/guavatrack/guavatrack/internal/peer"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

type sum struct {
	A, B, C int
}

func listen(t *testing.T, p *peer.Peer) string {
	t.Helper()
	p.Address = "127.0.0.1:0"
	p.Handle("add", peer.Typed(func(_ context.Context, in sum) (sum, error) {
		if in.A < 0 {
			return sum{}, errors.New("negative")
		}
		return sum{C: in.A + in.B}, nil
	}))
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	done.Go(func() { qt.Check(t, p.Run(ctx), qt.IsNil) })
	t.Cleanup(func() { cancel(); done.Wait() })
	<-p.Ready()
	return p.ListenAddress()
}

func TestConcurrentCallsShareOneConnection(t *testing.T) {
	c := qt.New(t)
	server, client := &peer.Peer{}, &peer.Peer{Metrics: metrics.NewRegistry()}
	address := listen(t, server)
	client.Resolve = func(node fleet.NodeID) (string, bool) { return address, node == "b" }
	listen(t, client)
	var calls sync.WaitGroup
	for i := range 50 {
		calls.Go(func() {
			var out sum
			c.Check(client.Call(t.Context(), "b", "add", sum{A: i, B: 1}, &out), qt.IsNil)
			c.Check(out.C, qt.Equals, i+1)
		})
	}
	calls.Wait()
	c.Assert(client.Connections(), qt.Equals, 1)
	c.Assert(client.Call(t.Context(), "x", "add", sum{}, nil), qt.ErrorIs, peer.ErrUnknownNode)
	err := client.Call(t.Context(), "b", "add", sum{A: -1}, &sum{})
	var answer *jsonrpc2.Error
	c.Assert(err, qt.ErrorAs, &answer)
	c.Assert(answer.Message, qt.Equals, "negative")
	c.Assert(client.Call(t.Context(), "b", "nothing", sum{}, nil), qt.ErrorMatches, ".*no method nothing.*")
}

// blackholeProxy is a TCP proxy whose open connections can be made to drop all
// data while new ones work.
type blackholeProxy struct {
	listener net.Listener
	to       string
	mu       sync.Mutex
	dropping chan struct{}
}

func (s *blackholeProxy) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		dropping := s.dropping
		s.mu.Unlock()
		out, err := (&net.Dialer{}).Dial("tcp", s.to)
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(&blackholeConn{out, dropping}, conn) }()
		go func() { _, _ = io.Copy(&blackholeConn{conn, dropping}, out) }()
	}
}

type blackholeConn struct {
	net.Conn
	dropping chan struct{}
}

func (m *blackholeConn) Write(data []byte) (int, error) {
	select {
	case <-m.dropping:
		return len(data), nil
	default:
		return m.Conn.Write(data)
	}
}

func TestUnresponsiveConnectionFailsOneCall(t *testing.T) {
	c := qt.New(t)
	server, client := &peer.Peer{}, &peer.Peer{}
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	proxy := &blackholeProxy{listener: listener, to: listen(t, server), dropping: make(chan struct{})}
	go proxy.run()
	call := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		return client.CallAddress(ctx, listener.Addr().String(), "add", sum{A: 1}, &sum{})
	}
	c.Assert(call(), qt.IsNil)
	proxy.mu.Lock()
	close(proxy.dropping)
	proxy.dropping = make(chan struct{})
	proxy.mu.Unlock()
	c.Assert(call(), qt.ErrorIs, peer.ErrUnreachable)
	c.Assert(call(), qt.IsNil)
}

func TestCallToClosedPortIsUnreachable(t *testing.T) {
	c := qt.New(t)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Assert(listener.Close(), qt.IsNil)
	client := &peer.Peer{}
	err = client.CallAddress(t.Context(), listener.Addr().String(), "add", sum{}, nil)
	c.Assert(err, qt.ErrorIs, peer.ErrUnreachable)
}
