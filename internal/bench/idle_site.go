package bench

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/guavatrack/guavatrack/internal/policy"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/internal/trace"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// idlePool is the pool of the engines in a replay.
const idlePool = fleet.PoolID("engines")

// Sizes of what a replay loads and where.
const (
	adapterSize  = 128 * fleet.MiB
	modelStartup = 3 * time.Second
	serviceTime  = 4 * time.Second // of one request on a replica
)

// modelSizes are the sizes of base models, dealt by the hash of the name.
var modelSizes = []fleet.Bytes{8 * fleet.GiB, 14 * fleet.GiB, 16 * fleet.GiB, 24 * fleet.GiB, 40 * fleet.GiB}

// idleSite is one user's deployment in a replay.
type idleSite struct {
	prices  ticket.Prices
	engines int
	memory  fleet.Bytes // of one engine
	trace   trace.Config
}

// wreathSite weighs the wait for a cold start more, pedalSite the idle
// accelerators: at night it does not work.
func wreathSite() idleSite {
	return idleSite{
		prices:  standin.Wreaths().Models[0].Prices,
		engines: 20, memory: 80 * fleet.GiB,
		trace: trace.Config{Models: 100, Adapters: 95, Night: 0.2, Weekend: 0.8},
	}
}

func pedalSite() idleSite {
	return idleSite{
		prices:  standin.Pedals().Models[0].Prices,
		engines: 20, memory: 80 * fleet.GiB,
		trace: trace.Config{Models: 100, Adapters: 115, Night: 0.05, Weekend: 0.1},
	}
}

// enlarge gives a site the size of the fleet in two years.
func (s idleSite) enlarge() idleSite {
	s.engines, s.memory = 2900, 160*fleet.GiB
	s.trace.Models, s.trace.Adapters = 1500, 4400
	return s
}

// servers returns the engines of the site: a third in each failure domain, two
// of which are in the region of the weight store.
func (s idleSite) servers() []policy.Server {
	places := []fleet.Place{
		{Region: "west", FailureDomain: "west-1"},
		{Region: "west", FailureDomain: "west-2"},
		{Region: "south", FailureDomain: "south-1"},
	}
	servers := make([]policy.Server, s.engines)
	for i := range servers {
		servers[i] = policy.Server{
			ID: fleet.ServerID(fmt.Sprintf("engine-%04d", i)), Pool: idlePool, Place: places[i%len(places)],
			Memory: s.memory, Checkpoints: make(map[string]cacheTier),
		}
	}
	return servers
}

// snapshot configures every item of a trace.
func (s idleSite) snapshot(arrivals []trace.Arrival) *ticket.Snapshot {
	snapshot := &ticket.Snapshot{Deployments: make(map[fleet.ModelID]*ticket.Deployment)}
	for _, arrival := range arrivals {
		item := arrival.Item
		deployment := snapshot.Deployments[item.Model]
		if deployment == nil {
			hash := xxhash.Sum64String(string(item.Model))
			deployment = &ticket.Deployment{
				Pool: idlePool, Size: modelSizes[hash%uint64(len(modelSizes))], Accelerators: 1,
				Replicas: ticket.Replicas{Max: 1}, Prices: s.prices,
				Adapters: make(map[fleet.AdapterID]ticket.Adapter),
			}
			snapshot.Deployments[item.Model] = deployment
		}
		if item.IsAdapter() {
			deployment.Adapters[item.Adapter] = ticket.Adapter{Size: adapterSize}
		}
	}
	return snapshot
}

// store returns the weight store of the site.
func (s idleSite) store() policy.WeightStore {
	given := standin.DefaultStore()
	return policy.WeightStore{
		Region: "west", Concurrency: given.FullSpeed, LoadsPerSecond: given.LoadsPerSecond,
		BytesPerSecond: given.Rate, Startup: modelStartup,
	}
}
