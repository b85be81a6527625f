package logs_test

import (
	"bytes"
	"encoding/json"
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
		// A line and the summary may be due at the same moment, in either order.
		summaries, counted := 0, 0
		for text := range strings.Lines(out.String()) {
			var line struct {
				Of    string `json:"of"`
				Lines int    `json:"lines"`
			}
			c.Assert(json.Unmarshal([]byte(text), &line), qt.IsNil)
			c.Check(line.Of, qt.Equals, "refused")
			summaries, counted = summaries+1, counted+line.Lines
		}
		c.Check(counted, qt.Equals, 3000-30)
		c.Check(summaries <= 4, qt.IsTrue, qt.Commentf("%d", summaries))
		out.Reset()
		for range 10 {
			c.Check(limit.Admit(), qt.IsTrue)
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		c.Check(out.String(), qt.Equals, "")
	})
}
