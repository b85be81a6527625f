package member

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

const (
	// partition holds one record for each node.
	partition = "members"
	// refreshPerMember makes the time between two refreshes of a node's record
	// grow with the members, so that the fleet's load on the table is bounded
	// at 1/refreshPerMember refreshes a second.
	refreshPerMember = 300 * time.Millisecond
	minRefresh       = 10 * time.Second
	// lonelyRefresh is used while no other member is known.
	lonelyRefresh = 2 * time.Second
	// staleRefreshes without a refresh make a record one of a node that is
	// gone.
	staleRefreshes = 6
	// cutMemory is how long the records of a region that is cut off are kept.
	// Its nodes may only have lost the table and the others, and serve on.
	cutMemory = 24 * time.Hour
	// joins is the number of nodes that a node asks for the members.
	joins = 2
	// tableTimeout bounds the calls of one round to a table that is silent.
	tableTimeout = 3 * time.Second
)

// registration is a node's record in the table.
type registration struct {
	mu      sync.Mutex
	version table.Version
}

// registered is the body of a node's record.
type registered struct {
	Info
	RefreshedAt time.Time `json:"refreshedAt"`
	// Refresh is the time until the next refresh.
	Refresh fleet.Duration `json:"refresh"`
}

// stale reports whether the node has not refreshed its record for long.
func (r registered) stale(now time.Time) bool {
	return now.Sub(r.RefreshedAt) > staleRefreshes*max(r.Refresh.Std(), minRefresh)
}

// refreshInterval returns the time between two refreshes.
func refreshInterval(members int) time.Duration {
	if members <= 1 {
		return lonelyRefresh
	}
	return max(minRefresh, time.Duration(members)*refreshPerMember)
}

// keepRegistered refreshes the node's record and finds nodes that the view
// doesn't have.
func (c *Controller) keepRegistered(ctx context.Context) {
	for {
		interval := refreshInterval(len(c.Members()))
		c.refresh(ctx, interval)
		c.joinedOnce.Do(func() { close(c.joined) })
		if !wait.For(ctx, c.jitter(interval)) {
			return
		}
	}
}

// refresh does one round. Without the table the seeds alone are tried.
func (c *Controller) refresh(ctx context.Context, interval time.Duration) {
	var others []registered
	if c.Store != nil {
		others = c.register(ctx, interval)
	}
	c.join(ctx, others)
}

// register writes the node's record and returns those of the others, none if
// the table does not answer.
func (c *Controller) register(ctx context.Context, interval time.Duration) []registered {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	if err := c.write(ctx, interval); err != nil {
		c.counts.tableErrors.Inc(1)
	}
	others, err := c.read(ctx)
	if err != nil {
		c.counts.tableErrors.Inc(1)
		return nil
	}
	c.compare(others)
	return others
}

// write puts the node's record.
func (c *Controller) write(ctx context.Context, interval time.Duration) error {
	c.record.mu.Lock()
	defer c.record.mu.Unlock()
	c.mu.Lock()
	body := registered{Info: c.view.self.Info, RefreshedAt: time.Now().UTC(), Refresh: fleet.Duration(interval)}
	gone := c.view.self.Status == Left
	c.mu.Unlock()
	if gone {
		return nil
	}
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return c.put(ctx, text)
}

// put writes or, with a nil body, deletes the record. The record belongs to
// this node alone, so any other version is an earlier write of its own whose
// answer was lost.
func (c *Controller) put(ctx context.Context, body []byte) error {
	key := table.Key{Partition: partition, Sort: string(c.Self.Node)}
	for range exchangeTries {
		err := c.Store.Transact(ctx, table.Token(uuid.NewString()),
			[]table.Write{{Key: key, Expect: c.record.version, Body: body}})
		if err == nil {
			c.record.version++
			return nil
		}
		if errors.Is(err, table.ErrUnavailable) {
			return err
		}
		switch held, err := c.Store.Get(ctx, key); {
		case err == nil:
			c.record.version = held.Version
		case errors.Is(err, table.ErrNotFound):
			c.record.version = table.Absent
		default:
			return err
		}
	}
	return table.ErrUnknown
}

// unregister deletes the node's record.
func (c *Controller) unregister(ctx context.Context) {
	if c.Store == nil {
		return
	}
	c.record.mu.Lock()
	defer c.record.mu.Unlock()
	if c.record.version != table.Absent {
		if err := c.put(ctx, nil); err != nil {
			c.counts.tableErrors.Inc(1)
		}
	}
}

// read returns the records of the other nodes.
func (c *Controller) read(ctx context.Context) ([]registered, error) {
	var list []registered
	span := table.Range{Partition: partition}
	for {
		records, err := c.Store.Query(ctx, span)
		if err != nil {
			return nil, err
		}
		for _, record := range records {
			span.After = record.Key.Sort
			var other registered
			if json.Unmarshal(record.Body, &other) != nil || other.Node == c.Self.Node {
				continue
			}
			switch {
			case other.PeerAddress == c.Self.PeerAddress:
				c.removePredecessor(ctx, record)
			case !other.stale(time.Now()) || c.mayServeOn(other):
				list = append(list, other)
			default:
				c.remove(ctx, other, record)
			}
		}
		if len(records) == 0 {
			return list, nil
		}
	}
}

// mayServeOn reports whether a node that doesn't refresh its record may be cut
// off with its region.
func (c *Controller) mayServeOn(other registered) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return c.view.Cut(now, other.Region) && now.Sub(other.RefreshedAt) < cutMemory
}

// remove deletes the record of a node that is gone. One member does it.
func (c *Controller) remove(ctx context.Context, other registered, record table.Record) {
	var live []fleet.NodeID
	for _, info := range c.Members() {
		if info.Node == other.Node {
			return
		}
		live = append(live, info.Node)
	}
	if ranked(live, string(other.Node))[0] == c.Self.Node {
		c.removeRecord(ctx, record)
	}
}

// removePredecessor deletes the record of a process that had this node's address
// and did not live to delete it. Others need not look for it then.
func (c *Controller) removePredecessor(ctx context.Context, record table.Record) {
	if c.MayLive(fleet.NodeID(record.Key.Sort)) {
		return
	}
	c.removeRecord(ctx, record)
}

func (c *Controller) removeRecord(ctx context.Context, record table.Record) {
	err := c.Store.Transact(ctx, table.Token(uuid.NewString()), []table.Write{{Key: record.Key, Expect: record.Version}})
	if err != nil {
		c.counts.tableErrors.Inc(1)
	}
}

// compare forgets nodes of regions that are cut off and no longer registered.
func (c *Controller) compare(others []registered) {
	has := make(map[fleet.NodeID]bool, len(others))
	for _, other := range others {
		has[other.Node] = true
	}
	c.locked(func(now time.Time) []Action {
		for _, record := range c.view.Records() {
			if !has[record.Node] && c.view.Cut(now, record.Region) {
				c.view.Forget(now, record.Node)
			}
		}
		return nil
	})
}

// join asks nodes that the view doesn't have for what they know, those of the
// own region first.
func (c *Controller) join(ctx context.Context, others []registered) {
	targets := c.unknown(others)
	if len(c.Members()) <= 1 && c.Seeds != nil {
		seeds, err := c.Seeds(ctx)
		if err != nil {
			c.counts.seedErrors.Inc(1)
		}
		for _, address := range seeds {
			targets = append(targets, joinTarget{address: address})
		}
	}
	joined := 0
	for _, target := range targets {
		if joined == joins || ctx.Err() != nil {
			return
		}
		if target.address != "" && target.address != c.Self.PeerAddress && c.joinAt(ctx, target) {
			joined++
		}
	}
}

// joinTarget is a node to ask for the members. The node is empty for a seed.
type joinTarget struct {
	node    fleet.NodeID
	address string
}

// unknown returns the registered nodes that are not live in the view,
// shuffled, the own region first.
func (c *Controller) unknown(others []registered) []joinTarget {
	c.mu.Lock()
	defer c.mu.Unlock()
	others = slices.DeleteFunc(slices.Clone(others), func(other registered) bool {
		record, found := c.view.record(other.Node)
		return found && (record.live() || record.Status == Left)
	})
	c.Rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var near, far []joinTarget
	for _, other := range others {
		if other.Region == c.Self.Region {
			near = append(near, joinTarget{other.Node, other.PeerAddress})
		} else {
			far = append(far, joinTarget{other.Node, other.PeerAddress})
		}
	}
	return append(near, far...)
}

// joinRounds is the number of exchanges in a join. In the first one each side
// learns whether the other believes it to be dead, and in the second it refutes.
const joinRounds = 2

func (c *Controller) joinAt(ctx context.Context, target joinTarget) bool {
	for range joinRounds {
		c.mu.Lock()
		request := c.view.Join(target.node)
		c.mu.Unlock()
		answer, err := c.exchange(ctx, request, func(ctx context.Context, in, out any) error {
			return c.Peers.CallAddress(ctx, target.address, exchangeMethod, in, out)
		})
		if err != nil {
			return false
		}
		c.answered(ctx, answer.From, request, answer)
	}
	return true
}
