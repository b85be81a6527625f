package caller

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/backend"
	"github.com/guavatrack/guavatrack/internal/claim"
	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/engine"
)

const (
	// serviceLimit is the number of requests of a node that run at once at one
	// server of a plain service.
	serviceLimit = 256
	// tableRetryAfter is when to come back after the table failed.
	tableRetryAfter = 5 * time.Second
)

// serviceCall is a call of a plain service on the wire.
type serviceCall struct {
	*Server
	call *Call
}

var _ dispatch.Message = (*serviceCall)(nil)

// callService has a call carried to a plain service and its answer read. A call
// that is not idempotent is sent again only while nothing of it was sent.
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
	e := &serviceAnswer{exchange{call: c.call, transports: &c.transports, ctx: ctx}}
	if err := e.open(c.transport(attempt), request, attempt); err != nil {
		return nil, err
	}
	if e.body, err = e.ReadWhole(); err != nil {
		e.Close()
		return nil, err
	}
	return e, nil
}

// transport returns new connections for calls that must not be sent twice,
// since a kept connection may be closed while they are sent.
func (c *serviceCall) transport(attempt *dispatch.Attempt) http.RoundTripper {
	if !c.call.Idempotent || attempt.Fresh || c.call.FailedAttempts() > 0 {
		return c.transports.fresh
	}
	return c.transports.pooled
}

// serviceAnswer is the whole answer of a plain service.
type serviceAnswer struct{ exchange }

// Relay implements [dispatch.Answer]. The answer goes to the caller once it is
// on record, see [Server.respond].
func (a *serviceAnswer) Relay() error {
	a.call.answer = &claim.Answer{
		Status: a.Response.StatusCode, ContentType: a.Response.Header.Get("Content-Type"), Body: a.body,
	}
	return nil
}

// serviceHeaders are the headers of a caller that reach a plain service.
var serviceHeaders = []string{"Content-Type", "Accept", "Accept-Language", idempotencyKeyHeader}

// request returns the request that sends a call to a plain service.
func (c *serviceCall) request(ctx context.Context, attempt *dispatch.Attempt) (request *http.Request, err error) {
	call := c.call
	url := "http://" + attempt.Replica.Address + call.Target.Path
	if query := call.Request.URL.RawQuery; query != "" {
		url += "?" + query
	}
	// A body that cannot be rewound, even if it is empty, keeps the transport
	// from sending a call a second time on its own.
	var body onceReader
	body.Reset(call.Body)
	request, err = http.NewRequestWithContext(backend.Traced(ctx, attempt), call.Request.Method, url, &body)
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

// onceReader hides the type of a reader from net/http, which would rewind it.
type onceReader struct{ bytes.Reader }
