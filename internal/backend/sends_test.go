package backend_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/backend"
)

// TestNothingIsSentIfNotAllowed guards against a request that reaches a server although the
// tokens of its attempt have lapsed, over a new connection or one that is kept.
func TestNothingIsSentIfNotAllowed(t *testing.T) {
	c := qt.New(t)
	var received atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	defer server.Close()
	send := func(allowed bool) error {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		sends := &backend.Sends{OnSend: func() bool {
			if !allowed {
				cancel()
			}
			return allowed
		}}
		request, err := http.NewRequestWithContext(sends.Trace(ctx), http.MethodGet, server.URL, http.NoBody)
		c.Assert(err, qt.IsNil)
		response, err := server.Client().Do(request)
		if err != nil {
			return err
		}
		_, _ = io.Copy(io.Discard, response.Body)
		return response.Body.Close()
	}
	for range 50 {
		c.Assert(send(false), qt.IsNotNil)
	}
	c.Assert(send(true), qt.IsNil)
	for range 50 {
		c.Assert(send(false), qt.IsNotNil)
		c.Assert(send(true), qt.IsNil)
	}
	c.Check(received.Load(), qt.Equals, int64(51))
}
