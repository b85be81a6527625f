package dispatch

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/guavatrack/guavatrack/internal/poison"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// A server that crashes may leave its connections silent in place of resetting them. So does
// one that is cut off or frozen, and its requests are not to blame for that. What tells the
// two apart is whether the run of its process is still listed some seconds later.

// RunLister is a [Prober] that can tell whether the run of a server's process is still
// listed.
type RunLister interface {
	// Listed reports whether the run given by Replica.Boot is listed, and no later one is
	// at its address.
	Listed(replica Replica) bool
}

const (
	// silentEndTime is the time in which the entry of a run that has ended is removed or
	// replaced by that of the next run, and silentEndInterval the time between two checks.
	silentEndTime     = 10 * time.Second
	silentEndInterval = 250 * time.Millisecond
	// maxSilentRequests bounds the requests that are held against a silent run.
	maxSilentRequests = 64
	// silentProbePause is the minimum time between two probes of a server for attempts that
	// ended without an answer.
	silentProbePause = time.Second
)

// silentRun is a run of a server's process that is silent and takes no connections.
type silentRun struct {
	boot fleet.BootID
	// requests are those that it may have begun to run before that, without their parts.
	requests []poison.Run
}

// silentEnd awaits whether a silent run has ended.
type silentEnd struct {
	*Dispatcher
	state   *serverState
	replica Replica
	lister  RunLister
	since   time.Time
}

// suspectSilentEnd has a request held against the run of its server, which is silent and
// takes no connections, if that turns out to have ended. It is not held against the parts of
// its prompt, which sound requests share.
func (d *Dispatcher) suspectSilentEnd(taken *slot) {
	lister, known := d.Prober.(RunLister)
	if !known || taken.replica.Boot == "" || !taken.sent.Load() || !taken.mayHaveBegun(time.Now()) || d.isDraining(taken) {
		return
	}
	if !taken.server.addSilent(taken.replica.Boot, poison.Run{Digest: taken.call.Digest, Generation: taken.generation}) {
		return
	}
	end := &silentEnd{Dispatcher: d, state: taken.server, replica: taken.replica, lister: lister, since: time.Now()}
	go end.begin()
}

// begin makes sure that other servers can be reached, so that it is not this node that is
// cut off.
func (e *silentEnd) begin() {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if !e.Prober.Crashed(ctx, e.replica) {
		e.state.takeSilent(e.replica.Boot)
		return
	}
	e.check()
}

// check records the crash once the run is no longer listed.
func (e *silentEnd) check() {
	listed := e.lister.Listed(e.replica)
	if listed && time.Since(e.since) < silentEndTime {
		time.AfterFunc(silentEndInterval, e.check)
		return
	}
	runs := e.state.takeSilent(e.replica.Boot)
	e.Log.Info("run of a silent server", slog.String("server", string(e.replica.Server)), slog.String("boot", string(e.replica.Boot)),
		slog.Bool("ended", !listed), slog.Duration("after", time.Since(e.since)), slog.Int("requests", len(runs)))
	if listed || len(runs) == 0 {
		return
	}
	e.poison.RecordCrash(e.replica.Server, e.replica.Boot, runs)
}

// addSilent adds a request to those held against a silent run. It reports whether it is the
// first one.
func (s *serverState) addSilent(boot fleet.BootID, run poison.Run) (first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent == nil || s.silent.boot != boot {
		s.silent = &silentRun{boot: boot}
		first = true
	}
	isSame := func(other poison.Run) bool { return other.Digest == run.Digest && other.Generation == run.Generation }
	if len(s.silent.requests) < maxSilentRequests && !slices.ContainsFunc(s.silent.requests, isSame) {
		s.silent.requests = append(s.silent.requests, run)
	}
	return first
}

// takeSilent removes a silent run and returns the requests held against it.
func (s *serverState) takeSilent(boot fleet.BootID) (requests []poison.Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent == nil || s.silent.boot != boot {
		return nil
	}
	requests, s.silent = s.silent.requests, nil
	return requests
}

// checkUnanswered probes the server of an attempt that had no answer when its call ended, if
// the server has answered nothing since the attempt began.
func (d *Dispatcher) checkUnanswered(taken *slot) {
	if !taken.sent.Load() || taken.answeredAt.Load() != nil || !taken.server.mayProbe(time.Now(), taken.started) {
		return
	}
	d.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		if !d.Prober.Alive(ctx, taken.replica) {
			d.suspectSilentEnd(taken)
		}
	})
}

// recordAnswering records that the server begins an answer.
func (s *serverState) recordAnswering(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answeredAt = now
}

// mayProbe reports whether the server is to be probed, since it has answered nothing since a
// time and was not probed lately.
func (s *serverState) mayProbe(now, since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answeredAt.After(since) || now.Sub(s.probedAt) < silentProbePause {
		return false
	}
	s.probedAt = now
	return true
}
