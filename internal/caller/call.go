package caller

import (
	"net/http"

	"github.com/guavatrack/guavatrack/internal/claim"
	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/plain"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// Call is one caller's request while it is processed by the filters.
type Call struct {
	dispatch.Call

	Request  *http.Request
	Response http.ResponseWriter
	Snapshot *ticket.Snapshot
	Key      fleet.IdempotencyKey
	Body     []byte

	// Deployment and Class are set for completions.
	Deployment *ticket.Deployment
	Class      ticket.Class
	// Next is the offset of the first event that the caller has not received.
	Next uint64

	// Target is set for calls of plain services.
	Target plain.Target

	// answer is the answer of a plain service.
	answer *claim.Answer
	// mayBeStored is set if a job may have been stored.
	mayBeStored bool
	// arrived is the revision of the configuration when the request arrived.
	arrived uint64
	// lastEvent is the id of the last event written to the caller. written counts the
	// bytes of the body that were written; writeErr is the error that ended the writing.
	lastEvent string
	written   int64
	writeErr  error
}

// MayHaveRun reports whether the call may have had any effect: bytes of it may
// have reached a server, or it may have been stored as a job.
func (c *Call) MayHaveRun() bool { return c.mayBeStored || c.Sent() }

// Handler processes a call. An error that is not a refusal is answered as a
// failure of the server.
type Handler interface {
	Handle(call *Call) error
}

// HandlerFunc adapts a function to [Handler].
type HandlerFunc func(call *Call) error

// Handle implements [Handler].
func (f HandlerFunc) Handle(call *Call) error { return f(call) }

// Filter processes a call before the next handler, or ends it with an error.
type Filter interface {
	Serve(call *Call, next Handler) error
}

// FilterFunc adapts a function to [Filter].
type FilterFunc func(call *Call, next Handler) error

// Serve implements [Filter].
func (f FilterFunc) Serve(call *Call, next Handler) error { return f(call, next) }

// chain returns a handler that applies the filters in order and then calls last.
func chain(last Handler, filters ...Filter) Handler {
	for at := len(filters) - 1; at >= 0; at-- {
		filter, next := filters[at], last
		last = HandlerFunc(func(call *Call) error { return filter.Serve(call, next) })
	}
	return last
}
