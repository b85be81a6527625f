package logs_test

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/guavatrack/guavatrack/internal/logs"
)

// BenchmarkLine logs lines of the usual size, at a rate far above what the sink
// accepts.
func BenchmarkLine(b *testing.B) {
	sink := logs.New(io.Discard)
	defer sink.Close(context.Background())
	log := slog.New(sink.Handler(nil))
	for b.Loop() {
		log.LogAttrs(context.Background(), slog.LevelWarn, "request ended", slog.String("request", "ffcca8eccd6195b4"),
			slog.String("item", "m1:a3"), slog.String("pool", "advisor"), slog.Int("failedAttempts", 1),
			slog.Bool("mayHaveRun", false), slog.Duration("took", time.Second), slog.String("outcome", "deadlineUnreachable"))
	}
}
