package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/vmlist"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// backendDirectory lists and probes engines and plain services for the dispatcher.
type backendDirectory struct{ *Server }

var (
	_ dispatch.Directory = backendDirectory{}
	_ dispatch.Prober    = backendDirectory{}
)

// Replicas implements [dispatch.Directory].
func (b backendDirectory) Replicas(item fleet.Item, pool fleet.PoolID) []dispatch.Replica {
	if item.Model == "" {
		return b.services(pool)
	}
	slots := 1
	if deployment := b.Snapshot().Deployments[item.Model]; deployment != nil {
		slots = deployment.Concurrency
	}
	known := b.Directory.Replicas(item)
	replicas := make([]dispatch.Replica, len(known))
	for at := range known {
		from := &known[at]
		replicas[at] = dispatch.Replica{
			Server: from.Server, Boot: from.Boot, Address: from.Address, Place: from.Place, Item: from.Item,
			Ready: from.State == engine.Ready, Draining: from.Draining,
			Slots: slots, Group: string(from.Item.Model),
			Running: from.Running, Queued: from.Queued, AsOf: from.AsOf, ReadySince: from.ReadySince,
		}
	}
	return replicas
}

func (b backendDirectory) services(pool fleet.PoolID) []dispatch.Replica {
	vms := b.Services(pool)
	replicas := make([]dispatch.Replica, len(vms))
	for at := range vms {
		replicas[at] = dispatch.Replica{
			Server: vms[at].ID, Address: vms[at].Address, Place: vms[at].Place,
			Ready: true, Draining: vms[at].State == vmlist.Leaving, Slots: serviceConcurrency, FixedSlots: true,
		}
	}
	return replicas
}

// client returns a client for an engine that opens a new connection for each call.
func (b backendDirectory) client(replica dispatch.Replica) *engine.Client {
	return &engine.Client{Address: replica.Address, HTTP: &http.Client{Transport: b.transports.fresh}}
}

// Alive implements [dispatch.Prober].
func (b backendDirectory) Alive(ctx context.Context, replica dispatch.Replica) bool {
	if replica.Item.Model == "" {
		return b.acceptsConnections(ctx, replica)
	}
	return b.client(replica).Ping(ctx) == nil
}

// Crashed implements [dispatch.Prober]: it reports whether the server no longer
// answers or reports another boot id, which means that it has restarted.
func (b backendDirectory) Crashed(ctx context.Context, replica dispatch.Replica) bool {
	if replica.Item.Model == "" {
		return !b.acceptsConnections(ctx, replica)
	}
	report, err := b.client(replica).Report(ctx)
	if err != nil {
		return true
	}
	return replica.Boot != "" && report.Boot != replica.Boot
}

// acceptsConnections reports whether a plain service acceptsConnections connections.
func (b backendDirectory) acceptsConnections(ctx context.Context, replica dispatch.Replica) bool {
	connection, err := b.transports.fresh.DialContext(ctx, "tcp", replica.Address)
	if err != nil {
		return false
	}
	_ = connection.Close()
	return true
}

// loaderAdapter adapts a [Loader] to the dispatcher.
type loaderAdapter struct {
	loader   Loader
	observer Observer
}

var (
	_ dispatch.Loader   = loaderAdapter{}
	_ dispatch.Observer = loaderAdapter{}
)

// loader returns the Loader as a loader for the dispatcher; nil if there is none.
func (s *Server) loader() dispatch.Loader {
	if s.Loader == nil {
		return nil
	}
	observer, _ := s.Loader.(Observer)
	return loaderAdapter{loader: s.Loader, observer: observer}
}

// RequestLoad implements [dispatch.Loader].
func (l loaderAdapter) RequestLoad(ctx context.Context, want dispatch.Demand) (dispatch.Estimate, error) {
	return l.loader.RequestLoad(ctx, want.Item, want.Deadline)
}

// Arrived implements [dispatch.Observer].
func (l loaderAdapter) Arrived(item fleet.Item, _ fleet.PoolID, at time.Time) {
	if l.observer != nil {
		l.observer.Arrived(item, at)
	}
}

// Finished implements [dispatch.Observer].
func (l loaderAdapter) Finished(item fleet.Item, _ fleet.PoolID, at time.Time) {
	if l.observer != nil {
		l.observer.Finished(item, at)
	}
}
