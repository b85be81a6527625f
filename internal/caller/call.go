package caller

import (
	"net/http"

	"github.com/guavatrack/guavatrack/internal/claim"
	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/plain"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// Call is one request on its way through the filters.
type Call struct {
	dispatch.Call

	Request  *http.Request
	Response http.ResponseWriter
	Snapshot *ticket.Snapshot
	Key      fleet.IdempotencyKey
	Body     []byte

	// Set for completions.
	Deployment *ticket.Deployment
	Class      ticket.Class
	// Next is the offset of the first event that the caller has not got.
	Next uint64

	// Target is set for calls of plain services.
	Target plain.Target

	// answer is what a plain service answered.
	answer *claim.Answer
	// mayBeStored says that a job may have been stored.
	mayBeStored bool
}

// MayHaveRun reports whether anything of the call may have taken effect.
func (c *Call) MayHaveRun() bool { return c.mayBeStored || c.Sent() }

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
