package roster

import (
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Server is one run of a backend server, as it describes itself.
type Server struct {
	ID fleet.ServerID `json:"id,omitempty"`
	// Boot differs between two runs under the same ID.
	Boot fleet.BootID `json:"boot,omitempty"`
	Pool fleet.PoolID `json:"pool,omitempty"`
	// Address is the host and port of the server.
	Address string `json:"address,omitempty"`
	fleet.Place
	// Slots is the number of requests that run at once.
	Slots int `json:"slots,omitempty"`
	// Draining says that the server is leaving and gets no new requests.
	Draining bool `json:"draining,omitempty"`
	// GoneIn is how long after the entry the server ends; 0 if unknown.
	GoneIn time.Duration `json:"goneIn,omitempty"`
	// Engine is what an engine holds; nil for plain services.
	Engine *Engine `json:"engine,omitempty"`
}

// Engine is what an engine holds and where it has copies of weights.
type Engine struct {
	// Busy says that an order is being carried out.
	Busy bool   `json:"busy,omitempty"`
	Held []Held `json:"held,omitempty"`
	// InMemory and OnDisk list the models of which the VM has copies, the least
	// recently used first.
	InMemory []fleet.ModelID `json:"inMemory,omitempty"`
	OnDisk   []fleet.ModelID `json:"onDisk,omitempty"`
}

// Held is a model in accelerator memory.
type Held struct {
	Model    fleet.ModelID     `json:"model,omitempty"`
	Version  uint64            `json:"version,omitempty"`
	Adapters []fleet.AdapterID `json:"adapters,omitempty"`
}
