package roster

import (
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Server is one run of a backend server, as it describes itself.
type Server struct {
	ID fleet.ServerID
	// Boot differs between two runs under the same ID.
	Boot fleet.BootID
	Pool fleet.PoolID
	// Address is the host and port of the server.
	Address string
	fleet.Place
	// Slots is the number of requests that run at once.
	Slots int
	// Draining says that the server is leaving and gets no new requests.
	Draining bool
	// GoneIn is how long after the entry the server ends; 0 if unknown.
	GoneIn time.Duration
	// Engine is what an engine holds; nil for plain services.
	Engine *Engine
}

// Engine is what an engine holds and where it has copies of weights.
type Engine struct {
	// Busy says that an order is being carried out.
	Busy bool
	Held []Held
	// InMemory and OnDisk list the models of which the VM has copies, the least
	// recently used first.
	InMemory, OnDisk []fleet.ModelID
}

// Held is a model in accelerator memory.
type Held struct {
	Model    fleet.ModelID
	Version  uint64
	Adapters []fleet.AdapterID
}
