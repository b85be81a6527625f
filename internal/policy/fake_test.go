package policy_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/policy"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// fakeGrants keeps servers in memory and completes loads after loadTime.
type fakeGrants struct {
	mu       sync.Mutex
	servers  []policy.Server
	loadTime time.Duration
	// loadError makes every load fail.
	loadError error
	loads     map[fleet.Item]int
	peak      int
	next      int
}

func newFakeGrants(loadTime time.Duration, servers ...policy.Server) *fakeGrants {
	return &fakeGrants{servers: servers, loadTime: loadTime, loads: make(map[fleet.Item]int)}
}

func (f *fakeGrants) Load(_ context.Context, item fleet.Item, id fleet.ServerID) (fleet.GrantID, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loadError != nil {
		return "", f.loadError
	}
	f.next++
	grant := fleet.GrantID(fmt.Sprint("g", f.next))
	f.loads[item]++
	for i := range f.servers {
		if f.servers[i].ID == id {
			f.servers[i].Reserved += testSize(item)
			f.servers[i].Grants = append(f.servers[i].Grants, policy.ServerGrant{
				Grant: grant, Item: item, Size: testSize(item), State: engine.Loading,
			})
		}
	}
	f.peak = max(f.peak, f.inFlight())
	time.AfterFunc(f.loadTime, func() { f.setReady(grant) })
	return grant, nil
}

func (f *fakeGrants) inFlight() int {
	count := 0
	for _, server := range f.servers {
		for _, held := range server.Grants {
			if held.State == engine.Loading {
				count++
			}
		}
	}
	return count
}

func (f *fakeGrants) setReady(grant fleet.GrantID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.servers {
		for j := range f.servers[i].Grants {
			if f.servers[i].Grants[j].Grant == grant {
				f.servers[i].Grants[j].State = engine.Ready
			}
		}
	}
}

func (f *fakeGrants) Unload(_ context.Context, grant fleet.GrantID) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.servers {
		server := &f.servers[i]
		for j, held := range server.Grants {
			if held.Grant == grant {
				server.Grants = append(append([]policy.ServerGrant(nil), server.Grants[:j]...), server.Grants[j+1:]...)
				server.Reserved -= held.Size
				return nil
			}
		}
	}
	return errors.New("no such grant")
}

func (f *fakeGrants) Servers() []policy.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	servers := make([]policy.Server, len(f.servers))
	for i, server := range f.servers {
		server.Grants = append([]policy.ServerGrant(nil), server.Grants...)
		servers[i] = server
	}
	return servers
}

func (f *fakeGrants) Replicas(item fleet.Item) (replicas []engine.Replica) {
	for _, server := range f.Servers() {
		for _, held := range server.Grants {
			if held.Item == item {
				replicas = append(replicas, engine.Replica{
					Item: item, Grant: held.Grant, Server: server.ID, State: held.State, Draining: held.Draining,
				})
			}
		}
	}
	return replicas
}

// removeServer removes a VM with all its grants.
func (f *fakeGrants) removeServer(id fleet.ServerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.servers {
		if f.servers[i].ID == id {
			f.servers = append(append([]policy.Server(nil), f.servers[:i]...), f.servers[i+1:]...)
			return
		}
	}
}

func (f *fakeGrants) loadCount(item fleet.Item) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loads[item]
}

func testSize(item fleet.Item) fleet.Bytes {
	if item.IsAdapter() {
		return 256 * fleet.MiB
	}
	return 16 * fleet.GiB
}

// testSnapshot returns a snapshot of count models "m0", "m1", … with an adapter
// "a" each.
func testSnapshot(count int) *ticket.Snapshot {
	snapshot := &ticket.Snapshot{Deployments: make(map[fleet.ModelID]*ticket.Deployment)}
	for i := range count {
		snapshot.Deployments[fleet.ModelID(fmt.Sprint("m", i))] = &ticket.Deployment{
			Pool: "pool", Size: testSize(fleet.Item{}), Accelerators: 1,
			Replicas: ticket.Replicas{Max: 1},
			Prices:   ticket.Prices{ColdStartSecond: 0.01, AcceleratorHour: 2},
			Adapters: map[fleet.AdapterID]ticket.Adapter{"a": {Size: 256 * fleet.MiB}},
		}
	}
	return snapshot
}

func testServer(id fleet.ServerID, memory fleet.Bytes) policy.Server {
	return policy.Server{
		ID: id, Pool: "pool", Memory: memory, Accelerators: 1,
		Place: fleet.Place{Region: "west", FailureDomain: "west-1"},
	}
}
