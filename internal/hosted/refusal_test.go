package hosted_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/platform/standin"
)

// repeats are the faults of a server that writes an earlier refusal once more.
var repeats = []standin.Fault{
	standin.RepeatRefusal, standin.RepeatRefusalAfter, standin.RepeatBareRefusal, standin.RepeatBareRefusalAfter,
}

// faultInTurn has all servers refuse every fourth request, so that there is something to
// repeat, serve the next one, and play the fault with the others.
func (f *fixture) faultInTurn(fault standin.Fault) {
	var count atomic.Uint64
	inTurn := []standin.Fault{standin.Full, standin.None, fault, fault}
	choose := func(*http.Request) standin.Fault { return inTurn[count.Add(1)%uint64(len(inTurn))] }
	for _, server := range f.servers() {
		server.SetFault(choose)
	}
}

// servers returns all backend servers.
func (f *fixture) servers() (servers []*standin.Server) {
	for _, engine := range f.site.EngineList {
		servers = append(servers, &engine.Server)
	}
	for _, service := range f.site.ServiceList {
		servers = append(servers, &service.Server)
	}
	return servers
}

// refusalsRepeated returns the number of refusals that servers wrote once more.
func (f *fixture) refusalsRepeated() (count int) {
	for _, server := range f.servers() {
		count += server.RefusalsRepeated()
	}
	return count
}

// checkTruth checks that an answer that says that its request has not run is true, and
// that a request that may run once has not run twice.
func (f *fixture) checkTruth(prefix string, answer response) {
	f.Helper()
	runs := f.site.Ledger.Runs(answer.ID)
	if answer.NotRun {
		f.Check(runs, qt.Equals, 0, qt.Commentf("%s: %s", answer.ID, answer.Body))
	}
	if prefix == standin.Once || prefix == standin.Streaming {
		f.Check(runs <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", answer.ID, runs))
	}
	f.Check(answer.AnswerID == "" || answer.AnswerID == answer.ID, qt.IsTrue, qt.Commentf("%s: %s", answer.ID, answer.AnswerID))
}

// TestRepeatedRefusalsTellNothingUntrue guards against callers that were told that their
// request had not run, or requests that ran twice, because a server wrote an earlier
// refusal once more on a connection.
func TestRepeatedRefusalsTellNothingUntrue(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 1, Services: 1, Models: 3}, 1)
	for _, fault := range repeats {
		f.faultInTurn(fault)
		before := f.refusalsRepeated()
		for range 6 {
			for _, prefix := range []string{standin.Repeatable, standin.Once} {
				f.checkTruth(prefix, f.send(0, http.MethodGet, prefix+"stock", "", ""))
				f.checkTruth(prefix, f.send(0, http.MethodPost, prefix+"book", "", "{}"))
			}
			for _, prefix := range []string{standin.Streaming, standin.Resumable} {
				f.checkTruth(prefix, f.send(0, http.MethodPost, prefix+"chat", "m1", "hello"))
			}
		}
		f.Check(f.refusalsRepeated() > before, qt.IsTrue, qt.Commentf("fault %d was not played", fault))
	}
}

// faultFirstSend has all servers play the fault with the first send of each request and
// refuse all further ones.
func (f *fixture) faultFirstSend(fault standin.Fault) {
	var sent sync.Map
	choose := func(r *http.Request) standin.Fault {
		if _, again := sent.LoadOrStore(standin.RequestID(r), true); again {
			return standin.Full
		}
		return fault
	}
	for _, server := range f.servers() {
		server.SetFault(choose)
	}
}

// TestRequestBehindARepeatedRefusalMayHaveRun guards against callers that were told that
// their request had not run: a server wrote an earlier refusal once more on a kept
// connection and ran the request, and all further attempts were refused.
func TestRequestBehindARepeatedRefusalMayHaveRun(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 1, Services: 1, Models: 3}, 1)
	for _, fault := range []standin.Fault{standin.RepeatRefusal, standin.RepeatBareRefusal} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			f.faultFirstSend(standin.None)
			f.Check(f.send(0, method, standin.Repeatable+"stock", "", "").Status, qt.Equals, http.StatusOK)
			f.faultFirstSend(fault)
			answer := f.send(0, method, standin.Repeatable+"stock", "", "")
			f.Check(answer.Status, qt.Equals, http.StatusBadGateway, qt.Commentf("%d %s: %s", fault, method, answer.Body))
			f.Check(f.site.Ledger.Runs(answer.ID), qt.Equals, 1)
		}
	}
	f.Check(f.refusalsRepeated(), qt.Equals, 4)
}
