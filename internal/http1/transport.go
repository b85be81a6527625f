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
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// ErrNoResponse is returned if a server sent a head that is no final answer to the request.
var ErrNoResponse = errors.New("the server's bytes are no response to the request")

// Transport is a [http.Transport] that takes only final responses of the protocol for
// answers, and only whole ones. After any other head it closes the connection and fails. It is
// made by [New].
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
// transport with the settings of [http.DefaultTransport]. A transport of another type is
// returned as is.
func Of(transport http.RoundTripper) http.RoundTripper {
	switch plain := transport.(type) {
	case nil:
		return defaultTransport()
	case *http.Transport:
		return newCopy(plain)
	default:
		return transport
	}
}

// newCopy returns a transport with the settings of another one.
func newCopy(plain *http.Transport) *Transport {
	copied := plain.Clone()
	// net/http uses HTTP/2 by itself only where it dials by itself.
	copied.ForceAttemptHTTP2 = plain.ForceAttemptHTTP2 || plain.DialContext == nil && plain.TLSClientConfig == nil
	return New(copied)
}

// defaultTransport returns the transport that nil stands for.
var defaultTransport = sync.OnceValue(ofDefault)

// ofDefault returns a transport with the settings of [http.DefaultTransport]; that itself if
// it is not of net/http.
func ofDefault() http.RoundTripper {
	if plain, is := http.DefaultTransport.(*http.Transport); is {
		return newCopy(plain)
	}
	return http.DefaultTransport
}

// RoundTrip implements [http.RoundTripper].
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(request)
	if err != nil || isFinal(response.StatusCode) {
		return response, err
	}
	// net/http does not use the connection again after such a status.
	err = errors.Wrapf(ErrNoResponse, "status %03d", response.StatusCode)
	return nil, errors.Join(err, response.Body.Close())
}

// isFinal reports whether a status is that of a final response. No request of a node asks
// for a change of protocol.
func isFinal(status int) bool { return status >= http.StatusOK }

// WithoutReuse returns a copy of the transport that opens a connection for each request.
func (t *Transport) WithoutReuse() *Transport {
	fresh := t.Clone()
	fresh.DisableKeepAlives = true
	return &Transport{fresh}
}

// NewClient returns a client with the settings of [http.DefaultTransport] and a timeout of
// each call; 0 means none.
func NewClient(timeout time.Duration) *http.Client {
	return &http.Client{Transport: ofDefault(), Timeout: timeout}
}

// WithoutReuse returns a copy of the transport that [Of] returns, which opens a connection for
// each request. A transport of another type is returned as is.
func WithoutReuse(transport http.RoundTripper) http.RoundTripper {
	of := Of(transport)
	if kept, is := of.(*Transport); is {
		return kept.WithoutReuse()
	}
	return of
}
