package policy

import (
	"slices"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Held is one grant on a server with what the engine last reported of it.
type Held struct {
	Grant fleet.GrantID
	Item  fleet.Item
	Size  fleet.Bytes
	// State is empty while the engine has not reported the item yet.
	State    engine.ItemState
	Progress float64
	Running  int
	Queued   int
	// Draining says that an unload is decided. The memory stays reserved.
	Draining bool
}

// Serves reports whether the replica runs requests or has some waiting.
func (h Held) Serves() bool { return h.Running > 0 || h.Queued > 0 }

// Server is what placement knows of one engine.
type Server struct {
	ID   fleet.ServerID
	Pool fleet.PoolID
	fleet.Place
	Memory       fleet.Bytes
	Accelerators int
	// Reserved is the memory that grants count for, in any state.
	Reserved    fleet.Bytes
	Held        []Held
	Checkpoints map[string]engine.CacheTier
	// Leaving says that the VM is to be reclaimed.
	Leaving bool
	// Silent says that the last report is too old to load anything here.
	Silent bool
}

// Free returns the memory without a grant.
func (s *Server) Free() fleet.Bytes { return s.Memory - s.Reserved }

// holds returns the grant of an item on the server.
func (s *Server) holds(item fleet.Item) (Held, bool) {
	i := slices.IndexFunc(s.Held, func(h Held) bool { return h.Item == item && !h.Draining })
	if i < 0 {
		return Held{}, false
	}
	return s.Held[i], true
}

// cloneServers copies servers so that a plan can reserve memory in its copy.
func cloneServers(servers []Server) []Server {
	copies := slices.Clone(servers)
	for i := range copies {
		copies[i].Held = slices.Clone(copies[i].Held)
	}
	return copies
}
