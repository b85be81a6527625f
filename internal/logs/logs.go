// Package logs writes log lines without blocking the caller.
//
// Lines are collected in a buffer of bounded size and written in batches in the
// background. Under overload, lines below the warning level are dropped first;
// when the buffer is full, all lines are. The number of dropped lines is logged
// with the next batch.
package logs

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/guavatrack/guavatrack/internal/wait"
)

// Limits of a [Sink].
const (
	// capacity is the size of the buffer, in bytes.
	capacity = 256 << 10
	// flushInterval is the maximum time that a line waits in the buffer while the
	// output keeps up.
	flushInterval = 100 * time.Millisecond
	// linesPerSecond limits the rate of lines below the warning level, and is also
	// their burst.
	linesPerSecond = 400
)

// Sink buffers the lines of a [slog.Handler] and writes them in the background.
// Use [New] to create one.
type Sink struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte
	spare   []byte
	// dropped counts the lines dropped since the last flush.
	dropped int
	// budget is the number of lines below the warning level that may still be
	// accepted, as of budgetAt.
	budget   float64
	budgetAt time.Time
	// wake is notified when there are lines to write, and on Close.
	wake   wait.Signal
	done   chan struct{}
	closed bool
}

// New returns a sink that writes to out in the background until it is closed.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, wake: wait.NewSignal(), done: make(chan struct{}), budget: linesPerSecond, budgetAt: time.Now()}
	go s.run()
	return s
}

// Handler returns a handler that writes JSON lines to the sink.
func (s *Sink) Handler(options *slog.HandlerOptions) slog.Handler {
	return &handler{Handler: slog.NewJSONHandler(s, options), sink: s}
}

// handler asks the sink for admission before it formats a line.
type handler struct {
	slog.Handler
	sink *Sink
}

// Handle implements [slog.Handler].
func (h *handler) Handle(ctx context.Context, record slog.Record) error {
	if !h.sink.admit(record.Level) {
		return nil
	}
	return h.Handler.Handle(ctx, record)
}

// WithAttrs implements [slog.Handler].
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{Handler: h.Handler.WithAttrs(attrs), sink: h.sink}
}

// WithGroup implements [slog.Handler].
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{Handler: h.Handler.WithGroup(name), sink: h.sink}
}

// admit reports whether a line of this level is accepted, and counts it as dropped
// if not.
func (s *Sink) admit(level slog.Level) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if level >= slog.LevelWarn {
		return true
	}
	now := time.Now()
	s.budget = min(linesPerSecond, s.budget+now.Sub(s.budgetAt).Seconds()*linesPerSecond)
	s.budgetAt = now
	if s.budget < 1 || len(s.pending) > capacity/2 {
		s.dropped++
		return false
	}
	s.budget--
	return true
}

// Write implements [io.Writer]. It appends the line to the buffer or drops it. It
// never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.pending)+len(line) > capacity {
		s.dropped++
		return len(line), nil
	}
	s.pending = append(s.pending, line...)
	s.wake.Notify()
	return len(line), nil
}

// run flushes the buffer in batches until the sink is closed.
func (s *Sink) run() {
	defer close(s.done)
	for range s.wake {
		time.Sleep(flushInterval)
		s.flush()
		s.mu.Lock()
		closed := s.closed
		s.mu.Unlock()
		if closed {
			return
		}
	}
}

func (s *Sink) flush() {
	s.mu.Lock()
	lines, dropped := s.pending, s.dropped
	s.pending, s.spare, s.dropped = s.spare[:0], nil, 0
	s.mu.Unlock()
	if dropped > 0 {
		logger := slog.New(slog.NewJSONHandler(s.out, nil))
		logger.Warn("log lines left out", slog.Int("lines", dropped))
	}
	// A write error is ignored, since there is nowhere to report it.
	_, _ = s.out.Write(lines)
	s.mu.Lock()
	s.spare = lines
	s.mu.Unlock()
}

// Close stops the sink and waits until the buffered lines are written or ctx is
// done.
func (s *Sink) Close(ctx context.Context) {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.wake.Notify()
	select {
	case <-s.done:
	case <-ctx.Done():
	}
}
