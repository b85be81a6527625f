package connlimit_test

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/guavatrack/guavatrack/internal/connlimit"
	"github.com/guavatrack/guavatrack/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

var start = time.Unix(1_000_000, 0)

// address returns one of 256 addresses.
func address(number int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}) }

// add adds a connection and returns its entry; nil if it was refused.
func add(table *connlimit.Table, now time.Time, from int) (entry, displaced *connlimit.Entry) {
	entry = &connlimit.Entry{}
	displaced, admitted := table.Add(now, address(from), entry)
	if !admitted {
		return nil, displaced
	}
	return entry, displaced
}

// TestFloodOfSilentConnections guards against nodes that refuse callers because of connections on
// which nothing is sent: 1,000 of them per second at 200 places. A caller whose header arrives
// within 50 ms is served, and keeps its connection. All come from one address.
func TestFloodOfSilentConnections(t *testing.T) {
	c := qt.New(t)
	table := &connlimit.Table{Connections: 200}
	var caller *connlimit.Entry
	refused := 0
	for ms := range 10_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		_, displaced := add(table, now, 1)
		c.Assert(caller == nil || displaced != caller, qt.IsTrue, qt.Commentf("displaced at %d ms", ms))
		switch ms % 500 {
		case 250:
			if caller, _ = add(table, now, 1); caller == nil {
				refused++
			}
		case 300:
			table.SetState(now, caller, connlimit.Busy)
		case 400:
			table.SetState(now, caller, connlimit.Idle)
		case 499:
			table.Remove(caller)
			caller = nil
		}
	}
	c.Assert(refused, qt.Equals, 0)
	c.Assert(table.Count(), qt.Equals, 199) // the caller has left
}

// TestIdleConnectionsBeyondTheLimit guards against callers that are refused because of idle
// connections, and against the close of those used last.
func TestIdleConnectionsBeyondTheLimit(t *testing.T) {
	c := qt.New(t)
	table := &connlimit.Table{Connections: 3}
	entries := make([]*connlimit.Entry, 3)
	for i := range entries {
		entries[i], _ = add(table, start, i)
		table.SetState(start.Add(time.Duration(i)*time.Second), entries[i], connlimit.Idle)
	}
	table.SetState(start.Add(5*time.Second), entries[0], connlimit.Idle)
	entry, displaced := add(table, start.Add(6*time.Second), 9)
	c.Assert(entry, qt.IsNotNil)
	c.Assert(displaced, qt.Equals, entries[1])
}

// TestStalledBodiesGoBeforeIdleConnections guards against idle connections of callers that are
// closed while those of bodies that do not arrive stay open.
func TestStalledBodiesGoBeforeIdleConnections(t *testing.T) {
	c := qt.New(t)
	table := &connlimit.Table{Connections: 2}
	idle, _ := add(table, start, 1)
	table.SetState(start, idle, connlimit.Idle)
	stalled, _ := add(table, start, 2)
	table.SetState(start.Add(time.Second), stalled, connlimit.Reading)
	_, displaced := add(table, start.Add(3*time.Second), 3)
	c.Assert(displaced, qt.Equals, stalled)
}

// TestBodyThatArrivesIsNotDisplaced guards against a close of connections whose bodies make
// progress.
func TestBodyThatArrivesIsNotDisplaced(t *testing.T) {
	c := qt.New(t)
	table := &connlimit.Table{}
	slow, _ := add(table, start, 1)
	for i := range 10 {
		now := start.Add(time.Duration(i) * 450 * time.Millisecond)
		c.Assert(table.DisplaceReading(now, nil), qt.IsNil)
		table.SetState(now, slow, connlimit.Reading)
	}
	end := start.Add(time.Minute)
	c.Assert(table.DisplaceReading(end, slow), qt.IsNil)
	c.Assert(table.DisplaceReading(end, nil), qt.Equals, slow)
	c.Assert(table.DisplaceReading(end, nil), qt.IsNil)
}

// TestBusyConnectionsAtTheLimit guards against the close of connections whose requests run.
func TestBusyConnectionsAtTheLimit(t *testing.T) {
	c := qt.New(t)
	table := &connlimit.Table{Connections: 5}
	for i := range 5 {
		entry, _ := add(table, start, i)
		table.SetState(start, entry, connlimit.Busy)
	}
	entry, displaced := add(table, start.Add(time.Hour), 9)
	c.Assert(entry, qt.IsNil)
	c.Assert(displaced, qt.IsNil)
}

// TestManyCallersBehindOneAddress guards against a bound on the connections of an address where
// none is set, and against a bound that counts other addresses where one is.
func TestManyCallersBehindOneAddress(t *testing.T) {
	c := qt.New(t)
	table := &connlimit.Table{Connections: 2000}
	for range 2000 {
		entry, displaced := add(table, start, 1)
		c.Assert(entry, qt.IsNotNil)
		c.Assert(displaced, qt.IsNil)
	}
	bounded := &connlimit.Table{Connections: 2000, PerAddress: 10}
	for range 10 {
		entry, _ := add(bounded, start, 1)
		c.Assert(entry, qt.IsNotNil)
	}
	entry, _ := add(bounded, start, 1)
	c.Assert(entry, qt.IsNil)
	entry, _ = add(bounded, start, 2)
	c.Assert(entry, qt.IsNotNil)
}

// TestAddressThatTakesAllConnections guards against callers that are refused because one other
// address sends as much as it can: its connections make place, but not for those of addresses
// that have about as many.
func TestAddressThatTakesAllConnections(t *testing.T) {
	c := qt.New(t)
	table := &connlimit.Table{Connections: 100}
	for range 100 {
		entry, _ := add(table, start, 1)
		table.SetState(start, entry, connlimit.Reading)
	}
	admitted := 0
	for range 100 {
		if entry, _ := add(table, start, 2); entry != nil {
			table.SetState(start, entry, connlimit.Busy)
			admitted++
		}
	}
	c.Assert(admitted, qt.Equals, 33)
	entry, _ := add(table, start, 1)
	c.Assert(entry, qt.IsNil)
}

// TestConnectionsWithoutMemory guards against connections that take memory beyond the account.
func TestConnectionsWithoutMemory(t *testing.T) {
	c := qt.New(t)
	account := connlimit.NewAccount(100)
	table := &connlimit.Table{Account: account, Memory: 30}
	first, _ := add(table, start, 1)
	for range 2 {
		_, _ = add(table, start, 1)
	}
	entry, _ := add(table, start, 1)
	c.Assert(entry, qt.IsNil)
	entry, displaced := add(table, start.Add(time.Second), 1)
	c.Assert(entry, qt.IsNotNil)
	c.Assert(displaced, qt.Equals, first)
	c.Assert(account.Used(), qt.Equals, int64(90))
}

// TestCrowdAtOneListenerLeavesPlacesToOthers guards against callers that are refused at one listener
// because of a crowd at another one, with which it shares its places.
func TestCrowdAtOneListenerLeavesPlacesToOthers(t *testing.T) {
	c := qt.New(t)
	places := connlimit.NewAccount(100)
	crowded, other := &connlimit.Table{Connections: 90, Places: places}, &connlimit.Table{Connections: 40, Places: places}
	for range 200 {
		add(crowded, start, 1)
	}
	var last *connlimit.Entry
	for range 10 {
		last, _ = add(other, start, 2)
		c.Assert(last, qt.IsNotNil)
	}
	entry, _ := add(other, start, 2)
	c.Assert(entry, qt.IsNil)
	other.Remove(last)
	entry, _ = add(other, start, 2)
	c.Assert(entry, qt.IsNotNil)
}

// TestTableStaysWithinItsLimits draws connections that come, change their state and go. It guards
// against a count or an amount of memory that drifts.
func TestTableStaysWithinItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		account := connlimit.NewAccount(1000)
		places := connlimit.NewAccount(int64(rapid.IntRange(1, 20).Draw(t, "places")))
		table := &connlimit.Table{
			Places: places, Connections: rapid.IntRange(1, 20).Draw(t, "connections"), PerAddress: rapid.IntRange(0, 5).Draw(t, "perAddress"),
			Account: account, Memory: int64(rapid.IntRange(1, 200).Draw(t, "memory")),
		}
		open := make(map[*connlimit.Entry]int)
		var all []*connlimit.Entry
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			var displaced *connlimit.Entry
			if len(all) == 0 || rapid.Bool().Draw(t, "add") {
				from := rapid.IntRange(0, 3).Draw(t, "from")
				var entry *connlimit.Entry
				if entry, displaced = add(table, now, from); entry != nil {
					open[entry] = from
					all = append(all, entry)
				}
			} else {
				entry := rapid.SampledFrom(all).Draw(t, "entry")
				switch rapid.IntRange(0, 2).Draw(t, "change") {
				case 0:
					table.Remove(entry)
					delete(open, entry)
				case 1:
					displaced = table.DisplaceReading(now, entry)
				default:
					table.SetState(now, entry, connlimit.State(rapid.IntRange(0, int(connlimit.Busy)).Draw(t, "state")))
				}
			}
			delete(open, displaced)
			perAddress := make(map[int]int)
			for _, from := range open {
				perAddress[from]++
				if table.PerAddress > 0 && perAddress[from] > table.PerAddress {
					t.Fatalf("%d connections from one address", perAddress[from])
				}
			}
			if table.Count() != len(open) || len(open) > table.Connections || account.Used() != int64(len(open))*table.Memory ||
				places.Used() != int64(len(open)) {
				t.Fatalf("%d connections counted, %d open, limit %d, memory %d", table.Count(), len(open), table.Connections, account.Used())
			}
		}
	})
}
