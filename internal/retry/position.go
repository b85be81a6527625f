package retry

import (
	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Verdict is what to do with an event of a stream.
type Verdict int

// Verdicts on an event.
const (
	// Forward means that the event is the next one of the answer.
	Forward Verdict = iota
	// Drop means that the caller has already received the event.
	Drop
	// Foreign means that the event belongs to another request. The connection
	// that delivered it must not be used any more.
	Foreign
	// Gap means that events before this one are missing. The stream must be
	// resumed at Position.Next.
	Gap
)

// Position is the caller's position in a stream of events.
type Position struct {
	Request fleet.RequestID
	// Next is the offset of the first event that the caller has not received.
	Next uint64
	// Untracked reports whether the engine sends events without ids, so that
	// the stream cannot be resumed once an event has been forwarded.
	Untracked bool
}

// Accept returns what to do with an event and advances the position if the
// event is to be forwarded.
func (p *Position) Accept(event engine.Event) Verdict {
	request, offset, found := event.Position()
	switch {
	case !found && len(event.ID) == 0:
		return p.acceptUntracked()
	case !found || string(request) != string(p.Request):
		return Foreign
	case p.Untracked, offset > p.Next:
		return Gap
	case offset < p.Next:
		return Drop
	}
	p.Next++
	return Forward
}

// acceptUntracked forwards an event without an id if no event of the stream has
// had one.
func (p *Position) acceptUntracked() Verdict {
	if p.Next > 0 && !p.Untracked {
		return Gap
	}
	p.Untracked = true
	p.Next++
	return Forward
}

// Resumable reports whether the stream can be continued over another
// connection.
func (p *Position) Resumable() bool { return !p.Untracked }
