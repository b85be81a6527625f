package roster

import (
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Server is one run of a backend server, as it has registered itself.
type Server struct {
	ID fleet.ServerID `json:"id,omitempty"`
	// Boot identifies the run: it differs between two runs under the same ID.
	Boot fleet.BootID `json:"boot,omitempty"`
	Pool fleet.PoolID `json:"pool,omitempty"`
	// Software is the version of the software of the run.
	Software fleet.SoftwareVersion `json:"software,omitempty"`
	// Address is the host and port of the server.
	Address string `json:"address,omitempty"`
	fleet.Place
	// Slots is the number of requests that the server runs concurrently.
	Slots int `json:"slots,omitempty"`
	// Draining reports that the server is shutting down and gets no new requests.
	Draining bool `json:"draining,omitempty"`
	// TerminatesIn is how long after its registration the server terminates; 0 if
	// unknown.
	TerminatesIn time.Duration `json:"goneIn,omitempty"`
	// Engine is the state of an engine; nil for plain services.
	Engine *Engine `json:"engine,omitempty"`
}

// asDraining returns a description of the server in which it is draining.
func (s *Server) asDraining() *Server {
	draining := *s
	draining.Draining = true
	return &draining
}

// Engine lists the models that an engine has loaded and the copies of weights on
// its VM.
type Engine struct {
	// Busy reports that the engine is executing an order.
	Busy         bool          `json:"busy,omitempty"`
	LoadedModels []LoadedModel `json:"held,omitempty"`
	// InMemory and OnDisk list the models of which the VM has copies, the least
	// recently used first.
	InMemory []fleet.ModelID `json:"inMemory,omitempty"`
	OnDisk   []fleet.ModelID `json:"onDisk,omitempty"`
}

// LoadedModel is a model that is loaded in accelerator memory, with its adapters.
type LoadedModel struct {
	Model    fleet.ModelID     `json:"model,omitempty"`
	Version  uint64            `json:"version,omitempty"`
	Adapters []fleet.AdapterID `json:"adapters,omitempty"`
}
