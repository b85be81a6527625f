package policy_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/policy"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// runNodes starts controllers that share grants. Node 0 decides for all items
// and the others forward to it. All of them stop at the end of the test.
func runNodes(t *testing.T, grants policy.Grants, snapshot *ticket.Snapshot, count int) []*policy.Controller {
	nodes := make([]*policy.Controller, count)
	for i := range nodes {
		nodes[i] = &policy.Controller{
			Grants: grants, Snapshot: func() *ticket.Snapshot { return snapshot },
			IsDecider: func(fleet.Item) bool { return i == 0 },
			Forward: func(_ context.Context, item fleet.Item, deadline time.Time) (policy.Estimate, error) {
				return nodes[0].RequestReplicaLocally(item, deadline)
			},
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for _, node := range nodes {
		running.Go(func() { _ = node.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return nodes
}

func TestBurstAcrossNodesStartsOneLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		grants := newFakeGrants(10*time.Second, testServer("s1", 80*fleet.GiB), testServer("s2", 80*fleet.GiB))
		nodes := runNodes(t, grants, testSnapshot(1), 7)
		item := fleet.ParseItem("m0:a")
		deadline := time.Now().Add(time.Minute)
		for range 20 {
			for _, node := range nodes {
				estimate, err := node.RequestReplica(t.Context(), item, deadline)
				c.Assert(err, qt.IsNil)
				if grants.loadCount(item) == 0 {
					c.Assert(estimate.ReadyIn > 0, qt.IsTrue)
				}
			}
			time.Sleep(2 * time.Second)
		}
		c.Assert(grants.loadCount(item.Base()), qt.Equals, 1)
		c.Assert(grants.loadCount(item), qt.Equals, 1)
		estimate, err := nodes[3].RequestReplica(t.Context(), item, deadline)
		c.Assert(err, qt.IsNil)
		c.Assert(estimate, qt.Equals, policy.Estimate{Progress: 1})
	})
}

func TestIdleReplicaIsUnloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		grants := newFakeGrants(10*time.Second, testServer("s1", 80*fleet.GiB))
		node := runNodes(t, grants, testSnapshot(1), 1)[0]
		item := fleet.ParseItem("m0")
		for range 11 {
			_, err := node.RequestReplica(t.Context(), item, time.Now().Add(time.Minute))
			c.Assert(err, qt.IsNil)
			time.Sleep(time.Second)
		}
		node.Arrived(item, time.Now())
		time.Sleep(time.Hour)
		c.Assert(grants.Replicas(item), qt.HasLen, 1) // the request is still running
		node.Finished(item, time.Now())
		time.Sleep(time.Hour)
		c.Assert(grants.Replicas(item), qt.HasLen, 0)
	})
}

func TestFailedLoadIsRetriedWhileRequestsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		grants := newFakeGrants(time.Second, testServer("s1", 80*fleet.GiB))
		grants.loadError = errors.New("table down")
		node := runNodes(t, grants, testSnapshot(1), 1)[0]
		item := fleet.ParseItem("m0")
		for range 5 {
			_, err := node.RequestReplica(t.Context(), item, time.Now().Add(time.Minute))
			c.Assert(err, qt.IsNil)
			time.Sleep(time.Second)
		}
		grants.mu.Lock()
		grants.loadError = nil
		grants.mu.Unlock()
		time.Sleep(3 * time.Second)
		c.Assert(grants.loadCount(item), qt.Equals, 1)
	})
}

func TestLoadRestartsAfterVMIsReclaimed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		grants := newFakeGrants(10*time.Second, testServer("s1", 80*fleet.GiB), testServer("s2", 80*fleet.GiB))
		node := runNodes(t, grants, testSnapshot(1), 1)[0]
		item := fleet.ParseItem("m0")
		requestReplica := func(times int) {
			for range times {
				_, err := node.RequestReplica(t.Context(), item, time.Now().Add(time.Minute))
				c.Assert(err, qt.IsNil)
				time.Sleep(time.Second)
			}
		}
		requestReplica(3)
		first := grants.Replicas(item)[0].Server
		grants.removeServer(first)
		requestReplica(20)
		c.Assert(grants.loadCount(item), qt.Equals, 2)
		c.Assert(grants.Replicas(item)[0].Server, qt.Not(qt.Equals), first)
	})
}

func TestUnknownItemIsRefused(t *testing.T) {
	c := qt.New(t)
	node := &policy.Controller{
		Grants:   newFakeGrants(0),
		Snapshot: func() *ticket.Snapshot { return testSnapshot(1) },
	}
	_, err := node.RequestReplica(t.Context(), fleet.ParseItem("other"), time.Now())
	c.Assert(err, qt.ErrorIs, policy.ErrNotDeployed)
}

func TestAbandonedLoadIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		grants := newFakeGrants(time.Minute, testServer("s1", 80*fleet.GiB))
		node := runNodes(t, grants, testSnapshot(1), 1)[0]
		item := fleet.ParseItem("m0")
		_, err := node.RequestReplica(t.Context(), item, time.Now().Add(time.Minute))
		c.Assert(err, qt.IsNil)
		time.Sleep(3 * time.Second)
		c.Assert(grants.Replicas(item), qt.HasLen, 1) // the caller may still repeat the call
		time.Sleep(7 * time.Second)
		c.Assert(grants.Replicas(item), qt.HasLen, 0)
		c.Assert(grants.loadCount(item), qt.Equals, 1)
	})
}
