package logs_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/logs"
)

// TestLimitCountsLinesOfAFlood asks for a line every millisecond for three seconds, then
// for a few: the flood is bounded in each second, every line that was left out is
// counted, and nothing is left out afterwards.
func TestLimitCountsLinesOfAFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var out bytes.Buffer
		limit := &logs.Limit{Log: slog.New(slog.NewJSONHandler(&out, nil)), Kind: "refused", PerSecond: 10}
		admitted := 0
		for range 3000 {
			if limit.Admit() {
				admitted++
			}
			time.Sleep(time.Millisecond)
		}
		c.Check(admitted, qt.Equals, 30)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		c.Check(strings.Count(out.String(), `"msg":"log lines left out","of":"refused","lines":990}`), qt.Equals, 3)
		out.Reset()
		for range 10 {
			c.Check(limit.Admit(), qt.IsTrue)
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		c.Check(out.String(), qt.Equals, "")
	})
}
