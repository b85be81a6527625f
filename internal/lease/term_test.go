package lease_test

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/guavatrack/guavatrack/internal/lease"
	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// TestMain draws the same cases in each run, and many: the rare ones matter here.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "10000", "rapid.steps": "60"} {
		set := false
		flag.Visit(func(given *flag.Flag) { set = set || given.Name == name })
		if set {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const (
	length   = 8 * time.Second
	handOver = 3 * time.Second
	short    = 2500 * time.Millisecond
)

// world is a record in a store with several VMs that want the lease. Writes may
// take effect late or lose their answers, and VMs may be suspended between any
// two steps.
type world struct {
	now     time.Duration
	record  lease.Record
	version table.Version
	vms     []*vm
	// writes and asks are under way.
	writes []write
	asks   []ask
	// acted is the last act of all.
	acted act
}

type vm struct {
	name  string
	term  lease.Term
	boots int
}

type write struct {
	by     *vm
	node   fleet.NodeID
	sent   time.Duration
	record lease.Record
	expect table.Version
	claim  bool
	// released says that the writer acts no more, whatever the answer.
	released bool
	// lost says that the answer never comes.
	lost bool
}

// ask is a holder's request for its deputy's promise or, once that is given, the
// answer to it.
type ask struct {
	by           *vm
	node, deputy fleet.NodeID
	sent         time.Duration
	record       lease.Record
	version      table.Version
	promised     bool
}

type act struct {
	at      time.Duration
	holder  string
	fencing fleet.FencingNumber
}

// newWorld returns a world of three VMs.
func newWorld() *world {
	w := &world{}
	for at := range 3 {
		v := &vm{name: fmt.Sprint("vm", at)}
		w.start(v)
		w.vms = append(w.vms, v)
	}
	return w
}

func (w *world) start(v *vm) {
	v.boots++
	v.term = lease.Term{
		Self: v.name, Node: fleet.NodeID(fmt.Sprint(v.name, "-", v.boots)), Length: length, HandOver: handOver, Short: short,
	}
}

// deliver lets a write take effect.
func (w *world) deliver(at int) {
	sent := w.writes[at]
	w.writes = append(w.writes[:at], w.writes[at+1:]...)
	if sent.expect != w.version {
		return
	}
	w.record, w.version = sent.record, w.version+1
	if sent.lost || sent.released || sent.by.term.Node != sent.node {
		return
	}
	if sent.claim {
		sent.by.term.Claimed(sent.sent, w.now, sent.record, w.version)
	} else {
		sent.by.term.Renewed(sent.sent, sent.record, w.version)
	}
}

// deliverAsk carries a request to the deputy, or its promise back.
func (w *world) deliverAsk(at int) {
	asked := w.asks[at]
	w.asks = append(w.asks[:at], w.asks[at+1:]...)
	if asked.promised {
		if asked.by.term.Node == asked.node {
			asked.by.term.Promised(asked.deputy, asked.sent)
		}
		return
	}
	for _, v := range w.vms {
		if v.term.Node == asked.deputy && v.term.Vow(w.now, asked.record, asked.version) {
			asked.promised = true
			w.asks = append(w.asks, asked)
		}
	}
}

// ask has a VM ask its deputy, if it has one. Up to two steps of that are made at
// once.
func (w *world) ask(t *rapid.T, v *vm) {
	deputy, record, version, found := v.term.Deputy()
	if !found {
		return
	}
	w.asks = append(w.asks, ask{by: v, node: v.term.Node, deputy: deputy, sent: w.now, record: record, version: version})
	for range rapid.IntRange(0, 2).Draw(t, "steps") {
		if len(w.asks) > 0 {
			w.deliverAsk(len(w.asks) - 1)
		}
	}
}

// deliveries are the steps that carry what is under way.
func (w *world) deliveries() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"deliver": func(t *rapid.T) {
			if len(w.writes) > 0 {
				w.deliver(rapid.IntRange(0, len(w.writes)-1).Draw(t, "write"))
			}
		},
		"deliverAsk": func(t *rapid.T) {
			if len(w.asks) > 0 {
				w.deliverAsk(rapid.IntRange(0, len(w.asks)-1).Draw(t, "ask"))
			}
		},
		"pass": func(t *rapid.T) { w.now += time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond },
	}
}

// with joins steps.
func with(steps, others map[string]func(*rapid.T)) map[string]func(*rapid.T) {
	maps.Copy(steps, others)
	return steps
}

// act has a VM act if it may, and checks it against the last act of all.
func (w *world) act(t *rapid.T, v *vm) {
	fencing, holds := v.term.Holds(w.now)
	if !holds {
		return
	}
	last := w.acted
	if last.holder != "" && last.holder != v.name {
		if w.now-last.at < handOver {
			t.Fatalf("%s acted %s after %s", v.name, w.now-last.at, last.holder)
		}
		if fencing <= last.fencing {
			t.Fatalf("%s acted under %d after %s under %d", v.name, fencing, last.holder, last.fencing)
		}
	}
	if fencing < last.fencing {
		t.Fatalf("%s acted under %d after %d", v.name, fencing, last.fencing)
	}
	w.acted = act{at: w.now, holder: v.name, fencing: fencing}
}

// TestNoTwoHoldersActWithinTheHandOver lets VMs look, claim, renew, name deputies
// and ask them, release, act, be suspended and start again in any order.
func TestNoTwoHoldersActWithinTheHandOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		pick := func(t *rapid.T) *vm { return w.vms[rapid.IntRange(0, len(w.vms)-1).Draw(t, "vm")] }
		send := func(t *rapid.T, v *vm, record lease.Record, expect table.Version, claim bool) {
			w.writes = append(w.writes, write{
				by: v, node: v.term.Node, sent: w.now, record: record, expect: expect, claim: claim,
				lost: rapid.IntRange(0, 4).Draw(t, "lost") == 0,
			})
			if rapid.IntRange(0, 2).Draw(t, "late") > 0 {
				w.deliver(len(w.writes) - 1)
			}
		}
		t.Repeat(with(w.deliveries(), map[string]func(*rapid.T){
			"sleep": func(t *rapid.T) { w.now += time.Duration(rapid.IntRange(1, 12).Draw(t, "s")) * time.Second },
			"look": func(t *rapid.T) {
				pick(t).term.Seen(w.now, w.record, w.version)
			},
			"claim": func(t *rapid.T) {
				v := pick(t)
				if record, expect, wanted := v.term.Claim(w.now); wanted {
					send(t, v, record, expect, true)
				}
			},
			"renew": func(t *rapid.T) {
				if v := pick(t); v.term.Mine() {
					deputy := pick(t).term.Node
					if deputy == v.term.Node {
						deputy = ""
					}
					record, expect := v.term.Renewal(w.now, deputy)
					send(t, v, record, expect, false)
				}
			},
			"ask": func(t *rapid.T) { w.ask(t, pick(t)) },
			"release": func(t *rapid.T) {
				if v := pick(t); v.term.Mine() {
					record, expect := v.term.Renewal(w.now, "")
					record.Released = true
					w.writes = append(w.writes, write{by: v, record: record, expect: expect, released: true})
					w.start(v)
				}
			},
			"restart": func(t *rapid.T) { w.start(pick(t)) },
			"act":     func(t *rapid.T) { w.act(t, pick(t)) },
		}))
	})
}

// TestDeputyFollowsOnlyAHolderThatIsDone starts with a holder that has named a
// deputy, and has everybody act whenever it may.
func TestDeputyFollowsOnlyAHolderThatIsDone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		holder := w.vms[0]
		look := func() {
			for _, v := range w.vms {
				v.term.Seen(w.now, w.record, w.version)
			}
		}
		send := func(record lease.Record, expect table.Version, by *vm, claim bool) {
			w.writes = append(w.writes, write{
				by: by, node: by.term.Node, sent: w.now, record: record, expect: expect, claim: claim,
				lost: rapid.IntRange(0, 3).Draw(t, "lost") == 0,
			})
			if rapid.Bool().Draw(t, "atOnce") {
				w.deliver(len(w.writes) - 1)
			}
		}
		look()
		record, expect, _ := holder.term.Claim(w.now)
		w.writes = []write{{by: holder, node: holder.term.Node, record: record, expect: expect, claim: true}}
		w.deliver(0)
		w.now += 100 * time.Millisecond
		renew := func() {
			if holder.term.Mine() {
				deputy := w.vms[rapid.IntRange(1, 2).Draw(t, "deputy")].term.Node
				record, expect := holder.term.Renewal(w.now, deputy)
				send(record, expect, holder, false)
			}
		}
		renew()
		t.Repeat(with(w.deliveries(), map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				for _, v := range w.vms {
					w.act(t, v)
				}
			},
			"pass2": func(t *rapid.T) { w.now += time.Duration(rapid.IntRange(900, 2800).Draw(t, "ms")) * time.Millisecond },
			"renew": func(*rapid.T) { renew() },
			"look": func(t *rapid.T) {
				w.vms[rapid.IntRange(0, 2).Draw(t, "vm")].term.Seen(w.now, w.record, w.version)
			},
			"claim": func(t *rapid.T) {
				v := w.vms[rapid.IntRange(1, 2).Draw(t, "vm")]
				if record, expect, wanted := v.term.Claim(w.now); wanted {
					send(record, expect, v, true)
				}
			},
			"ask": func(t *rapid.T) { w.ask(t, holder) },
		}))
	})
}
