package grant

import (
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Reasons for refusing a grant, to be tested with errors.Is.
var (
	// ErrAtCap reports that the item has its decided number of replicas.
	ErrAtCap = errors.New("replicas at the decided number")
	// ErrNoMemory reports that the server's memory is reserved by other grants
	// or held without a grant.
	ErrNoMemory = errors.New("no memory on the server")
	// ErrAlreadyGranted reports that the server already has a grant of the item.
	ErrAlreadyGranted = errors.New("item is granted on the server")
	// ErrNoBase reports that the server has no grant of an adapter's base model.
	ErrNoBase = errors.New("base model is not granted on the server")
	// ErrNotDeployed reports that no deployment names the item.
	ErrNotDeployed = errors.New("item is not deployed")
	// ErrServerUnavailable reports that the server is leaving, not listed or has
	// not reported yet.
	ErrServerUnavailable = errors.New("server is leaving or not listed")
	// ErrNoGrant reports that there is no such grant, or that it was changed
	// concurrently.
	ErrNoGrant = errors.New("no such grant")
)

// maxOrders is the maximum number of orders recorded under one grant.
const maxOrders = 8

// Request is a request for a grant of an item on a server.
type Request struct {
	// Order is the token of the transaction, and the id of a new grant.
	Order   table.Token
	Item    fleet.Item
	Version fleet.Version
	Size    fleet.Bytes
	Sender  fleet.NodeID
	// Boot identifies the run of the engine for which the order is valid.
	Boot fleet.BootID
	// Max is the decided number of replicas, Surge the number of additional ones
	// that are permitted while two versions are held.
	Max, Surge int
	// Standing requests a standing grant.
	Standing bool
	// Foreign is the memory that the engine reports as held without a grant.
	Foreign fleet.Bytes
	// SeenFencing is the highest fencing number that the engine reports.
	SeenFencing fleet.FencingNumber
}

func (r *Request) order(number fleet.FencingNumber) Order {
	return Order{ID: r.Order, Fencing: number, Boot: r.Boot, Sender: r.Sender}
}

// Add returns both records with a new grant. It modifies neither argument.
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
		item.Grants = make(map[fleet.GrantID]ItemGrant)
	}
	item.Grants[fleet.GrantID(r.Order)] = ItemGrant{Server: server.Server, Version: r.Version}
	return server, item, nil
}

func checkServer(server *ServerRecord, r *Request) error {
	if server.FindItem(r.Item) != nil {
		return ErrAlreadyGranted
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

// checkReplicas returns ErrAtCap if one more grant would exceed the number of
// replicas. It counts every recorded grant, whatever its state.
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

// Renew returns both records with one more order under a draining grant whose
// earlier orders may still arrive. The number of the item's grants doesn't
// change, since a draining grant counts too.
func Renew(server ServerRecord, item ItemRecord, id fleet.GrantID, r *Request) (ServerRecord, ItemRecord, error) {
	old := server.Find(id)
	if old == nil || old.Item != r.Item || len(old.Orders) >= maxOrders {
		return server, item, ErrNoGrant
	}
	if old.State != Draining {
		return server, item, ErrAlreadyGranted
	}
	extra := max(r.Size-old.Size, 0)
	if server.Reserved()+r.Foreign+extra > server.Memory {
		return server, item, ErrNoMemory
	}
	others := ItemRecord{Item: item.Item, Grants: maps.Clone(item.Grants)}
	delete(others.Grants, id)
	if err := checkReplicas(&others, r); err != nil {
		return server, item, err
	}
	others.Grants[id] = ItemGrant{Server: server.Server, Version: r.Version}
	server = server.Clone()
	server.LastFencing = max(server.LastFencing, r.SeenFencing) + 1
	g := server.Find(id)
	g.Version, g.Size, g.State, g.Fence = r.Version, old.Size+extra, Granted, 0
	g.Orders = append(g.Orders, r.order(server.LastFencing))
	return server, others, nil
}

// Drain returns the record with the grant marked as draining and, if its item is
// a base model, those of its adapters too. It also records the times at which
// orders were closed, so that they remain known if this node fails.
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

// SetFence returns the record with the grant marked as draining and with a new
// fencing number allocated to it, above those of its orders. An engine that has
// received that number refuses the orders.
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

// Remove returns the server's record without the grants. The caller must have a
// [Proof] for each of them and must remove them from their items' records in
// the same transaction.
func Remove(server ServerRecord, ids []fleet.GrantID) ServerRecord {
	server = server.Clone()
	server.Grants = slices.DeleteFunc(server.Grants, func(g Grant) bool { return slices.Contains(ids, g.ID) })
	return server
}
