package lease_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/lease"
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
