package dispatch

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/poison"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

// errNotAlone says that a suspected request found no server to itself in time.
var errNotAlone = errors.New("no server without other requests")

// isolate refuses requests that crash backend servers and sets those apart that
// are suspected of it.
func (d *Dispatcher) isolate(call *Call) error {
	verdict, until := d.poison.Check(call.Digest)
	if verdict == poison.Refuse {
		return refusePoison(until)
	}
	call.alone = verdict == poison.Alone
	return nil
}

func refusePoison(until time.Time) *refusal.Refusal {
	return &refusal.Refusal{
		Reason: refusal.Poisonous, Message: "requests of this content have crashed backend servers",
		RetryAfter: max(time.Second, time.Until(until)),
	}
}

// judge decides on a call after a failed attempt. It fails if the call must not
// run again.
func (d *Dispatcher) judge(call *Call) error {
	verdict, until := d.poison.Check(call.Digest)
	call.alone = verdict == poison.Alone
	if verdict != poison.Refuse {
		return nil
	}
	return &refusal.Refusal{
		Reason: refusal.CrashedServers, Message: "backend servers crashed while they ran the request",
		RetryAfter: max(time.Second, time.Until(until)),
	}
}

// clear takes back the suspicion of a request that ended well.
func (d *Dispatcher) clear(call *Call) {
	if call.alone {
		digest, ctx := call.Digest, context.WithoutCancel(call.Context)
		d.background.Go(func() { d.poison.Cleared(ctx, digest) })
	}
}

// probeTimeout bounds a probe of a server over a new connection.
const probeTimeout = 500 * time.Millisecond

// investigate finds out whether a server whose connection broke has crashed,
// and if so holds that against what ran on it. A server that was to be stopped
// anyway is not held against anyone.
func (d *Dispatcher) investigate(taken *slot) (crashed bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(taken.call.Context), probeTimeout)
	defer cancel()
	if !d.Prober.Crashed(ctx, taken.replica) {
		return false
	}
	taken.server.died(time.Now(), taken.replica.Boot, func(aboard []poison.Digest) {
		if !d.leaving(taken) {
			d.poison.Crashed(taken.replica.Server, taken.replica.Boot, aboard)
		}
	})
	return true
}

// leaving reports whether the slot's replica was to be stopped.
func (d *Dispatcher) leaving(taken *slot) bool {
	for _, replica := range d.Directory.Replicas(taken.call.Item, taken.call.Pool) {
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
func (d *Dispatcher) tryAlone(ctx context.Context, taken *slot) error {
	end := time.Now().Add(min(alonePatience, taken.call.Left()/aloneShare))
	for taken.server.load() > 1 && time.Now().Before(end) {
		if !wait.For(ctx, alonePoll) {
			return errNotAlone
		}
	}
	digest := taken.call.Digest
	verdict, until := d.poison.Trial(ctx, digest, poison.Trial{
		Server: taken.replica.Server, Boot: taken.replica.Boot, End: taken.call.Deadline,
	})
	switch verdict {
	case poison.Refuse:
		return refusePoison(until)
	case poison.Alone:
		context.AfterFunc(ctx, func() { d.poison.EndTrial(digest) })
	case poison.Free:
	}
	return nil
}
