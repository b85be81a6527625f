package hosted

import (
	"context"
	"log/slog"
	"time"

	"github.com/guavatrack/guavatrack/internal/wait"
)

const (
	// pauseCheckInterval is the time between two checks for a pause.
	pauseCheckInterval = 100 * time.Millisecond
	// minLoggedPause is the shortest pause that is logged. It is shorter than any
	// time after which others consider a node or a server failed.
	minLoggedPause = 500 * time.Millisecond
)

// watchPauses logs a warning if the process did not run for a while because it was
// stopped or got no processor time. The node's state is outdated by the duration
// of the pause, and its requests made no progress during it.
func (n *Node) watchPauses(ctx context.Context) error {
	for last := time.Now(); ctx.Err() == nil; last = time.Now() {
		wait.For(ctx, pauseCheckInterval)
		if took := time.Since(last) - pauseCheckInterval; took >= minLoggedPause {
			n.Log.Warn("process was paused", slog.Duration("took", took))
		}
	}
	return nil
}
