package roster

import (
	"strings"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Manifest is what the operator has deployed. A newer version replaces an older
// one whole. It is not changed after it was read.
type Manifest struct {
	Version uint64 `json:"version,omitempty"`
	// Hosts lists the routes of each host name.
	Hosts  map[string][]*Route    `json:"hosts,omitempty"`
	Pools  map[fleet.PoolID]*Pool `json:"pools,omitempty"`
	Limits Limits                 `json:"limits,omitempty"`
}

// Kind says how requests of a route are answered and what may be repeated.
type Kind int

// Kinds of requests.
const (
	// Once is a request that may run at most once.
	Once Kind = iota
	// Repeatable is a request that may run more than once.
	Repeatable
	// Stream is a request whose answer is a stream of events.
	Stream
)

// Route says how requests under a path prefix of a host are served.
type Route struct {
	Name   string `json:"name,omitempty"`
	Host   string `json:"host,omitempty"`
	Prefix string `json:"prefix,omitempty"`
	Kind   Kind   `json:"kind,omitempty"`
	// Timeout is the longest time to an answer.
	Timeout time.Duration `json:"timeout,omitempty"`
	// Objective is the time to the first byte within which an answer is worth
	// most.
	Objective time.Duration `json:"objective,omitempty"`
	// Pause is the longest time between two events of a stream that is still in
	// time.
	Pause time.Duration `json:"pause,omitempty"`
	// Rank is the urgency, the most urgent being 0.
	Rank int `json:"rank,omitempty"`
	// Targets are the pools that serve the route, by weight.
	Targets []Target `json:"targets,omitempty"`
	// MaxAttempts is the largest number of servers for one request.
	MaxAttempts int `json:"maxAttempts,omitempty"`
	// Resumable says that a stream that broke off may go on at another server.
	Resumable bool `json:"resumable,omitempty"`
}

// Target is one pool of a route.
type Target struct {
	Pool   fleet.PoolID `json:"pool,omitempty"`
	Weight float64      `json:"weight,omitempty"`
}

// Pool is a set of backend servers of one kind.
type Pool struct {
	ID fleet.PoolID `json:"id,omitempty"`
	// HealthPath answers whether a server is well.
	HealthPath string `json:"healthPath,omitempty"`
	// MaxConnections is the number of connections that a server accepts from
	// all nodes together; 0 if unknown.
	MaxConnections int `json:"maxConnections,omitempty"`
	// Engine describes the engines of the pool; nil for plain services.
	Engine *EngineSpec `json:"engine,omitempty"`
}

// EngineSpec describes the engines of a pool.
type EngineSpec struct {
	Slots int `json:"slots,omitempty"`
	// CacheTokens is the size of the key-value cache.
	CacheTokens int `json:"cacheTokens,omitempty"`
	// Memory is what weights and adapters may take together.
	Memory       fleet.Bytes `json:"memory,omitempty"`
	AdapterSlots int         `json:"adapterSlots,omitempty"`
	// Disk is the room for copies of weights on the VM's disk, HostMemory that
	// in its memory; 0 if unknown.
	Disk       fleet.Bytes `json:"disk,omitempty"`
	HostMemory fleet.Bytes `json:"hostMemory,omitempty"`
	// LoadsPerSecond is the rate at which loads from the weight store may begin
	// over all engines.
	LoadsPerSecond float64                  `json:"loadsPerSecond,omitempty"`
	Models         map[fleet.ModelID]*Model `json:"models,omitempty"`
}

// Model is a model that the engines of a pool may hold.
type Model struct {
	Size fleet.Bytes `json:"size,omitempty"`
	// Adapters is the number of adapters, AdapterSize the size of each.
	Adapters    int         `json:"adapters,omitempty"`
	AdapterSize fleet.Bytes `json:"adapterSize,omitempty"`
	// FromStore, FromDisk and FromMemory are the times of a load by where its
	// weights are: in the weight store, on the VM's disk or in its memory.
	FromStore  time.Duration `json:"fromStore,omitempty"`
	FromDisk   time.Duration `json:"fromDisk,omitempty"`
	FromMemory time.Duration `json:"fromMemory,omitempty"`
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int           `json:"headerBytes,omitempty"`
	BodyBytes     int64         `json:"bodyBytes,omitempty"`
	HeaderTimeout time.Duration `json:"headerTimeout,omitempty"`
	IdleTimeout   time.Duration `json:"idleTimeout,omitempty"`
}

// Match returns the route with the longest prefix of the path; nil if the host
// has none.
func (m *Manifest) Match(host, path string) *Route {
	var longest *Route
	for _, route := range m.Hosts[host] {
		if strings.HasPrefix(path, route.Prefix) && (longest == nil || len(route.Prefix) > len(longest.Prefix)) {
			longest = route
		}
	}
	return longest
}

// Target returns the pool for a request, by a random number from 0 up to 1.
func (r *Route) Target(random float64) fleet.PoolID {
	total := 0.0
	for _, target := range r.Targets {
		total += target.Weight
	}
	left := random * total
	for _, target := range r.Targets {
		if left -= target.Weight; left < 0 {
			return target.Pool
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Pool
}
