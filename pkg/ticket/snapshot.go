package ticket

import "github.com/guavatrack/guavatrack/pkg/fleet"

// Snapshot is the configuration in force on a node: the newest accepted state
// of each object that has not been deleted. A snapshot and the objects that it
// points to are not modified after it has been returned.
type Snapshot struct {
	Pools       map[fleet.PoolID]*Pool
	Deployments map[fleet.ModelID]*Deployment
	Services    map[fleet.ServiceID]*Service
}

// Serves reports whether the item may be served: its model has a deployment,
// which lists the adapter if the item has one.
func (s *Snapshot) Serves(item fleet.Item) bool {
	deployment, found := s.Deployments[item.Model]
	if !found || !item.IsAdapter() {
		return found
	}
	_, found = deployment.Adapters[item.Adapter]
	return found
}

// Size returns the accelerator memory of one replica of the item, or 0 if the
// item may not be served. For an adapter it excludes the base model.
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
