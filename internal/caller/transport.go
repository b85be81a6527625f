package caller

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Settings of connections to backend servers.
const (
	dialTimeout     = time.Second
	keepAlive       = 15 * time.Second
	idleConnTimeout = 30 * time.Second
	maxIdleConns    = 4096
	maxIdlePerHost  = 256
	connBuffer      = 16 << 10
	// idleDropInterval is the shortest time between two closings of all idle
	// connections.
	idleDropInterval = 200 * time.Millisecond
)

// transports carry requests to backend servers.
type transports struct {
	// pooled keeps connections for further requests.
	pooled *http.Transport
	// fresh opens a connection for each request. It is used where a kept
	// connection may have gone silent and where a request must not be lost to a
	// connection that the server closes at the same moment.
	fresh     *http.Transport
	droppedAt atomic.Int64
}

func (t *transports) setUp(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}).DialContext
	}
	t.pooled = &http.Transport{
		DialContext:         dial,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		ReadBufferSize:      connBuffer,
		WriteBufferSize:     connBuffer,
	}
	t.fresh = t.pooled.Clone()
	t.fresh.DisableKeepAlives = true
}

// dropIdle closes idle connections, since some of them may have gone silent
// together with one that has been found silent.
func (t *transports) dropIdle() {
	now := time.Now()
	last := t.droppedAt.Load()
	if now.UnixNano()-last < int64(idleDropInterval) || !t.droppedAt.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	t.pooled.CloseIdleConnections()
}

func (t *transports) close() {
	t.pooled.CloseIdleConnections()
	t.fresh.CloseIdleConnections()
}
