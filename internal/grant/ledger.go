package grant

import (
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Reasons why a grant can't be had, to be tested with errors.Is.
var (
	// ErrAtCap says that the item has as many replicas as were decided.
	ErrAtCap = errors.New("replicas at the decided number")
	// ErrNoMemory says that the server's memory is reserved by other grants.
	ErrNoMemory = errors.New("no memory on the server")
	// ErrHeld says that the server has a grant of the item.
	ErrHeld = errors.New("item is granted on the server")
	// ErrNoBase says that the server has no grant of an adapter's base model.
	ErrNoBase = errors.New("base model is not granted on the server")
	// ErrNotServed says that no deployment names the item.
	ErrNotServed = errors.New("item is not deployed")
	// ErrLeaving says that the server is leaving or not listed.
	ErrLeaving = errors.New("server is leaving or not listed")
	// ErrNoGrant says that there is no such grant.
	ErrNoGrant = errors.New("no such grant")
)

// maxOrders bounds the orders that are recorded under one grant.
const maxOrders = 8

// Request asks for the right to hold an item on a server.
type Request struct {
	// Order is the token of the transaction, and the new grant's id.
	Order   table.Token
	Item    fleet.Item
	Version fleet.Version
	Size    fleet.Bytes
	Sender  fleet.NodeID
	// Boot is the run of the server that the order is meant for.
	Boot fleet.BootID
	// Max is the decided number of replicas, Surge how many more there may be
	// while two versions are held.
	Max, Surge int
	// Standing asks for a standing grant.
	Standing bool
	// Foreign is the memory that the engine reports held without a grant.
	Foreign fleet.Bytes
	// SeenFencing is the highest fencing number that the engine reports.
	SeenFencing fleet.FencingNumber
}

func (r *Request) order(number fleet.FencingNumber) Order {
	return Order{ID: r.Order, Fencing: number, Boot: r.Boot, Sender: r.Sender}
}

// Add returns both records with a new grant. It changes neither argument.
func Add(server ServerRecord, item ItemRecord, r *Request) (ServerRecord, ItemRecord, error) {
	if err := checkServer(&server, r); err != nil {
		return server, item, err
	}
	if err := checkReplicas(&item, r); err != nil {
		return server, item, err
	}
	server = server.Clone()
	server.LastFencing = max(server.LastFencing, r.SeenFencing) + 1
	server.Grants = append(server.Grants, Grant{
		ID: fleet.GrantID(r.Order), Item: r.Item, Version: r.Version, Size: r.Size, State: Granted, Standing: r.Standing,
		Orders: []Order{r.order(server.LastFencing)},
	})
	item.Item = r.Item
	item.Grants = maps.Clone(item.Grants)
	if item.Grants == nil {
		item.Grants = make(map[fleet.GrantID]Holding)
	}
	item.Grants[fleet.GrantID(r.Order)] = Holding{Server: server.Server, Version: r.Version}
	return server, item, nil
}

func checkServer(server *ServerRecord, r *Request) error {
	if server.FindItem(r.Item) != nil {
		return ErrHeld
	}
	if r.Item.IsAdapter() {
		base := server.FindItem(r.Item.Base())
		if base == nil || base.State != Granted {
			return ErrNoBase
		}
	}
	if server.Reserved()+r.Foreign+r.Size > server.Memory {
		return ErrNoMemory
	}
	return nil
}

// checkReplicas counts every recorded grant, whatever its state.
func checkReplicas(item *ItemRecord, r *Request) error {
	same := 0
	for _, holding := range item.Grants {
		if holding.Version == r.Version {
			same++
		}
	}
	bound := r.Max
	if same < len(item.Grants) {
		bound += r.Surge
	}
	if same >= r.Max || len(item.Grants) >= bound {
		return ErrAtCap
	}
	return nil
}

// Renew returns both records with one more order under a grant whose earlier
// orders may still arrive. The number of the item's grants doesn't change: the
// grant counted before and counts now.
func Renew(server ServerRecord, item ItemRecord, id fleet.GrantID, r *Request) (ServerRecord, ItemRecord, error) {
	old := server.Find(id)
	if old == nil || old.Item != r.Item || len(old.Orders) >= maxOrders {
		return server, item, ErrNoGrant
	}
	if old.State != Draining {
		return server, item, ErrHeld
	}
	more := max(r.Size-old.Size, 0)
	if server.Reserved()+r.Foreign+more > server.Memory {
		return server, item, ErrNoMemory
	}
	others := ItemRecord{Item: item.Item, Grants: maps.Clone(item.Grants)}
	delete(others.Grants, id)
	if err := checkReplicas(&others, r); err != nil {
		return server, item, err
	}
	others.Grants[id] = Holding{Server: server.Server, Version: r.Version}
	server = server.Clone()
	server.LastFencing = max(server.LastFencing, r.SeenFencing) + 1
	g := server.Find(id)
	g.Version, g.Size, g.State, g.Fence = r.Version, old.Size+more, Granted, 0
	g.Orders = append(g.Orders, r.order(server.LastFencing))
	return server, others, nil
}

// Drain returns the record with the grant, and the adapters on it if it is a
// base model, wanted no more. What is known of closed orders is recorded too,
// so that it outlasts the node that knows it.
func Drain(server ServerRecord, id fleet.GrantID, closed func(Order) time.Time) (ServerRecord, error) {
	g := server.Find(id)
	if g == nil {
		return server, ErrNoGrant
	}
	item := g.Item
	server = server.Clone()
	for i := range server.Grants {
		g := &server.Grants[i]
		if g.ID != id && (item.IsAdapter() || g.Item.Base() != item) {
			continue
		}
		g.State = Draining
		for j := range g.Orders {
			if g.Orders[j].Closed.IsZero() {
				g.Orders[j].Closed = closed(g.Orders[j])
			}
		}
	}
	return server, nil
}

// SetFence returns the record with a fencing number set aside to shut out the
// orders under a grant, which is wanted no more.
func SetFence(server ServerRecord, id fleet.GrantID, seen fleet.FencingNumber) (ServerRecord, error) {
	if server.Find(id) == nil {
		return server, ErrNoGrant
	}
	server = server.Clone()
	server.LastFencing = max(server.LastFencing, seen) + 1
	g := server.Find(id)
	g.State, g.Fence = Draining, server.LastFencing
	return server, nil
}

// Remove returns the server's record without the grants. The caller must have
// proof for each of them and removes them from their items' records in the
// same transaction.
func Remove(server ServerRecord, ids []fleet.GrantID) ServerRecord {
	server = server.Clone()
	server.Grants = slices.DeleteFunc(server.Grants, func(g Grant) bool { return slices.Contains(ids, g.ID) })
	return server
}
