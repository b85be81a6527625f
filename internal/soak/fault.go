package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// fault is one fault: what happens at a time, for a while, to the thing of an
// index.
type fault struct {
	at, span time.Duration
	kind     kind
	index    int
}

func (f fault) String() string {
	return fmt.Sprintf("%v %s %d for %v", f.at.Round(time.Millisecond), f.kind.name, f.index, f.span.Round(time.Millisecond))
}

// kind is a kind of fault. do lets it begin and returns what ends it.
type kind struct {
	name string
	do   func(r *Run, index int) (end func())
}

// link returns the kind of fault that puts proxies into a mode.
func link(name string, mode Mode, proxy func(r *Run, index int) *Proxy) kind {
	return kind{name + " " + mode.String(), func(r *Run, index int) func() {
		found := proxy(r, index)
		found.Set(mode)
		return func() { found.Set(Pass) }
	}}
}

func storeOf(r *Run, index int) *Proxy { return r.nodes[index%len(r.nodes)].store }

func serverOf(r *Run, index int) *Proxy { return r.servers[index%len(r.servers)] }

// kinds lists all kinds of faults.
var kinds = []kind{
	{"kill", func(r *Run, index int) func() {
		n := r.nodes[index%len(r.nodes)]
		n.signal(syscall.SIGKILL)
		n.gone(grace)
		return func() { r.must(n.start()) }
	}},
	{"stop", func(r *Run, index int) func() {
		n := r.nodes[index%len(r.nodes)]
		n.signal(syscall.SIGTERM)
		return func() {
			n.gone(2 * grace)
			r.must(n.start())
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
				n.gone(grace)
				r.must(n.start())
			}
		}
	}},
	link("store", Slow, storeOf), link("store", Silent, storeOf), link("store", OneWay, storeOf), link("store", Reset, storeOf),
	link("server", Slow, serverOf), link("server", Silent, serverOf), link("server", OneWay, serverOf),
	link("server", Reset, serverOf),
	{"store silent for all", func(r *Run, _ int) func() {
		for _, n := range r.nodes {
			n.store.Set(Silent)
		}
		return func() {
			for _, n := range r.nodes {
				n.store.Set(Pass)
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
		engine := r.site.EngineList[index%len(r.site.EngineList)]
		engine.Start(nil, nil)
		engine.Register()
		return func() {}
	}},
}

// draw returns the faults of a seed within a span. Each ends before it.
func draw(seed uint64, count int, span time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, 1))
	faults := make([]fault, count)
	for at := range faults {
		f := fault{kind: kinds[random.IntN(len(kinds))], index: random.IntN(60)}
		f.span = time.Duration(random.Float64() * float64(span) / 3)
		f.at = time.Duration(random.Float64() * float64(span-f.span))
		faults[at] = f
	}
	return faults
}
