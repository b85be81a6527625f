package engine_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/engine"
)

// listenRaw serves connections of the loopback interface by a function and returns the
// address and the number of connections.
func listenRaw(c *qt.C, serve func(requests func() bool, w io.Writer)) (address string, count *atomic.Int32) {
	listener, err := (&net.ListenConfig{}).Listen(c.Context(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	count = &atomic.Int32{}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			count.Add(1)
			reader := bufio.NewReader(connection)
			go serve(func() bool {
				request, err := http.ReadRequest(reader)
				if err == nil {
					_, _ = io.Copy(io.Discard, request.Body)
				}
				return err == nil
			}, connection)
		}
	}()
	return listener.Addr().String(), count
}

// TestOrderIsNotAnsweredByAnEarlierRefusal guards against grants that were given up,
// although the engine carried out their order: it wrote an earlier refusal once more on
// the connection of the reports, which carried the order too.
func TestOrderIsNotAnsweredByAnEarlierRefusal(t *testing.T) {
	c := qt.New(t)
	address, connections := listenRaw(c, func(next func() bool, w io.Writer) {
		if !next() {
			return
		}
		_, _ = io.WriteString(w, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
		for next() {
			_, _ = io.WriteString(w, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		}
	})
	client := &engine.Client{Address: address, HTTP: &http.Client{Transport: &http.Transport{}}}
	c.Check(client.Ping(c.Context()), qt.IsNil)
	c.Check(client.Load(c.Context(), engine.LoadOrder{}), qt.IsNil)
	c.Check(client.Unload(c.Context(), engine.UnloadOrder{}), qt.IsNil)
	c.Check(connections.Load(), qt.Equals, int32(3))
}
