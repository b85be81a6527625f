package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/platform/standin"
)

// Sizes and times of a run.
const (
	handOver  = time.Second
	grace     = 3 * time.Second
	slowDelay = 150 * time.Millisecond
	// thawTime after a pause, orders that were on their way are not held against
	// a node.
	thawTime = 500 * time.Millisecond
	// events is the number of pieces of a stream.
	events = 8
	// callerPatience bounds a caller's wait: its deadline and some time beyond.
	callerPatience = 6 * time.Second
	// callerPause is rested after a request that was not served.
	callerPause = 50 * time.Millisecond
	// recovery is how long everything may take to be served again. It is long
	// since machines differ; what is checked is that it comes.
	recovery = 60 * time.Second
)

// Run is one run of the soak. Its exported fields are set before Do.
type Run struct {
	// Binary is the guavatrack program, Dir a directory for settings and logs.
	Binary, Dir string
	Seed        uint64
	// Nodes, Engines and Callers are how many there are.
	Nodes, Engines, Callers int
	// Faults begin and end within Span.
	Faults int
	Span   time.Duration
	// Log takes one line for each fault.
	Log func(format string, args ...any)

	site    *standin.Site
	nodes   []*node
	servers []*Proxy
	asked   atomic.Int64
	served  atomic.Int64

	mu       sync.Mutex
	breaches []string
	failure  error
}

// Outcome is what a run has shown.
type Outcome struct {
	Asked, Served int64
	// Breaches are the promises that were broken.
	Breaches []string
}

// Do runs the soak. It fails if the run could not be made, or if not everything is
// served again after it.
func (r *Run) Do() (outcome Outcome, err error) {
	defer r.close()
	if err := r.start(); err != nil {
		return outcome, errors.Wrap(err, "start")
	}
	if err := r.recovered(recovery); err != nil {
		return outcome, errors.Wrap(err, "not served at the start")
	}
	done := make(chan struct{})
	var callers sync.WaitGroup
	for at := range r.Callers {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(r.Seed, uint64(at)+2))
			for {
				select {
				case <-done:
					return
				default:
					r.call(random)
				}
			}
		})
	}
	r.inject()
	close(done)
	callers.Wait()
	err = r.recovered(recovery)
	r.mu.Lock()
	defer r.mu.Unlock()
	outcome = Outcome{
		Asked: r.asked.Load(), Served: r.served.Load(), Breaches: append(r.site.Ledger.Breaches(), r.breaches...),
	}
	if err != nil {
		return outcome, errors.Wrap(err, "not served after the faults")
	}
	return outcome, r.failure
}

// start starts the platform, with proxies before its servers, and the nodes.
func (r *Run) start() error {
	r.site = &standin.Site{
		Engines: r.Engines, Services: 2, Models: 3 * r.Engines, EventTime: 10 * time.Millisecond, HandOver: handOver,
		Excused: r.excused,
	}
	if err := r.site.Start(); err != nil {
		return err
	}
	for _, engine := range r.site.EngineList {
		if err := r.shield(&engine.Server); err != nil {
			return err
		}
		engine.Register()
	}
	for _, service := range r.site.ServiceList {
		if err := r.shield(&service.Server); err != nil {
			return err
		}
		service.Register()
	}
	for at := range r.Nodes {
		n, err := newNode(fmt.Sprint("vm", at), r.Binary, r.Dir, r.site)
		if err != nil {
			return err
		}
		r.nodes = append(r.nodes, n)
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

// shield puts a proxy before a server.
func (r *Run) shield(server *standin.Server) error {
	proxy := &Proxy{Target: server.Address, Delay: slowDelay}
	address, err := proxy.Listen()
	if err != nil {
		return err
	}
	server.Address = address
	r.servers = append(r.servers, proxy)
	return nil
}

// inject lets the faults of the seed happen and returns when all have ended.
func (r *Run) inject() {
	began := time.Now()
	faults := draw(r.Seed, r.Faults, r.Span)
	slices.SortFunc(faults, func(a, b fault) int { return int(a.at - b.at) })
	var group sync.WaitGroup
	for _, next := range faults {
		group.Go(func() {
			time.Sleep(next.at - time.Since(began))
			r.Log("seed %d: %s", r.Seed, next)
			end := next.kind.do(r, next.index)
			time.Sleep(next.span)
			end()
		})
	}
	group.Wait()
	for _, n := range r.nodes {
		// Overlapping faults may have left one paused or gone.
		n.signal(syscall.SIGCONT)
		r.must(n.start())
	}
}

// excused reports whether an order may be late because its sender was paused.
func (r *Run) excused() bool {
	return slices.ContainsFunc(r.nodes, (*node).thawed)
}

func (r *Run) breach(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaches = append(r.breaches, fmt.Sprintf(format, args...))
}

// must notes an error of the run itself.
func (r *Run) must(err error) {
	if err == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failure = errors.Wrap(err, "soak")
}

// close ends what the run started.
func (r *Run) close() {
	for _, n := range r.nodes {
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
		n.gone(grace)
		n.store.Close()
	}
	for _, proxy := range r.servers {
		proxy.Close()
	}
	r.site.Close()
}
