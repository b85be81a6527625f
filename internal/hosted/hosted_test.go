package hosted_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/hosted"
	"github.com/guavatrack/guavatrack/platform/standin"
)

// fixture is a simulated platform with nodes on it.
type fixture struct {
	*qt.C
	site  *standin.Site
	nodes []*hosted.Node
}

// newFixture starts a platform and nodes, and waits until all nodes are ready. The test
// runs in parallel with others.
func newFixture(t *testing.T, site *standin.Site, nodes int) *fixture {
	t.Helper()
	t.Parallel()
	return newSerialFixture(t, site, nodes)
}

// newSerialFixture is newFixture for a test that keeps the processors busy. It runs alone.
func newSerialFixture(t *testing.T, site *standin.Site, nodes int) *fixture {
	t.Helper()
	f := &fixture{C: qt.New(t), site: site}
	if site.EventTime == 0 {
		site.EventTime = 2 * time.Millisecond
	}
	f.Assert(site.Start(), qt.IsNil)
	t.Cleanup(site.Close)
	f.startNodes(nodes)
	t.Cleanup(func() { f.Check(site.Ledger.Breaches(), qt.HasLen, 0) })
	return f
}

// startNodes adds nodes, named from vm0 on, and waits until all are ready.
func (f *fixture) startNodes(count int) {
	f.Helper()
	started := make([]*hosted.Node, 0, count)
	for i := range count {
		nodeSettings := f.site.NodeSettings(fmt.Sprint("vm", i))
		f.Assert(nodeSettings.Check().Err(), qt.IsNil)
		node := &hosted.Node{Settings: nodeSettings, Log: slog.New(slog.DiscardHandler)}
		f.Assert(node.Start(context.Background()), qt.IsNil)
		f.Cleanup(node.Stop)
		started = append(started, node)
	}
	for _, node := range started {
		f.waitFor(func() bool { return node.Ready() == nil })
	}
	f.nodes = append(f.nodes, started...)
}

// waitFor waits until the condition is true and fails the test after 20 s.
func (f *fixture) waitFor(condition func() bool) {
	f.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	f.Fatal("condition not met within 20 s")
}

// response is the answer to a request, or the error of sending it.
type response struct {
	standin.Answer
	err error
}

// send sends a request to a node.
func (f *fixture) send(node int, method, path, model, body string) response {
	answer, err := standin.Ask(f.nodes[node].Addresses().Callers, method, path, model, body)
	return response{Answer: answer, err: err}
}

var completeStream = []string{"1", "2", "3", "4", "5", "6", "7", "8"}

func (f *fixture) checkCompleteStream(answer response) {
	f.Helper()
	f.Check(answer.err, qt.IsNil)
	f.Check(answer.Status, qt.Equals, http.StatusOK, qt.Commentf("%s", answer.Body))
	f.Check(answer.Pieces(), qt.DeepEquals, completeStream)
	f.Check(answer.Signature, qt.Contains, "seal-")
	f.Check(answer.AnswerID, qt.Equals, answer.ID)
}

func TestLoadedModelsAnswerRequests(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 2, Services: 1, Models: 6}, 1)
	for i := range 6 {
		f.checkCompleteStream(f.send(0, http.MethodPost, standin.Streaming+"chat", fmt.Sprint("m", i), "hello"))
	}
}

func TestModelThatNoEngineHoldsIsLoaded(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 2, Services: 1, Models: 12}, 2)
	var group sync.WaitGroup
	for i := range 12 {
		group.Go(func() {
			f.checkCompleteStream(f.send(i%2, http.MethodPost, standin.Resumable+"chat", fmt.Sprint("m", i), "hello"))
		})
	}
	group.Wait()
}

func TestAdapterIsLoadedWithItsBaseModel(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 2, Services: 1, Models: 6}, 2)
	for round := range 2 {
		for adapter := range 4 {
			name := fmt.Sprintf("m%d/a%d", round, adapter)
			f.checkCompleteStream(f.send(adapter%2, http.MethodPost, standin.Resumable+"chat", name, "hello"))
		}
		time.Sleep(600 * time.Millisecond)
	}
}

func TestLostOrdersAreExecutedOnce(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 2, Services: 1, Models: 12}, 1)
	for _, engine := range f.site.EngineList {
		engine.LoseOrders, engine.DelayOrders, engine.OrderDelay = 1, 1, 700*time.Millisecond
	}
	for i := range 12 {
		f.checkCompleteStream(f.send(0, http.MethodPost, standin.Resumable+"chat", fmt.Sprint("m", i), "hello"))
	}
}

func TestRequestsAreForwardedUnchanged(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 1, Services: 2, Models: 3}, 1)
	for _, prefix := range []string{standin.Once, standin.Repeatable} {
		answer := f.send(0, http.MethodPost, prefix+"a%2Fb//c?x=1&y=%20", "", `{"courier":"monday"}`)
		f.Check(answer.Status, qt.Equals, http.StatusOK)
		f.Check(answer.Body, qt.Matches, `POST /\w+/a%2Fb//c\?x=1&y=%20 by service\d: \{"courier":"monday"\}`)
		f.Check(f.site.Ledger.Runs(answer.ID), qt.Equals, 1)
	}
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 1, Services: 1, Models: 3}, 1)
	f.Check(f.send(0, http.MethodGet, "/nowhere/", "", "").Status, qt.Equals, http.StatusNotFound)
	f.Check(f.send(0, http.MethodPost, standin.Streaming, "m99", "").Status, qt.Equals, http.StatusNotFound)
	f.Check(f.send(0, http.MethodPost, standin.Once, "", strings.Repeat("x", 70000)).Status,
		qt.Equals, http.StatusRequestEntityTooLarge)
}

// faultOnce returns a function that injects the fault into the first request only.
func faultOnce(fault standin.Fault) func(*http.Request) standin.Fault {
	var applied atomic.Bool
	return func(*http.Request) standin.Fault {
		if applied.CompareAndSwap(false, true) {
			return fault
		}
		return standin.None
	}
}

func (f *fixture) faultServices(fault standin.Fault) {
	firstOnly := faultOnce(fault)
	for _, service := range f.site.ServiceList {
		service.SetFault(firstOnly)
	}
}

func (f *fixture) faultEngines(fault standin.Fault) {
	firstOnly := faultOnce(fault)
	for _, engine := range f.site.EngineList {
		engine.SetFault(firstOnly)
	}
}

// TestAtMostOnceRequestIsNotRetried checks the status of a request that must not
// run twice after each kind of fault of its server.
func TestAtMostOnceRequestIsNotRetried(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 1, Services: 3, Models: 3}, 1)
	for _, test := range []struct {
		name         string
		fault        standin.Fault
		status, runs int
	}{
		{"no room", standin.Full, http.StatusServiceUnavailable, 0},
		{"answer lost", standin.Reset, http.StatusBadGateway, 1},
		{"answer cut", standin.Break, http.StatusBadGateway, 1},
		{"no signature", standin.Unsigned, http.StatusBadGateway, 1},
		{"answer of another", standin.Foreign, http.StatusBadGateway, 1},
		{"server's failure", standin.Failing, http.StatusInternalServerError, 1},
	} {
		f.faultServices(test.fault)
		answer := f.send(0, http.MethodPost, standin.Once+"book", "", "{}")
		f.Check(answer.Status, qt.Equals, test.status, qt.Commentf("%s: %s", test.name, answer.Body))
		f.Check(f.site.Ledger.Runs(answer.ID), qt.Equals, test.runs, qt.Commentf("%s", test.name))
		if test.status == http.StatusServiceUnavailable {
			f.Check(answer.RetryAfter, qt.Not(qt.Equals), "")
		}
	}
}

func TestIdempotentRequestIsRetriedOnAnotherServer(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 1, Services: 3, Models: 3}, 1)
	for _, fault := range []standin.Fault{
		standin.Full, standin.Reset, standin.Break, standin.Unsigned, standin.Foreign, standin.Failing,
	} {
		f.faultServices(fault)
		answer := f.send(0, http.MethodGet, standin.Repeatable+"stock", "", "")
		f.Check(answer.Status, qt.Equals, http.StatusOK, qt.Commentf("fault %d: %s", fault, answer.Body))
		f.Check(answer.Body, qt.Contains, "GET /repeatable/stock")
	}
}

func TestServerErrorIsReturnedIfAllServersFail(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 1, Services: 2, Models: 3}, 1)
	for _, service := range f.site.ServiceList {
		service.SetFault(func(*http.Request) standin.Fault { return standin.Failing })
	}
	answer := f.send(0, http.MethodGet, standin.Repeatable+"stock", "", "")
	f.Check(answer.Status, qt.Equals, http.StatusInternalServerError)
	f.Check(answer.Signature, qt.Contains, "seal-service")
	f.Check(answer.Body, qt.Equals, "failed")
}

func TestBrokenStreamIsResumedOnAnotherEngine(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 3, Services: 1, Models: 3}, 1)
	for _, fault := range []standin.Fault{standin.Break, standin.Reset, standin.Full, standin.Unsigned} {
		f.faultEngines(fault)
		f.checkCompleteStream(f.send(0, http.MethodPost, standin.Resumable+"chat", "m1", "hello"))
	}
}

// TestBrokenStreamThatCannotBeResumedIsCutOff checks that the caller can
// distinguish an incomplete answer from a complete one.
func TestBrokenStreamThatCannotBeResumedIsCutOff(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 3, Services: 1, Models: 3}, 1)
	f.faultEngines(standin.Break)
	answer := f.send(0, http.MethodPost, standin.Streaming+"chat", "m1", "hello")
	f.Check(answer.Status, qt.Equals, http.StatusOK)
	f.Check(answer.err, qt.ErrorMatches, ".*unexpected EOF")
	f.Check(answer.Pieces(), qt.DeepEquals, completeStream[:4])
	f.Check(f.site.Ledger.Runs(answer.ID), qt.Equals, 1)
}

func TestRequestTimesOutAtItsRoutesLimit(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 1, Services: 1, Models: 3}, 1)
	f.site.ServiceList[0].SetFault(func(*http.Request) standin.Fault { return standin.Hang })
	answer := f.send(0, http.MethodPost, standin.Once+"book", "", "{}")
	f.Check(answer.Status, qt.Equals, http.StatusGatewayTimeout)
	f.Check(f.site.Ledger.Runs(answer.ID), qt.Equals, 1)
}

func TestNewManifestIsApplied(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 1, Services: 1, Models: 3}, 2)
	f.Check(f.send(0, http.MethodPost, "/extra1/chat", "m0", "").Status, qt.Equals, http.StatusNotFound)
	f.site.Publish(2)
	for node := range f.nodes {
		f.waitFor(func() bool {
			return f.send(node, http.MethodPost, "/extra1/chat", "m0", "").Status == http.StatusOK
		})
	}
}

// TestUnreadableRowsAreIgnored writes entries with an invalid format and an invalid
// manifest.
func TestUnreadableRowsAreIgnored(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 1, Services: 1, Models: 3}, 1)
	f.site.Store.PutText("servers", "ghost", []byte("\xff\x00 not JSON"))
	f.site.Store.Put("servers", "ghost2", map[string]any{"service": 7, "address": []int{1}})
	f.site.Store.Put("servers", "ghost3", map[string]any{"service": "advisor", "address": "nowhere", "state": "ready"})
	f.site.Store.PutText("op", "config", []byte(`{"version":99,"routes":[{"kind":"unheard of"}]}`))
	time.Sleep(1500 * time.Millisecond)
	f.checkCompleteStream(f.send(0, http.MethodPost, standin.Streaming+"chat", "m0", "hello"))
}

// TestLoadedModelsAreServedDuringAStoreOutage stops the store. Loaded models are
// still served. Models are loaded until the lease expires; after that, a request
// for a model that is not loaded is refused without having run.
func TestLoadedModelsAreServedDuringAStoreOutage(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 2, Services: 1, Models: 12}, 2)
	f.checkCompleteStream(f.send(0, http.MethodPost, standin.Resumable+"chat", "m7", "hello"))
	f.site.Store.SetFaults(standin.StoreFaults{Down: true})
	loaded, notLoaded := f.loadedModels(12)
	f.Check(loaded, qt.Not(qt.HasLen), 0)
	for i, model := range loaded {
		f.checkCompleteStream(f.send(i%2, http.MethodPost, standin.Resumable+"chat", model, "hello"))
	}
	for i, model := range notLoaded {
		answer := f.send(i%2, http.MethodPost, standin.Resumable+"chat", model, "hello")
		if answer.Status == http.StatusOK {
			f.checkCompleteStream(answer)
			continue
		}
		f.Check(answer.Status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s", answer.Body))
		f.Check(answer.RetryAfter, qt.Not(qt.Equals), "")
		f.Check(f.site.Ledger.Runs(answer.ID), qt.Equals, 0)
	}
	f.site.Store.Forget()
	f.site.Store.SetFaults(standin.StoreFaults{})
	f.site.Publish(1)
	f.waitFor(func() bool { return f.send(0, http.MethodPost, "/extra0/chat", "m0", "").Status == http.StatusOK })
}

// loadedModels returns the models that an engine has loaded, and the others.
func (f *fixture) loadedModels(count int) (loaded, notLoaded []string) {
	for i := range count {
		model := fmt.Sprint("m", i)
		found := false
		for _, engine := range f.site.EngineList {
			found = found || engine.Holds(model)
		}
		if found {
			loaded = append(loaded, model)
		} else {
			notLoaded = append(notLoaded, model)
		}
	}
	return loaded, notLoaded
}

func TestDrainingServerGetsNoNewRequests(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 2, Services: 2, Models: 3}, 1)
	f.site.ServiceList[0].Drain()
	f.site.ServiceList[0].Register()
	time.Sleep(1500 * time.Millisecond)
	for range 20 {
		answer := f.send(0, http.MethodPost, standin.Once+"book", "", "{}")
		f.Check(answer.Body, qt.Contains, "by service1")
	}
}

func TestDrainCutsOffNoRequest(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 2, Services: 1, Models: 6, EventTime: 60 * time.Millisecond}, 2)
	var group sync.WaitGroup
	for i := range 12 {
		group.Go(func() {
			f.checkCompleteStream(f.send(0, http.MethodPost, standin.Streaming+"chat", fmt.Sprint("m", i%6), "hello"))
		})
	}
	time.Sleep(150 * time.Millisecond)
	var cutOff int
	group.Go(func() { cutOff = f.nodes[0].Drain(context.Background()) })
	f.waitFor(func() bool { return f.nodes[0].Ready() != nil })
	// Callers use a cached answer of the look-up until it expires.
	f.checkCompleteStream(f.send(0, http.MethodPost, standin.Streaming+"chat", "m0", "hello"))
	group.Wait()
	f.Check(cutOff, qt.Equals, 0)
	f.waitFor(func() bool { return len(f.lookUp(1)) == 1 })
}

// TestRequestsGoOnBesideReloads reloads the settings of a node, as after SIGHUP, while it
// answers. It guards against a reload that refuses or cuts off requests.
func TestRequestsGoOnBesideReloads(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 2, Services: 1, Models: 6, EventTime: 60 * time.Millisecond}, 1)
	var group sync.WaitGroup
	for i := range 12 {
		group.Go(func() {
			f.checkCompleteStream(f.send(0, http.MethodPost, standin.Streaming+"chat", fmt.Sprint("m", i%6), "hello"))
		})
		group.Go(func() {
			answer := f.send(0, http.MethodPost, standin.Once+"book", "", "{}")
			f.Check(answer.Status, qt.Equals, http.StatusOK)
		})
		f.nodes[0].Reload(f.nodes[0].Settings)
		time.Sleep(20 * time.Millisecond)
	}
	group.Wait()
	f.Check(f.nodes[0].Ready(), qt.IsNil)
}

// lookUp returns the caller addresses in a node's answer to a look-up.
func (f *fixture) lookUp(node int) []string {
	addresses, keepFor, err := standin.LookUp(f.nodes[node].Addresses().Lookup, "east", "east-a")
	f.Assert(err, qt.IsNil)
	f.Check(keepFor, qt.Equals, time.Second)
	return addresses
}

func TestNodesFindEachOtherThroughTheStore(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 1, Services: 1, Models: 3}, 3)
	for node := range f.nodes {
		f.waitFor(func() bool { return len(f.lookUp(node)) == 3 })
	}
	ready, err := standin.Ready(f.nodes[0].Addresses().Readiness)
	f.Assert(err, qt.IsNil)
	f.Check(ready, qt.IsTrue)
}

// TestAnotherNodeGivesOrdersAfterTheHolderStopped stops the first node, after which
// the second one must hold the lease.
func TestAnotherNodeGivesOrdersAfterTheHolderStopped(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 2, Services: 1, Models: 12}, 2)
	f.waitFor(func() bool { return len(f.lookUp(0)) == 2 && len(f.lookUp(1)) == 2 })
	// In the first two seconds a call may be refused, since no node gives orders yet.
	f.waitFor(func() bool {
		return f.send(1, http.MethodPost, standin.Resumable+"chat", "m7", "hello").Status == http.StatusOK
	})
	f.checkCompleteStream(f.send(1, http.MethodPost, standin.Resumable+"chat", "m7", "hello"))
	f.Check(f.nodes[0].Drain(context.Background()), qt.Equals, 0)
	for i := range 12 {
		f.waitFor(func() bool {
			answer := f.send(1, http.MethodPost, standin.Resumable+"chat", fmt.Sprint("m", i), "hello")
			return answer.Status == http.StatusOK
		})
	}
}
