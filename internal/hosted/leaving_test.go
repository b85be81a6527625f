package hosted_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/platform/standin"
)

// usedService returns the service that answers the first node.
func (f *fixture) usedService() *standin.Service {
	answer := f.send(0, http.MethodGet, standin.Repeatable+"stock", "", "")
	for _, service := range f.site.ServiceList {
		if strings.Contains(answer.Body, service.ID) {
			return service
		}
	}
	f.Fatalf("no service in %q", answer.Body)
	return nil
}

// TestServerThatSaysThatItLeavesGetsNoRequests has a service say in its answers that it
// leaves, while its entries in the store call it ready. The stand-in reports a request
// that arrives too late afterwards, from the node that got the answer or the other.
func TestServerThatSaysThatItLeavesGetsNoRequests(t *testing.T) {
	const grace = 3 * time.Second
	f := newFixture(t, &standin.Site{Engines: 1, Services: 2, Models: 3}, 2)
	leaving := f.usedService()
	leaving.Leave(grace)
	f.waitFor(func() bool {
		f.Check(f.send(0, http.MethodGet, standin.Repeatable+"stock", "", "").Status, qt.Equals, http.StatusOK)
		return leaving.SaidLeaving()
	})
	for ended := time.Now().Add(grace + 500*time.Millisecond); time.Now().Before(ended); {
		leaving.Register()
		answer := f.send(0, http.MethodGet, standin.Repeatable+"stock", "", "")
		f.Check(answer.Status, qt.Equals, http.StatusOK)
		f.Check(answer.Body, qt.Not(qt.Contains), leaving.ID)
		f.Check(f.send(1, http.MethodGet, standin.Repeatable+"stock", "", "").Status, qt.Equals, http.StatusOK)
		time.Sleep(20 * time.Millisecond)
	}
	f.Check(f.send(1, http.MethodGet, standin.Repeatable+"stock", "", "").Body, qt.Not(qt.Contains), leaving.ID)
}

// TestEngineThatSaysThatItLeavesGetsNoRequests checks the same of an engine: the model
// that it holds is loaded elsewhere.
func TestEngineThatSaysThatItLeavesGetsNoRequests(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 2, Services: 1, Models: 3}, 1)
	f.checkCompleteStream(f.send(0, http.MethodPost, standin.Resumable+"chat", "m0", "hello"))
	f.site.EngineList[0].Leave(time.Second)
	for i := range 60 {
		f.checkCompleteStream(f.send(0, http.MethodPost, standin.Resumable+"chat", fmt.Sprint("m", i%3), "hello"))
		time.Sleep(20 * time.Millisecond)
	}
}

// TestServerThatWantsRestIsLeftAlone counts the requests that reach a service after it
// has asked for no requests, while the other one serves all. The service that the first
// request reaches asks for that.
func TestServerThatWantsRestIsLeftAlone(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 1, Services: 2, Models: 3}, 1)
	var resting *standin.Service
	arrivals := 0
	for _, service := range f.site.ServiceList {
		service.SetFault(func(*http.Request) standin.Fault {
			if resting == nil {
				resting = service
			}
			if service != resting {
				return standin.None
			}
			arrivals++
			return standin.Rest
		})
	}
	for ended := time.Now().Add(standin.RestTime * 3 / 4); time.Now().Before(ended); time.Sleep(5 * time.Millisecond) {
		f.Check(f.send(0, http.MethodGet, standin.Repeatable+"stock", "", "").Status, qt.Equals, http.StatusOK)
	}
	f.Check(arrivals, qt.Equals, 1)
}
