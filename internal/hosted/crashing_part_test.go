package hosted_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/platform/standin"
)

// TestRequestsWithACrashingPartAreRefused guards against requests that share a part of
// their prompts and crash server after server: no two are alike, and they come at any node.
// Sound requests that share their first part come beside them and are served.
func TestRequestsWithACrashingPartAreRefused(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 12, Services: 1, Models: 3}, 2)
	f.site.SetCrashingPart(crashingPart, 200*time.Millisecond)
	sent := 0
	sendBad := func(node int) response {
		sent++
		request, err := standin.NewRequest(f.nodes[node].Addresses().Callers, http.MethodPost, standin.Streaming+"chat", "m1",
			fmt.Sprint("question ", sent))
		f.Assert(err, qt.IsNil)
		standin.SetPromptParts(request, soundPart, fmt.Sprint("ab", sent), crashingPart)
		answer, err := standin.Send(request)
		return response{Answer: answer, err: err}
	}
	for node := range f.nodes {
		f.waitFor(func() bool {
			f.sendPrompt(standin.Streaming+"chat", "m1", soundPart)
			return sendBad(node).Status == http.StatusServiceUnavailable
		})
	}
	ledger := f.site.Ledger
	const maxCrashes = 8
	f.Check(ledger.Crashes(crashingPart) <= maxCrashes, qt.IsTrue, qt.Commentf("%d crashes", ledger.Crashes(crashingPart)))
	before := ledger.Sends(crashingPart, 0)
	for range 5 {
		for node := range f.nodes {
			answer := sendBad(node)
			f.Check(answer.Status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s", answer.Body))
			f.Check(answer.RetryAfter, qt.Not(qt.Equals), "")
		}
	}
	f.Check(ledger.Sends(crashingPart, 0), qt.Equals, before)
	f.waitFor(func() bool { return f.sendPrompt(standin.Streaming+"chat", "m1", soundPart).Status == http.StatusOK })
}
