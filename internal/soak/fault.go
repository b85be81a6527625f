package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/guavatrack/guavatrack/platform/standin"
)

// fault is a fault that begins at start, counted from the start of the injection,
// and lasts for duration. The index selects the node or server that it affects.
type fault struct {
	start, duration time.Duration
	kind            faultKind
	index           int
}

func (f fault) String() string {
	return fmt.Sprintf("%v %s %d for %v", f.start.Round(time.Millisecond), f.kind.name, f.index, f.duration.Round(time.Millisecond))
}

// faultKind is a kind of fault. Its begin function starts the fault and returns
// the function that ends it.
type faultKind struct {
	name  string
	begin func(r *Run, index int) (end func())
}

// proxyFault returns the kind of fault that sets a proxy to a mode and, at its end,
// back to Pass.
func proxyFault(name string, mode Mode, proxy func(r *Run, index int) *Proxy) faultKind {
	return faultKind{name + " " + mode.String(), func(r *Run, index int) func() {
		found := proxy(r, index)
		found.Set(mode)
		return func() { found.Set(Pass) }
	}}
}

func storeProxyOf(r *Run, index int) *Proxy { return r.nodes[index%len(r.nodes)].storeProxy }

func serverProxyOf(r *Run, index int) *Proxy {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.servers[index%len(r.servers)]
}

// faultKinds lists all kinds of faults. A seed selects them by position.
var faultKinds = []faultKind{
	{"kill", func(r *Run, index int) func() {
		n := r.nodes[index%len(r.nodes)]
		n.signal(syscall.SIGKILL)
		n.waitExited(grace)
		return func() { r.recordError(n.start()) }
	}},
	{"stop", func(r *Run, index int) func() {
		n := r.nodes[index%len(r.nodes)]
		n.signal(syscall.SIGTERM)
		return func() {
			n.waitExited(2 * grace)
			r.recordError(n.start())
		}
	}},
	{"pause", func(r *Run, index int) func() {
		n := r.nodes[index%len(r.nodes)]
		n.signal(syscall.SIGSTOP)
		return func() { n.signal(syscall.SIGCONT) }
	}},
	{"kill all", func(r *Run, _ int) func() {
		for _, n := range r.nodes {
			n.signal(syscall.SIGKILL)
		}
		return func() {
			for _, n := range r.nodes {
				n.waitExited(grace)
				r.recordError(n.start())
			}
		}
	}},
	proxyFault("store", Slow, storeProxyOf), proxyFault("store", Silent, storeProxyOf),
	proxyFault("store", OneWay, storeProxyOf), proxyFault("store", Reset, storeProxyOf),
	proxyFault("server", Slow, serverProxyOf), proxyFault("server", Silent, serverProxyOf),
	proxyFault("server", OneWay, serverProxyOf), proxyFault("server", Reset, serverProxyOf),
	{"store silent for all", func(r *Run, _ int) func() {
		for _, n := range r.nodes {
			n.storeProxy.Set(Silent)
		}
		return func() {
			for _, n := range r.nodes {
				n.storeProxy.Set(Pass)
			}
		}
	}},
	{"history lost", func(r *Run, _ int) func() {
		r.site.Store.Forget()
		return func() {}
	}},
	{"manifest", func(r *Run, index int) func() {
		r.site.Publish(index % 3)
		return func() {}
	}},
	{"engine restarts", func(r *Run, index int) func() {
		engine := r.engine(index)
		engine.Start(nil, nil)
		engine.Register()
		return func() {}
	}},
}

// silence is the time for which a server is silent and then goes on.
const silence = 1500 * time.Millisecond

// unframedFaults are the faults that servers play in turn in the fault of that name.
var unframedFaults = []standin.Fault{
	standin.Unframed, standin.UnframedCut, standin.UnframedClose, standin.UnframedReset,
}

// serverFaultKinds lists the kinds of faults that servers play themselves. They are apart
// from faultKinds so that a seed selects the same faults there as before.
var serverFaultKinds = []faultKind{
	{"silence", func(r *Run, index int) func() {
		servers := r.standIns()
		servers[index%len(servers)].Mute(silence)
		return func() {}
	}},
	{"silence of all", func(r *Run, _ int) func() {
		for _, server := range r.standIns() {
			server.Mute(silence)
		}
		return func() {}
	}},
	{"unframed", func(r *Run, _ int) func() { return r.faultInTurn(unframedFaults) }},
}

// refusalFaults are the faults that servers play in turn in the fault of that name: true
// refusals, so many that a request may be refused to its last attempt, refusals that are
// written once more, and a sound answer.
var refusalFaults = []standin.Fault{
	standin.RepeatBareRefusal, standin.Full, standin.Full, standin.RepeatRefusal, standin.Full, standin.Full,
	standin.RepeatBareRefusalAfter, standin.None, standin.Full, standin.RepeatRefusalAfter, standin.Full,
}

// refusalFaultKinds lists the kind of fault in which servers repeat refusals. It is apart
// so that a seed selects the same faults of the other lists as before.
var refusalFaultKinds = []faultKind{
	{"repeated refusals", func(r *Run, _ int) func() { return r.faultInTurn(refusalFaults) }},
}

// brokenFaults are the faults that servers play in turn in the fault of that name, and sound
// answers between them, so that the uploads and their retries meet each.
var brokenFaults = []standin.Fault{
	standin.EarlyReset, standin.None, standin.ZeroStatus, standin.EarlyReset, standin.BlankName, standin.None,
	standin.EarlyReset, standin.BlankLength, standin.None, standin.ControlName, standin.EarlyReset,
}

// brokenFaultKinds lists the kind of fault in which servers send broken answers. It is apart
// so that a seed selects the same faults of the other lists as before.
var brokenFaultKinds = []faultKind{
	{"broken answers", func(r *Run, _ int) func() { return r.faultInTurn(brokenFaults) }},
}

// faultInTurn has all backend servers play faults in turn until end is called.
func (r *Run) faultInTurn(faults []standin.Fault) (end func()) {
	var count atomic.Uint64
	for _, server := range r.standIns() {
		server.SetFault(func(*http.Request) standin.Fault { return faults[count.Add(1)%uint64(len(faults))] })
	}
	return func() {
		for _, server := range r.standIns() {
			server.SetFault(nil)
		}
	}
}

// standIns returns all backend servers.
func (r *Run) standIns() (servers []*standin.Server) {
	for _, engine := range r.site.CurrentEngines() {
		servers = append(servers, &engine.Server)
	}
	for _, service := range r.site.ServiceList {
		servers = append(servers, &service.Server)
	}
	return servers
}

// Streams of the random numbers of a seed. Those from 2 on are the callers'.
const (
	faultStream        = 1
	serverFaultStream  = 1 << 32
	releaseStream      = 1 << 33
	refusalFaultStream = 1 << 34
	brokenFaultStream  = 1 << 35
)

// drawFaults returns the faults of a seed. Each begins and ends within the span.
func (r *Run) drawFaults() []fault {
	return slices.Concat(
		drawKinds(faultKinds, rand.NewPCG(r.Seed, faultStream), r.Faults, r.Span),
		drawKinds(serverFaultKinds, rand.NewPCG(r.Seed, serverFaultStream), r.ServerFaults, r.Span),
		drawKinds(refusalFaultKinds, rand.NewPCG(r.Seed, refusalFaultStream), r.RefusalFaults, r.Span),
		drawKinds(brokenFaultKinds, rand.NewPCG(r.Seed, brokenFaultStream), r.BrokenFaults, r.Span),
		drawKinds(releaseKinds, rand.NewPCG(r.Seed, releaseStream), r.Releases, r.Span),
	)
}

// drawKinds draws faults of some kinds.
func drawKinds(kinds []faultKind, source rand.Source, count int, span time.Duration) []fault {
	random := rand.New(source)
	faults := make([]fault, count)
	for at := range faults {
		f := fault{kind: kinds[random.IntN(len(kinds))], index: random.IntN(60)}
		f.duration = time.Duration(random.Float64() * float64(span) / 3)
		f.start = time.Duration(random.Float64() * float64(span-f.duration))
		faults[at] = f
	}
	return faults
}
