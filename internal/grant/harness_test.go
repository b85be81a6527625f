package grant_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/grant"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/internal/vmlist"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

var hop = fleet.Item{Model: "hop"}

// cluster consists of engines, a table and a configuration. Calls go directly to
// the handlers instead of a network, so that it can run in virtual time.
type cluster struct {
	t        testing.TB
	table    *standin.Table
	ledger   *standin.Ledger
	engines  map[fleet.ServerID]*standin.Engine
	snapshot *ticket.Snapshot

	mu   sync.Mutex
	vms  []vmlist.VM
	dead map[fleet.NodeID]bool
}

func newCluster(t testing.TB, checksFencing bool, servers int, memory fleet.Bytes) *cluster {
	s := &cluster{
		t: t, table: standin.NewTable(), ledger: standin.NewLedger(),
		engines: make(map[fleet.ServerID]*standin.Engine), dead: make(map[fleet.NodeID]bool),
		snapshot: &ticket.Snapshot{
			Pools:       map[fleet.PoolID]*ticket.Pool{"llm": {Kind: ticket.EnginePool, ChecksFencing: checksFencing}},
			Deployments: make(map[fleet.ModelID]*ticket.Deployment),
		},
	}
	t.Cleanup(func() {
		for _, e := range s.engines {
			e.Stop()
		}
	})
	store := standin.NewWeightStore(standin.DefaultStore())
	for i := range servers {
		id := fleet.ServerID(fmt.Sprintf("s%d", i))
		config := standin.DefaultEngine()
		config.ID, config.Memory, config.ChecksFencing = id, memory, checksFencing
		config.Store, config.Ledger = store, s.ledger
		s.engines[id] = standin.NewEngine(config)
		s.vms = append(s.vms, vmlist.VM{
			ID: id, Pool: "llm", Address: string(id), Memory: memory, Accelerators: 1, State: vmlist.Live,
		})
	}
	return s
}

func (s *cluster) deploy(model fleet.ModelID, size fleet.Bytes, replicas int) {
	s.snapshot.Deployments[model] = &ticket.Deployment{
		Pool: "llm", Version: "1", Size: size, Replicas: ticket.Replicas{Max: replicas},
	}
	s.ledger.Decide(fleet.Item{Model: model}, replicas)
}

// startNode returns a controller that runs until the test ends or stop is called.
func (s *cluster) startNode(id fleet.NodeID) (controller *grant.Controller, stop func()) {
	return s.startConfiguredNode(id, func(*grant.Controller) {})
}

func (s *cluster) startConfiguredNode(id fleet.NodeID, configure func(*grant.Controller)) (controller *grant.Controller, stop func()) {
	controller = &grant.Controller{
		Node: id, Store: s.table, Snapshot: s.currentSnapshot,
		Servers: s.listed, ListAsOf: time.Now, Alive: s.alive,
		Dial: func(address string) grant.Engine {
			return &engine.Client{
				Address: address,
				HTTP:    &http.Client{Transport: handlerTransport{s.engines[fleet.ServerID(address)]}},
			}
		},
		Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(), Seed: 1,
	}
	configure(controller)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = controller.Run(ctx)
	}()
	stop = func() {
		cancel()
		<-done
	}
	s.t.Cleanup(stop)
	return controller, stop
}

func (s *cluster) currentSnapshot() *ticket.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot
}

func (s *cluster) listed() []vmlist.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.vms
}

func (s *cluster) alive(node fleet.NodeID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.dead[node]
}

// update runs f under the lock of the state that the nodes read.
func (s *cluster) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// checkLedger fails the test if the ledger contains a violation.
func (s *cluster) checkLedger() {
	s.t.Helper()
	for _, violation := range s.ledger.Violations() {
		s.t.Fatalf("invariant violated: %+v", violation)
	}
}

// handlerTransport is an [http.RoundTripper] that calls a handler directly.
type handlerTransport struct{ handler http.Handler }

var errConnectionCut = errors.New("connection cut")

func (h handlerTransport) RoundTrip(r *http.Request) (answer *http.Response, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			if err, _ := cause.(error); !errors.Is(err, http.ErrAbortHandler) {
				panic(cause)
			}
			answer, err = nil, errConnectionCut
		}
	}()
	if r.Body == nil {
		r.Body = io.NopCloser(http.NoBody)
	}
	recorder := httptest.NewRecorder()
	h.handler.ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

// inVirtualTime runs f in virtual time.
func inVirtualTime(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, f)
}

// eventually waits until f returns true and returns how long that took. It fails
// the test after a minute of virtual time.
func eventually(t testing.TB, what string, f func() bool) time.Duration {
	t.Helper()
	began := time.Now()
	for time.Since(began) < time.Minute {
		if f() {
			return time.Since(began)
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("condition not met within a minute: %s", what)
	return 0
}
