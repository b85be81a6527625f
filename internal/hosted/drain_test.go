package hosted

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/drain"
	"github.com/guavatrack/guavatrack/internal/settings"
	"github.com/guavatrack/guavatrack/internal/standin"
)

// slowConn is a connection on which each write takes a time.
type slowConn struct {
	net.Conn
	writeTime time.Duration
}

func (c *slowConn) Write(piece []byte) (int, error) {
	time.Sleep(c.writeTime)
	return c.Conn.Write(piece)
}

// TestDrainDeliversTheEndOfAnAnswer stops a node whose last request writes a stream to a
// slow connection. The end of the stream is written by net/http after the handler has
// returned, and must reach the caller.
func TestDrainDeliversTheEndOfAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := &Node{}
		caller, end := net.Pipe()
		listener := standin.NewListener()
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			defer n.activeRequests.Begin(func(error) {})()
			_, err := io.WriteString(w, "data: 1\n\n")
			c.Check(err, qt.IsNil)
			c.Check(http.NewResponseController(w).Flush(), qt.IsNil)
		})}
		sockets := &endpoints{requests: []*http.Server{server}, servers: []*http.Server{server}}
		served := make(chan error, 1)
		go func() { served <- server.Serve(listener) }()
		c.Check(listener.Deliver(context.Background(), &slowConn{end, 100 * time.Millisecond}), qt.IsNil)
		go func() { _, _ = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n") }()
		received := make(chan string, 1)
		go func() {
			text, _ := io.ReadAll(caller)
			received <- string(text)
		}()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		c.Check(n.finishRequests(ctx, sockets, 100*time.Millisecond), qt.Equals, 0)
		sockets.close()
		answer := <-received
		c.Check(strings.HasSuffix(answer, "data: 1\n\n\r\n0\r\n\r\n"), qt.IsTrue, qt.Commentf("%q", answer))
		c.Check(<-served, qt.Equals, http.ErrServerClosed)
		c.Check(caller.Close(), qt.IsNil)
		// The shutdown in the background ends.
		time.Sleep(time.Minute)
	})
}

// TestRequestsCutOffGetTheirAnswers stops a node with a request that does not end, whose
// answer is made when it is cut off and takes a time to be written. It guards against
// closing the connection before.
func TestRequestsCutOffGetTheirAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := &Node{Log: slog.New(slog.DiscardHandler)}
		caller, end := net.Pipe()
		listener := standin.NewListener()
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			ctx, cancel := context.WithCancelCause(r.Context())
			defer n.activeRequests.Begin(cancel)()
			<-ctx.Done()
			c.Check(context.Cause(ctx), qt.Equals, drain.ErrCutOff)
			http.Error(w, "cut off", http.StatusBadGateway)
		})}
		sockets := &endpoints{requests: []*http.Server{server}, servers: []*http.Server{server}}
		go func() { _ = server.Serve(listener) }()
		c.Check(listener.Deliver(context.Background(), &slowConn{end, 100 * time.Millisecond}), qt.IsNil)
		go func() { _, _ = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n") }()
		received := make(chan string, 1)
		go func() {
			text, _ := io.ReadAll(caller)
			received <- string(text)
		}()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		began := time.Now()
		c.Check(n.finishRequests(ctx, sockets, 300*time.Millisecond), qt.Equals, 1)
		c.Check(time.Since(began) < 3300*time.Millisecond, qt.IsTrue)
		sockets.close()
		answer := <-received
		c.Check(strings.HasPrefix(answer, "HTTP/1.1 502 Bad Gateway\r\n"), qt.IsTrue, qt.Commentf("%q", answer))
		c.Check(strings.HasSuffix(answer, "cut off\n"), qt.IsTrue, qt.Commentf("%q", answer))
		c.Check(caller.Close(), qt.IsNil)
		time.Sleep(time.Minute)
	})
}

// TestReloadCutsNothing reloads the settings, as after SIGHUP, while a request runs. It
// guards against a reload that acts like a stop.
func TestReloadCutsNothing(t *testing.T) {
	c := qt.New(t)
	n := &Node{Log: slog.New(slog.DiscardHandler)}
	n.components.Dispatcher = &dispatch.Dispatcher{}
	ctx, cancel := context.WithCancelCause(context.Background())
	defer n.activeRequests.Begin(cancel)()
	for range 3 {
		n.Reload(settings.Settings{Platform: &settings.Platform{}})
	}
	c.Check(ctx.Err(), qt.IsNil)
	c.Check(n.draining.Load() || n.leaving.Load(), qt.IsFalse)
	c.Check(n.components.Dispatcher.Stops(), qt.IsFalse)
}
