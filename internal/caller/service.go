package caller

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/claim"
	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/engine"
)

const (
	// serviceConcurrency is the number of requests that a node runs concurrently
	// at one server of a plain service.
	serviceConcurrency = 256
	// tableRetryAfter is the Retry-After value of refusals after the table failed.
	tableRetryAfter = 5 * time.Second
)

// serviceCall sends a call to servers of a plain service.
type serviceCall struct {
	*Server
	call *Call
}

var _ dispatch.Message = (*serviceCall)(nil)

// callService dispatches a call to a plain service and reads the answer. A call
// that is not idempotent is retried only if no part of it has been sent.
func (s *Server) callService(call *Call) error {
	call.Message = &serviceCall{Server: s, call: call}
	call.Pool, call.Idempotent = call.Target.Pool, call.Target.Idempotent
	return s.dispatcher.Do(&call.Call)
}

// Resumable implements [dispatch.Message].
func (c *serviceCall) Resumable() bool { return true }

// Open implements [dispatch.Message].
func (c *serviceCall) Open(ctx context.Context, attempt *dispatch.Attempt) (dispatch.Answer, error) {
	request, err := c.request(ctx, attempt)
	if err != nil {
		return nil, err
	}
	answer := &serviceAnswer{}
	answer.setUp(ctx, c.Server, c.call)
	if err := answer.open(c.transport(attempt), request, attempt); err != nil {
		return nil, err
	}
	if answer.body, err = answer.ReadWhole(answer.memory.Reserve); err != nil {
		answer.Close()
		return nil, err
	}
	return answer, nil
}

// transport returns the transport for an attempt. Calls that must not be sent
// twice and retries use new connections, since the server may close a pooled
// connection while the call is sent.
func (c *serviceCall) transport(attempt *dispatch.Attempt) http.RoundTripper {
	if !c.call.Idempotent || attempt.Fresh || attempt.Retry {
		return c.transports.fresh
	}
	return c.transports.pooled
}

// serviceAnswer is the complete answer of a plain service.
type serviceAnswer struct{ exchange }

// Relay implements [dispatch.Answer]. The answer is sent to the caller after it
// has been recorded, by writeServiceAnswer.
func (a *serviceAnswer) Relay() error {
	a.call.answer = &claim.Answer{
		Status: a.Response.StatusCode, ContentType: a.Response.Header.Get("Content-Type"), Body: a.body.Bytes(),
	}
	return nil
}

// serviceHeaders are the request headers that are forwarded to a plain service.
var serviceHeaders = []string{"Content-Type", "Accept", "Accept-Language", idempotencyKeyHeader}

// request builds the HTTP request of the call for a server of the plain service.
func (c *serviceCall) request(ctx context.Context, attempt *dispatch.Attempt) (request *http.Request, err error) {
	call := c.call
	url := "http://" + attempt.Replica.Address + call.Target.Path
	if query := call.Request.URL.RawQuery; query != "" {
		url += "?" + query
	}
	// A body that cannot be rewound, even if it is empty, prevents the transport
	// from retrying the call by itself.
	var body onceReader
	body.Reset(call.Body)
	request, err = http.NewRequestWithContext(ctx, call.Request.Method, url, &body)
	if err != nil {
		return nil, errors.Wrapf(err, "request to %s", attempt.Replica.Server)
	}
	request.ContentLength = int64(len(call.Body))
	for _, name := range serviceHeaders {
		if value := call.Request.Header.Get(name); value != "" {
			request.Header.Set(name, value)
		}
	}
	request.Header.Set(engine.RequestIDHeader, string(call.ID))
	request.Header.Set(engine.DeadlineHeader, strconv.FormatInt(max(1, call.TimeLeft().Milliseconds()), 10))
	return request, nil
}

// onceReader hides the type bytes.Reader from net/http, which would otherwise be
// able to rewind the body.
type onceReader struct{ bytes.Reader }
