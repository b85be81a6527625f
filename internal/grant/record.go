package grant

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Keys of the records in the table.
const (
	partition    = "grants"
	serverPrefix = "server#"
	itemPrefix   = "item#"
)

// State is the desired state of a grant.
type State string

// States of a grant.
const (
	// Granted means that the item is to be held.
	Granted State = "granted"
	// Draining means that the item is to be unloaded.
	Draining State = "draining"
)

// Order is one load order under a grant. It is sent at most once.
type Order struct {
	// ID is the token of the transaction that recorded the order. The engine is
	// sent the id of the grant instead.
	ID      table.Token         `json:"id"`
	Fencing fleet.FencingNumber `json:"fencing"`
	Boot    fleet.BootID        `json:"boot"`
	Sender  fleet.NodeID        `json:"sender"`
	// Closed is the time, by the engine's clock, after which the order can no
	// longer arrive; zero while it may.
	Closed time.Time `json:"closed,omitzero"`
}

// Grant permits a server to hold an item.
type Grant struct {
	ID      fleet.GrantID `json:"id"`
	Item    fleet.Item    `json:"item"`
	Version fleet.Version `json:"version"`
	// Size is the accelerator memory that is reserved.
	Size  fleet.Bytes `json:"size"`
	State State       `json:"state"`
	// Fence, if set, is a fencing number that was allocated to make the engine
	// refuse the orders under the grant.
	Fence fleet.FencingNumber `json:"fence,omitempty"`
	// Standing marks a grant that was recorded in advance. Its sender sends the
	// order when the item is to be loaded, even while the table is down.
	Standing bool    `json:"standing,omitempty"`
	Orders   []Order `json:"orders"`
}

// Newest returns the newest order under the grant.
func (g *Grant) Newest() Order { return g.Orders[len(g.Orders)-1] }

// ServerRecord is the table's record of one server.
type ServerRecord struct {
	Server  fleet.ServerID `json:"server"`
	Pool    fleet.PoolID   `json:"pool"`
	Address string         `json:"address"`
	Memory  fleet.Bytes    `json:"memory"`
	// ListedAsOf is the time of a VM list that named the server, by the list's
	// own clock.
	ListedAsOf time.Time `json:"listedAsOf,omitzero"`
	// LastFencing is the highest fencing number allocated so far.
	LastFencing fleet.FencingNumber `json:"lastFencing"`
	Grants      []Grant             `json:"grants"`
}

// Reserved returns the total memory of all grants.
func (s *ServerRecord) Reserved() fleet.Bytes {
	var total fleet.Bytes
	for i := range s.Grants {
		total += s.Grants[i].Size
	}
	return total
}

// Find returns the grant with the given id, or nil.
func (s *ServerRecord) Find(id fleet.GrantID) *Grant {
	i := slices.IndexFunc(s.Grants, func(g Grant) bool { return g.ID == id })
	if i < 0 {
		return nil
	}
	return &s.Grants[i]
}

// FindItem returns the grant of the item, or nil. There is at most one.
func (s *ServerRecord) FindItem(item fleet.Item) *Grant {
	i := slices.IndexFunc(s.Grants, func(g Grant) bool { return g.Item == item })
	if i < 0 {
		return nil
	}
	return &s.Grants[i]
}

// FindOrder returns the grant under which the order was recorded, or nil.
func (s *ServerRecord) FindOrder(id table.Token) *Grant {
	i := slices.IndexFunc(s.Grants, func(g Grant) bool {
		return slices.ContainsFunc(g.Orders, func(o Order) bool { return o.ID == id })
	})
	if i < 0 {
		return nil
	}
	return &s.Grants[i]
}

// Clone returns a deep copy.
func (s *ServerRecord) Clone() ServerRecord {
	copied := *s
	copied.Grants = slices.Clone(s.Grants)
	for i := range copied.Grants {
		copied.Grants[i].Orders = slices.Clone(copied.Grants[i].Orders)
	}
	return copied
}

// ItemGrant is the entry of one grant in an item's record.
type ItemGrant struct {
	Server  fleet.ServerID `json:"server"`
	Version fleet.Version  `json:"version"`
}

// ItemRecord is the table's record of one item, with every grant that counts
// against its number of replicas.
type ItemRecord struct {
	Item   fleet.Item                  `json:"item"`
	Grants map[fleet.GrantID]ItemGrant `json:"grants"`
}

// ServerKey returns the key of a server's record.
func ServerKey(server fleet.ServerID) table.Key {
	return table.Key{Partition: partition, Sort: serverPrefix + string(server)}
}

// ItemKey returns the key of an item's record.
func ItemKey(item fleet.Item) table.Key {
	return table.Key{Partition: partition, Sort: itemPrefix + item.String()}
}

// decode decodes the body of a record into out; an empty body leaves it
// unchanged.
func decode(record table.Record, out any) error {
	if len(record.Body) == 0 {
		return nil
	}
	if err := json.Unmarshal(record.Body, out); err != nil {
		return errors.Wrapf(err, "record %s", record.Key.Sort)
	}
	return nil
}

// newWrite returns a write of a body that expects the record's version to be
// unchanged.
func newWrite(key table.Key, expect table.Version, body any) (table.Write, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return table.Write{}, errors.Wrapf(err, "record %s", key.Sort)
	}
	return table.Write{Key: key, Expect: expect, Body: text}, nil
}
