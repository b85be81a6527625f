// Package backend has what every exchange with a backend server over HTTP has in
// common, whatever the request is: the attempt learns when bytes may reach the
// server and whenever something of the answer has come.
package backend

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/dispatch"
)

// Errors of an exchange.
var (
	// ErrForeign says that an answer names another request than the one sent.
	ErrForeign  = errors.New("answer belongs to another request")
	errTooLarge = errors.New("answer too large")
)

// Answer is an answer whose header has come.
type Answer struct {
	Attempt  *dispatch.Attempt
	Response *http.Response
}

// Traced returns a context under which a request tells the attempt as soon as a
// connection is at hand, which is before the first byte is sent.
func Traced(ctx context.Context, attempt *dispatch.Attempt) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { attempt.MarkSent() },
	})
}

// Send sends a request with a body of some size in bytes, whose context is a
// [Traced] one, and reads the header of the answer.
func Send(transport http.RoundTripper, request *http.Request, attempt *dispatch.Attempt, size int) (*Answer, error) {
	attempt.AddRequestSize(size)
	response, err := transport.RoundTrip(request) //nolint:bodyclose // closed by Answer.Close
	if err != nil {
		return nil, errors.Wrapf(err, "send to %s", attempt.Replica.Server)
	}
	attempt.AddReceived(0)
	return &Answer{Attempt: attempt, Response: response}, nil
}

// Read implements [io.Reader] over the body of the answer.
func (a *Answer) Read(into []byte) (int, error) {
	count, err := a.Response.Body.Read(into)
	if count > 0 {
		a.Attempt.AddReceived(count)
	}
	return count, err
}

// Close ends the exchange, whatever is left of the answer.
func (a *Answer) Close() { _ = a.Response.Body.Close() }

// maxWhole bounds an answer that is not streamed, in bytes.
const maxWhole = 16 << 20

// ReadWhole reads the whole answer, so that no part of one that breaks off reaches
// the caller.
func (a *Answer) ReadWhole() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a, maxWhole+1))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if len(body) > maxWhole {
		return nil, errTooLarge
	}
	return body, nil
}
