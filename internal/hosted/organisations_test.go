package hosted_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/explain"
	"github.com/guavatrack/guavatrack/internal/hosted"
	"github.com/guavatrack/guavatrack/platform/standin"
)

// Keys of the organisations of the tests. Their text must appear in no log.
const (
	alderKey, secondAlderKey, birchKey, unknownKey = "S3CRET-alder", "S3CRET-alder-2", "S3CRET-birch", "S3CRET-none"
	secretPrefix                                   = "S3CRET"
)

var organisations = []standin.Organisation{
	{Name: "alder", Keys: []string{alderKey, secondAlderKey}},
	{Name: "birch", Keys: []string{birchKey}, Priority: 4},
}

// textLog collects the log lines of nodes.
type textLog struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *textLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *textLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// startLoggedNode starts a node that writes all its lines to a log, without waiting for it.
func (f *fixture) startLoggedNode(name string, log io.Writer, links *serverLinks) *hosted.Node {
	f.Helper()
	node := &hosted.Node{
		Settings: f.site.NodeSettings(name), Log: slog.New(slog.NewJSONHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug})),
	}
	if links != nil {
		node.DialServers = links.dial
	}
	f.Assert(node.Start(context.Background()), qt.IsNil)
	f.Cleanup(node.Stop)
	f.nodes = append(f.nodes, node)
	return node
}

// newRequestAs returns a caller's request with a key that claims another organisation.
func (f *fixture) newRequestAs(key, address, path, model string) *http.Request {
	f.Helper()
	request, err := standin.NewRequest(address, http.MethodPost, path, model, "{}")
	f.Assert(err, qt.IsNil)
	request.Header.Set(standin.HeaderOrganisation, "forged")
	f.site.Authorize(request, key)
	return request
}

func (f *fixture) sendAs(key string, node *hosted.Node, path, model string) response {
	f.Helper()
	answer, err := standin.Send(f.newRequestAs(key, node.Addresses().Callers, path, model))
	return response{Answer: answer, err: err}
}

// TestKeysAtRealNodes sends requests with keys on all paths to a server: first attempts,
// retries, a replacement of a silent attempt, a broken stream, the rest of a stream at
// another node, a public route, and a node that passes its requests on. The ledger of the
// fixture guards against keys and wrong organisations at servers, the scan of the logs, the
// metrics and the output of explain against keys there. A key that is removed must be refused
// at all nodes, also at one that is started again.
func TestKeysAtRealNodes(t *testing.T) {
	f := newFixture(t, &standin.Site{
		Engines: 3, Services: 2, Models: 3, EventTime: 60 * time.Millisecond, Organisations: organisations,
	}, 0)
	log, links := &textLog{}, &serverLinks{refuses: true}
	first, second := f.startLoggedNode("vm0", log, links), f.startLoggedNode("vm1", log, nil)
	f.waitFor(func() bool { return first.Ready() == nil && second.Ready() == nil })
	f.checkPaths(first, second)
	f.checkRefusedKeys(first)
	// A request that the node passes on is checked again by the other one.
	links.begin()
	f.waitFor(func() bool {
		return f.sendAs(birchKey, first, standin.Once, "").Status == http.StatusOK && strings.Contains(log.String(), "no backend server reached")
	})
	f.checkCompleteStream(f.sendAs(alderKey, first, standin.Resumable+"chat", "m1"))
	f.Check(f.sendAs(unknownKey, first, standin.Once, "").Status, qt.Equals, http.StatusUnauthorized)
	links.cut.Store(false)

	f.site.PublishOrganisations(standin.Organisation{Name: "alder", Keys: []string{alderKey}}, organisations[1])
	for _, node := range f.nodes {
		f.waitFor(func() bool { return f.sendAs(secondAlderKey, node, standin.Once, "").Status == http.StatusUnauthorized })
	}
	f.site.Ledger.Revoke(secondAlderKey)
	second.Stop()
	again := f.startLoggedNode("vm1", log, nil)
	f.waitFor(func() bool {
		return f.sendAs(secondAlderKey, again, standin.Once, "").Status == http.StatusUnauthorized
	})
	f.waitFor(func() bool { return f.sendAs(alderKey, again, standin.Once, "").Status == http.StatusOK })
	f.checkNoKeyIn(log, first, again)
}

// checkPaths sends requests of two organisations that reach servers on different paths.
func (f *fixture) checkPaths(first, second *hosted.Node) {
	f.Helper()
	for _, key := range []string{alderKey, birchKey} {
		f.Check(f.sendAs(key, first, standin.Once, "").Status, qt.Equals, http.StatusOK)
		f.faultServices(standin.Full)
		f.Check(f.sendAs(key, first, standin.Repeatable, "").Status, qt.Equals, http.StatusOK)
		f.faultEngines(standin.Break)
		f.checkCompleteStream(f.sendAs(key, second, standin.Resumable+"chat", "m0"))
		request := f.newRequestAs(key, first.Addresses().Callers, standin.Resumable+"chat", "m1")
		answer, err := standin.SendObserved(request, &watcher{pieces: 3, begin: f.muteBusyEngine})
		f.checkCompleteStream(response{Answer: answer, err: err})
		caller := standin.StreamCaller{
			Model: "m2", Tries: 4, CutAfter: 3, Prepare: func(request *http.Request) { f.site.Authorize(request, key) },
			Node: func(try int) string { return []*hosted.Node{first, second}[try%2].Addresses().Callers },
		}
		stream, err := caller.Do(context.Background())
		f.Check(err, qt.IsNil)
		f.Check(stream.TakenUp() && stream.IsWhole(), qt.IsTrue, qt.Commentf("%+v", stream))
	}
	for _, key := range []string{"", unknownKey, birchKey} {
		f.Check(f.sendAs(key, first, standin.Public, "").Status, qt.Equals, http.StatusOK)
	}
}

// muteBusyEngine has the engine that runs a request be silent for a while.
func (f *fixture) muteBusyEngine() {
	for _, engine := range f.site.EngineList {
		if engine.Running() > 0 {
			engine.Mute(2 * silence)
			return
		}
	}
}

// checkRefusedKeys sends requests that must not run.
func (f *fixture) checkRefusedKeys(node *hosted.Node) {
	f.Helper()
	for _, key := range []string{"", unknownKey, alderKey + "," + birchKey} {
		for path, model := range map[string]string{standin.Once: "", standin.Repeatable: "", standin.Streaming: "m1", standin.Resumable: "m1"} {
			answer := f.sendAs(key, node, path, model)
			f.Check(answer.Status, qt.Equals, http.StatusUnauthorized)
			f.Check(f.site.Ledger.Runs(answer.ID), qt.Equals, 0)
		}
		f.Check(f.sendAs(key, node, "/nowhere/", "").Status, qt.Equals, http.StatusNotFound)
	}
	for _, size := range []int{1 << 10, 16 << 10, 64 << 10, 200 << 10} {
		for _, address := range []string{node.Addresses().Callers, node.Addresses().Forward} {
			request := f.newRequestAs(strings.Repeat(secretPrefix+"-", size/7), address, standin.Once, "")
			answer, err := standin.Send(request)
			if err != nil {
				continue // The node closed the connection before it had read the header.
			}
			refused := answer.Status == http.StatusUnauthorized || answer.Status == http.StatusRequestHeaderFieldsTooLarge
			f.Check(refused, qt.IsTrue, qt.Commentf("%d for a key of %d bytes", answer.Status, size))
		}
	}
}

// checkNoKeyIn checks that no key is in the log, in metrics, or in what explain writes of any
// request.
func (f *fixture) checkNoKeyIn(log *textLog, nodes ...*hosted.Node) {
	f.Helper()
	text := log.String()
	for _, line := range []string{"request refused at the edge", "attempt failed", "attempt silent", "rest of a stream requested"} {
		f.Check(strings.Contains(text, line), qt.IsTrue, qt.Commentf("the paths lack %q", line))
	}
	requests := make(map[string]bool)
	for line := range strings.Lines(text) {
		f.Check(line, qt.Not(qt.Contains), secretPrefix)
		if _, id, found := strings.Cut(line, `"request":"`); found {
			id, _, _ = strings.Cut(id, `"`)
			requests[id] = true
		}
	}
	for id := range requests {
		timeline, err := explain.Read(id, strings.NewReader(text))
		f.Assert(err, qt.IsNil)
		var out bytes.Buffer
		timeline.Write(&out)
		f.Check(out.String(), qt.Not(qt.Contains), secretPrefix)
	}
	for _, node := range nodes {
		response, err := http.Get(fmt.Sprintf("http://%s/metrics", node.Addresses().Metrics))
		f.Assert(err, qt.IsNil)
		exposed, err := io.ReadAll(response.Body)
		f.Check(err, qt.IsNil)
		f.Check(response.Body.Close(), qt.IsNil)
		f.Check(string(exposed), qt.Not(qt.Contains), secretPrefix)
	}
}
