package caller

import (
	"context"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/backend"
	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/drain"
	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/http1"
	"github.com/guavatrack/guavatrack/internal/retry"
)

// errGap is returned when a resumed stream continues after the expected event.
var errGap = errors.New("events are missing from the stream")

// exchange is one request to one backend server and the answer to it.
type exchange struct {
	// Answer is nil until the header has been received.
	*backend.Answer
	call       *Call
	transports *transports
	ctx        context.Context //nolint:containedctx // an exchange lives as long as its context
	// memory is reserved for the answer until the exchange is closed.
	memory drain.Reservations
	// body is the body of an answer that is not streamed.
	body *http1.Body
}

// setUp prepares an exchange for a call.
func (e *exchange) setUp(ctx context.Context, s *Server, call *Call) {
	e.ctx, e.call, e.transports = ctx, call, &s.transports
	e.memory.Requests, e.memory.Limit = &s.active, int64(s.MaxAnswerMemory)
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
		return &dispatch.FailureError{Kind: retry.ResponseMismatch, Err: backend.ErrResponseMismatch}
	}
	return statusFailure(e.Response.StatusCode)
}

// Close implements [dispatch.Answer]. If the connection or server was found
// silent, it also closes idle connections, since they may be silent as well.
func (e *exchange) Close() {
	cause := context.Cause(e.ctx)
	if errors.Is(cause, dispatch.ErrSilentConnection) || errors.Is(cause, dispatch.ErrSilentServer) {
		e.transports.closeIdle()
	}
	if e.Answer != nil {
		e.Answer.Close()
	}
	e.memory.Release()
}

// statusFailure returns the failure indicated by an HTTP status; nil if the answer
// is to be relayed.
func statusFailure(status int) error {
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
