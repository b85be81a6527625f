// Package http1 holds the transport of all HTTP requests that a node sends: to backend
// servers, to the store and to the list of VMs.
//
// net/http passes on some bytes that are no answer to a request as if they were one. After
// 101 it hands over the connection itself as the body, whose reads no longer end with the
// request's context. A body with neither a length nor chunks ends for it with any end of file,
// also one that stands for a reset.
package http1

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Transport is a [http.Transport] that takes only final responses of the protocol for
// answers, and only whole ones. After any other head it closes the connection and fails with
// [ErrNoResponse]. It is made by [New].
type Transport struct {
	*http.Transport
}

var _ http.RoundTripper = (*Transport)(nil)

// New returns a transport with the settings of another one, which it changes.
func New(transport *http.Transport) *Transport {
	dial := transport.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	transport.DialContext = tellingResets(dial)
	return &Transport{transport}
}

// Of returns a transport that takes for answers what a [Transport] does. It has the settings
// of a transport of net/http, but no connections in common with it. nil stands for one
// transport with the settings of [http.DefaultTransport]. Of a transport of another type, or
// one with the deprecated field Dial, only heads and trailer sections are checked.
func Of(transport http.RoundTripper) http.RoundTripper {
	if transport == nil {
		return defaultTransport()
	}
	return wrap(transport)
}

// defaultTransport returns the transport that nil stands for.
var defaultTransport = sync.OnceValue(func() http.RoundTripper { return wrap(http.DefaultTransport) })

// wrap is [Of] for a transport that is not nil.
func wrap(transport http.RoundTripper) http.RoundTripper {
	switch given := transport.(type) {
	case *http.Transport:
		if given.Dial != nil { //nolint:staticcheck // set by users of net/http before contexts
			return checked{given}
		}
		return newCopy(given)
	case *Transport, checked:
		return given
	default:
		return checked{given}
	}
}

// newCopy returns a transport with the settings of another one.
func newCopy(plain *http.Transport) *Transport {
	copied := plain.Clone()
	// net/http uses HTTP/2 by itself only where it dials by itself.
	copied.ForceAttemptHTTP2 = plain.ForceAttemptHTTP2 || plain.DialContext == nil && plain.TLSClientConfig == nil
	return New(copied)
}

// RoundTrip implements [http.RoundTripper].
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var connection net.Conn
	trace := &httptrace.ClientTrace{GotConn: func(got httptrace.GotConnInfo) {
		connection = got.Conn
		if plain, is := connection.(*conn); is {
			plain.expectsHead.Store(true)
		}
	}}
	ctx := httptrace.WithClientTrace(request.Context(), trace)
	response, err := checked{t.Transport}.RoundTrip(request.WithContext(ctx))
	if errors.Is(err, ErrNoResponse) && connection != nil {
		// net/http may use the connection again if the answer has no body.
		_ = connection.Close()
	}
	return response, err
}

// WithoutReuse returns a copy of the transport that opens a connection for each request.
func (t *Transport) WithoutReuse() *Transport {
	fresh := t.Clone()
	fresh.DisableKeepAlives = true
	return &Transport{fresh}
}

// NewClient returns a client with the settings of [http.DefaultTransport] and a timeout of
// each call; 0 means none.
func NewClient(timeout time.Duration) *http.Client {
	return &http.Client{Transport: wrap(http.DefaultTransport), Timeout: timeout}
}

// WithoutReuse returns a copy of the transport that [Of] returns, which opens a connection for
// each request, if the given one is of net/http.
func WithoutReuse(transport http.RoundTripper) http.RoundTripper {
	of := Of(transport)
	if kept, is := of.(*Transport); is {
		return kept.WithoutReuse()
	}
	return of
}
