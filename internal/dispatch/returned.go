package dispatch

import (
	"context"
	"log/slog"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// RunProber is a [Prober] that can tell whether a run of a server's process goes on.
type RunProber interface {
	// Runs reports whether the server answers and, as far as is known, its process is the
	// run given by Replica.Boot. certain is set if the server has said so itself.
	Runs(ctx context.Context, replica Replica) (runs, certain bool)
}

// Pauses before a run that was found ended is checked once more: the first one, which is
// doubled each time up to the maximum, and the number of checks. A server that does not tell
// its run is checked twice, with a pause in which another run would be listed.
const (
	firstReturnPause   = 250 * time.Millisecond
	maxReturnPause     = 4 * time.Second
	returnChecks       = 10
	confirmReturnPause = 2 * time.Second
)

// returnCheck checks whether a run of a server's process that was found ended goes on: no
// connection to it could be opened, which a path that was cut for a moment explains as well.
type returnCheck struct {
	*Dispatcher
	replica Replica
	pause   time.Duration
	// left is the number of checks that may still be made.
	left int
	// answered is set if the last check was answered.
	answered bool
}

// checkReturn has a run that was found ended used again if it goes on.
func (d *Dispatcher) checkReturn(replica Replica) {
	check := &returnCheck{Dispatcher: d, replica: replica, pause: firstReturnPause, left: returnChecks}
	check.schedule(check.pause)
}

func (c *returnCheck) schedule(pause time.Duration) { time.AfterFunc(pause, c.run) }

// run makes one check and schedules the next one if it leaves the question open.
func (c *returnCheck) run() {
	state := c.servers.get(c.replica.Server)
	if c.left == 0 || !state.hasEnded(c.replica.Boot) {
		return
	}
	c.left--
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	runs, certain := c.runs(ctx, c.replica)
	switch {
	case !runs:
		c.answered, c.pause = false, min(2*c.pause, maxReturnPause)
		c.schedule(c.pause)
	case !certain && !c.answered:
		c.answered = true
		c.schedule(confirmReturnPause)
	default:
		state.clearEnded(c.replica.Boot)
		c.Log.Info("server that seemed to have ended is used again", slog.String("server", string(c.replica.Server)),
			slog.String("boot", string(c.replica.Boot)))
	}
}

// runs reports whether a run of a server's process goes on.
func (d *Dispatcher) runs(ctx context.Context, replica Replica) (runs, certain bool) {
	if prober, ok := d.Prober.(RunProber); ok {
		return prober.Runs(ctx, replica)
	}
	return !d.Prober.Crashed(ctx, replica) && ctx.Err() == nil, false
}

// hasEnded reports whether a run of the server's process was found ended.
func (s *serverState) hasEnded(boot fleet.BootID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return boot != "" && s.endedBoot == boot
}

// clearEnded records that a run of the server's process that was found ended goes on.
func (s *serverState) clearEnded(boot fleet.BootID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endedBoot == boot {
		s.endedBoot = ""
	}
}
