package wait_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/wait"
)

func TestUntil(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		after := func(d time.Duration) func() bool {
			return func() bool { return time.Since(began) >= d }
		}
		qt.Assert(t, wait.Until(t.Context(), time.Second, 10*time.Millisecond, after(95*time.Millisecond)), qt.IsTrue)
		qt.Assert(t, time.Since(began), qt.Equals, 100*time.Millisecond)
		qt.Assert(t, wait.Until(t.Context(), time.Second, 10*time.Millisecond, after(time.Hour)), qt.IsFalse)
		qt.Assert(t, time.Since(began), qt.Equals, 1100*time.Millisecond)
	})
}

func TestPendingSignalsAreMerged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		signal := wait.NewSignal()
		signal.Notify()
		signal.Notify()
		qt.Assert(t, signal.Wait(t.Context(), time.Second), qt.IsTrue)
		began := time.Now()
		qt.Assert(t, signal.Wait(t.Context(), time.Second), qt.IsFalse)
		qt.Assert(t, time.Since(began), qt.Equals, time.Second)
		time.AfterFunc(time.Second, signal.Notify)
		qt.Assert(t, signal.Wait(t.Context(), time.Hour), qt.IsTrue)
		cancelled, cancel := context.WithCancel(t.Context())
		cancel()
		qt.Assert(t, signal.Wait(cancelled, time.Hour), qt.IsFalse)
	})
}
