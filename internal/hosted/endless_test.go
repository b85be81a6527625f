package hosted_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/platform/standin"
)

var endlessFaults = map[string]standin.Fault{
	"header": standin.EndlessHead, "interim answers": standin.EndlessInterim, "body": standin.EndlessBody,
	"chunk extension": standin.EndlessExtension, "trailer": standin.EndlessTrailer, "event": standin.EndlessEvent,
}

// maxEndlessBytes bounds what is read of an answer without end, with the buffers of the
// connection: the largest answer that is accepted, and some.
const maxEndlessBytes = 32 << 20

// TestAnswersWithoutEndAreCutOff has a service send answers without end. A request that
// may be repeated is answered by the other service, one that may not gets an honest 502.
func TestAnswersWithoutEndAreCutOff(t *testing.T) {
	f := newSerialFixture(t, &standin.Site{Engines: 1, Services: 2, Models: 3}, 1)
	for name, fault := range endlessFaults {
		f.faultServices(fault)
		answer := f.send(0, http.MethodGet, standin.Repeatable+"stock", "", "")
		f.Check(answer.err, qt.IsNil, qt.Commentf("%s", name))
		f.Check(answer.Status, qt.Equals, http.StatusOK, qt.Commentf("%s: %s", name, answer.Body))
		f.faultServices(fault)
		answer = f.send(0, http.MethodPost, standin.Once+"book", "", "{}")
		f.Check(answer.Status, qt.Equals, http.StatusBadGateway, qt.Commentf("%s: %s", name, answer.Body))
	}
	for _, service := range f.site.ServiceList {
		f.Check(service.EndlessSent() <= maxEndlessBytes, qt.IsTrue, qt.Commentf("%d", service.EndlessSent()))
	}
}

// TestEventsWithoutEndAreCutOff has an engine send an event without end.
func TestEventsWithoutEndAreCutOff(t *testing.T) {
	f := newSerialFixture(t, &standin.Site{Engines: 3, Services: 1, Models: 3}, 1)
	f.faultEngines(standin.EndlessEvent)
	f.checkCompleteStream(f.send(0, http.MethodPost, standin.Resumable+"chat", "m1", "hello"))
	f.faultEngines(standin.EndlessEvent)
	f.Check(f.send(0, http.MethodPost, standin.Streaming+"chat", "m1", "hello").Status, qt.Equals, http.StatusBadGateway)
	for _, engine := range f.site.EngineList {
		f.Check(engine.EndlessSent() <= maxEndlessBytes, qt.IsTrue, qt.Commentf("%d", engine.EndlessSent()))
	}
}

// TestManyAnswersWithoutEndShareTheMemory has a hundred answers without end at a time.
// The node keeps to its memory for bodies, and serves others again at once afterwards.
func TestManyAnswersWithoutEndShareTheMemory(t *testing.T) {
	f := newSerialFixture(t, &standin.Site{Engines: 1, Services: 2, Models: 3}, 1)
	for _, service := range f.site.ServiceList {
		service.SetFault(func(*http.Request) standin.Fault { return standin.EndlessBody })
	}
	var group sync.WaitGroup
	for i := range 100 {
		group.Go(func() {
			answer := f.send(0, http.MethodPost, fmt.Sprint(standin.Once, i), "", "{}")
			f.Check(answer.Status >= http.StatusInternalServerError, qt.IsTrue, qt.Commentf("%d", answer.Status))
		})
	}
	group.Wait()
	for _, service := range f.site.ServiceList {
		service.SetFault(func(*http.Request) standin.Fault { return standin.None })
	}
	f.waitFor(func() bool {
		answer := f.send(0, http.MethodGet, standin.Repeatable+"stock", "", "")
		time.Sleep(10 * time.Millisecond)
		return answer.Status == http.StatusOK
	})
}
