package placement_test

import (
	"context"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/placement"
	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Software versions of servers.
const (
	older fleet.SoftwareVersion = "1.0"
	newer fleet.SoftwareVersion = "1.1"
)

// changeServers publishes a view in which change has edited each server.
func (s *cluster) changeServers(change func(*roster.Server)) {
	next := *s.view.Load()
	next.Servers = make(map[fleet.ServerID]*roster.Server)
	for id, server := range s.view.Load().Servers {
		changed := *server
		change(&changed)
		next.Servers[id] = &changed
	}
	s.view.Store(&next)
	for _, directory := range s.directories {
		directory.UpdateView(&next)
	}
}

// mixVersions makes e0 a server of the older version and all others of the newer one.
func (s *cluster) mixVersions() {
	s.changeServers(func(server *roster.Server) {
		server.Software = newer
		if server.ID == "e0" {
			server.Software = older
		}
	})
}

// replicaAt returns the replica of a model that calls of a node may be sent to at servers
// of a version.
func (s *cluster) replicaAt(node int, software fleet.SoftwareVersion, model fleet.ModelID) (replica dispatch.Replica, found bool) {
	replicas := s.directories[node].Replicas(fleet.Item{Model: model}, pool)
	at := slices.IndexFunc(replicas, func(replica dispatch.Replica) bool {
		return replica.Software == software && !replica.Draining
	})
	if at < 0 {
		return dispatch.Replica{}, false
	}
	return replicas[at], true
}

// awaitReplicaAt has a call of a node wait for a model at servers of a version, and reports
// whether a replica was ready there within the timeout.
func (s *cluster) awaitReplicaAt(
	node int, software fleet.SoftwareVersion, model fleet.ModelID, timeout time.Duration,
) (replica dispatch.Replica, found bool) {
	began := time.Now()
	for time.Since(began) < timeout {
		if replica, found = s.replicaAt(node, software, model); found {
			return replica, true
		}
		_, err := s.reporters[node].RequestLoad(context.Background(), dispatch.Demand{
			Item: fleet.Item{Model: model}, Pool: pool, Software: software, Waiting: 1, Since: began, Objective: began.Add(2 * time.Second),
		})
		s.Assert(err, qt.IsNil)
		time.Sleep(100 * time.Millisecond)
	}
	return dispatch.Replica{}, false
}

// TestCallsOfAVersionGetTheirModelThere guards against streams that can't go on since their
// model is only at servers of another version.
func TestCallsOfAVersionGetTheirModelThere(t *testing.T) {
	withCluster(t, 2, func(s *cluster) {
		s.mixVersions()
		for _, want := range []struct {
			model    int
			software fleet.SoftwareVersion
		}{{2, older}, {1, newer}, {5, older}} {
			_, found := s.awaitReplicaAt(want.model%2, want.software, model(want.model), 3*time.Second)
			s.Assert(found, qt.IsTrue, qt.Commentf("m%d at %s", want.model, want.software))
		}
	})
}

// TestReplicaThatCallsOfAVersionUseIsKept guards against the unload of a model on which
// calls that need its version run, since replicas at another version make it look spare.
func TestReplicaThatCallsOfAVersionUseIsKept(t *testing.T) {
	withCluster(t, 2, func(s *cluster) {
		s.mixVersions()
		time.Sleep(5 * time.Second)
		var inUse []dispatch.Replica
		occupy := func(replica dispatch.Replica, found bool) {
			s.Assert(found, qt.IsTrue)
			for range 2 {
				s.reporters[1].SlotTaken(&replica, time.Now())
				inUse = append(inUse, replica)
			}
		}
		occupy(s.awaitReplicaAt(1, older, model(2), 3*time.Second))
		occupy(s.replicaAt(1, newer, model(2)))
		occupy(s.replicaAt(1, newer, model(3)))
		for _, i := range []int{0, 1} {
			if replica, found := s.replicaAt(1, older, model(i)); found {
				occupy(replica, true)
			}
		}
		s.Assert(s.awaitReplica(0, fleet.Item{Model: model(5)}, 2*time.Second), qt.IsFalse)
		_, found := s.replicaAt(1, older, model(2))
		s.Assert(found, qt.IsTrue)
		for i := range inUse {
			s.reporters[1].SlotReleased(&inUse[i], time.Now())
		}
		s.Assert(s.awaitReplica(0, fleet.Item{Model: model(5)}, 2*time.Second), qt.IsTrue)
	})
}

// awaitNewer has a call of a node that any server may run wait for a model, and reports
// whether a replica was ready at a server of the newer version within the timeout.
func (s *cluster) awaitNewer(node int, model fleet.ModelID, timeout time.Duration) (found bool) {
	began := time.Now()
	for time.Since(began) < timeout && !found {
		s.wake(node, fleet.Item{Model: model}, began)
		time.Sleep(20 * time.Millisecond)
		_, found = s.replicaAt(node, newer, model)
	}
	return found
}

// drainOlder has the servers of the older version take no more calls.
func (s *cluster) drainOlder() {
	s.changeServers(func(server *roster.Server) { server.Draining = server.Software == older })
}

// TestModelsOfALeavingVersionAreLoadedElsewhere guards against calls that wait for models
// that are only at servers which take no more calls, as at the end of a replacement.
func TestModelsOfALeavingVersionAreLoadedElsewhere(t *testing.T) {
	withCluster(t, 3, func(s *cluster) {
		s.mixVersions()
		s.drainOlder()
		for i := range 2 {
			_, found := s.replicaAt(1, newer, model(i))
			s.Assert(found, qt.IsFalse)
			s.Assert(s.awaitNewer(1, model(i), 2*time.Second), qt.IsTrue)
		}
	})
}

// TestLoadAtALeavingServerIsRepeatedElsewhere guards against calls that wait for the end of
// a slow load at a server which will not take them.
func TestLoadAtALeavingServerIsRepeatedElsewhere(t *testing.T) {
	withCluster(t, 2, func(s *cluster) {
		const slowLoad = 6 * time.Second
		s.mixVersions()
		s.engines.mu.Lock()
		s.engines.engines["e0"].loadDuration = slowLoad
		s.engines.mu.Unlock()
		s.awaitReplicaAt(1, older, model(5), 2*orderDuration)
		orders := s.engines.sentOrders()
		s.Assert(slices.ContainsFunc(orders, func(order placement.Order) bool {
			return order.Load && order.Item.Model == model(5)
		}), qt.IsTrue)
		s.drainOlder()
		s.Assert(s.awaitNewer(1, model(5), slowLoad/2), qt.IsTrue)
	})
}

// TestEngineThatCameBackWithAnotherVersionGetsNoOrdersAtOnce guards against a model that is
// loaded on an engine while other nodes still list the run of another version that was there
// before, under the same id: they would begin streams there as ones of that version.
func TestEngineThatCameBackWithAnotherVersionGetsNoOrdersAtOnce(t *testing.T) {
	withCluster(t, 1, func(s *cluster) {
		_, found := s.awaitReplicaAt(0, "", model(1), 3*time.Second)
		s.Assert(found, qt.IsTrue)
		comeBack := func(boot fleet.BootID, software fleet.SoftwareVersion) (loadedAfter time.Duration) {
			s.changeServers(func(server *roster.Server) {
				server.Boot, server.Software = boot, software
				server.Engine = &roster.Engine{}
			})
			began := time.Now()
			_, found := s.awaitReplicaAt(0, software, model(1), 10*time.Second)
			s.Assert(found, qt.IsTrue)
			return time.Since(began)
		}
		s.Check(comeBack("again", "") < 4*time.Second, qt.IsTrue)
		s.Check(comeBack("other version", newer) >= 5*time.Second, qt.IsTrue)
	})
}
