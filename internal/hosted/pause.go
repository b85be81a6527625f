package hosted

import (
	"context"
	"log/slog"
	"time"

	"github.com/guavatrack/guavatrack/internal/wait"
)

const (
	// pauseInterval is how often the process looks whether it was paused.
	pauseInterval = 100 * time.Millisecond
	// leastPause is the shortest pause that is logged: shorter than any time
	// after which others take a node or a server for lost.
	leastPause = 500 * time.Millisecond
)

// watchPauses logs when the process did not run for a while: stopped, or
// starved of processor time. What the node believed is older by that time, and
// requests that it held stood still.
func (n *Node) watchPauses(ctx context.Context) error {
	for last := time.Now(); ctx.Err() == nil; last = time.Now() {
		wait.For(ctx, pauseInterval)
		if took := time.Since(last) - pauseInterval; took >= leastPause {
			n.Log.Warn("process was paused", slog.Duration("took", took))
		}
	}
	return nil
}
