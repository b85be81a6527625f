package lease_test

import (
	"context"
	"encoding/json"
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

// run starts a controller and returns what stops it.
func run(t *testing.T, store table.Store, vm string) (*lease.Controller, context.CancelFunc) {
	t.Helper()
	began := time.Now()
	c := &lease.Controller{
		Term:  lease.Term{Self: vm, Node: fleet.NodeID(vm + "-process"), Length: length, HandOver: handOver},
		Store: store, Key: table.Key{Partition: "orders", Sort: "lease"},
		Clock: func() time.Duration { return time.Since(began) },
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.Run(ctx)
	}()
	return c, func() { cancel(); <-done }
}

func holds(c *lease.Controller) bool {
	_, found := c.Holds()
	return found
}

func TestOneOfTwoGetsTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := standin.NewTable()
		first, stopFirst := run(t, store, "a")
		second, stopSecond := run(t, store, "b")
		defer stopFirst()
		defer stopSecond()
		time.Sleep(5 * time.Second)
		c.Assert(holds(first) != holds(second), qt.IsTrue)
		c.Assert(first.Holder(), qt.Equals, second.Holder())
	})
}

// slow is a table whose first answer is older than another's claim.
type slow struct {
	table.Store
	reads int
}

func (s *slow) Get(ctx context.Context, key table.Key) (table.Record, error) {
	s.reads++
	if s.reads == 1 {
		return table.Record{}, table.ErrNotFound
	}
	return s.Store.Get(ctx, key)
}

// TestLoserOfARaceKnowsTheHolder answers the pattern of nodes that start together
// just before the table goes down.
func TestLoserOfARaceKnowsTheHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := standin.NewTable()
		first, stopFirst := run(t, store, "a")
		defer stopFirst()
		time.Sleep(10 * time.Millisecond)
		second, stopSecond := run(t, &slow{Store: store}, "b")
		defer stopSecond()
		time.Sleep(10 * time.Millisecond)
		store.SetFaults(standin.TableFaults{Down: true})
		time.Sleep(3 * time.Second)
		c.Assert(holds(first), qt.IsTrue)
		c.Assert(second.Holder(), qt.Equals, fleet.NodeID("a-process"))
	})
}

func TestHolderGoesOnWhileTheTableIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := standin.NewTable()
		held, stop := run(t, store, "a")
		defer stop()
		time.Sleep(3 * time.Second)
		store.SetFaults(standin.TableFaults{Down: true})
		time.Sleep(6 * time.Second)
		c.Assert(holds(held), qt.IsTrue)
		time.Sleep(3 * time.Second)
		c.Assert(holds(held), qt.IsFalse)
		store.SetFaults(standin.TableFaults{})
		time.Sleep(2 * time.Second)
		c.Assert(holds(held), qt.IsTrue)
	})
}

func TestLostAnswersCostNeitherLeaseNorOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := standin.NewTable()
		store.SetFaults(standin.TableFaults{LoseAnswers: 6})
		held, stop := run(t, store, "a")
		defer stop()
		time.Sleep(10 * time.Second)
		c.Assert(holds(held), qt.IsTrue)
	})
}

func TestReleasedLeaseIsTakenAfterTheHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := standin.NewTable()
		first, stopFirst := run(t, store, "a")
		defer stopFirst()
		time.Sleep(2 * time.Second)
		second, stopSecond := run(t, store, "b")
		defer stopSecond()
		time.Sleep(2 * time.Second)
		before, _ := first.Holds()
		first.GiveUp(context.Background())
		c.Assert(holds(first), qt.IsFalse)
		time.Sleep(2 * time.Second)
		c.Assert(holds(second), qt.IsFalse)
		time.Sleep(3 * time.Second)
		fencing, found := second.Holds()
		c.Assert(found, qt.IsTrue)
		c.Assert(fencing > before, qt.IsTrue)
	})
}

func TestSilentHolderIsFollowedAfterItsLeaseHasRunOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := standin.NewTable()
		_, stopFirst := run(t, store, "a")
		time.Sleep(2 * time.Second)
		stopFirst()
		second, stopSecond := run(t, store, "b")
		defer stopSecond()
		time.Sleep(length)
		c.Assert(holds(second), qt.IsFalse)
		time.Sleep(handOver + 2*time.Second)
		c.Assert(holds(second), qt.IsTrue)
	})
}

func TestNewProcessOnTheHoldersVMGoesOnAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := standin.NewTable()
		_, stopFirst := run(t, store, "a")
		time.Sleep(4 * time.Second)
		stopFirst()
		again, stopAgain := run(t, store, "a")
		defer stopAgain()
		time.Sleep(100 * time.Millisecond)
		c.Assert(holds(again), qt.IsTrue)
	})
}

func process(vm string) fleet.NodeID { return fleet.NodeID(vm + "-process") }

// crew starts controllers that may be each other's deputies, in this order.
func crew(t *testing.T, store table.Store, vms ...string) (w *peertest.Wires, crew []*lease.Controller, stops []context.CancelFunc) {
	t.Helper()
	w = &peertest.Wires{}
	began := time.Now()
	for at, vm := range vms {
		c := &lease.Controller{
			Term:  lease.Term{Self: vm, Node: process(vm), Length: length, HandOver: handOver, Short: short},
			Store: store, Key: table.Key{Partition: "orders", Sort: "lease"}, Peers: peertest.End{Wires: w, Node: process(vm)},
			Clock: func() time.Duration { return time.Since(began) },
			Deputies: func() (nodes []fleet.NodeID) {
				for other, name := range vms {
					if other != at {
						nodes = append(nodes, process(name))
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
		crew, stops = append(crew, c), append(stops, stop)
		time.Sleep(50 * time.Millisecond)
	}
	return w, crew, stops
}

// TestDeputyFollowsALostHolderSoon has the holder vanish: its deputy acts after
// the short time and the hand-over, not after the whole lease.
func TestDeputyFollowsALostHolderSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w, nodes, stops := crew(t, standin.NewTable(), "a", "b", "c")
		time.Sleep(5 * time.Second)
		c.Assert(holds(nodes[0]), qt.IsTrue)
		w.Silence(process("a"), true)
		stops[0]()
		time.Sleep(short + handOver + 1500*time.Millisecond)
		c.Check(holds(nodes[1]), qt.IsTrue)
		c.Check(holds(nodes[2]), qt.IsFalse)
	})
}

// TestHolderWithADeputyGoesOnWhileTheTableIsDown has orders go on in an outage of
// the table as long as the lease lasts.
func TestHolderWithADeputyGoesOnWhileTheTableIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := standin.NewTable()
		_, nodes, _ := crew(t, store, "a", "b", "c")
		time.Sleep(5 * time.Second)
		store.SetFaults(standin.TableFaults{Down: true})
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			c.Assert(holds(nodes[0]), qt.IsTrue)
		}
		time.Sleep(3 * time.Second)
		c.Check(holds(nodes[0]), qt.IsFalse)
		store.SetFaults(standin.TableFaults{})
		time.Sleep(2 * time.Second)
		c.Check(holds(nodes[0]), qt.IsTrue)
	})
}

// TestSilentDeputyIsReplaced has the deputy vanish: the holder acts on without a
// break and names another, which lets it act in an outage again.
func TestSilentDeputyIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := standin.NewTable()
		w, nodes, stops := crew(t, store, "a", "b", "c")
		time.Sleep(5 * time.Second)
		w.Silence(process("b"), true)
		stops[1]()
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			c.Assert(holds(nodes[0]), qt.IsTrue)
		}
		store.SetFaults(standin.TableFaults{Down: true})
		time.Sleep(6 * time.Second)
		c.Check(holds(nodes[0]), qt.IsTrue)
	})
}

// TestHolderThatIsCutFromItsDeputyAndTheTableStops has the deputy follow a holder
// that lives and reaches neither it nor the table.
func TestHolderThatIsCutFromItsDeputyAndTheTableStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := &severed{Store: standin.NewTable()}
		w, nodes, _ := crew(t, store, "a", "b", "c")
		time.Sleep(5 * time.Second)
		w.Silence(process("a"), true)
		store.cut.Store(true)
		var lastOfA time.Time
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			if holds(nodes[0]) {
				lastOfA = time.Now()
			}
			if holds(nodes[1]) {
				break
			}
		}
		c.Assert(holds(nodes[1]), qt.IsTrue)
		c.Check(time.Since(lastOfA) >= handOver, qt.IsTrue, qt.Commentf("%v", time.Since(lastOfA)))
	})
}

// severed is a table that the process of VM a does not reach once it is cut.
type severed struct {
	table.Store
	cut atomic.Bool
}

func (s *severed) Transact(ctx context.Context, token table.Token, writes []table.Write) error {
	var record lease.Record
	if s.cut.Load() && json.Unmarshal(writes[0].Body, &record) == nil && record.Holder == "a" {
		return table.ErrUnavailable
	}
	return s.Store.Transact(ctx, token, writes)
}
