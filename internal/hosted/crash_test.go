package hosted_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/platform/standin"
)

// Parts of prompts. The names are ids of the platform's form.
const (
	soundPart    = "5c1e07a2"
	crashingPart = "91bd3f06"
)

// sendPrompt sends a request with shared parts of its prompt.
func (f *fixture) sendPrompt(path, model string, parts ...string) response {
	request, err := standin.NewRequest(f.nodes[0].Addresses().Callers, http.MethodPost, path, model, "hello")
	f.Assert(err, qt.IsNil)
	standin.SetPromptParts(request, parts...)
	answer, err := standin.Send(request)
	return response{Answer: answer, err: err}
}

// TestEngineThatCrashesOnAPartIsBack has the only engine crash on a part of a prompt.
// Sound requests are served before, and after it has started again.
func TestEngineThatCrashesOnAPartIsBack(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 1, Services: 1, Models: 3}, 1)
	engine, ledger := f.site.EngineList[0], f.site.Ledger
	f.site.SetCrashingPart(crashingPart, 300*time.Millisecond)
	f.checkCompleteStream(f.sendPrompt(standin.Streaming+"chat", "m0", soundPart))
	answer := f.sendPrompt(standin.Streaming+"chat", "m0", soundPart, crashingPart)
	f.Check(answer.Status, qt.Equals, http.StatusBadGateway, qt.Commentf("%s", answer.Body))
	f.Check(ledger.Runs(answer.ID), qt.Equals, 1)
	f.Check(ledger.Crashes(crashingPart), qt.Equals, 1)
	f.Check(ledger.Sends(crashingPart, 0), qt.Equals, 1)
	f.waitFor(func() bool {
		answer = f.sendPrompt(standin.Streaming+"chat", "m0", soundPart)
		return answer.Status == http.StatusOK
	})
	f.checkCompleteStream(answer)
	f.Check(answer.Signature, qt.Equals, "seal-"+engine.CurrentID())
	f.Check(engine.CurrentID(), qt.Not(qt.Equals), engine.ID)
	f.Check(ledger.Crashes(crashingPart), qt.Equals, 1)
	f.Check(ledger.Sends(crashingPart, 1), qt.Equals, 0)
	f.Check(ledger.Sends(soundPart, 0) > 1, qt.IsTrue)
}

// TestLastPartOfAPromptCrashesNoEngine has a prompt end with the crashing part.
func TestLastPartOfAPromptCrashesNoEngine(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 1, Services: 1, Models: 3}, 1)
	f.site.SetCrashingPart(crashingPart, time.Second)
	request, err := standin.NewRequest(f.nodes[0].Addresses().Callers, http.MethodPost, standin.Streaming+"chat", "m0", "hello")
	f.Assert(err, qt.IsNil)
	standin.SetPrompt(request, soundPart, crashingPart)
	answer, err := standin.Send(request)
	f.checkCompleteStream(response{Answer: answer, err: err})
	f.Check(f.site.Ledger.Crashes(crashingPart), qt.Equals, 0)
}

// TestCrashOfAnEngineCutsItsOtherStreams has an engine crash while it sends a stream to a
// caller of a sound request.
func TestCrashOfAnEngineCutsItsOtherStreams(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 1, Services: 1, Models: 3, EventTime: 2 * slowEvent}, 1)
	f.site.SetCrashingPart(crashingPart, time.Second)
	request, err := standin.NewRequest(f.nodes[0].Addresses().Callers, http.MethodPost, standin.Streaming+"chat", "m0", "hello")
	f.Assert(err, qt.IsNil)
	standin.SetPromptParts(request, soundPart)
	answer, err := standin.SendObserved(request, &watcher{pieces: 1, begin: func() {
		f.Check(f.sendPrompt(standin.Streaming+"chat", "m0", crashingPart).Status, qt.Equals, http.StatusBadGateway)
	}})
	f.checkCutStream(response{Answer: answer, err: err})
}
