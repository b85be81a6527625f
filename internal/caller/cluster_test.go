package caller_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/caller"
	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/poison"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/internal/vmlist"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

// memoryNet connects servers and clients without sockets, so that a whole cluster
// can run in virtual time.
type memoryNet struct {
	mu        sync.Mutex
	listeners map[string]*standin.Listener
}

func (m *memoryNet) listen(address string) net.Listener {
	m.mu.Lock()
	defer m.mu.Unlock()
	listener := standin.NewListener()
	m.listeners[address] = listener
	return listener
}

func (m *memoryNet) dial(ctx context.Context, _, address string) (net.Conn, error) {
	host, _, _ := strings.Cut(address, ":")
	m.mu.Lock()
	listener := m.listeners[host]
	m.mu.Unlock()
	if listener == nil {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	if err := listener.Deliver(ctx, far); err != nil {
		return nil, err
	}
	return near, nil
}

// testCluster consists of simulated backend servers and of nodes that use them.
type testCluster struct {
	t        *testing.T
	c        *qt.C
	net      *memoryNet
	table    *standin.Table
	ledger   *standin.Ledger
	runs     *standin.Runs
	engines  []*standin.Engine
	plain    []*standin.Service
	nodes    []*caller.Server
	client   *http.Client
	cleanups []func()
	mu       sync.Mutex
	reports  map[fleet.ServerID]engine.Report
	// hidden is the set of engines that the directory omits.
	hidden map[fleet.ServerID]bool
	// draining is the set of engines that must not receive new requests.
	draining map[fleet.ServerID]bool
}

// clusterConfig configures a [testCluster].
type clusterConfig struct {
	engines, services, nodes int
	engine                   func(*standin.EngineConfig)
	node                     func(*caller.Server)
}

const hop = "hop"

// newCluster starts a cluster within a synctest bubble.
func newCluster(t *testing.T, config clusterConfig) *testCluster {
	t.Helper()
	s := &testCluster{
		t: t, c: qt.New(t), net: &memoryNet{listeners: make(map[string]*standin.Listener)},
		table: standin.NewTable(), ledger: standin.NewLedger(), runs: standin.NewRuns(),
		hidden: make(map[fleet.ServerID]bool), reports: make(map[fleet.ServerID]engine.Report),
		draining: make(map[fleet.ServerID]bool),
	}
	t.Cleanup(s.close)
	s.client = &http.Client{Transport: &http.Transport{DialContext: s.net.dial}}
	for at := range config.engines {
		s.addEngine(fmt.Sprintf("engine%d", at), config.engine)
	}
	pollCtx, stopPolling := context.WithCancel(context.Background())
	s.cleanups = append(s.cleanups, stopPolling)
	go s.pollUntilDone(pollCtx)
	time.Sleep(10 * time.Second)
	for at := range config.services {
		id := fmt.Sprintf("service%d", at)
		service := standin.NewService(standin.ServiceConfig{
			ID: fleet.ServerID(id), Delay: 20 * time.Millisecond, Runs: s.runs, Ledger: s.ledger,
		})
		s.plain = append(s.plain, service)
		s.serve(id, service)
	}
	for at := range config.nodes {
		s.addNode(at, config.node)
	}
	return s
}

func (s *testCluster) serve(address string, handler http.Handler) {
	server := &http.Server{Handler: handler, ConnContext: standin.ConnContext}
	listener := s.net.listen(address)
	go func() { _ = server.Serve(listener) }()
	s.cleanups = append(s.cleanups, func() { _ = server.Close() })
}

func (s *testCluster) addEngine(id string, adjust func(*standin.EngineConfig)) {
	config := standin.DefaultEngine()
	config.ID, config.Ledger, config.RestartTime = fleet.ServerID(id), s.ledger, 3*time.Second
	if adjust != nil {
		adjust(&config)
	}
	backend := standin.NewEngine(config)
	s.engines = append(s.engines, backend)
	s.serve(id, backend)
}

// pollReports reads the reports of all engines and loads the model where it is not
// loaded. The last report of an engine that does not answer is kept.
func (s *testCluster) pollReports(loads *int) {
	for _, backend := range s.engines {
		id := backend.ID()
		client := engine.Client{Address: string(id), HTTP: s.client}
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		report, err := client.Report(ctx)
		if err == nil && len(report.Held) == 0 {
			*loads++
			_ = client.Load(ctx, engine.LoadOrder{
				Item: fleet.Item{Model: hop}, Size: fleet.GiB, Grant: fleet.GrantID(fmt.Sprint(*loads)), Fencing: 1,
			})
		}
		cancel()
		if err != nil {
			continue
		}
		s.mu.Lock()
		s.reports[id] = report
		s.mu.Unlock()
	}
}

// pollUntilDone polls the engines until the cluster is closed.
func (s *testCluster) pollUntilDone(ctx context.Context) {
	loads := 0
	for ctx.Err() == nil {
		s.pollReports(&loads)
		time.Sleep(250 * time.Millisecond)
	}
}

func (s *testCluster) addNode(at int, adjust func(*caller.Server)) {
	ctx, cancel := context.WithCancel(context.Background())
	node := &caller.Server{
		Snapshot: snapshot, Directory: &reportDirectory{cluster: s}, Store: s.table, Services: s.services,
		Node: fleet.NodeID(fmt.Sprint(at)), Dial: s.net.dial, Rand: rand.New(rand.NewPCG(1, uint64(at))),
	}
	node.PublishPoisonNotice = func(notice poison.Notice) {
		time.AfterFunc(5*time.Millisecond, func() {
			for _, other := range s.nodes {
				other.MergePoisonNotice(notice)
			}
		})
	}
	if adjust != nil {
		adjust(node)
	}
	s.nodes = append(s.nodes, node)
	handler := node.HTTP()
	listener := s.net.listen(fmt.Sprintf("node%d", at))
	go func() { _ = handler.Serve(listener) }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = node.Run(ctx)
	}()
	s.cleanups = append(s.cleanups, func() {
		_ = handler.Close()
		drainCtx, stopDrain := context.WithTimeout(context.Background(), time.Minute)
		node.Drain(drainCtx)
		stopDrain()
		cancel()
		<-done
	})
}

func (s *testCluster) services(fleet.PoolID) []vmlist.VM {
	vms := make([]vmlist.VM, 0, len(s.plain))
	for at := range s.plain {
		id := fmt.Sprintf("service%d", at)
		vms = append(vms, vmlist.VM{ID: fleet.ServerID(id), Address: id, State: vmlist.Live})
	}
	return vms
}

func (s *testCluster) close() {
	s.client.CloseIdleConnections()
	for at := range s.cleanups {
		s.cleanups[len(s.cleanups)-1-at]()
	}
	time.Sleep(time.Minute)
}

// reportDirectory lists the engines of a cluster as of their last reports.
type reportDirectory struct{ cluster *testCluster }

func (d *reportDirectory) Replicas(item fleet.Item) []engine.Replica {
	replicas := make([]engine.Replica, 0, len(d.cluster.engines))
	for _, backend := range d.cluster.engines {
		id := backend.ID()
		d.cluster.mu.Lock()
		report, hidden, draining := d.cluster.reports[id], d.cluster.hidden[id], d.cluster.draining[id]
		d.cluster.mu.Unlock()
		if hidden || len(report.Held) == 0 {
			continue
		}
		held := report.Held[0]
		replicas = append(replicas, engine.Replica{
			Item: item, Server: id, Address: string(id), State: held.State, Boot: report.Boot,
			Place:   fleet.Place{FailureDomain: fleet.FailureDomain(id)},
			Running: held.Running, Queued: held.Queued, AsOf: report.AsOf,
			Draining: draining,
		})
	}
	return replicas
}

// result is the response that a caller received.
type result struct {
	status int
	header http.Header
	body   string
	took   time.Duration
	err    error
}

func (s *testCluster) send(node int, method, path, body string, headers ...string) (got result) {
	url := fmt.Sprintf("http://node%d%s", node, path)
	request, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(body))
	s.c.Assert(err, qt.IsNil)
	request.Header.Set("Content-Type", "application/json")
	for at := 0; at+1 < len(headers); at += 2 {
		request.Header.Set(headers[at], headers[at+1])
	}
	began := time.Now()
	defer func() { got.took = time.Since(began) }()
	response, err := s.client.Do(request)
	if err != nil {
		return result{err: err}
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return result{status: response.StatusCode, header: response.Header, body: string(answer), err: err}
}

// chatRequest returns the body of a streamed chat and the expected answer.
func chatRequest(text string, tokens int) (body, answer string) {
	message := standin.Message{Role: "user", Content: text}
	answer = standin.Answer(fleet.Item{Model: hop}, standin.ChatPrompt(message), tokens)
	encoded, _ := json.Marshal(map[string]any{
		"model": hop, "stream": true, "max_tokens": tokens, "messages": []standin.Message{message},
	})
	return string(encoded), answer
}

// streamText concatenates the text of a stream; whole is set if its last event was
// received.
func streamText(stream string) (text string, whole bool) {
	var joined strings.Builder
	decoder := engine.NewStreamDecoder(bytes.NewReader([]byte(stream)))
	for {
		event, err := decoder.Next()
		if err != nil {
			return joined.String(), whole
		}
		if event.Done() {
			whole = true
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta standin.Message `json:"delta"`
			} `json:"choices"`
		}
		_ = json.Unmarshal(event.Data, &chunk)
		for _, choice := range chunk.Choices {
			joined.WriteString(choice.Delta.Content)
		}
	}
}

const chatPath = "/v1/chat/completions"

// chat sends a streamed chat and checks that the answer is complete and belongs to
// it.
func (s *testCluster) chat(node int, text string, tokens int) result {
	s.t.Helper()
	body, want := chatRequest(text, tokens)
	got := s.send(node, http.MethodPost, chatPath, body)
	s.c.Check(got.err, qt.IsNil)
	s.c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
	answer, whole := streamText(got.body)
	s.c.Check(whole, qt.IsTrue, qt.Commentf("%s", got.body[max(0, len(got.body)-400):]))
	s.c.Check(answer, qt.Equals, want)
	return got
}

func (s *testCluster) crashes() (count int) {
	for _, backend := range s.engines {
		count += backend.Crashes()
	}
	return count
}

// runStatus returns whether the call ran, as stated by a refusal.
func runStatus(got result) refusal.Run { return refusal.Run(got.header.Get(refusal.RunHeader)) }
