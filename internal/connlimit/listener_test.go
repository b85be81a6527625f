package connlimit_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/connlimit"
)

// pipes is a listener whose connections are pipes.
type pipes chan net.Conn

func (p pipes) Accept() (net.Conn, error) {
	connection, open := <-p
	if !open {
		return nil, net.ErrClosed
	}
	return connection, nil
}
func (pipes) Close() error   { return nil }
func (pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p pipes) dial() net.Conn {
	near, far := net.Pipe()
	p <- far
	return near
}

// serve runs an HTTP server behind the limits and calls a function with its listener.
func serve(t *testing.T, listener *connlimit.Listener, handler http.HandlerFunc, use func(c *qt.C, dial func() net.Conn)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		raw := make(pipes)
		listener.Listener, listener.HTTP, listener.Counters = raw, true, connlimit.NewCounters(nil)
		server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, ConnState: listener.ConnState, ConnContext: listener.ConnContext}
		done := make(chan struct{})
		go func() { _ = server.Serve(listener); close(done) }()
		use(qt.New(t), raw.dial)
		close(raw)
		<-done
		_ = server.Close()
		time.Sleep(time.Second) // refused connections are read for a while
		qt.New(t).Check(listener.Table.Account.Used(), qt.Equals, int64(0), qt.Commentf("memory of closed connections"))
		qt.New(t).Check(listener.Table.Count(), qt.Equals, 0)
	})
}

// exchange writes a request and returns the status of the answer; 0 if there is none.
func exchange(connection net.Conn, request string) int {
	go func() { _, _ = io.WriteString(connection, request) }()
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

func fields(count int) string { return strings.Repeat("a: b\r\n", count) }

const requestLine = "GET / HTTP/1.1\r\nHost: a\r\n"

// TestRequestWithTooManyFields guards against nodes that parse headers of any number of fields. On
// the same connection each request is counted alone.
func TestRequestWithTooManyFields(t *testing.T) {
	listener := &connlimit.Listener{HeaderFields: 100, Table: &connlimit.Table{Account: connlimit.NewAccount(1 << 20)}}
	serve(t, listener, func(http.ResponseWriter, *http.Request) {}, func(c *qt.C, dial func() net.Conn) {
		connection := dial()
		for range 5 {
			c.Check(exchange(connection, requestLine+fields(99)+"\r\n"), qt.Equals, http.StatusOK)
		}
		c.Check(exchange(connection, requestLine+fields(101)), qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
		c.Check(listener.Counters.ManyFields.Count(), qt.Equals, int64(1))
	})
}

// TestHeadersThatDoNotEnd guards against nodes that run out of memory because of headers that
// have arrived almost whole: they share the account, and an ordinary request is answered.
func TestHeadersThatDoNotEnd(t *testing.T) {
	listener := &connlimit.Listener{HeaderFields: 256, Table: &connlimit.Table{Account: connlimit.NewAccount(512 << 10), Memory: 4 << 10}}
	serve(t, listener, func(http.ResponseWriter, *http.Request) {}, func(c *qt.C, dial func() net.Conn) {
		for range 100 {
			connection := dial()
			go func() { _, _ = io.WriteString(connection, requestLine+fields(250)) }()
			go func() { _, _ = io.Copy(io.Discard, connection) }()
			synctest.Wait()
		}
		refused := listener.Counters.HeaderMemory.Count()
		c.Check(refused > 0, qt.IsTrue)
		c.Check(refused+listener.Counters.Refused.Count() > 80, qt.IsTrue)
		c.Check(listener.Table.Account.Used() <= 512<<10, qt.IsTrue)
		time.Sleep(200 * time.Millisecond)
		c.Check(exchange(dial(), requestLine+"\r\n"), qt.Equals, http.StatusOK)
	})
}

// TestConnectionBeyondTheLimitIsToldSo guards against callers that can't tell whether their request
// has run: they get 503 with Retry-After before anything is read.
func TestConnectionBeyondTheLimitIsToldSo(t *testing.T) {
	release := make(chan struct{})
	listener := &connlimit.Listener{Table: &connlimit.Table{Connections: 1, Account: connlimit.NewAccount(1 << 20)}}
	handler := func(_ http.ResponseWriter, r *http.Request) {
		connlimit.ConnOf(r.Context()).SetState(connlimit.Busy)
		<-release
	}
	serve(t, listener, handler, func(c *qt.C, dial func() net.Conn) {
		release = make(chan struct{})
		first := dial()
		go func() { _, _ = io.WriteString(first, requestLine+"\r\n") }()
		time.Sleep(time.Minute)
		second := dial()
		response, err := http.ReadResponse(bufio.NewReader(second), nil)
		c.Assert(err, qt.IsNil)
		c.Check(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		c.Check(response.Header.Get("Retry-After"), qt.Equals, "1.00")
		close(release)
		response, err = http.ReadResponse(bufio.NewReader(first), nil)
		c.Assert(err, qt.IsNil)
		c.Check(response.StatusCode, qt.Equals, http.StatusOK)
		c.Check(fmt.Sprint(listener.Counters.Refused.Count(), listener.Counters.Displaced.Count()), qt.Equals, "1 0")
	})
}
