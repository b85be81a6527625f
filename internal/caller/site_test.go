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

// memoryNet connects servers and clients without sockets, so that whole sites
// run in virtual time.
type memoryNet struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
}

type memoryListener struct {
	address string
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.accept:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

func (m *memoryNet) listen(address string) net.Listener {
	m.mu.Lock()
	defer m.mu.Unlock()
	listener := &memoryListener{address: address, accept: make(chan net.Conn), closed: make(chan struct{})}
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
	select {
	case listener.accept <- far:
		return near, nil
	case <-listener.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// site is a fleet of stand-ins with nodes before them.
type site struct {
	t       *testing.T
	c       *qt.C
	net     *memoryNet
	table   *standin.Table
	ledger  *standin.Ledger
	runs    *standin.Runs
	engines []*standin.Engine
	plain   []*standin.Service
	nodes   []*caller.Server
	client  *http.Client
	stop    []func()
	mu      sync.Mutex
	reports map[fleet.ServerID]engine.Report
	// gone lists engines that the directory no longer shows.
	gone map[fleet.ServerID]bool
	// draining lists engines that are to get no new work.
	draining map[fleet.ServerID]bool
}

// siteConfig describes a site.
type siteConfig struct {
	engines, services, nodes int
	engine                   func(*standin.EngineConfig)
	node                     func(*caller.Server)
}

const hop = "hop"

// newSite starts a site within a bubble of virtual time.
func newSite(t *testing.T, config siteConfig) *site {
	t.Helper()
	s := &site{
		t: t, c: qt.New(t), net: &memoryNet{listeners: make(map[string]*memoryListener)},
		table: standin.NewTable(), ledger: standin.NewLedger(), runs: standin.NewRuns(),
		gone: make(map[fleet.ServerID]bool), reports: make(map[fleet.ServerID]engine.Report),
		draining: make(map[fleet.ServerID]bool),
	}
	t.Cleanup(s.close)
	s.client = &http.Client{Transport: &http.Transport{DialContext: s.net.dial}}
	for at := range config.engines {
		s.addEngine(fmt.Sprintf("engine%d", at), config.engine)
	}
	following, end := context.WithCancel(context.Background())
	s.stop = append(s.stop, end)
	go s.follow(following)
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

func (s *site) serve(address string, handler http.Handler) {
	server := &http.Server{Handler: handler, ConnContext: standin.ConnContext}
	listener := s.net.listen(address)
	go func() { _ = server.Serve(listener) }()
	s.stop = append(s.stop, func() { _ = server.Close() })
}

func (s *site) addEngine(id string, adjust func(*standin.EngineConfig)) {
	config := standin.DefaultEngine()
	config.ID, config.Ledger, config.RestartTime = fleet.ServerID(id), s.ledger, 3*time.Second
	if adjust != nil {
		adjust(&config)
	}
	made := standin.NewEngine(config)
	s.engines = append(s.engines, made)
	s.serve(id, made)
}

// refresh reads the reports of all engines and has the model loaded where it is
// not. What an engine that does not answer reported last stays in view.
func (s *site) refresh(loads *int) {
	for _, made := range s.engines {
		id := made.ID()
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

// follow refreshes the view until the site is closed.
func (s *site) follow(ctx context.Context) {
	loads := 0
	for ctx.Err() == nil {
		s.refresh(&loads)
		time.Sleep(250 * time.Millisecond)
	}
}

func (s *site) addNode(at int, adjust func(*caller.Server)) {
	ctx, cancel := context.WithCancel(context.Background())
	node := &caller.Server{
		Snapshot: snapshot, Directory: &liveDirectory{site: s}, Store: s.table, Services: s.services,
		Node: fleet.NodeID(fmt.Sprint(at)), Dial: s.net.dial, Rand: rand.New(rand.NewPCG(1, uint64(at))),
	}
	node.SpreadPoison = func(notice poison.Notice) {
		time.AfterFunc(5*time.Millisecond, func() {
			for _, other := range s.nodes {
				other.LearnPoison(notice)
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
	s.stop = append(s.stop, func() {
		_ = handler.Close()
		drained, end := context.WithTimeout(context.Background(), time.Minute)
		node.Drain(drained)
		end()
		cancel()
		<-done
	})
}

func (s *site) services(fleet.PoolID) []vmlist.VM {
	vms := make([]vmlist.VM, 0, len(s.plain))
	for at := range s.plain {
		id := fmt.Sprintf("service%d", at)
		vms = append(vms, vmlist.VM{ID: fleet.ServerID(id), Address: id, State: vmlist.Live})
	}
	return vms
}

func (s *site) close() {
	s.client.CloseIdleConnections()
	for at := range s.stop {
		s.stop[len(s.stop)-1-at]()
	}
	time.Sleep(time.Minute)
}

// liveDirectory shows what the engines of a site reported last.
type liveDirectory struct{ site *site }

func (d *liveDirectory) Replicas(item fleet.Item) []engine.Replica {
	replicas := make([]engine.Replica, 0, len(d.site.engines))
	for _, made := range d.site.engines {
		id := made.ID()
		d.site.mu.Lock()
		report, gone, draining := d.site.reports[id], d.site.gone[id], d.site.draining[id]
		d.site.mu.Unlock()
		if gone || len(report.Held) == 0 {
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

// result is what a caller got.
type result struct {
	status int
	header http.Header
	body   string
	took   time.Duration
	err    error
}

func (s *site) send(node int, method, path, body string, headers ...string) (got result) {
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

// prompt returns the body of a streamed chat and the text that answers it.
func prompt(text string, tokens int) (body, answer string) {
	message := standin.Message{Role: "user", Content: text}
	answer = standin.Answer(fleet.Item{Model: hop}, standin.ChatPrompt(message), tokens)
	encoded, _ := json.Marshal(map[string]any{
		"model": hop, "stream": true, "max_tokens": tokens, "messages": []standin.Message{message},
	})
	return string(encoded), answer
}

// textOf joins the pieces of a stream; whole says that it has its end.
func textOf(stream string) (text string, whole bool) {
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

// chat sends a streamed chat and checks that the answer is whole and its own.
func (s *site) chat(node int, text string, tokens int) result {
	s.t.Helper()
	body, want := prompt(text, tokens)
	got := s.send(node, http.MethodPost, chatPath, body)
	s.c.Check(got.err, qt.IsNil)
	s.c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
	answer, whole := textOf(got.body)
	s.c.Check(whole, qt.IsTrue, qt.Commentf("%s", got.body[max(0, len(got.body)-400):]))
	s.c.Check(answer, qt.Equals, want)
	return got
}

func (s *site) crashes() (count int) {
	for _, made := range s.engines {
		count += made.Crashes()
	}
	return count
}

// runOf returns what a refusal says of the run.
func runOf(got result) refusal.Run { return refusal.Run(got.header.Get(refusal.RunHeader)) }
