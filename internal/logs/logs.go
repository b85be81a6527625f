// Package logs writes log lines without ever making their writer wait.
//
// Lines are gathered in a buffer of bounded size and written in the background,
// many at once. When more come than can be written, those below the level of a
// warning are left out first, and then all. How many were left out is counted
// and said in a line of its own as soon as there is room.
package logs

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/guavatrack/guavatrack/internal/wait"
)

// Bounds of a [Sink].
const (
	// capacity is the size of the buffer, in bytes.
	capacity = 256 << 10
	// flushInterval is how long a line may wait in the buffer.
	flushInterval = 100 * time.Millisecond
	// linesPerSecond is the budget of lines below a warning.
	linesPerSecond = 400
)

// Sink takes lines from a [slog.Handler]. It is made by New.
type Sink struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte
	spare   []byte
	// left counts the lines that were left out since the last write.
	left int
	// room is what is left of the budget of lines, as of roomAt.
	room   float64
	roomAt time.Time
	// stirred is signalled when there is something to write.
	stirred wait.Signal
	done    chan struct{}
	closed  bool
}

// New returns a sink that writes to out until it is closed.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, stirred: wait.NewSignal(), done: make(chan struct{}), room: linesPerSecond, roomAt: time.Now()}
	go s.run()
	return s
}

// Handler returns a handler that writes JSON lines to the sink.
func (s *Sink) Handler(options *slog.HandlerOptions) slog.Handler {
	return &handler{Handler: slog.NewJSONHandler(s, options), sink: s}
}

// handler asks the sink for room before a line is made.
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

// admit reports whether there is room for a line, and counts one that is left
// out.
func (s *Sink) admit(level slog.Level) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if level >= slog.LevelWarn {
		return true
	}
	now := time.Now()
	s.room = min(linesPerSecond, s.room+now.Sub(s.roomAt).Seconds()*linesPerSecond)
	s.roomAt = now
	if s.room < 1 || len(s.pending) > capacity/2 {
		s.left++
		return false
	}
	s.room--
	return true
}

// Write implements [io.Writer]. It never waits and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.pending)+len(line) > capacity {
		s.left++
		return len(line), nil
	}
	s.pending = append(s.pending, line...)
	s.stirred.Notify()
	return len(line), nil
}

// run writes what has gathered.
func (s *Sink) run() {
	defer close(s.done)
	for range s.stirred {
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
	lines, left := s.pending, s.left
	s.pending, s.spare, s.left = s.spare[:0], nil, 0
	s.mu.Unlock()
	if left > 0 {
		note := slog.New(slog.NewJSONHandler(s.out, nil))
		note.Warn("log lines left out", slog.Int("lines", left))
	}
	// A log that can't be written has nowhere to say so.
	_, _ = s.out.Write(lines)
	s.mu.Lock()
	s.spare = lines
	s.mu.Unlock()
}

// Close writes what is left, unless that takes too long.
func (s *Sink) Close(ctx context.Context) {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.stirred.Notify()
	select {
	case <-s.done:
	case <-ctx.Done():
	}
}
