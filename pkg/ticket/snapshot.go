package ticket

import "github.com/guavatrack/guavatrack/pkg/fleet"

// Snapshot is the configuration in force on a node: the newest accepted state
// of each object that has not been deleted. A snapshot and what it points to
// are never changed after they have been handed out.
type Snapshot struct {
	Pools       map[fleet.PoolID]*Pool
	Deployments map[fleet.ModelID]*Deployment
	Services    map[fleet.ServiceID]*Service
}

// Serves reports whether the item may be served.
func (s *Snapshot) Serves(item fleet.Item) bool {
	deployment, found := s.Deployments[item.Model]
	if !found || !item.IsAdapter() {
		return found
	}
	_, found = deployment.Adapters[item.Adapter]
	return found
}

// Size returns the accelerator memory of one replica of the item; 0 if it may
// not be served.
func (s *Snapshot) Size(item fleet.Item) fleet.Bytes {
	deployment, found := s.Deployments[item.Model]
	switch {
	case !found:
		return 0
	case item.IsAdapter():
		return deployment.Adapters[item.Adapter].Size
	default:
		return deployment.Size
	}
}
