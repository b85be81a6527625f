package caller

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
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
)

// newTransport returns the transport for requests to backend servers.
func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		ReadBufferSize:      connBuffer,
		WriteBufferSize:     connBuffer,
	}
}

// traceSent marks the call as sent as soon as a connection is at hand, which is
// before the first byte.
func traceSent(ctx context.Context, call *Call) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { call.sent.Store(true) },
	})
}
