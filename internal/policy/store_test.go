package policy_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/policy"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// TestNodesShareModelBudget has four nodes that each decide for a part of
// twenty models, all of which are requested at once. The ledger in the table
// must limit the loads of all nodes together.
func TestNodesShareModelBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const nodes, models = 4, 20
		grants := newFakeGrants(8*time.Second, testServer("s1", fleet.TiB))
		snapshot := testSnapshot(models)
		table := standin.NewTable()
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		controllers := make([]*policy.Controller, nodes)
		for i := range controllers {
			controllers[i] = &policy.Controller{
				Node: fleet.NodeID(fmt.Sprint("n", i)), Grants: grants, Table: table,
				Snapshot:    func() *ticket.Snapshot { return snapshot },
				LiveNodes:   func() int { return nodes },
				WeightStore: policy.WeightStore{Concurrency: 4, LoadsPerSecond: 10},
			}
			running.Go(func() { _ = controllers[i].Run(ctx) })
		}
		for range 70 {
			for model := range models {
				item := fleet.ParseItem(fmt.Sprint("m", model))
				_, err := controllers[model%nodes].RequestReplicaLocally(item, time.Now().Add(time.Hour))
				c.Assert(err, qt.IsNil)
			}
			time.Sleep(time.Second)
		}
		cancel()
		running.Wait()
		c.Assert(grants.peak <= 4, qt.IsTrue, qt.Commentf("%d loads in flight", grants.peak))
		for model := range models {
			c.Assert(grants.loadCount(fleet.ParseItem(fmt.Sprint("m", model))), qt.Equals, 1)
		}
	})
}

// TestNothingIsUnloadedWhileTheStoreIsDown has a weight store that stops
// delivering after the first model.
func TestNothingIsUnloadedWhileTheStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		grants := newFakeGrants(8*time.Second, testServer("s1", 80*fleet.GiB))
		node := runNodes(t, grants, testSnapshot(2), 1)[0]
		kept, stuck := fleet.ParseItem("m0"), fleet.ParseItem("m1")
		requestReplica := func(item fleet.Item, seconds int) {
			for range seconds {
				_, err := node.RequestReplica(t.Context(), item, time.Now().Add(time.Hour))
				c.Assert(err, qt.IsNil)
				time.Sleep(time.Second)
			}
		}
		requestReplica(kept, 10)
		grants.mu.Lock()
		grants.loadTime = 24 * time.Hour
		grants.mu.Unlock()
		requestReplica(stuck, 3600)
		c.Assert(grants.Replicas(kept), qt.HasLen, 1)
		c.Assert(node.Explain(kept).Store, qt.Matches, "down: .*")
	})
}

func TestStoreSpeedIsLearned(t *testing.T) {
	c := qt.New(t)
	server := testServer("s1", 80*fleet.GiB)
	item := fleet.ParseItem("m0")
	store := policy.WeightStore{BytesPerSecond: fleet.GiB}
	full := store.LoadTime(item, 10*fleet.GiB, &server)
	for range 20 {
		store = store.Observe(10*fleet.GiB, 40*time.Second)
	}
	slow := store.LoadTime(item, 10*fleet.GiB, &server)
	c.Assert(slow > 3*full, qt.IsTrue, qt.Commentf("load time %s, at full speed %s", slow, full))
	for range 20 {
		store = store.Observe(10*fleet.GiB, 10*time.Second)
	}
	c.Assert(store.LoadTime(item, 10*fleet.GiB, &server) < full+time.Second, qt.IsTrue)
}

// TestReportLagIsNotCountedAsSlowness guards against mistaking the report lag
// of short loads for a slow store. Waiting requests were rejected for this
// although their model was about to be loaded.
func TestReportLagIsNotCountedAsSlowness(t *testing.T) {
	c := qt.New(t)
	server := testServer("s1", 80*fleet.GiB)
	item := fleet.ParseItem("m0")
	store := policy.WeightStore{BytesPerSecond: 20 * fleet.GiB, ReportLag: 3 * time.Second}
	full := store.LoadTime(item, 10*fleet.GiB, &server)
	for range 20 {
		store = store.Observe(10*fleet.GiB, 3*time.Second)
	}
	c.Assert(store.LoadTime(item, 10*fleet.GiB, &server), qt.Equals, full)
	for range 20 {
		store = store.Observe(10*fleet.GiB, 10*time.Second)
	}
	c.Assert(store.LoadTime(item, 10*fleet.GiB, &server) > 5*time.Second, qt.IsTrue)
}

// TestLearnedPatternsSurviveRestart stops a node that has learned a pattern and
// starts another one with the same table.
func TestLearnedPatternsSurviveRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		item := fleet.ParseItem("m0")
		table := standin.NewTable()
		start := func() (node *policy.Controller, stop func()) {
			node = &policy.Controller{
				Grants: newFakeGrants(time.Second, testServer("s1", 80*fleet.GiB)), Table: table,
				Snapshot: func() *ticket.Snapshot { return testSnapshot(1) },
			}
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_ = node.Run(ctx)
			}()
			return node, func() {
				cancel()
				<-ended
			}
		}
		first, stop := start()
		for range 10 {
			first.Arrived(item, time.Now())
			time.Sleep(time.Second)
			first.Finished(item, time.Now())
			time.Sleep(10 * time.Minute)
		}
		stop()
		second, stop := start()
		time.Sleep(time.Second)
		c.Assert(second.Explain(item).GapWeight > 7, qt.IsTrue, qt.Commentf("%v", second.Explain(item)))
		stop()
	})
}
