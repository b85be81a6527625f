package dispatch

import (
	"context"
	"log/slog"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

// absentVersionError is the refusal of a call that may run only at a software version of
// which the pool has no usable server.
type absentVersionError struct {
	needed fleet.SoftwareVersion
	// present are the versions of the usable servers.
	present []fleet.SoftwareVersion
}

// Error implements error.
func (e *absentVersionError) Error() string { return e.refusal().Error() }

// Unwrap returns the refusal.
func (e *absentVersionError) Unwrap() error { return e.refusal() }

func (e *absentVersionError) refusal() *refusal.Refusal {
	return &refusal.Refusal{
		Reason: refusal.NoServer, Message: "no server of software version " + string(e.needed) + " is in service",
		RetryAfter: noServerRetryAfter,
	}
}

// checkVersion fails with an [absentVersionError] if the call may run only at a software
// version of which the pool has no usable server, whatever the servers hold. It doesn't
// fail if neither the version nor any server of the pool is known.
func (d *Dispatcher) checkVersion(call *Call) error {
	needed, restricted := call.restriction()
	if !restricted {
		return nil
	}
	servers := d.Directory.Replicas(fleet.Item{}, call.Pool)
	if needed == "" && len(servers) == 0 {
		return nil
	}
	var present []fleet.SoftwareVersion
	for _, server := range usable(servers) {
		if server.Software == needed {
			return nil
		}
		present = append(present, server.Software)
	}
	slices.Sort(present)
	return &absentVersionError{needed: needed, present: slices.Compact(present)}
}

// logAbsentVersion logs that a call ends for lack of a software version, if that is why.
func (d *Dispatcher) logAbsentVersion(call *Call, err error) (absent bool) {
	missing, absent := errors.Into[*absentVersionError](err)
	if !absent {
		return false
	}
	present := make([]string, len(missing.present))
	for i, software := range missing.present {
		present[i] = string(software)
	}
	d.Log.LogAttrs(context.WithoutCancel(call.Context), slog.LevelWarn, "no server of the version of a stream",
		slog.String("request", string(call.ID)), slog.String("pool", string(call.Pool)),
		slog.String("software", string(missing.needed)), slog.String("present", strings.Join(present, ",")),
		slog.Bool("begun", call.AnswerStarted()))
	return true
}

// refuseAbsentVersions refuses the waiting requests that may run only at a software version
// of which no usable server is left.
func (q *waitQueue) refuseAbsentVersions() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, waiting := range q.waiters {
		if err := q.dispatcher.checkVersion(waiting.call); err != nil {
			q.pending.Remove(waiting.request)
			q.resolve(waiting, admissionResult{err: err})
		}
	}
}
