package lease_test

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/lease"
	"github.com/guavatrack/guavatrack/internal/peer/peertest"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// startController starts a controller and returns it with a function that stops
// it.
func startController(t *testing.T, store table.Store, vm string) (*lease.Controller, context.CancelFunc) {
	t.Helper()
	return startLeaving(t, store, vm, nil)
}

// startLeaving is startController for a process that leaves a note to the next holder.
func startLeaving(t *testing.T, store table.Store, vm string, note func() string) (*lease.Controller, context.CancelFunc) {
	t.Helper()
	began := time.Now()
	c := &lease.Controller{
		State: lease.State{VM: vm, Node: fleet.NodeID(vm + "-process"), LeaseDuration: leaseDuration, HandoverDelay: handoverDelay},
		Store: store, Key: table.Key{Partition: "orders", Sort: "lease"},
		Clock: func() time.Duration { return time.Since(began) }, Note: note,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.Run(ctx)
	}()
	return c, func() { cancel(); <-done }
}

func mayAct(c *lease.Controller) bool {
	_, ok := c.Holds()
	return ok
}

func TestOnlyOneOfTwoVMsHoldsTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := standin.NewTable()
		first, stopFirst := startController(t, store, "a")
		second, stopSecond := startController(t, store, "b")
		defer stopFirst()
		defer stopSecond()
		time.Sleep(5 * time.Second)
		c.Assert(mayAct(first) != mayAct(second), qt.IsTrue)
		c.Assert(first.Holder(), qt.Equals, second.Holder())
	})
}

// staleFirstRead is a table whose first read does not show the record of another
// process's claim yet.
type staleFirstRead struct {
	table.Store
	reads int
}

func (s *staleFirstRead) Get(ctx context.Context, key table.Key) (table.Record, error) {
	s.reads++
	if s.reads == 1 {
		return table.Record{}, table.ErrNotFound
	}
	return s.Store.Get(ctx, key)
}

// TestProcessKnowsTheHolderAfterItsClaimFailed guards against a process that does
// not know the holder after its claim failed: nodes start together and the table
// goes down right after that, so the holder can't be read later.
func TestProcessKnowsTheHolderAfterItsClaimFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := standin.NewTable()
		first, stopFirst := startController(t, store, "a")
		defer stopFirst()
		time.Sleep(10 * time.Millisecond)
		second, stopSecond := startController(t, &staleFirstRead{Store: store}, "b")
		defer stopSecond()
		time.Sleep(10 * time.Millisecond)
		store.SetFaults(standin.TableFaults{Down: true})
		time.Sleep(3 * time.Second)
		c.Assert(mayAct(first), qt.IsTrue)
		c.Assert(second.Holder(), qt.Equals, fleet.NodeID("a-process"))
	})
}

func TestHolderActsDuringATableOutageUntilItsLeaseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := standin.NewTable()
		holder, stop := startController(t, store, "a")
		defer stop()
		time.Sleep(3 * time.Second)
		store.SetFaults(standin.TableFaults{Down: true})
		time.Sleep(6 * time.Second)
		c.Assert(mayAct(holder), qt.IsTrue)
		time.Sleep(3 * time.Second)
		c.Assert(mayAct(holder), qt.IsFalse)
		store.SetFaults(standin.TableFaults{})
		time.Sleep(2 * time.Second)
		c.Assert(mayAct(holder), qt.IsTrue)
	})
}

func TestLeaseIsHeldDespiteLostResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := standin.NewTable()
		store.SetFaults(standin.TableFaults{LoseAnswers: 6})
		holder, stop := startController(t, store, "a")
		defer stop()
		time.Sleep(10 * time.Second)
		c.Assert(mayAct(holder), qt.IsTrue)
	})
}

func TestReleasedLeaseIsTakenOverAfterTheHandoverDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := standin.NewTable()
		first, stopFirst := startController(t, store, "a")
		defer stopFirst()
		time.Sleep(2 * time.Second)
		second, stopSecond := startController(t, store, "b")
		defer stopSecond()
		time.Sleep(2 * time.Second)
		before, _ := first.Holds()
		first.Release(context.Background())
		c.Assert(mayAct(first), qt.IsFalse)
		time.Sleep(2 * time.Second)
		c.Assert(mayAct(second), qt.IsFalse)
		time.Sleep(3 * time.Second)
		fencing, found := second.Holds()
		c.Assert(found, qt.IsTrue)
		c.Assert(fencing > before, qt.IsTrue)
	})
}

func TestFailedHolderIsReplacedAfterItsLeaseExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := standin.NewTable()
		_, stopFirst := startController(t, store, "a")
		time.Sleep(2 * time.Second)
		stopFirst()
		second, stopSecond := startController(t, store, "b")
		defer stopSecond()
		time.Sleep(leaseDuration)
		c.Assert(mayAct(second), qt.IsFalse)
		time.Sleep(handoverDelay + 2*time.Second)
		c.Assert(mayAct(second), qt.IsTrue)
	})
}

func TestRestartedProcessOnTheHoldersVMActsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := standin.NewTable()
		_, stopFirst := startController(t, store, "a")
		time.Sleep(4 * time.Second)
		stopFirst()
		restarted, stopRestarted := startController(t, store, "a")
		defer stopRestarted()
		time.Sleep(100 * time.Millisecond)
		c.Assert(mayAct(restarted), qt.IsTrue)
	})
}

func nodeID(vm string) fleet.NodeID { return fleet.NodeID(vm + "-process") }

// startWithDeputies starts controllers that may be each other's deputies,
// preferred in the order of the VMs.
func startWithDeputies(t *testing.T, store table.Store, vms ...string) (network *peertest.Network, controllers []*lease.Controller, stops []context.CancelFunc) {
	t.Helper()
	network = &peertest.Network{}
	began := time.Now()
	for i, vm := range vms {
		c := &lease.Controller{
			State: lease.State{VM: vm, Node: nodeID(vm), LeaseDuration: leaseDuration, HandoverDelay: handoverDelay, ShortLeaseDuration: shortLease},
			Store: store, Key: table.Key{Partition: "orders", Sort: "lease"}, Peers: peertest.Endpoint{Network: network, Node: nodeID(vm)},
			Clock: func() time.Duration { return time.Since(began) },
			Deputies: func() (nodes []fleet.NodeID) {
				for j, name := range vms {
					if j != i {
						nodes = append(nodes, nodeID(name))
					}
				}
				return nodes
			},
		}
		c.Register()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = c.Run(ctx)
		}()
		stop := sync.OnceFunc(func() { cancel(); <-done })
		t.Cleanup(stop)
		controllers, stops = append(controllers, c), append(stops, stop)
		time.Sleep(50 * time.Millisecond)
	}
	return network, controllers, stops
}

// TestDeputyReplacesAFailedHolderAfterTheShortLease checks that the deputy of a
// holder that failed acts after the short lease and the handover delay, not only
// after the whole lease.
func TestDeputyReplacesAFailedHolderAfterTheShortLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network, nodes, stops := startWithDeputies(t, standin.NewTable(), "a", "b", "c")
		time.Sleep(5 * time.Second)
		c.Assert(mayAct(nodes[0]), qt.IsTrue)
		network.SetUnresponsive(nodeID("a"), true)
		stops[0]()
		time.Sleep(shortLease + handoverDelay + 1500*time.Millisecond)
		c.Check(mayAct(nodes[1]), qt.IsTrue)
		c.Check(mayAct(nodes[2]), qt.IsFalse)
	})
}

// TestHolderWithADeputyActsDuringATableOutage checks that the holder continues to
// act during an outage of the table until its lease expires.
func TestHolderWithADeputyActsDuringATableOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := standin.NewTable()
		_, nodes, _ := startWithDeputies(t, store, "a", "b", "c")
		time.Sleep(5 * time.Second)
		store.SetFaults(standin.TableFaults{Down: true})
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			c.Assert(mayAct(nodes[0]), qt.IsTrue)
		}
		time.Sleep(3 * time.Second)
		c.Check(mayAct(nodes[0]), qt.IsFalse)
		store.SetFaults(standin.TableFaults{})
		time.Sleep(2 * time.Second)
		c.Check(mayAct(nodes[0]), qt.IsTrue)
	})
}

// TestFailedDeputyIsReplaced checks that a holder whose deputy fails continues to
// act without interruption and names another, whose promises let it act during an
// outage of the table again.
func TestFailedDeputyIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := standin.NewTable()
		network, nodes, stops := startWithDeputies(t, store, "a", "b", "c")
		time.Sleep(5 * time.Second)
		network.SetUnresponsive(nodeID("b"), true)
		stops[1]()
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			c.Assert(mayAct(nodes[0]), qt.IsTrue)
		}
		store.SetFaults(standin.TableFaults{Down: true})
		time.Sleep(6 * time.Second)
		c.Check(mayAct(nodes[0]), qt.IsTrue)
	})
}

// TestHolderCutOffFromDeputyAndTableStopsActing checks that a holder that runs but
// reaches neither its deputy nor the table stops acting before its deputy acts.
func TestHolderCutOffFromDeputyAndTableStopsActing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := &partitionedStore{Store: standin.NewTable()}
		network, nodes, _ := startWithDeputies(t, store, "a", "b", "c")
		time.Sleep(5 * time.Second)
		network.SetUnresponsive(nodeID("a"), true)
		store.cut.Store(true)
		var lastOfA time.Time
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			if mayAct(nodes[0]) {
				lastOfA = time.Now()
			}
			if mayAct(nodes[1]) {
				break
			}
		}
		c.Assert(mayAct(nodes[1]), qt.IsTrue)
		c.Check(time.Since(lastOfA) >= handoverDelay, qt.IsTrue, qt.Commentf("%v", time.Since(lastOfA)))
	})
}

// partitionedStore is a table to which the process of VM a can't write once cut
// is set.
type partitionedStore struct {
	table.Store
	cut atomic.Bool
}

func (s *partitionedStore) Transact(ctx context.Context, token table.Token, writes []table.Write) error {
	var record lease.Record
	if s.cut.Load() && json.Unmarshal(writes[0].Body, &record) == nil && record.Holder == "a" {
		return table.ErrUnavailable
	}
	return s.Store.Transact(ctx, token, writes)
}

// countedReads is a table that counts the reads of it.
type countedReads struct {
	table.Store
	reads *atomic.Int64
}

func (s countedReads) Get(ctx context.Context, key table.Key) (table.Record, error) {
	s.reads.Add(1)
	return s.Store.Get(ctx, key)
}

// TestOutageOfTheTableIsTriedByFewReads guards against a fleet that all reads the
// record of the lease twice a second while the table is down.
func TestOutageOfTheTableIsTriedByFewReads(t *testing.T) {
	const (
		processes = 20
		outage    = 8 * time.Second
		// The pauses double from half a second to two, with jitter.
		maxReads = 8 * processes
	)
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store, reads := standin.NewTable(), &atomic.Int64{}
		store.SetFaults(standin.TableFaults{Down: true})
		controllers := make([]*lease.Controller, processes)
		for i := range controllers {
			var stop func()
			controllers[i], stop = startController(t, countedReads{store, reads}, string(rune('a'+i)))
			defer stop()
		}
		time.Sleep(outage)
		t.Logf("%d reads by %d processes in %v", reads.Load(), processes, outage)
		c.Check(reads.Load() <= maxReads, qt.IsTrue, qt.Commentf("%d", reads.Load()))
		store.SetFaults(standin.TableFaults{})
		time.Sleep(2 * time.Second)
		c.Check(slices.ContainsFunc(controllers, mayAct), qt.IsTrue)
	})
}

// TestOddRecordDelaysTheLeaseOnly guards against a lease that nobody can gain any more,
// because another writer has overwritten its record: no process may act before the lease
// of the former holder is over, then one does, with a higher fencing number.
func TestOddRecordDelaysTheLeaseOnly(t *testing.T) {
	for _, body := range []string{"odd", "null", `{"holder":7}`, `{"fencing":1e300}`, "[]"} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			store := standin.NewTable()
			first, stopFirst := startController(t, store, "a")
			second, stopSecond := startController(t, store, "b")
			defer stopFirst()
			defer stopSecond()
			time.Sleep(5 * time.Second)
			before, _ := first.Holds()
			if number, holds := second.Holds(); holds {
				before = number
			}
			overwrite(c, store, first.Key, []byte(body))
			for range 200 {
				time.Sleep(100 * time.Millisecond)
				c.Check(mayAct(first) && mayAct(second), qt.IsFalse)
			}
			c.Assert(mayAct(first) || mayAct(second), qt.IsTrue, qt.Commentf("%s", body))
			after, holds := first.Holds()
			if !holds {
				after, _ = second.Holds()
			}
			c.Check(after > before, qt.IsTrue, qt.Commentf("%d after %d", after, before))
		})
	}
}

// overwrite replaces the body of a record, whatever version it has.
func overwrite(c *qt.C, store table.Store, key table.Key, body []byte) {
	c.Helper()
	for {
		record, err := store.Get(context.Background(), key)
		c.Assert(err, qt.IsNil)
		err = store.Transact(context.Background(), "", []table.Write{{Key: key, Expect: record.Version, Body: body}})
		if err == nil {
			return
		}
		c.Assert(err, qt.ErrorIs, table.ErrConflict)
	}
}

// TestNoteIsLeftToTheNextHolder guards against a holder that starts after the loss of all
// others and finds nothing of what they have left, also after a second loss at once.
func TestNoteIsLeftToTheNextHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := standin.NewTable()
		first, stop := startLeaving(t, store, "a", func() string { return "left" })
		c.Check(first.Inherited(), qt.Equals, "")
		time.Sleep(5 * time.Second)
		stop()
		for _, vm := range []string{"b", "c"} {
			next, stop := startController(t, store, vm)
			for !next.IsHolder() {
				time.Sleep(100 * time.Millisecond)
			}
			c.Check(next.Inherited(), qt.Equals, "left")
			stop()
		}
	})
}

// narrowStore rejects records beyond a size.
type narrowStore struct {
	table.Store
	maxBody int
}

func (s narrowStore) Transact(ctx context.Context, token table.Token, writes []table.Write) error {
	for _, write := range writes {
		if len(write.Body) > s.maxBody {
			return table.ErrRejected
		}
	}
	return s.Store.Transact(ctx, token, writes)
}

// TestNoteThatIsTooLargeIsLeftOut guards against a fleet without a holder, since the table
// rejects each renewal for the size of the note.
func TestNoteThatIsTooLargeIsLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		note := strings.Repeat("x", 1000)
		holder, stop := startLeaving(t, narrowStore{standin.NewTable(), len(note)}, "a", func() string { return note })
		defer stop()
		for range 20 {
			time.Sleep(time.Second)
			c.Check(holder.IsHolder(), qt.IsTrue)
		}
	})
}
