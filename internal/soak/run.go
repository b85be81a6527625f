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
	// resumeAllowance is the time after a pause in which late orders, which the
	// node may have been sending when it was paused, are no violation.
	resumeAllowance = 500 * time.Millisecond
	// fastEventTime and slowEventTime are the intervals between events of a stream. The
	// slow one is for runs with releases, so that more streams break off in their middle.
	fastEventTime = 10 * time.Millisecond
	slowEventTime = 50 * time.Millisecond
	// streamEvents is the number of pieces of a complete stream.
	streamEvents = 8
	// callerTimeout is when a caller gives up on a request: the deadline of the
	// request and a margin.
	callerTimeout = 6 * time.Second
	// unservedPause is how long a caller pauses after a request that was not served.
	unservedPause = 50 * time.Millisecond
	// uploadSize is the size of the body of a long upload, maxBody the limit on bodies, in
	// bytes. An upload does not fit into the buffers of the sockets on its way.
	uploadSize = 8 << 20
	maxBody    = uploadSize + 1<<10
	// recoveryLimit is the time within which every node must serve every model at
	// the start and after the faults. It is long because machines differ in speed:
	// the check is that the system recovers, not how fast.
	recoveryLimit = 60 * time.Second
)

// Run is one run of the soak. Its exported fields must be set before Do.
type Run struct {
	// Binary is the path of the guavatrack program, Dir the directory for the
	// settings and logs of nodes.
	Binary, Dir string
	Seed        uint64
	// Nodes, Engines and Callers are their numbers.
	Nodes, Engines, Callers int
	// Faults is the number of faults of processes and links, ServerFaults that of faults
	// that backend servers play themselves: silences that end, and answers without
	// framing. RefusalFaults is the number of times in which servers write refusals once
	// more, BrokenFaults that in which they send broken answers; with any of these, every
	// second request to a service is a long upload. All begin and end within Span.
	Faults, ServerFaults, RefusalFaults, BrokenFaults int
	// Releases is the number of times that an engine is replaced by one of another
	// software version or comes back with it.
	Releases int
	// Organisations is the number of organisations whose keys callers send; 0 means that
	// callers need no key. RemoveKey has the key of the last one, of at least two, taken
	// away in the middle of Span.
	Organisations int
	RemoveKey     bool
	Span          time.Duration
	// Log is called once for each fault.
	Log func(format string, args ...any)

	site    *standin.Site
	nodes   []*node
	servers []*Proxy
	asked   atomic.Int64
	uploads atomic.Int64
	served  atomic.Int64
	takenUp atomic.Int64
	wentOn  atomic.Int64
	// releasing is held while an engine is replaced.
	releasing sync.Mutex

	mu       sync.Mutex
	breaches []string
	failure  error
}

// Outcome is the result of a run: the numbers of requests sent and served, and the
// violations.
type Outcome struct {
	Asked, Served int64
	// TakenUp is the number of streams whose callers asked for the rest, WentOn that of
	// those that became whole.
	TakenUp, WentOn int64
	// Breaches describes each violated guarantee.
	Breaches []string
}

// Do runs the soak. It fails if the run could not be carried out, or if some node
// does not serve some model within recoveryLimit at the start or after the faults.
func (r *Run) Do() (outcome Outcome, err error) {
	if r.RemoveKey && r.Organisations < minOrganisations {
		return outcome, errors.Errorf("a key is removed: at least %d organisations are needed", minOrganisations)
	}
	defer r.close()
	if err := r.start(); err != nil {
		return outcome, errors.Wrap(err, "start")
	}
	if err := r.waitAllServed(recoveryLimit); err != nil {
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
					r.sendRequest(random)
				}
			}
		})
	}
	r.inject()
	if r.RemoveKey {
		err = r.checkRemovedKey()
	}
	close(done)
	callers.Wait()
	err = errors.Join(err, r.waitAllServed(recoveryLimit))
	r.mu.Lock()
	defer r.mu.Unlock()
	outcome = Outcome{
		Asked: r.asked.Load(), Served: r.served.Load(), TakenUp: r.takenUp.Load(), WentOn: r.wentOn.Load(),
		Breaches: append(r.site.Ledger.Breaches(), r.breaches...),
	}
	if err != nil {
		return outcome, errors.Wrap(err, "after the faults")
	}
	return outcome, r.failure
}

// eventTime returns the interval between two events of a stream.
func (r *Run) eventTime() time.Duration {
	if r.Releases > 0 {
		return slowEventTime
	}
	return fastEventTime
}

// bodyLimit returns the limit on the size of requests' bodies in bytes; 0 means the usual one.
func (r *Run) bodyLimit() int64 {
	if r.BrokenFaults > 0 {
		return maxBody
	}
	return 0
}

// start starts the platform, a proxy in front of each of its servers, and the
// nodes.
func (r *Run) start() error {
	r.site = &standin.Site{
		Engines: r.Engines, Services: 2, Models: 3 * r.Engines, EventTime: r.eventTime(), HandOver: handOver,
		Excused: r.orderLatenessExcused, Organisations: r.organisations(), BodyLimit: r.bodyLimit(),
	}
	if err := r.site.Start(); err != nil {
		return err
	}
	for _, engine := range r.site.EngineList {
		if err := r.addServerProxy(&engine.Server); err != nil {
			return err
		}
		engine.Register()
	}
	for _, service := range r.site.ServiceList {
		if err := r.addServerProxy(&service.Server); err != nil {
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

// addServerProxy starts a proxy in front of a server and makes it the address of
// the server.
func (r *Run) addServerProxy(server *standin.Server) error {
	proxy := &Proxy{Target: server.Address, Delay: slowDelay}
	address, err := proxy.Listen()
	if err != nil {
		return err
	}
	server.Address = address
	r.mu.Lock()
	defer r.mu.Unlock()
	r.servers = append(r.servers, proxy)
	return nil
}

// inject injects the faults of the seed. When all have ended, it resumes or starts
// the nodes that overlapping faults left paused or ended.
func (r *Run) inject() {
	began := time.Now()
	faults := r.drawFaults()
	slices.SortFunc(faults, func(a, b fault) int { return int(a.start - b.start) })
	var group sync.WaitGroup
	for _, next := range faults {
		group.Go(func() {
			time.Sleep(next.start - time.Since(began))
			r.Log("seed %d: %s", r.Seed, next)
			end := next.kind.begin(r, next.index)
			time.Sleep(next.duration)
			end()
		})
	}
	if r.RemoveKey {
		group.Go(r.removeKey)
	}
	group.Wait()
	for _, n := range r.nodes {
		// Overlapping faults may have left the process paused or ended.
		n.signal(syscall.SIGCONT)
		r.recordError(n.start())
	}
}

// orderLatenessExcused reports whether an order may be late because a node was
// paused until shortly before.
func (r *Run) orderLatenessExcused() bool {
	return slices.ContainsFunc(r.nodes, (*node).recentlyResumed)
}

// recordBreach records a violated guarantee.
func (r *Run) recordBreach(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaches = append(r.breaches, fmt.Sprintf(format, args...))
}

// recordError records an error of the run itself, such as a process that could not
// be started. nil is ignored.
func (r *Run) recordError(err error) {
	if err == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failure = errors.Wrap(err, "soak")
}

// close ends the processes, proxies and stand-ins that the run started.
func (r *Run) close() {
	for _, n := range r.nodes {
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
		n.waitExited(grace)
		n.storeProxy.Close()
	}
	for _, proxy := range r.servers {
		proxy.Close()
	}
	r.site.Close()
}
