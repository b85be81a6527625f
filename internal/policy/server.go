package policy

import (
	"slices"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// ServerGrant is a grant on a server with the last state that the engine
// reported.
type ServerGrant struct {
	Grant fleet.GrantID
	Item  fleet.Item
	Size  fleet.Bytes
	// State is empty until the engine has reported the item.
	State    engine.ItemState
	Progress float64
	Running  int
	Queued   int
	// Draining is set if the item is to be unloaded. Its memory stays reserved.
	Draining bool
}

// HasRequests reports whether the replica has running or queued requests.
func (h ServerGrant) HasRequests() bool { return h.Running > 0 || h.Queued > 0 }

// Server is the state of one engine on which placement is based.
type Server struct {
	ID   fleet.ServerID
	Pool fleet.PoolID
	fleet.Place
	Memory       fleet.Bytes
	Accelerators int
	// Reserved is the memory of all grants, in any state.
	Reserved    fleet.Bytes
	Grants      []ServerGrant
	Checkpoints map[string]engine.CacheTier
	// Leaving is set if the VM is to be reclaimed.
	Leaving bool
	// ReportStale is set if the last report is too old to load anything on the
	// server.
	ReportStale bool
}

// Free returns the memory that is not reserved by a grant.
func (s *Server) Free() fleet.Bytes { return s.Memory - s.Reserved }

// grantOf returns the grant of an item on the server that is not draining, and
// whether there is one.
func (s *Server) grantOf(item fleet.Item) (ServerGrant, bool) {
	i := slices.IndexFunc(s.Grants, func(h ServerGrant) bool { return h.Item == item && !h.Draining })
	if i < 0 {
		return ServerGrant{}, false
	}
	return s.Grants[i], true
}

// cloneServers copies servers, so that a plan can reserve memory in its copy.
func cloneServers(servers []Server) []Server {
	copies := slices.Clone(servers)
	for i := range copies {
		copies[i].Grants = slices.Clone(copies[i].Grants)
	}
	return copies
}
