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
	// ChecksFencing says that the servers refuse orders with an old fencing
	// number. It must not be set for a pool in which any server ignores them.
	ChecksFencing bool `json:"checksFencing"`
}

// Class orders requests of different urgency.
type Class string

// Classes, most urgent first.
const (
	// Interactive is for a person who waits at the other end.
	Interactive Class = "interactive"
	// Diagnosis is for answers that may take longer but hold up work.
	Diagnosis Class = "diagnosis"
	// Batch is for answers that may wait until morning but must not vanish.
	Batch Class = "batch"
)

// Prices weigh the two costs that placement and idling trade off.
type Prices struct {
	// ColdStartSecond is the price of one second that a request waits for a
	// load.
	ColdStartSecond float64 `json:"coldStartSecond"`
	// AcceleratorHour is the price of one accelerator that holds an idle item
	// for an hour.
	AcceleratorHour float64 `json:"acceleratorHour"`
}

// Replicas bounds the replicas of an item over the whole fleet.
type Replicas struct {
	Min int `json:"min"`
	// Max is the decided number. No more than Max are ever loaded, counting
	// those that are being loaded, unloaded or whose end has no proof yet.
	Max int `json:"max"`
	// Surge allows that many further replicas while a new version is rolled
	// out.
	Surge int `json:"surge,omitempty"`
}

// Adapter is a small set of weights that is loaded on top of its base model.
type Adapter struct {
	Size fleet.Bytes `json:"size"`
}

// Deployment says how a model and its adapters may be served.
type Deployment struct {
	Pool    fleet.PoolID  `json:"pool"`
	Version fleet.Version `json:"version"`
	// Size is the accelerator memory of one replica, key-value cache included.
	Size fleet.Bytes `json:"size"`
	// Accelerators is the number of accelerators that one replica occupies.
	Accelerators int `json:"accelerators"`
	// Regions lists where replicas may stand. Empty means everywhere.
	Regions  []fleet.Region              `json:"regions,omitempty"`
	Replicas Replicas                    `json:"replicas"`
	Class    Class                       `json:"class"`
	Prices   Prices                      `json:"prices"`
	Adapters map[fleet.AdapterID]Adapter `json:"adapters,omitempty"`
	// Timeout is the deadline of a request that brings none of its own.
	Timeout fleet.Duration `json:"timeout"`
	// Concurrency is the number of requests that one replica runs at once.
	Concurrency int `json:"concurrency"`
}

// Route is one group of calls of a plain service.
type Route struct {
	// Method is an HTTP method.
	Method string `json:"method"`
	// Path is matched as a prefix of the path behind the service's own prefix.
	Path string `json:"path"`
	// Idempotent says that a call may run more than once.
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
