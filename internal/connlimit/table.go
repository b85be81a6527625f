package connlimit

import (
	"container/list"
	"net/netip"
	"sync"
	"time"
)

// State is what a connection does.
type State int

// States of a connection, in the order in which connections are displaced. Busy ones are not.
const (
	// Fresh connections have not sent a whole header or message yet.
	Fresh State = iota
	// Reading connections have a request that has not been read whole, or that was refused.
	Reading
	// Idle connections have no request in progress, and have had one.
	Idle
	// Busy connections have a request in progress that has been read.
	Busy

	displaceable = int(Busy)
)

// minTime is how long a connection must have been in a state without progress before another one
// may displace it. Callers send their header right after they connect. The body follows, and
// makes progress (see [ProgressBytes]) many times a second unless the network is at fault. With
// 100 ms and 1 s, 5,000 connections a second without a request left 1 in 10 callers served.
var minTime = [displaceable]time.Duration{Fresh: 10 * time.Millisecond, Reading: 30 * time.Millisecond, Idle: time.Second}

// minStall is how long a request must have made no progress before its connection is closed to free
// the memory of its body. It is longer than for a connection, since a large body on a busy link must
// not give way to another one.
const minStall = 500 * time.Millisecond

// ProgressBytes is the number of bytes of a body or message that count as progress, less than a
// packet has.
const ProgressBytes = 1 << 10

// Table decides which connections of a socket stay open. It may be used concurrently. The exported
// fields are set before use.
//
// At a limit a new connection displaces another one: of those in the first state that has any, the
// one without progress for the longest time. If there is none, but another address has more than
// twice as many connections as that of the new one, its oldest is displaced that is not busy.
// Otherwise the new connection is refused.
type Table struct {
	// Connections bounds all connections, PerAddress those from one address; 0 means no bound.
	Connections, PerAddress int
	// Account holds the memory of the connections, of which each takes Memory bytes.
	Account *Account
	Memory  int64
	// Places holds connections that several tables share; nil means no bound beside Connections.
	Places *Account

	mu         sync.Mutex
	count      int
	perAddress map[netip.Addr]int
	// inState holds the entries in each state, the one longest without progress first.
	inState [displaceable]list.List
}

// Entry is a connection in a [Table].
type Entry struct {
	// Close closes the connection. It is called when the connection is displaced.
	Close func()

	address netip.Addr
	state   State
	// position is its element of the list of its state; nil if it is busy.
	position *list.Element
	// since is when it entered the state or made progress last.
	since   time.Time
	removed bool
}

// Add adds a new connection, which is fresh. It returns false if the connection is refused. The
// returned displaced entry, if any, has been removed; the caller of Add closes its connection.
func (t *Table) Add(now time.Time, address netip.Addr, entry *Entry) (displaced *Entry, admitted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry.address = address
	matches := func(*Entry) bool { return true }
	switch {
	case t.PerAddress > 0 && t.perAddress[address] >= t.PerAddress:
		matches = func(e *Entry) bool { return e.address == address }
	case t.Connections > 0 && t.count >= t.Connections:
	case t.reserve():
		t.insert(now, entry)
		return nil, true
	}
	for state := Fresh; state < Busy && displaced == nil; state++ {
		displaced = t.stalled(now, state, minTime[state], matches)
	}
	if displaced == nil {
		displaced = t.ofLargestAddress(address)
	}
	if displaced == nil {
		return nil, false
	}
	t.remove(displaced)
	if !t.reserve() {
		return displaced, false
	}
	t.insert(now, entry)
	return displaced, true
}

// reserve reserves what a connection takes.
func (t *Table) reserve() bool {
	if !t.Places.Reserve(1) {
		return false
	}
	if !t.Account.Reserve(t.Memory) {
		t.Places.Release(1)
		return false
	}
	return true
}

// DisplaceReading removes the connection whose request has made no progress for the longest time,
// so that the memory of its body becomes free, and returns its entry; nil if there is none beside
// the one given.
func (t *Table) DisplaceReading(now time.Time, beside *Entry) *Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	displaced := t.stalled(now, Reading, minStall, func(e *Entry) bool { return e != beside })
	if displaced != nil {
		t.remove(displaced)
	}
	return displaced
}

// stalled returns the entry in a state that has made no progress for the longest time, among those
// that match; nil if none has for the given time.
func (t *Table) stalled(now time.Time, state State, atLeast time.Duration, matches func(*Entry) bool) *Entry {
	for position := t.inState[state].Front(); position != nil; position = position.Next() {
		entry := position.Value.(*Entry)
		if now.Sub(entry.since) < atLeast {
			return nil
		}
		if matches(entry) {
			return entry
		}
	}
	return nil
}

// ofLargestAddress returns the entry to displace of the address with the most connections, if it
// has more than twice as many as the given one.
func (t *Table) ofLargestAddress(than netip.Addr) *Entry {
	largest := than
	for address, count := range t.perAddress {
		if count > t.perAddress[largest] {
			largest = address
		}
	}
	if t.perAddress[largest] <= 2*(t.perAddress[than]+1) {
		return nil
	}
	for state := Fresh; state < Busy; state++ {
		for position := t.inState[state].Front(); position != nil; position = position.Next() {
			if entry := position.Value.(*Entry); entry.address == largest {
				return entry
			}
		}
	}
	return nil
}

func (t *Table) insert(now time.Time, entry *Entry) {
	t.count++
	if t.perAddress == nil {
		t.perAddress = make(map[netip.Addr]int)
	}
	t.perAddress[entry.address]++
	t.enter(now, entry, Fresh)
}

func (t *Table) enter(now time.Time, entry *Entry, state State) {
	entry.state, entry.since, entry.position = state, now, nil
	if state != Busy {
		entry.position = t.inState[state].PushBack(entry)
	}
}

func (t *Table) leaveState(entry *Entry) {
	if entry.position != nil {
		t.inState[entry.state].Remove(entry.position)
		entry.position = nil
	}
}

// SetState records that a connection has entered a state, or has made progress in it.
func (t *Table) SetState(now time.Time, entry *Entry, state State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if entry.removed {
		return
	}
	t.leaveState(entry)
	t.enter(now, entry, state)
}

// Remove removes a connection that was closed. A second call does nothing.
func (t *Table) Remove(entry *Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(entry)
}

func (t *Table) remove(entry *Entry) {
	if entry.removed {
		return
	}
	entry.removed = true
	t.leaveState(entry)
	t.count--
	if t.perAddress[entry.address]--; t.perAddress[entry.address] == 0 {
		delete(t.perAddress, entry.address)
	}
	t.Account.Release(t.Memory)
	t.Places.Release(1)
}

// Count returns the number of connections.
func (t *Table) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count
}
