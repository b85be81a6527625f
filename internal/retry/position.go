package retry

import (
	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Verdict says what to do with an event of a stream.
type Verdict int

// Verdicts on an event.
const (
	// Forward says that the event is the next one of the answer.
	Forward Verdict = iota
	// Drop says that the caller has the event already.
	Drop
	// Foreign says that the event belongs to another request. The connection
	// it came over must not be used any more.
	Foreign
	// Gap says that events before this one are missing. The stream must be
	// resumed at Position.Next.
	Gap
)

// Position is how far the caller has got one stream.
type Position struct {
	Request fleet.RequestID
	// Next is the offset of the first event that the caller has not got.
	Next uint64
	// Untracked says that the engine gives its events no ids, so that the
	// stream cannot be resumed once an event was forwarded.
	Untracked bool
}

// Accept decides what to do with an event and moves the position when it is to
// be forwarded.
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

// acceptUntracked forwards events without an id as long as all of the stream
// came without.
func (p *Position) acceptUntracked() Verdict {
	if p.Next > 0 && !p.Untracked {
		return Gap
	}
	p.Untracked = true
	p.Next++
	return Forward
}

// Resumable reports whether the stream can go on over another connection.
func (p *Position) Resumable() bool { return !p.Untracked }
