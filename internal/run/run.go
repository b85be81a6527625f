// Package run runs the controllers of a process concurrently.
package run

import (
	"context"
	"log/slog"
	"sync"
)

// Controller is a component that runs until its process ends.
type Controller struct {
	// Name identifies the controller in log lines.
	Name string
	// Run returns when the context has ended, or earlier with an error.
	Run func(context.Context) error
}

// Start runs the controllers in the group until the context ends. It logs an
// error with which one returns before that.
func Start(ctx context.Context, group *sync.WaitGroup, log *slog.Logger, controllers []Controller) {
	for _, controller := range controllers {
		group.Go(func() {
			if err := controller.Run(ctx); err != nil && ctx.Err() == nil {
				log.Error("controller stopped with an error", slog.String("controller", controller.Name), slog.Any("error", err))
			}
		})
	}
}
