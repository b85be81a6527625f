package run_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/run"
)

func TestBackgroundWorkEndsWithRun(t *testing.T) {
	var background run.Background
	background.Go(func(context.Context) { t.Error("work before Begin") })
	ctx, cancel := context.WithCancel(t.Context())
	end := background.Begin(ctx)
	finished := false
	background.Go(func(ctx context.Context) {
		<-ctx.Done()
		finished = true
	})
	cancel()
	end()
	qt.Assert(t, finished, qt.IsTrue)
	background.Go(func(context.Context) { t.Error("work after the end") })
}
