package logs

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// Limit bounds the rate of one kind of lines, which callers could otherwise cause at
// any rate. The lines of a second beyond the bound are counted in one line, written a
// second after the first of them. Its exported fields are set before the first use.
type Limit struct {
	Log *slog.Logger
	// Kind names the lines in the line that counts those left out.
	Kind string
	// PerSecond is the number of lines admitted in each second.
	PerSecond int

	mu       sync.Mutex
	secondAt time.Time
	admitted int
	leftOut  int
}

// Admit reports whether a line may be written, and counts it as left out if not.
func (l *Limit) Admit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.secondAt) >= time.Second {
		l.secondAt, l.admitted = now, 0
	}
	if l.admitted < l.PerSecond {
		l.admitted++
		return true
	}
	if l.leftOut == 0 {
		time.AfterFunc(time.Second, l.summarise)
	}
	l.leftOut++
	return false
}

// summarise writes the number of lines left out since the last summary.
func (l *Limit) summarise() {
	l.mu.Lock()
	leftOut := l.leftOut
	l.leftOut = 0
	l.mu.Unlock()
	OrDiscard(l.Log).LogAttrs(context.Background(), slog.LevelWarn, "log lines left out",
		slog.String("of", l.Kind), slog.Int("lines", leftOut))
}
