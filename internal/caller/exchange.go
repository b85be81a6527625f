package caller

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/retry"
)

// Errors of an exchange.
var (
	errForeign  = errors.New("answer belongs to another request")
	errGap      = errors.New("events are missing from the stream")
	errTooLarge = errors.New("answer too large")
)

// exchange is one request to one backend server with its answer.
type exchange struct {
	call       *Call
	attempt    *dispatch.Attempt
	transports *transports
	ctx        context.Context //nolint:containedctx // an exchange lives as long as its context
	response   *http.Response
	// body is the answer if it is not a stream.
	body []byte
}

// open sends the request and reads the header of the answer.
func (e *exchange) open(transport http.RoundTripper, request *http.Request) (err error) {
	defer func() {
		if err != nil {
			e.Close()
		}
	}()
	e.attempt.Sized(len(e.call.Body))
	response, err := transport.RoundTrip(request) //nolint:bodyclose // closed by Close
	if err != nil {
		return errors.Wrapf(err, "send to %s", e.attempt.Replica.Server)
	}
	e.response = response
	e.attempt.Received(0)
	id := response.Header.Get(engine.RequestIDHeader)
	if id != "" && id != string(e.call.ID) {
		return &dispatch.FailureError{Kind: retry.Crossed, Err: errForeign}
	}
	return failureOf(response.StatusCode)
}

// Read implements [io.Reader] over the body of the answer.
func (e *exchange) Read(into []byte) (int, error) {
	count, err := e.response.Body.Read(into)
	if count > 0 {
		e.attempt.Received(count)
	}
	return count, err
}

// Close implements [dispatch.Answer]. Other idle connections may have gone
// silent together with one that has been found silent.
func (e *exchange) Close() {
	cause := context.Cause(e.ctx)
	if errors.Is(cause, dispatch.ErrSilentConnection) || errors.Is(cause, dispatch.ErrSilentServer) {
		e.transports.dropIdle()
	}
	if e.response != nil {
		_ = e.response.Body.Close()
	}
}

// failureOf returns the failure that a status stands for; nil if the answer is
// to be relayed.
func failureOf(status int) error {
	kind := retry.Faulty
	switch {
	case status == http.StatusNotFound, status == http.StatusConflict:
		kind = retry.Absent
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		kind = retry.Declined
	case status < http.StatusInternalServerError:
		return nil
	}
	return &dispatch.FailureError{Kind: kind, Err: errors.New("backend server answered " + strconv.Itoa(status))}
}

// maxAnswer bounds an answer that is not streamed, in bytes.
const maxAnswer = 16 << 20

// readAnswer reads a whole answer, so that no part of one that breaks off
// reaches the caller.
func readAnswer(source io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(source, maxAnswer+1))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if len(body) > maxAnswer {
		return nil, errTooLarge
	}
	return body, nil
}
