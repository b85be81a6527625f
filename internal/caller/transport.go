package caller

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/guavatrack/guavatrack/internal/http1"
)

// Settings of connections to backend servers.
const (
	dialTimeout     = time.Second
	keepAlive       = 15 * time.Second
	idleConnTimeout = 30 * time.Second
	maxIdleConns    = 4096
	maxIdlePerHost  = 256
	connBuffer      = 16 << 10
	// minIdleCloseInterval is the minimum time between two calls that close all
	// idle connections.
	minIdleCloseInterval = 200 * time.Millisecond
)

// transports holds the HTTP transports to backend servers.
type transports struct {
	// pooled keeps connections for further requests.
	pooled *http1.Transport
	// fresh opens a connection for each request. It is used where a pooled
	// connection may have become silent, and where a request must not fail because
	// the server closes an idle connection while the request is sent.
	fresh        *http1.Transport
	idleClosedAt atomic.Int64
}

func (t *transports) setUp(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}).DialContext
	}
	t.pooled = http1.New(&http.Transport{
		DialContext:         dial,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		ReadBufferSize:      connBuffer,
		WriteBufferSize:     connBuffer,
	})
	t.fresh = t.pooled.WithoutReuse()
}

// closeIdle closes idle connections after one connection was found silent, since
// the same network fault may have silenced others.
func (t *transports) closeIdle() {
	now := time.Now()
	last := t.idleClosedAt.Load()
	if now.UnixNano()-last < int64(minIdleCloseInterval) || !t.idleClosedAt.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	t.pooled.CloseIdleConnections()
}

func (t *transports) close() {
	t.pooled.CloseIdleConnections()
	t.fresh.CloseIdleConnections()
}
