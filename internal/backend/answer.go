// Package backend contains what all HTTP exchanges with backend servers have in
// common. It records in the attempt when bytes of the request may reach the server
// and when bytes of the answer are received.
package backend

import (
	"net/http"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/http1"
)

// ErrResponseMismatch is returned if an answer has the id of another request than the one
// sent.
var ErrResponseMismatch = errors.New("answer belongs to another request")

// Answer is an answer whose header has been received.
type Answer struct {
	Attempt  *dispatch.Attempt
	Response *http.Response
	// Sends tells how the request was sent.
	Sends *Sends
}

// Send sends a request and reads the header of the answer. The size is that of the
// request's body in bytes. The attempt is marked as sent before the first byte is written.
func Send(transport http.RoundTripper, request *http.Request, attempt *dispatch.Attempt, size int) (*Answer, error) {
	attempt.AddRequestSize(size)
	sent := &Sends{OnSend: attempt.MarkSent}
	response, err := transport.RoundTrip(request.WithContext(sent.Trace(request.Context()))) //nolint:bodyclose // closed by Answer.Close
	if err != nil {
		return nil, errors.Wrapf(err, "send to %s", attempt.Replica.Server)
	}
	attempt.AddEvent()
	return &Answer{Attempt: attempt, Response: response, Sends: sent}, nil
}

// Read implements io.Reader over the body of the answer.
func (a *Answer) Read(buf []byte) (int, error) {
	count, err := a.Response.Body.Read(buf)
	if count > 0 {
		a.Attempt.AddReceived(count)
	}
	return count, err
}

// Close ends the exchange and discards the rest of the answer.
func (a *Answer) Close() { _ = a.Response.Body.Close() }

// maxAnswerSize is the maximum size of an answer that is not streamed, in bytes.
const maxAnswerSize = 16 << 20

// ReadWhole reads the whole answer, so that no part of an incomplete one reaches the
// caller. It fails if the answer is larger than maxAnswerSize. reserve is called with the
// size of each further piece, in bytes, before that is read, and reports whether there is
// memory for it.
func (a *Answer) ReadWhole(reserve func(size int64) bool) (*http1.Body, error) {
	reader := http1.Reader{Size: a.Response.ContentLength, Max: maxAnswerSize, Reserve: reserve}
	body, err := reader.Read(a)
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	return body, nil
}
