package caller

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/guavatrack/guavatrack/internal/claim"
	"github.com/guavatrack/guavatrack/internal/plain"
	"github.com/guavatrack/guavatrack/internal/poison"
	"github.com/guavatrack/guavatrack/internal/retry"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// Call is one request on its way through the filters.
type Call struct {
	Request  *http.Request
	Response http.ResponseWriter
	// Context ends when the caller leaves or the deadline passes.
	Context  context.Context //nolint:containedctx // a Call lives as long as its request
	Started  time.Time
	Deadline time.Time
	Snapshot *ticket.Snapshot
	Caller   fleet.CallerID
	ID       fleet.RequestID
	Key      fleet.IdempotencyKey
	Body     []byte

	// Set for completions.
	Item       fleet.Item
	Deployment *ticket.Deployment
	Class      ticket.Class
	Stream     bool
	// Next is the offset of the first event that the caller has not got.
	Next uint64

	// Target is set for calls of plain services.
	Target plain.Target

	// digest names the content, prefix the start of the prompt; 0 if none.
	digest poison.Digest
	prefix uint64
	// alone says that the call must run apart from others.
	alone bool
	// failed lists the attempts that failed.
	failed []retry.Attempt
	lane   *lane
	slot   *slot
	// answer is what a plain service answered.
	answer *claim.Answer
	// sent is set before the first byte goes to a backend server.
	sent atomic.Bool
	// begun is set before the first byte goes to the caller.
	begun bool
}

// Sent reports whether any byte may have been sent to a backend server.
func (c *Call) Sent() bool { return c.sent.Load() }

// Left returns the time until the deadline.
func (c *Call) Left() time.Duration { return time.Until(c.Deadline) }

// Handler carries out a call. An error that is no refusal is answered as a
// failure of the server.
type Handler interface {
	Handle(call *Call) error
}

// HandlerFunc is a function that is a [Handler].
type HandlerFunc func(call *Call) error

// Handle implements [Handler].
func (f HandlerFunc) Handle(call *Call) error { return f(call) }

// Filter does its part of a call and passes it on, or ends it with an error.
type Filter interface {
	Serve(call *Call, next Handler) error
}

// FilterFunc is a function that is a [Filter].
type FilterFunc func(call *Call, next Handler) error

// Serve implements [Filter].
func (f FilterFunc) Serve(call *Call, next Handler) error { return f(call, next) }

// chain returns a handler that passes calls through the filters in order.
func chain(last Handler, filters ...Filter) Handler {
	for at := len(filters) - 1; at >= 0; at-- {
		filter, next := filters[at], last
		last = HandlerFunc(func(call *Call) error { return filter.Serve(call, next) })
	}
	return last
}
