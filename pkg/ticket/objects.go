package ticket

import "github.com/guavatrack/guavatrack/pkg/fleet"

// PoolKind is the kind of backend server in a pool.
type PoolKind string

// Kinds of pool.
const (
	EnginePool  PoolKind = "engine"
	ServicePool PoolKind = "service"
)

// Pool describes the backend servers that the VM list shows under its name.
type Pool struct {
	Kind PoolKind `json:"kind"`
	// ChecksFencing reports whether the servers refuse orders with an old fencing
	// number. It must not be set for a pool in which any server ignores them.
	ChecksFencing bool `json:"checksFencing"`
}

// Class is the urgency of a request.
type Class string

// Classes, most urgent first.
const (
	// Interactive is for requests whose answer a person is waiting for.
	Interactive Class = "interactive"
	// Diagnosis is for requests that may take longer but block other work.
	Diagnosis Class = "diagnosis"
	// Batch is for requests that may wait until morning but must not be lost.
	Batch Class = "batch"
)

// Prices weighs the two costs that are traded off in placing items and in keeping
// idle ones loaded.
type Prices struct {
	// ColdStartSecond is the price of one second that a request waits for a
	// load.
	ColdStartSecond float64 `json:"coldStartSecond"`
	// AcceleratorHour is the price of holding an idle item on one accelerator for
	// one hour.
	AcceleratorHour float64 `json:"acceleratorHour"`
}

// Replicas bounds the number of replicas of an item over the whole fleet. Min is
// the lower bound.
type Replicas struct {
	Min int `json:"min"`
	// Max is the configured upper bound, exceeded only by Surge. It counts loaded
	// replicas and those that are being loaded, being unloaded, or whose end has
	// not been confirmed yet.
	Max int `json:"max"`
	// Surge is the number of replicas allowed beyond Max during the roll-out of a
	// new version.
	Surge int `json:"surge,omitempty"`
}

// Adapter is a small set of weights that is loaded on top of its base model.
// Size is its accelerator memory.
type Adapter struct {
	Size fleet.Bytes `json:"size"`
}

// Deployment defines how a model and its adapters may be served.
type Deployment struct {
	Pool    fleet.PoolID  `json:"pool"`
	Version fleet.Version `json:"version"`
	// Size is the accelerator memory of one replica, key-value cache included.
	Size fleet.Bytes `json:"size"`
	// Accelerators is the number of accelerators that one replica occupies.
	Accelerators int `json:"accelerators"`
	// Regions lists the regions that may hold replicas. Empty means all regions.
	Regions  []fleet.Region              `json:"regions,omitempty"`
	Replicas Replicas                    `json:"replicas"`
	Class    Class                       `json:"class"`
	Prices   Prices                      `json:"prices"`
	Adapters map[fleet.AdapterID]Adapter `json:"adapters,omitempty"`
	// Timeout is the time limit of a request that sets no deadline.
	Timeout fleet.Duration `json:"timeout"`
	// Concurrency is the number of requests that one replica runs at once.
	Concurrency int `json:"concurrency"`
}

// Route is a group of calls of a plain service, by method and path prefix. Timeout
// is the time limit of a call.
type Route struct {
	// Method is an HTTP method.
	Method string `json:"method"`
	// Path is matched as a prefix of the path that follows the service's prefix.
	Path string `json:"path"`
	// Idempotent reports whether a call may run more than once.
	Idempotent bool           `json:"idempotent"`
	Timeout    fleet.Duration `json:"timeout"`
}

// Service routes a path prefix to a pool of plain services. A call that no
// route matches is treated as not idempotent.
type Service struct {
	// Prefix is a path such as "/stock/".
	Prefix string       `json:"prefix"`
	Pool   fleet.PoolID `json:"pool"`
	Routes []Route      `json:"routes"`
}
