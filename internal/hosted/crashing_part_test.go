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
	const rounds = 15
	for range rounds {
		for node := range f.nodes {
			f.sendPrompt(standin.Streaming+"chat", "m1", soundPart)
			status := sendBad(node).Status
			f.Check(status == http.StatusBadGateway || status == http.StatusServiceUnavailable, qt.IsTrue, qt.Commentf("%d", status))
		}
	}
	const crashes, maxSends = 5, 3
	later := f.site.Ledger.Sends(crashingPart, crashes)
	f.Check(later <= maxSends, qt.IsTrue, qt.Commentf("%d sends after %d crashes", later, crashes))
	f.waitFor(func() bool { return f.sendPrompt(standin.Streaming+"chat", "m1", soundPart).Status == http.StatusOK })
}
