package roster

import (
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Manifest is the configuration that the operator has deployed. A newer version
// replaces an older one as a whole. It is immutable once it has been read.
type Manifest struct {
	Version uint64 `json:"version,omitempty"`
	// Hosts lists the routes of each host name.
	Hosts  map[string][]*Route    `json:"hosts,omitempty"`
	Pools  map[fleet.PoolID]*Pool `json:"pools,omitempty"`
	Limits Limits                 `json:"limits,omitempty"`
	// Organisations is empty if callers need no key. Keys maps the keys of callers to
	// them; keys must not be logged.
	Organisations map[fleet.OrganisationID]*Organisation `json:"organisations,omitempty"`
	Keys          map[string]fleet.OrganisationID        `json:"keys,omitempty"`
	// AnonymousClasses are the classes of callers without a key on public routes, see
	// [Organisation.Classes].
	AnonymousClasses map[int]int `json:"anonymousClasses,omitempty"`
}

// ManifestFormat is the format in which this build passes a manifest on to other nodes. A
// build drops the fields that it does not know: before format 1 all about organisations, so
// that a node that took such a manifest would serve callers without a key.
const ManifestFormat = 1

// errOlderFormat reports entries that an older build has passed on.
var errOlderFormat = errors.New("passed on by an older build, without the fields that it does not know")

// complete reports whether no part of the manifest is nil. One that was sent by another
// node may have such parts.
func (m *Manifest) complete() bool {
	if m == nil {
		return false
	}
	for _, routes := range m.Hosts {
		if slices.Contains(routes, nil) {
			return false
		}
	}
	for _, pool := range m.Pools {
		if pool == nil || !pool.Engine.complete() {
			return false
		}
	}
	for _, organisation := range m.Organisations {
		if organisation == nil {
			return false
		}
	}
	return true
}

// ResumableRoutes returns the routes whose streams may be continued. The manifest may be nil.
func (m *Manifest) ResumableRoutes() (routes []*Route) {
	if m == nil {
		return nil
	}
	for _, hosted := range m.Hosts {
		for _, route := range hosted {
			if route.Kind == Stream && route.Resumable {
				routes = append(routes, route)
			}
		}
	}
	return routes
}

// complete reports whether no model is nil. There may be no description of engines.
func (e *EngineSpec) complete() bool {
	if e == nil {
		return true
	}
	for _, model := range e.Models {
		if model == nil {
			return false
		}
	}
	return true
}

// Kind says how requests of a route are answered and whether they may be repeated.
type Kind int

// Kinds of requests.
const (
	// AtMostOnce is a request that may be executed at most once.
	AtMostOnce Kind = iota
	// Idempotent is a request that may be executed more than once.
	Idempotent
	// Stream is a request whose response is a stream of events.
	Stream
)

// Route says how requests under a path prefix of a host are served.
type Route struct {
	Name   string `json:"name,omitempty"`
	Host   string `json:"host,omitempty"`
	Prefix string `json:"prefix,omitempty"`
	Kind   Kind   `json:"kind,omitempty"`
	// Timeout is the maximum time to a response.
	Timeout time.Duration `json:"timeout,omitempty"`
	// Objective is the target for the time to the first byte, within which a
	// response is worth most.
	Objective time.Duration `json:"objective,omitempty"`
	// MaxEventGap is the maximum time between two events of a stream that counts as
	// on time.
	MaxEventGap time.Duration `json:"pause,omitempty"`
	// Rank is the urgency of the requests; 0 is the most urgent.
	Rank int `json:"rank,omitempty"`
	// Targets are the pools that serve the route, with their weights.
	Targets []Target `json:"targets,omitempty"`
	// MaxAttempts is the maximum number of servers to which one request is sent.
	MaxAttempts int `json:"maxAttempts,omitempty"`
	// Resumable reports whether another server may continue an interrupted stream.
	Resumable bool `json:"resumable,omitempty"`
	// Public reports whether its callers need no key although there are organisations.
	Public bool `json:"public,omitempty"`
}

// Target is a pool that serves a route. Pools are chosen in proportion to their
// weights.
type Target struct {
	Pool   fleet.PoolID `json:"pool,omitempty"`
	Weight float64      `json:"weight,omitempty"`
}

// Pool is a set of backend servers of one kind.
type Pool struct {
	ID fleet.PoolID `json:"id,omitempty"`
	// HealthPath is the path of a server's health check.
	HealthPath string `json:"healthPath,omitempty"`
	// MaxConnections is the maximum number of connections that a server accepts
	// from all nodes together; 0 if unknown.
	MaxConnections int `json:"maxConnections,omitempty"`
	// Engine describes the engines of the pool; nil for plain services.
	Engine *EngineSpec `json:"engine,omitempty"`
}

// EngineSpec describes the engines of a pool.
type EngineSpec struct {
	Slots int `json:"slots,omitempty"`
	// CacheTokens is the size of the key-value cache.
	CacheTokens int `json:"cacheTokens,omitempty"`
	// Memory is the amount that weights and adapters may occupy together.
	Memory       fleet.Bytes `json:"memory,omitempty"`
	AdapterSlots int         `json:"adapterSlots,omitempty"`
	// Disk is the capacity for copies of weights on the VM's disk, HostMemory that
	// in the VM's memory; 0 if unknown.
	Disk       fleet.Bytes `json:"disk,omitempty"`
	HostMemory fleet.Bytes `json:"hostMemory,omitempty"`
	// LoadsPerSecond is the maximum rate at which loads from the weight store may
	// start, across all engines.
	LoadsPerSecond float64                  `json:"loadsPerSecond,omitempty"`
	Models         map[fleet.ModelID]*Model `json:"models,omitempty"`
}

// Model is a model that the engines of a pool may hold.
type Model struct {
	Size fleet.Bytes `json:"size,omitempty"`
	// Adapters is the number of adapters, AdapterSize the size of each.
	Adapters    int         `json:"adapters,omitempty"`
	AdapterSize fleet.Bytes `json:"adapterSize,omitempty"`
	// FromStore, FromDisk and FromMemory are the load times by the place of the
	// weights: in the weight store, on the VM's disk or in the VM's memory.
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

// Match returns the route of the host with the longest prefix that matches the
// path; nil if there is none.
func (m *Manifest) Match(host, path string) *Route {
	var longest *Route
	for _, route := range m.Hosts[host] {
		if strings.HasPrefix(path, route.Prefix) && (longest == nil || len(route.Prefix) > len(longest.Prefix)) {
			longest = route
		}
	}
	return longest
}

// PickPool returns the pool for a request, chosen by weight. random is a uniformly
// distributed number from 0 up to but excluding 1.
func (r *Route) PickPool(random float64) fleet.PoolID {
	total := 0.0
	for _, target := range r.Targets {
		total += target.Weight
	}
	remaining := random * total
	for _, target := range r.Targets {
		if remaining -= target.Weight; remaining < 0 {
			return target.Pool
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Pool
}
