package caller

import (
	"context"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/backend"
	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/retry"
)

// errGap says that a stream went on too late.
var errGap = errors.New("events are missing from the stream")

// exchange is one request to one backend server with its answer.
type exchange struct {
	// Answer is nil until its header has come.
	*backend.Answer
	call       *Call
	transports *transports
	ctx        context.Context //nolint:containedctx // an exchange lives as long as its context
	// body is the answer if it is not a stream.
	body []byte
}

// open sends the request and reads the header of the answer.
func (e *exchange) open(transport http.RoundTripper, request *http.Request, attempt *dispatch.Attempt) (err error) {
	defer func() {
		if err != nil {
			e.Close()
		}
	}()
	if e.Answer, err = backend.Send(transport, request, attempt, len(e.call.Body)); err != nil {
		return err
	}
	id := e.Response.Header.Get(engine.RequestIDHeader)
	if id != "" && id != string(e.call.ID) {
		return &dispatch.FailureError{Kind: retry.ResponseMismatch, Err: backend.ErrForeign}
	}
	return failureOf(e.Response.StatusCode)
}

// Close implements [dispatch.Answer]. Other idle connections may have gone
// silent together with one that has been found silent.
func (e *exchange) Close() {
	cause := context.Cause(e.ctx)
	if errors.Is(cause, dispatch.ErrSilentConnection) || errors.Is(cause, dispatch.ErrSilentServer) {
		e.transports.dropIdle()
	}
	if e.Answer != nil {
		e.Answer.Close()
	}
}

// failureOf returns the failure that a status stands for; nil if the answer is
// to be relayed.
func failureOf(status int) error {
	kind := retry.ServerError
	switch {
	case status == http.StatusNotFound, status == http.StatusConflict:
		kind = retry.ItemNotLoaded
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		kind = retry.Declined
	case status < http.StatusInternalServerError:
		return nil
	}
	return &dispatch.FailureError{Kind: kind, Err: errors.New("backend server answered " + strconv.Itoa(status))}
}
