package guavatrack_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/pkg/guavatrack"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

// startFakeNode starts a fake node and returns its address. It answers look-ups
// with addresses and passes all other requests to serve.
func startFakeNode(t *testing.T, lookups *atomic.Int64, addresses func() []string, serve http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/where" {
			serve(w, r)
			return
		}
		lookups.Add(1)
		_, _ = fmt.Fprintf(w, `{"addresses":["%s"],"keepFor":"10s"}`, strings.Join(addresses(), `","`))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func bookingRequest() guavatrack.Request {
	return guavatrack.Request{Method: http.MethodPost, Path: "/orders/book", Body: []byte(`{}`)}
}

// TestPartOfAnAnswerIsRetried guards against a part of an answer that is returned as the
// whole: whatever stands for the node answers each first attempt, before it has read the long
// body, with neither a length nor chunks, and resets the connection after a part.
func TestPartOfAnAnswerIsRetried(t *testing.T) {
	const calls, size = 10, 8 << 20
	c := qt.New(t)
	var lookups, attempts atomic.Int64
	var address string
	address = startFakeNode(t, &lookups, func() []string { return []string{address} }, func(w http.ResponseWriter, r *http.Request) {
		if attempts.Add(1)%2 == 0 {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(w, "booked")
			return
		}
		connection, _, err := http.NewResponseController(w).Hijack()
		c.Check(err, qt.IsNil)
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n\r\nboo")
		_, _ = io.CopyN(io.Discard, connection, size/4)
		c.Check(connection.(*net.TCPConn).SetLinger(0), qt.IsNil)
		c.Check(connection.Close(), qt.IsNil)
	})
	for name, client := range map[string]*http.Client{"none": nil, "default": {}, "own": {Transport: &http.Transport{}}} {
		c := qt.New(t)
		caller := &guavatrack.Client{Nodes: []string{address}, Scheme: "http", HTTP: client}
		for range calls {
			request := bookingRequest()
			request.Body = make([]byte, size)
			response, err := caller.Do(t.Context(), request)
			c.Assert(err, qt.IsNil)
			c.Assert(string(response.Body), qt.Equals, "booked", qt.Commentf("HTTP client: %s", name))
		}
	}
}

// roundTripper is a transport that is not of net/http.
type roundTripper struct{ *http.Transport }

// brokenHeads are beginnings of answers, from the status on, that are none of the protocol.
var brokenHeads = map[string]string{
	"status 000":                      "000 Nothing",
	"blank before the colon":          "200 OK\r\nOdd : a",
	"blank inside a name":             "200 OK\r\nOdd Name: a",
	"blank in the name of the coding": "200 OK\r\nTransfer-Encoding : chunked",
	"control byte in a name":          "200 OK\r\nOd\x01d: a",
}

// TestBrokenHeadIsRetried guards against bytes that are returned as an answer although their
// head is none of the protocol. Whatever stands for the node sends them in each first attempt.
func TestBrokenHeadIsRetried(t *testing.T) {
	for name, first := range brokenHeads {
		for kind, client := range map[string]*http.Client{
			"none": nil, "default": {}, "own": {Transport: &http.Transport{}}, "other": {Transport: &roundTripper{&http.Transport{}}},
		} {
			t.Run(name+", HTTP client: "+kind, func(t *testing.T) {
				c := qt.New(t)
				var lookups, attempts atomic.Int64
				var address string
				address = startFakeNode(t, &lookups, func() []string { return []string{address} }, func(w http.ResponseWriter, _ *http.Request) {
					if attempts.Add(1) > 1 {
						_, _ = io.WriteString(w, "booked")
						return
					}
					connection, _, err := http.NewResponseController(w).Hijack()
					c.Check(err, qt.IsNil)
					_, _ = io.WriteString(connection, "HTTP/1.1 "+first+"\r\nContent-Length: 6\r\n\r\nbroken")
					c.Check(connection.Close(), qt.IsNil)
				})
				caller := &guavatrack.Client{Nodes: []string{address}, Scheme: "http", HTTP: client}
				response, err := caller.Do(t.Context(), bookingRequest())
				c.Assert(err, qt.IsNil)
				c.Check(response.Status, qt.Equals, http.StatusOK)
				c.Check(string(response.Body), qt.Equals, "booked")
			})
		}
	}
}

func TestFailoverKeepsIdempotencyKey(t *testing.T) {
	c := qt.New(t)
	var lookups atomic.Int64
	var addresses []string
	keys := make(chan string, 10)
	nodeAddresses := func() []string { return addresses }
	failing := startFakeNode(t, &lookups, nodeAddresses, func(_ http.ResponseWriter, r *http.Request) {
		keys <- r.Header.Get("Idempotency-Key")
		panic(http.ErrAbortHandler)
	})
	healthy := startFakeNode(t, &lookups, nodeAddresses, func(w http.ResponseWriter, r *http.Request) {
		keys <- r.Header.Get("Idempotency-Key")
		_, _ = io.WriteString(w, "booked")
	})
	addresses = []string{failing, healthy}
	client := &guavatrack.Client{Nodes: []string{healthy}, Scheme: "http"}
	response, err := client.Do(t.Context(), bookingRequest())
	c.Assert(err, qt.IsNil)
	c.Assert(string(response.Body), qt.Equals, "booked")
	first, second := <-keys, <-keys
	c.Assert(first, qt.Not(qt.Equals), "")
	c.Assert(second, qt.Equals, first)
	lookups.Store(0)
	_, err = client.Do(t.Context(), bookingRequest())
	c.Assert(err, qt.IsNil)
	c.Assert(lookups.Load() <= 1, qt.IsTrue, qt.Commentf("the answer is kept"))
}

func TestClientRetriesAfterRetryAfter(t *testing.T) {
	c := qt.New(t)
	var lookups, calls atomic.Int64
	var address string
	address = startFakeNode(t, &lookups, func() []string { return []string{address} }, func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 1 {
			refused := refusal.Refusal{Reason: refusal.Overloaded, RetryAfter: 50 * time.Millisecond}
			_ = refused.Answer(w)
			return
		}
		_, _ = io.WriteString(w, "booked")
	})
	client := &guavatrack.Client{Nodes: []string{address}, Scheme: "http"}
	_, err := client.Do(t.Context(), bookingRequest())
	c.Assert(err, qt.IsNil)
	c.Assert(calls.Load(), qt.Equals, int64(2))
}

func TestClientReturnsRefusals(t *testing.T) {
	c := qt.New(t)
	var lookups atomic.Int64
	var address string
	address = startFakeNode(t, &lookups, func() []string { return []string{address} }, func(w http.ResponseWriter, _ *http.Request) {
		_ = refusal.New(refusal.OutcomeUnknown, "lost").Answer(w)
	})
	client := &guavatrack.Client{Nodes: []string{"127.0.0.1:1", address}, Scheme: "http"}
	_, err := client.Do(t.Context(), bookingRequest())
	refused, is := refusal.As(err)
	c.Assert(is, qt.IsTrue)
	c.Assert(refused.Reason, qt.Equals, refusal.OutcomeUnknown)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	unreachable := &guavatrack.Client{Nodes: []string{"127.0.0.1:1"}, Scheme: "http"}
	_, err = unreachable.Do(ctx, bookingRequest())
	c.Assert(err, qt.ErrorIs, guavatrack.ErrNoNode)
}

func TestClientResumesAStream(t *testing.T) {
	c := qt.New(t)
	var lookups, calls atomic.Int64
	var address string
	address = startFakeNode(t, &lookups, func() []string { return []string{address} }, func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			_, _ = io.WriteString(w, "id: x/0\ndata: a\n\nid: x/1\ndata: b\n\nid: x/2\nda")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		c.Check(r.Header.Get("Last-Event-Id"), qt.Equals, "x/1")
		_, _ = io.WriteString(w, "id: x/2\ndata: c\n\ndata: [DONE]\n\n")
	})
	client := &guavatrack.Client{Nodes: []string{address}, Scheme: "http"}
	var text string
	err := client.Stream(t.Context(), guavatrack.Request{
		Method: http.MethodPost, Path: "/v1/chat/completions", Model: "hop", Body: []byte(`{"stream":true}`),
	}, func(data string) error {
		text += data
		return nil
	})
	c.Assert(err, qt.IsNil)
	c.Assert(text, qt.Equals, "abc")
}

// TestClientEndsAStreamWithALineWithoutEnd checks that the memory of a client is bounded
// and that it does not resume such a stream.
func TestClientEndsAStreamWithALineWithoutEnd(t *testing.T) {
	c := qt.New(t)
	var lookups, calls, sent atomic.Int64
	var address string
	address = startFakeNode(t, &lookups, func() []string { return []string{address} }, func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		piece := strings.Repeat("x", 16<<10)
		for sent.Load() < 64<<20 {
			count, err := io.WriteString(w, piece)
			if err != nil {
				return
			}
			sent.Add(int64(count))
		}
	})
	client := &guavatrack.Client{Nodes: []string{address}, Scheme: "http"}
	err := client.Stream(t.Context(), guavatrack.Request{
		Method: http.MethodPost, Path: "/v1/chat/completions", Model: "hop", Body: []byte(`{"stream":true}`),
	}, func(string) error { return nil })
	c.Assert(err, qt.ErrorMatches, "(?s).*line too long.*")
	c.Assert(calls.Load(), qt.Equals, int64(1))
	c.Assert(sent.Load() < 64<<20, qt.IsTrue)
}
