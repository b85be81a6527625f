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

// backends shows engines and plain services to the dispatcher.
type backends struct{ *Server }

var (
	_ dispatch.Directory = backends{}
	_ dispatch.Prober    = backends{}
)

// Replicas implements [dispatch.Directory].
func (b backends) Replicas(item fleet.Item, pool fleet.PoolID) []dispatch.Replica {
	if item.Model == "" {
		return b.services(pool)
	}
	slots := 1
	if deployment := b.Snapshot().Deployments[item.Model]; deployment != nil {
		slots = deployment.Concurrency
	}
	held := b.Directory.Replicas(item)
	replicas := make([]dispatch.Replica, len(held))
	for at := range held {
		from := &held[at]
		replicas[at] = dispatch.Replica{
			Server: from.Server, Boot: from.Boot, Address: from.Address, Place: from.Place, Item: from.Item,
			Ready: from.State == engine.Ready, Draining: from.Draining,
			Slots: slots, Group: string(from.Item.Model),
			Running: from.Running, Queued: from.Queued, AsOf: from.AsOf, ReadySince: from.ReadySince,
		}
	}
	return replicas
}

func (b backends) services(pool fleet.PoolID) []dispatch.Replica {
	vms := b.Services(pool)
	replicas := make([]dispatch.Replica, len(vms))
	for at := range vms {
		replicas[at] = dispatch.Replica{
			Server: vms[at].ID, Address: vms[at].Address, Place: vms[at].Place,
			Ready: true, Draining: vms[at].State == vmlist.Leaving, Slots: serviceLimit, FixedSlots: true,
		}
	}
	return replicas
}

// client returns a client of an engine that opens a connection for each call.
func (b backends) client(replica dispatch.Replica) *engine.Client {
	return &engine.Client{Address: replica.Address, HTTP: &http.Client{Transport: b.transports.fresh}}
}

// Alive implements [dispatch.Prober].
func (b backends) Alive(ctx context.Context, replica dispatch.Replica) bool {
	if replica.Item.Model == "" {
		return b.accepts(ctx, replica)
	}
	return b.client(replica).Ping(ctx) == nil
}

// Crashed implements [dispatch.Prober]: the server does not answer any more or
// says that it has been restarted.
func (b backends) Crashed(ctx context.Context, replica dispatch.Replica) bool {
	if replica.Item.Model == "" {
		return !b.accepts(ctx, replica)
	}
	report, err := b.client(replica).Report(ctx)
	if err != nil {
		return true
	}
	return replica.Boot != "" && report.Boot != replica.Boot
}

// accepts reports whether a plain service accepts connections.
func (b backends) accepts(ctx context.Context, replica dispatch.Replica) bool {
	connection, err := b.transports.fresh.DialContext(ctx, "tcp", replica.Address)
	if err != nil {
		return false
	}
	_ = connection.Close()
	return true
}

// loader shows a [Waker] to the dispatcher.
type loader struct {
	waker    Waker
	observer Observer
}

var (
	_ dispatch.Loader   = loader{}
	_ dispatch.Observer = loader{}
)

// waker returns the dispatcher's view of the waker; nil if there is none.
func (s *Server) waker() dispatch.Loader {
	if s.Waker == nil {
		return nil
	}
	observer, _ := s.Waker.(Observer)
	return loader{waker: s.Waker, observer: observer}
}

// RequestLoad implements [dispatch.Loader].
func (l loader) RequestLoad(ctx context.Context, want dispatch.Demand) (dispatch.Estimate, error) {
	return l.waker.Wake(ctx, want.Item, want.Deadline)
}

// Arrived implements [dispatch.Observer].
func (l loader) Arrived(item fleet.Item, _ fleet.PoolID, at time.Time) {
	if l.observer != nil {
		l.observer.Arrived(item, at)
	}
}

// Finished implements [dispatch.Observer].
func (l loader) Finished(item fleet.Item, _ fleet.PoolID, at time.Time) {
	if l.observer != nil {
		l.observer.Finished(item, at)
	}
}
