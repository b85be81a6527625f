package logs_test

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/logs"
)

// output is a writer whose writes take the duration stall.
type output struct {
	mu    sync.Mutex
	text  bytes.Buffer
	stall time.Duration
}

func (o *output) Write(text []byte) (int, error) {
	time.Sleep(o.stall)
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(text)
}

func (o *output) lines() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Split(strings.TrimSpace(o.text.String()), "\n")
}

func closeSink(sink *logs.Sink) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	sink.Close(ctx)
}

func TestLinesAreWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		out := &output{}
		sink := logs.New(out)
		log := slog.New(sink.Handler(nil)).With(slog.String("node", "n1"))
		log.Info("one")
		log.Warn("two")
		closeSink(sink)
		c.Assert(out.lines(), qt.HasLen, 2)
		c.Assert(out.lines()[1], qt.Matches, `\{"time":.*"level":"WARN","msg":"two","node":"n1"\}`)
	})
}

// TestStalledOutputDoesNotBlockCallers logs and closes the sink while each write to
// the output blocks for an hour.
func TestStalledOutputDoesNotBlockCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		out := &output{stall: time.Hour}
		sink := logs.New(out)
		log := slog.New(sink.Handler(nil))
		began := time.Now()
		for range 10000 {
			log.Warn("attempt failed", slog.String("request", "r"))
		}
		c.Assert(time.Since(began), qt.Equals, time.Duration(0))
		closeSink(sink)
		c.Assert(time.Since(began) <= time.Second, qt.IsTrue)
		time.Sleep(3 * time.Hour)
	})
}

// TestFloodDropsOnlyLinesBelowWarning logs more lines than the budget permits: lines
// below the warning level are limited, all warnings are written, and the drop is
// reported.
func TestFloodDropsOnlyLinesBelowWarning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		out := &output{}
		sink := logs.New(out)
		log := slog.New(sink.Handler(nil))
		for at := range 3000 {
			log.Info("request sent")
			if at%30 == 0 {
				log.Warn("attempt failed")
			}
			time.Sleep(time.Millisecond)
		}
		closeSink(sink)
		text := strings.Join(out.lines(), "\n")
		c.Assert(strings.Count(text, "attempt failed"), qt.Equals, 100)
		c.Assert(strings.Count(text, "request sent") <= 1700, qt.IsTrue)
		c.Assert(text, qt.Contains, "log lines left out")
	})
}
