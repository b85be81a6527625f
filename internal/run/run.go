// Package run runs the parts of a process beside each other.
package run

import (
	"context"
	"log/slog"
	"sync"
)

// Part is one part of a process.
type Part struct {
	// Name stands in log lines.
	Name string
	// Run returns when the context has ended, or earlier with an error.
	Run func(context.Context) error
}

// Start runs the parts in the group until the context ends. A part that ends
// with an error before that is logged.
func Start(ctx context.Context, group *sync.WaitGroup, log *slog.Logger, parts []Part) {
	for _, part := range parts {
		group.Go(func() {
			if err := part.Run(ctx); err != nil && ctx.Err() == nil {
				log.Error("controller ended", slog.String("controller", part.Name), slog.Any("error", err))
			}
		})
	}
}
