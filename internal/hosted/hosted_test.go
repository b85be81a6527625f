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

// rig is a platform of stand-ins with nodes on it.
type rig struct {
	*qt.C
	site  *standin.Site
	nodes []*hosted.Node
}

// newRig starts a platform and nodes, and waits until all can serve.
func newRig(t *testing.T, site *standin.Site, nodes int) *rig {
	t.Helper()
	t.Parallel()
	r := &rig{C: qt.New(t), site: site}
	if site.EventTime == 0 {
		site.EventTime = 2 * time.Millisecond
	}
	r.Assert(site.Start(), qt.IsNil)
	t.Cleanup(site.Close)
	for at := range nodes {
		given := site.NodeSettings(fmt.Sprint("vm", at))
		r.Assert(given.Check().Err(), qt.IsNil)
		node := &hosted.Node{Settings: given, Log: slog.New(slog.DiscardHandler)}
		r.Assert(node.Start(context.Background()), qt.IsNil)
		t.Cleanup(node.Stop)
		r.nodes = append(r.nodes, node)
	}
	for _, node := range r.nodes {
		r.until(func() bool { return node.Ready() == nil })
	}
	t.Cleanup(func() { r.Check(site.Ledger.Breaches(), qt.HasLen, 0) })
	return r
}

// until waits for a condition that must come about.
func (r *rig) until(holds func() bool) {
	r.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	r.Fatal("did not come about")
}

// got is the answer to a request.
type got struct {
	standin.Answer
	err error
}

// send sends a request to a node.
func (r *rig) send(node int, method, path, model, body string) got {
	answer, err := standin.Ask(r.nodes[node].Addresses().Callers, method, path, model, body)
	return got{Answer: answer, err: err}
}

var allPieces = []string{"1", "2", "3", "4", "5", "6", "7", "8"}

func (r *rig) wholeStream(answer got) {
	r.Helper()
	r.Check(answer.err, qt.IsNil)
	r.Check(answer.Status, qt.Equals, http.StatusOK, qt.Commentf("%s", answer.Body))
	r.Check(answer.Pieces(), qt.DeepEquals, allPieces)
	r.Check(answer.Signature, qt.Contains, "seal-")
	r.Check(answer.AnswerID, qt.Equals, answer.ID)
}

func TestLoadedModelAnswersAtOnce(t *testing.T) {
	r := newRig(t, &standin.Site{Engines: 2, Services: 1, Models: 6}, 1)
	for at := range 6 {
		r.wholeStream(r.send(0, http.MethodPost, standin.Streaming+"chat", fmt.Sprint("m", at), "hello"))
	}
}

func TestModelThatNoEngineHoldsIsLoaded(t *testing.T) {
	r := newRig(t, &standin.Site{Engines: 2, Services: 1, Models: 12}, 2)
	var group sync.WaitGroup
	for at := range 12 {
		group.Go(func() {
			r.wholeStream(r.send(at%2, http.MethodPost, standin.Resumable+"chat", fmt.Sprint("m", at), "hello"))
		})
	}
	group.Wait()
}

func TestAdapterIsLoadedOnItsModel(t *testing.T) {
	r := newRig(t, &standin.Site{Engines: 2, Services: 1, Models: 6}, 2)
	for round := range 2 {
		for adapter := range 4 {
			name := fmt.Sprintf("m%d/a%d", round, adapter)
			r.wholeStream(r.send(adapter%2, http.MethodPost, standin.Resumable+"chat", name, "hello"))
		}
		time.Sleep(600 * time.Millisecond)
	}
}

func TestLostOrdersAreCarriedOutOnce(t *testing.T) {
	r := newRig(t, &standin.Site{Engines: 2, Services: 1, Models: 12}, 1)
	for _, engine := range r.site.EngineList {
		engine.LoseOrders, engine.DelayOrders, engine.OrderDelay = 1, 1, 700*time.Millisecond
	}
	for at := range 12 {
		r.wholeStream(r.send(0, http.MethodPost, standin.Resumable+"chat", fmt.Sprint("m", at), "hello"))
	}
}

func TestCallsPassUnchanged(t *testing.T) {
	r := newRig(t, &standin.Site{Engines: 1, Services: 2, Models: 3}, 1)
	for _, prefix := range []string{standin.Once, standin.Repeatable} {
		answer := r.send(0, http.MethodPost, prefix+"a%2Fb//c?x=1&y=%20", "", `{"courier":"monday"}`)
		r.Check(answer.Status, qt.Equals, http.StatusOK)
		r.Check(answer.Body, qt.Matches, `POST /\w+/a%2Fb//c\?x=1&y=%20 by service\d: \{"courier":"monday"\}`)
		r.Check(r.site.Ledger.Runs(answer.ID), qt.Equals, 1)
	}
}

func TestUnknownPathsAndModels(t *testing.T) {
	r := newRig(t, &standin.Site{Engines: 1, Services: 1, Models: 3}, 1)
	r.Check(r.send(0, http.MethodGet, "/nowhere/", "", "").Status, qt.Equals, http.StatusNotFound)
	r.Check(r.send(0, http.MethodPost, standin.Streaming, "m99", "").Status, qt.Equals, http.StatusNotFound)
	r.Check(r.send(0, http.MethodPost, standin.Once, "", strings.Repeat("x", 70000)).Status,
		qt.Equals, http.StatusRequestEntityTooLarge)
}

// faultOnce has the first request at any of the servers meet a fault.
func faultOnce(fault standin.Fault) func(*http.Request) standin.Fault {
	var used atomic.Bool
	return func(*http.Request) standin.Fault {
		if used.CompareAndSwap(false, true) {
			return fault
		}
		return standin.None
	}
}

func (r *rig) faultServices(fault standin.Fault) {
	shared := faultOnce(fault)
	for _, service := range r.site.ServiceList {
		service.SetFault(shared)
	}
}

func (r *rig) faultEngines(fault standin.Fault) {
	shared := faultOnce(fault)
	for _, engine := range r.site.EngineList {
		engine.SetFault(shared)
	}
}

// TestCallThatMayRunOnce checks what a call that must not run twice ends with
// after each fault of its first server.
func TestCallThatMayRunOnce(t *testing.T) {
	r := newRig(t, &standin.Site{Engines: 1, Services: 3, Models: 3}, 1)
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
		r.faultServices(test.fault)
		answer := r.send(0, http.MethodPost, standin.Once+"book", "", "{}")
		r.Check(answer.Status, qt.Equals, test.status, qt.Commentf("%s: %s", test.name, answer.Body))
		r.Check(r.site.Ledger.Runs(answer.ID), qt.Equals, test.runs, qt.Commentf("%s", test.name))
		if test.status == http.StatusServiceUnavailable {
			r.Check(answer.RetryAfter, qt.Not(qt.Equals), "")
		}
	}
}

func TestCallThatMayBeRepeatedIsAnsweredElsewhere(t *testing.T) {
	r := newRig(t, &standin.Site{Engines: 1, Services: 3, Models: 3}, 1)
	for _, fault := range []standin.Fault{
		standin.Full, standin.Reset, standin.Break, standin.Unsigned, standin.Foreign, standin.Failing,
	} {
		r.faultServices(fault)
		answer := r.send(0, http.MethodGet, standin.Repeatable+"stock", "", "")
		r.Check(answer.Status, qt.Equals, http.StatusOK, qt.Commentf("fault %d: %s", fault, answer.Body))
		r.Check(answer.Body, qt.Contains, "GET /repeatable/stock")
	}
}

func TestServersFailureIsPassedOnIfNobodyDoesBetter(t *testing.T) {
	r := newRig(t, &standin.Site{Engines: 1, Services: 2, Models: 3}, 1)
	for _, service := range r.site.ServiceList {
		service.SetFault(func(*http.Request) standin.Fault { return standin.Failing })
	}
	answer := r.send(0, http.MethodGet, standin.Repeatable+"stock", "", "")
	r.Check(answer.Status, qt.Equals, http.StatusInternalServerError)
	r.Check(answer.Signature, qt.Contains, "seal-service")
	r.Check(answer.Body, qt.Equals, "failed")
}

func TestBrokenStreamGoesOnElsewhere(t *testing.T) {
	r := newRig(t, &standin.Site{Engines: 3, Services: 1, Models: 3}, 1)
	for _, fault := range []standin.Fault{standin.Break, standin.Reset, standin.Full, standin.Unsigned} {
		r.faultEngines(fault)
		r.wholeStream(r.send(0, http.MethodPost, standin.Resumable+"chat", "m1", "hello"))
	}
}

// TestStreamThatMayNotGoOnIsCut checks that the caller can tell an answer that
// broke off from a whole one.
func TestStreamThatMayNotGoOnIsCut(t *testing.T) {
	r := newRig(t, &standin.Site{Engines: 3, Services: 1, Models: 3}, 1)
	r.faultEngines(standin.Break)
	answer := r.send(0, http.MethodPost, standin.Streaming+"chat", "m1", "hello")
	r.Check(answer.Status, qt.Equals, http.StatusOK)
	r.Check(answer.err, qt.ErrorMatches, ".*unexpected EOF")
	r.Check(answer.Pieces(), qt.DeepEquals, allPieces[:4])
	r.Check(r.site.Ledger.Runs(answer.ID), qt.Equals, 1)
}

func TestRequestEndsAtItsRoutesTime(t *testing.T) {
	r := newRig(t, &standin.Site{Engines: 1, Services: 1, Models: 3}, 1)
	r.site.ServiceList[0].SetFault(func(*http.Request) standin.Fault { return standin.Hang })
	answer := r.send(0, http.MethodPost, standin.Once+"book", "", "{}")
	r.Check(answer.Status, qt.Equals, http.StatusGatewayTimeout)
	r.Check(r.site.Ledger.Runs(answer.ID), qt.Equals, 1)
}

func TestManifestComesIntoForce(t *testing.T) {
	r := newRig(t, &standin.Site{Engines: 1, Services: 1, Models: 3}, 2)
	r.Check(r.send(0, http.MethodPost, "/extra1/chat", "m0", "").Status, qt.Equals, http.StatusNotFound)
	r.site.Publish(2)
	for node := range r.nodes {
		r.until(func() bool {
			return r.send(node, http.MethodPost, "/extra1/chat", "m0", "").Status == http.StatusOK
		})
	}
}

// TestUnreadableRowsChangeNothing writes entries of another writer and a
// manifest that can't be read.
func TestUnreadableRowsChangeNothing(t *testing.T) {
	r := newRig(t, &standin.Site{Engines: 1, Services: 1, Models: 3}, 1)
	r.site.Store.PutText("servers", "ghost", []byte("\xff\x00 not JSON"))
	r.site.Store.Put("servers", "ghost2", map[string]any{"service": 7, "address": []int{1}})
	r.site.Store.Put("servers", "ghost3", map[string]any{"service": "advisor", "address": "nowhere", "state": "ready"})
	r.site.Store.PutText("op", "config", []byte(`{"version":99,"routes":[{"kind":"unheard of"}]}`))
	time.Sleep(1500 * time.Millisecond)
	r.wholeStream(r.send(0, http.MethodPost, standin.Streaming+"chat", "m0", "hello"))
}

// TestStoreOutageStopsNoRequest takes the store away. What engines hold is served
// on; loads go on for as long as the lease lasts, and after that a request whose
// model would have to be loaded is refused without having run.
func TestStoreOutageStopsNoRequest(t *testing.T) {
	r := newRig(t, &standin.Site{Engines: 2, Services: 1, Models: 12}, 2)
	r.wholeStream(r.send(0, http.MethodPost, standin.Resumable+"chat", "m7", "hello"))
	r.site.Store.SetFaults(standin.StoreFaults{Down: true})
	held, others := r.heldModels(12)
	r.Check(held, qt.Not(qt.HasLen), 0)
	for at, model := range held {
		r.wholeStream(r.send(at%2, http.MethodPost, standin.Resumable+"chat", model, "hello"))
	}
	for at, model := range others {
		answer := r.send(at%2, http.MethodPost, standin.Resumable+"chat", model, "hello")
		if answer.Status == http.StatusOK {
			r.wholeStream(answer)
			continue
		}
		r.Check(answer.Status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s", answer.Body))
		r.Check(answer.RetryAfter, qt.Not(qt.Equals), "")
		r.Check(r.site.Ledger.Runs(answer.ID), qt.Equals, 0)
	}
	r.site.Store.Forget()
	r.site.Store.SetFaults(standin.StoreFaults{})
	r.site.Publish(1)
	r.until(func() bool { return r.send(0, http.MethodPost, "/extra0/chat", "m0", "").Status == http.StatusOK })
}

// heldModels tells the models that an engine holds from the others.
func (r *rig) heldModels(count int) (held, others []string) {
	for at := range count {
		model := fmt.Sprint("m", at)
		found := false
		for _, engine := range r.site.EngineList {
			found = found || engine.Holds(model)
		}
		if found {
			held = append(held, model)
		} else {
			others = append(others, model)
		}
	}
	return held, others
}

func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	r := newRig(t, &standin.Site{Engines: 2, Services: 2, Models: 3}, 1)
	r.site.ServiceList[0].Drain()
	r.site.ServiceList[0].Register()
	time.Sleep(1500 * time.Millisecond)
	for range 20 {
		answer := r.send(0, http.MethodPost, standin.Once+"book", "", "{}")
		r.Check(answer.Body, qt.Contains, "by service1")
	}
}

func TestPlannedStopCutsNothing(t *testing.T) {
	r := newRig(t, &standin.Site{Engines: 2, Services: 1, Models: 6, EventTime: 60 * time.Millisecond}, 2)
	var group sync.WaitGroup
	for at := range 12 {
		group.Go(func() {
			r.wholeStream(r.send(0, http.MethodPost, standin.Streaming+"chat", fmt.Sprint("m", at%6), "hello"))
		})
	}
	time.Sleep(150 * time.Millisecond)
	var cutOff int
	group.Go(func() { cutOff = r.nodes[0].Drain(context.Background()) })
	r.until(func() bool { return r.nodes[0].Ready() != nil })
	// Callers keep an answer of the look-up for a while.
	r.wholeStream(r.send(0, http.MethodPost, standin.Streaming+"chat", "m0", "hello"))
	group.Wait()
	r.Check(cutOff, qt.Equals, 0)
	r.until(func() bool { return len(r.lookUp(1)) == 1 })
}

// lookUp asks a node where to connect.
func (r *rig) lookUp(node int) []string {
	found, keepFor, err := standin.LookUp(r.nodes[node].Addresses().Lookup, "east", "east-a")
	r.Assert(err, qt.IsNil)
	r.Check(keepFor, qt.Equals, time.Second)
	return found
}

func TestNodesFindEachOtherThroughTheStore(t *testing.T) {
	r := newRig(t, &standin.Site{Engines: 1, Services: 1, Models: 3}, 3)
	for node := range r.nodes {
		r.until(func() bool { return len(r.lookUp(node)) == 3 })
	}
	ready, err := standin.Ready(r.nodes[0].Addresses().Readiness)
	r.Assert(err, qt.IsNil)
	r.Check(ready, qt.IsTrue)
}

// TestOrdersGoOnAtAnotherNode stops the node that gives the orders.
func TestOrdersGoOnAtAnotherNode(t *testing.T) {
	r := newRig(t, &standin.Site{Engines: 2, Services: 1, Models: 12}, 2)
	r.until(func() bool { return len(r.lookUp(0)) == 2 && len(r.lookUp(1)) == 2 })
	r.wholeStream(r.send(1, http.MethodPost, standin.Resumable+"chat", "m7", "hello"))
	r.Check(r.nodes[0].Drain(context.Background()), qt.Equals, 0)
	for at := range 12 {
		r.until(func() bool {
			answer := r.send(1, http.MethodPost, standin.Resumable+"chat", fmt.Sprint("m", at), "hello")
			return answer.Status == http.StatusOK
		})
	}
}
