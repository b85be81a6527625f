package caller

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/poison"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

// errNotAlone says that a suspected request found no server to itself in time.
var errNotAlone = errors.New("no server without other requests")

// isolate refuses requests that crash backend servers and sets those apart that
// are suspected of it.
func (s *Server) isolate(call *Call, next Handler) error {
	verdict, until := s.poison.Check(call.digest)
	if verdict == poison.Refuse {
		return refusePoison(until)
	}
	call.alone = verdict == poison.Alone
	return next.Handle(call)
}

func refusePoison(until time.Time) *refusal.Refusal {
	return &refusal.Refusal{
		Reason: refusal.Poisonous, Message: "requests of this content have crashed backend servers",
		RetryAfter: max(time.Second, time.Until(until)),
	}
}

// judge decides on a call after a failed attempt. It fails if the call must not
// run again.
func (s *Server) judge(call *Call) error {
	verdict, until := s.poison.Check(call.digest)
	call.alone = verdict == poison.Alone
	if verdict != poison.Refuse {
		return nil
	}
	return &refusal.Refusal{
		Reason: refusal.CrashedServers, Message: "backend servers crashed while they ran the request",
		RetryAfter: max(time.Second, time.Until(until)),
	}
}

// investigate finds out whether a server whose connection broke has crashed,
// and if so holds that against what ran on it. A server that was to be stopped
// anyway is not held against anyone.
func (s *Server) investigate(taken *slot) (crashed bool) {
	ctx := context.WithoutCancel(taken.call.Context)
	if !s.hasCrashed(ctx, taken) {
		return false
	}
	taken.server.died(time.Now(), taken.replica.Boot, func(aboard []poison.Digest) {
		if !s.leaving(taken) {
			s.poison.Crashed(taken.replica.Server, taken.replica.Boot, aboard)
		}
	})
	return true
}

// leaving reports whether the slot's replica was to be stopped.
func (s *Server) leaving(taken *slot) bool {
	for _, replica := range s.Directory.Replicas(taken.replica.Item) {
		if replica.Server == taken.replica.Server {
			return replica.Draining
		}
	}
	return false
}

// Timing of the wait for a quiet server.
const (
	alonePoll = 5 * time.Millisecond
	// alonePatience bounds the wait, and so does the share of the time left.
	// What still runs there then is not blamed for a crash, since the trial is
	// on record.
	alonePatience = 2 * time.Second
	aloneShare    = 3
)

// tryAlone waits until nothing else of this node runs on the server, to which no
// new work goes in the meantime, and asks for the right to a trial. The trial
// ends with the call.
func (s *Server) tryAlone(ctx context.Context, taken *slot) error {
	end := time.Now().Add(min(alonePatience, taken.call.Left()/aloneShare))
	for taken.server.load() > 1 && time.Now().Before(end) {
		if !pause(ctx, alonePoll) {
			return errNotAlone
		}
	}
	digest := taken.call.digest
	verdict, until := s.poison.Trial(ctx, digest, poison.Trial{
		Server: taken.replica.Server, Boot: taken.replica.Boot, End: taken.call.Deadline,
	})
	switch verdict {
	case poison.Refuse:
		return refusePoison(until)
	case poison.Alone:
		context.AfterFunc(ctx, func() { s.poison.EndTrial(digest) })
	case poison.Free:
	}
	return nil
}
