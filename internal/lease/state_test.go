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
	// era is that of the store, history its earlier states.
	era     table.Era
	history []storeState
	vms     []*vm
	// writes and promiseMessages are in flight.
	writes          []write
	promiseMessages []promiseMessage
	// lastAction is the last action of any VM.
	lastAction action
}

// storeState is the record as of a time at which it was written.
type storeState struct {
	at      time.Duration
	record  lease.Record
	version table.Version
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
	s.history = append(s.history, storeState{at: s.now, record: s.record, version: s.version})
	s.record, s.version = delivered.record, table.VersionIn(s.era, s.version.Writes()+1)
	if delivered.record.Era != s.era {
		return // The answer shows that the conditions were those of another era.
	}
	if delivered.lost || delivered.released || delivered.by.term.Node != delivered.node {
		return
	}
	if delivered.claim {
		delivered.by.term.ClaimSucceeded(delivered.sent, s.now, delivered.record, s.version)
	} else {
		delivered.by.term.RenewalSucceeded(delivered.sent, delivered.record, s.version)
	}
}

// restore replaces the record by an earlier one, at most as old as maxAge.
func (s *simulation) restore(t *rapid.T, maxAge time.Duration) {
	oldest := len(s.history)
	for oldest > 0 && s.now-s.history[oldest-1].at < maxAge {
		oldest--
	}
	s.era++
	if back := rapid.IntRange(oldest, len(s.history)).Draw(t, "state"); back < len(s.history) {
		s.record, s.version = s.history[back].record, s.history[back].version
		s.history = s.history[:back]
	}
	if s.version != table.Absent {
		s.version = table.VersionIn(s.era, s.version.Writes())
	}
}

// read has a VM read the record.
func (s *simulation) read(v *vm) {
	v.term.ObserveEra(s.now, s.era)
	v.term.Observe(s.now, s.record, s.version)
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
		t.Repeat(s.allSteps())
	})
}

// TestNoTwoVMsActAfterTheTableIsRestored checks the same while the table is restored
// from copies that are up to some seconds old, which VMs notice sooner or later, or
// not at all.
func TestNoTwoVMsActAfterTheTableIsRestored(t *testing.T) {
	const maxAge = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		t.Repeat(addSteps(s.allSteps(), map[string]func(*rapid.T){
			"restore": func(t *rapid.T) { s.restore(t, maxAge) },
			"noticeEra": func(t *rapid.T) {
				s.pick(t).term.ObserveEra(s.now, s.era)
			},
		}))
	})
}

func (s *simulation) pick(t *rapid.T) *vm {
	return s.vms[rapid.IntRange(0, len(s.vms)-1).Draw(t, "vm")]
}

// send sends a write and delivers it at once or later.
func (s *simulation) send(t *rapid.T, v *vm, record lease.Record, expect table.Version, claim bool) {
	s.writes = append(s.writes, write{
		by: v, node: v.term.Node, sent: s.now, record: record, expect: expect, claim: claim,
		lost: rapid.IntRange(0, 4).Draw(t, "lost") == 0,
	})
	if rapid.IntRange(0, 2).Draw(t, "late") > 0 {
		s.deliver(len(s.writes) - 1)
	}
}

// allSteps returns the steps of VMs that do anything in any order.
func (s *simulation) allSteps() map[string]func(*rapid.T) {
	return addSteps(s.deliveries(), map[string]func(*rapid.T){
		"sleep": func(t *rapid.T) { s.now += time.Duration(rapid.IntRange(1, 12).Draw(t, "s")) * time.Second },
		"look":  func(t *rapid.T) { s.read(s.pick(t)) },
		"claim": func(t *rapid.T) {
			v := s.pick(t)
			if record, expect, ok := v.term.Claim(s.now); ok {
				s.send(t, v, record, expect, true)
			}
		},
		"renew": func(t *rapid.T) {
			if v := s.pick(t); v.term.IsHolder() {
				deputy := s.pick(t).term.Node
				if deputy == v.term.Node {
					deputy = ""
				}
				record, expect := v.term.Renewal(s.now, deputy)
				s.send(t, v, record, expect, false)
			}
		},
		"ask": func(t *rapid.T) { s.requestPromise(t, s.pick(t)) },
		"release": func(t *rapid.T) {
			if v := s.pick(t); v.term.IsHolder() {
				record, expect := v.term.Renewal(s.now, "")
				record.Released = true
				s.writes = append(s.writes, write{by: v, record: record, expect: expect, released: true})
				s.start(v)
			}
		},
		"restart": func(t *rapid.T) { s.start(s.pick(t)) },
		"act":     func(t *rapid.T) { s.tryAct(t, s.pick(t)) },
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
				s.read(v)
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
				s.read(s.vms[rapid.IntRange(0, 2).Draw(t, "vm")])
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

// TestHolderThatIsMissingInARestoredTableEndsFirst restores the table to the state
// before the holder's claim: there was no record, or it had been released, or belonged
// to another VM or to an earlier process of the same. The holder notices late or not at
// all, and every VM acts after each step if it may.
func TestHolderThatIsMissingInARestoredTableEndsFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		holder := s.vms[0]
		former := s.vms[rapid.IntRange(0, 2).Draw(t, "former")]
		if rapid.Bool().Draw(t, "record") {
			s.version = 5
			s.record = lease.Record{
				Holder: former.name, Node: fleet.NodeID(former.name + "-0"), Fencing: 5, Acting: true,
				Released: rapid.Bool().Draw(t, "released"), Deputy: s.vms[1].term.Node,
			}
		}
		before := storeState{record: s.record, version: s.version}
		for _, v := range s.vms {
			s.read(v)
		}
		s.now += leaseDuration + time.Second
		record, expect, _ := holder.term.Claim(s.now)
		s.send(t, holder, record, expect, true)
		for len(s.writes) > 0 {
			s.deliver(0)
		}
		s.now += handoverDelay + time.Second
		if holder.term.IsHolder() {
			renewal, version := holder.term.Renewal(s.now, s.vms[2].term.Node)
			s.send(t, holder, renewal, version, false)
		}
		s.era, s.record, s.version, s.history = 1, before.record, before.version, nil
		if s.version != table.Absent {
			s.version = table.VersionIn(s.era, s.version.Writes())
		}
		t.Repeat(addSteps(s.deliveries(), map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				for _, v := range s.vms {
					s.tryAct(t, v)
				}
			},
			"pass2":     func(t *rapid.T) { s.now += time.Duration(rapid.IntRange(900, 2800).Draw(t, "ms")) * time.Millisecond },
			"look":      func(t *rapid.T) { s.read(s.pick(t)) },
			"noticeEra": func(t *rapid.T) { s.pick(t).term.ObserveEra(s.now, s.era) },
			"claim": func(t *rapid.T) {
				v := s.pick(t)
				if record, expect, ok := v.term.Claim(s.now); ok {
					s.send(t, v, record, expect, true)
				}
			},
			"ask": func(t *rapid.T) { s.requestPromise(t, holder) },
		}))
	})
}
