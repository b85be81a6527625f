package dispatch_test

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/poison"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// TestRefusalForCrashesNamesItsEvidence guards against a refusal for crashes of which the log
// does not say which crashes it is due to, and when they were.
func TestRefusalForCrashesNamesItsEvidence(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		var written bytes.Buffer
		s := newFakeServers(1)
		d := s.dispatcher()
		d.Log = slog.New(slog.NewJSONHandler(&written, nil))
		bad := poison.PartDigest("bad")
		var notices poison.NoticeSet
		for _, server := range []fleet.ServerID{"x1", "x2", "x3"} {
			d.MergePoisonNotice(notices.RecordCrash(bad, poison.Crash{Server: server, Boot: "b", At: time.Now()}))
			time.Sleep(time.Second)
		}
		call := s.call("refused", nil)
		call.Parts = []poison.Digest{bad}
		c.Assert(d.Do(call), qt.ErrorMatches, ".*crashed backend servers.*")
		c.Check(written.String(), qt.Contains, `"msg":"request refused for crashes","request":"refused","digest":"part-bad","crashes":3`)
		c.Check(written.String(), qt.Contains,
			`"evidence":["x1 at 00:00:00.000Z","x2 at 00:00:01.000Z","x3 at 00:00:02.000Z"]`)
	})
}
