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

// TestMain makes rapid draw the same cases in each run, and many of them, since
// faults in the protocol show only in rare interleavings.
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
	leaseDuration = 8 * time.Second
	handoverDelay = 3 * time.Second
	shortLease    = 2500 * time.Millisecond
)

// simulation simulates a lease record in a store and several VMs that claim the
// lease. Writes may take effect late or lose their responses, and VMs may be
// suspended between any two steps.
type simulation struct {
	now     time.Duration
	record  lease.Record
	version table.Version
	vms     []*vm
	// writes and promiseMessages are in flight.
	writes          []write
	promiseMessages []promiseMessage
	// lastAction is the last action of any VM.
	lastAction action
}

type vm struct {
	name   string
	term   lease.State
	starts int
}

type write struct {
	by     *vm
	node   fleet.NodeID
	sent   time.Duration
	record lease.Record
	expect table.Version
	claim  bool
	// released reports that the writer no longer acts, whatever the response.
	released bool
	// lost reports that the response never arrives.
	lost bool
}

// promiseMessage is a holder's request for its deputy's promise or, once the
// promise is given, the response to it.
type promiseMessage struct {
	by           *vm
	node, deputy fleet.NodeID
	sent         time.Duration
	record       lease.Record
	version      table.Version
	promised     bool
}

type action struct {
	at      time.Duration
	holder  string
	fencing fleet.FencingNumber
}

// newSimulation returns a simulation of three VMs.
func newSimulation() *simulation {
	s := &simulation{}
	for i := range 3 {
		v := &vm{name: fmt.Sprint("vm", i)}
		s.start(v)
		s.vms = append(s.vms, v)
	}
	return s
}

// start starts a new process on a VM, in place of the former one.
func (s *simulation) start(v *vm) {
	v.starts++
	v.term = lease.State{
		VM: v.name, Node: fleet.NodeID(fmt.Sprint(v.name, "-", v.starts)), LeaseDuration: leaseDuration, HandoverDelay: handoverDelay, ShortLeaseDuration: shortLease,
	}
}

// deliver makes a write take effect, if its condition holds, and delivers the
// response unless it is lost.
func (s *simulation) deliver(i int) {
	delivered := s.writes[i]
	s.writes = append(s.writes[:i], s.writes[i+1:]...)
	if delivered.expect != s.version {
		return
	}
	s.record, s.version = delivered.record, s.version+1
	if delivered.lost || delivered.released || delivered.by.term.Node != delivered.node {
		return
	}
	if delivered.claim {
		delivered.by.term.ClaimSucceeded(delivered.sent, s.now, delivered.record, s.version)
	} else {
		delivered.by.term.RenewalSucceeded(delivered.sent, delivered.record, s.version)
	}
}

// deliverPromiseMessage delivers a request to the deputy, or a promise to the
// holder.
func (s *simulation) deliverPromiseMessage(i int) {
	message := s.promiseMessages[i]
	s.promiseMessages = append(s.promiseMessages[:i], s.promiseMessages[i+1:]...)
	if message.promised {
		if message.by.term.Node == message.node {
			message.by.term.PromiseReceived(message.deputy, message.sent)
		}
		return
	}
	for _, v := range s.vms {
		if v.term.Node == message.deputy && v.term.Promise(s.now, message.record, message.version) {
			message.promised = true
			s.promiseMessages = append(s.promiseMessages, message)
		}
	}
}

// requestPromise sends a VM's request to its deputy, if it has one, and delivers
// up to two of the messages at once.
func (s *simulation) requestPromise(t *rapid.T, v *vm) {
	deputy, record, version, found := v.term.Deputy()
	if !found {
		return
	}
	s.promiseMessages = append(s.promiseMessages, promiseMessage{by: v, node: v.term.Node, deputy: deputy, sent: s.now, record: record, version: version})
	for range rapid.IntRange(0, 2).Draw(t, "steps") {
		if len(s.promiseMessages) > 0 {
			s.deliverPromiseMessage(len(s.promiseMessages) - 1)
		}
	}
}

// deliveries returns the steps that deliver writes and messages in flight, and the
// one that lets time pass.
func (s *simulation) deliveries() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"deliver": func(t *rapid.T) {
			if len(s.writes) > 0 {
				s.deliver(rapid.IntRange(0, len(s.writes)-1).Draw(t, "write"))
			}
		},
		"deliverAsk": func(t *rapid.T) {
			if len(s.promiseMessages) > 0 {
				s.deliverPromiseMessage(rapid.IntRange(0, len(s.promiseMessages)-1).Draw(t, "ask"))
			}
		},
		"pass": func(t *rapid.T) { s.now += time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond },
	}
}

// addSteps adds the other steps to steps.
func addSteps(steps, others map[string]func(*rapid.T)) map[string]func(*rapid.T) {
	maps.Copy(steps, others)
	return steps
}

// tryAct makes a VM act if it may, and checks the action against the last one of
// any VM.
func (s *simulation) tryAct(t *rapid.T, v *vm) {
	fencing, ok := v.term.MayAct(s.now)
	if !ok {
		return
	}
	last := s.lastAction
	if last.holder != "" && last.holder != v.name {
		if s.now-last.at < handoverDelay {
			t.Fatalf("%s acted %s after %s", v.name, s.now-last.at, last.holder)
		}
		if fencing <= last.fencing {
			t.Fatalf("%s acted under %d after %s under %d", v.name, fencing, last.holder, last.fencing)
		}
	}
	if fencing < last.fencing {
		t.Fatalf("%s acted under %d after %d", v.name, fencing, last.fencing)
	}
	s.lastAction = action{at: s.now, holder: v.name, fencing: fencing}
}

// TestNoTwoVMsActWithinTheHandoverDelay checks the handover delay and the fencing
// numbers while VMs read the record, claim, renew, name deputies and request their
// promises, release, act, are suspended and restart in any order.
func TestNoTwoVMsActWithinTheHandoverDelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		pick := func(t *rapid.T) *vm { return s.vms[rapid.IntRange(0, len(s.vms)-1).Draw(t, "vm")] }
		send := func(t *rapid.T, v *vm, record lease.Record, expect table.Version, claim bool) {
			s.writes = append(s.writes, write{
				by: v, node: v.term.Node, sent: s.now, record: record, expect: expect, claim: claim,
				lost: rapid.IntRange(0, 4).Draw(t, "lost") == 0,
			})
			if rapid.IntRange(0, 2).Draw(t, "late") > 0 {
				s.deliver(len(s.writes) - 1)
			}
		}
		t.Repeat(addSteps(s.deliveries(), map[string]func(*rapid.T){
			"sleep": func(t *rapid.T) { s.now += time.Duration(rapid.IntRange(1, 12).Draw(t, "s")) * time.Second },
			"look": func(t *rapid.T) {
				pick(t).term.Observe(s.now, s.record, s.version)
			},
			"claim": func(t *rapid.T) {
				v := pick(t)
				if record, expect, ok := v.term.Claim(s.now); ok {
					send(t, v, record, expect, true)
				}
			},
			"renew": func(t *rapid.T) {
				if v := pick(t); v.term.IsHolder() {
					deputy := pick(t).term.Node
					if deputy == v.term.Node {
						deputy = ""
					}
					record, expect := v.term.Renewal(s.now, deputy)
					send(t, v, record, expect, false)
				}
			},
			"ask": func(t *rapid.T) { s.requestPromise(t, pick(t)) },
			"release": func(t *rapid.T) {
				if v := pick(t); v.term.IsHolder() {
					record, expect := v.term.Renewal(s.now, "")
					record.Released = true
					s.writes = append(s.writes, write{by: v, record: record, expect: expect, released: true})
					s.start(v)
				}
			},
			"restart": func(t *rapid.T) { s.start(pick(t)) },
			"act":     func(t *rapid.T) { s.tryAct(t, pick(t)) },
		}))
	})
}

// TestDeputyActsOnlyAfterTheHoldersRightEnded starts with a holder that has named
// a deputy, and lets every VM act after each step if it may.
func TestDeputyActsOnlyAfterTheHoldersRightEnded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		holder := s.vms[0]
		readAll := func() {
			for _, v := range s.vms {
				v.term.Observe(s.now, s.record, s.version)
			}
		}
		send := func(record lease.Record, expect table.Version, by *vm, claim bool) {
			s.writes = append(s.writes, write{
				by: by, node: by.term.Node, sent: s.now, record: record, expect: expect, claim: claim,
				lost: rapid.IntRange(0, 3).Draw(t, "lost") == 0,
			})
			if rapid.Bool().Draw(t, "atOnce") {
				s.deliver(len(s.writes) - 1)
			}
		}
		readAll()
		record, expect, _ := holder.term.Claim(s.now)
		s.writes = []write{{by: holder, node: holder.term.Node, record: record, expect: expect, claim: true}}
		s.deliver(0)
		s.now += 100 * time.Millisecond
		renew := func() {
			if holder.term.IsHolder() {
				deputy := s.vms[rapid.IntRange(1, 2).Draw(t, "deputy")].term.Node
				record, expect := holder.term.Renewal(s.now, deputy)
				send(record, expect, holder, false)
			}
		}
		renew()
		t.Repeat(addSteps(s.deliveries(), map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				for _, v := range s.vms {
					s.tryAct(t, v)
				}
			},
			"pass2": func(t *rapid.T) { s.now += time.Duration(rapid.IntRange(900, 2800).Draw(t, "ms")) * time.Millisecond },
			"renew": func(*rapid.T) { renew() },
			"look": func(t *rapid.T) {
				s.vms[rapid.IntRange(0, 2).Draw(t, "vm")].term.Observe(s.now, s.record, s.version)
			},
			"claim": func(t *rapid.T) {
				v := s.vms[rapid.IntRange(1, 2).Draw(t, "vm")]
				if record, expect, ok := v.term.Claim(s.now); ok {
					send(record, expect, v, true)
				}
			},
			"ask": func(t *rapid.T) { s.requestPromise(t, holder) },
		}))
	})
}
