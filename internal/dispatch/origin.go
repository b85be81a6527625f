package dispatch

import (
	"context"
	"strings"

	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

// Origins records and finds the software versions that began streams, so that a stream
// is continued by a server of the version that began it.
type Origins interface {
	// Record records that a stream, see [StreamID], was begun by a server of a version. If
	// it fails, no event of the stream may be passed on.
	Record(ctx context.Context, pool fleet.PoolID, stream fleet.RequestID, software fleet.SoftwareVersion) error
	// Find returns the version that began the stream of which a rest is asked for; it fails
	// if that cannot be determined.
	Find(ctx context.Context, rest Rest) (fleet.SoftwareVersion, error)
	// Restriction returns the only version at which streams may begin now, since those
	// of other versions cannot be recorded.
	Restriction(pool fleet.PoolID) (software fleet.SoftwareVersion, restricted bool)
}

// Rest is the rest of a stream, of which a caller has received the beginning.
type Rest struct {
	Pool fleet.PoolID
	// Request is the request that brought the first event; empty if the caller does not
	// name it.
	Request fleet.RequestID
	// Caller is the caller that asks; empty if callers are not told apart.
	Caller fleet.CallerID
	Item   fleet.Item
	// LastPart is the last part of the prompt, see [Call.LastPart].
	LastPart string
}

// ownerSeparator separates the ID of a request from its caller in the ID of a stream. IDs of
// requests come in headers, which can't contain it.
const ownerSeparator = "\x00"

// StreamID returns the ID under which the stream that a request of a caller begins is
// recorded, so that no other caller finds it. It is that of the request if callers are not
// told apart.
func StreamID(request fleet.RequestID, caller fleet.CallerID) fleet.RequestID {
	if caller == "" {
		return request
	}
	return request + ownerSeparator + fleet.RequestID(caller)
}

// StreamRequest returns the ID of the request that began the stream with an ID.
func StreamRequest(stream fleet.RequestID) fleet.RequestID {
	request, _, _ := strings.Cut(string(stream), ownerSeparator)
	return fleet.RequestID(request)
}

// EventAnswer is implemented by an [Answer] that may be a stream of events.
type EventAnswer interface {
	// HasEvents reports whether the first piece is an event.
	HasEvents() bool
}

// restrictToOrigin restricts a call that continues a stream to the version that began it,
// and one that begins a stream to the version at which that is possible now.
func (d *Dispatcher) restrictToOrigin(call *Call) error {
	switch {
	case d.Origins == nil || !call.Stream || !call.Idempotent:
		return nil
	case !call.Continued:
		if software, restricted := d.Origins.Restriction(call.Pool); restricted {
			call.restrict(software)
		}
		return nil
	}
	software, err := d.Origins.Find(call.Context, Rest{
		Pool: call.Pool, Request: call.Resumes, Caller: call.Caller, Item: call.Item, LastPart: call.LastPart,
	})
	if err != nil {
		return &refusal.Refusal{
			Reason: refusal.NoServer, Message: "the rest of the stream cannot be given: " + err.Error(),
			RetryAfter: noServerRetryAfter,
		}
	}
	call.restrict(software)
	return nil
}

// recordOrigin records the version that begins the stream of an answer, before its first
// event is passed on. It fails with a refusal.
func (r *callRunner) recordOrigin(a *Attempt) error {
	call := r.call
	if r.Origins == nil || !call.Stream || !call.Idempotent || call.Continued || call.AnswerStarted() {
		return nil
	}
	if answer, ok := a.answer.(EventAnswer); !ok || !answer.HasEvents() {
		return nil
	}
	if err := r.Origins.Record(call.Context, call.Pool, StreamID(call.ID, call.Caller), a.Replica.Software); err != nil {
		return &refusal.Refusal{
			Reason: refusal.TableUnavailable, Message: "the stream cannot be begun: " + err.Error(),
			RetryAfter: noServerRetryAfter,
		}
	}
	return nil
}
