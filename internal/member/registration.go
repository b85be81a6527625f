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
	// partition is the table partition that holds one record for each node.
	partition = "members"
	// refreshPerMember makes the time between two refreshes of a node's record
	// grow with the number of members, so that the fleet's load on the table is
	// bounded at 1/refreshPerMember refreshes a second.
	refreshPerMember = 300 * time.Millisecond
	minRefresh       = 10 * time.Second
	// soleMemberRefresh is the refresh interval while no other member is known.
	soleMemberRefresh = 2 * time.Second
	// staleAfterRefreshes is the number of refresh intervals without a refresh
	// after which a record is stale.
	staleAfterRefreshes = 6
	// unreachableRetention is how long stale records of an unreachable region are
	// kept. Its nodes may have lost only the table and the other regions and still
	// serve callers.
	unreachableRetention = 24 * time.Hour
	// maxJoins is the number of nodes that a node joins in one round.
	maxJoins = 2
	// tableTimeout bounds the table calls of one round if the table does not answer.
	tableTimeout = 3 * time.Second
)

// registration holds the version of this node's record in the table. The lock
// serialises the writes.
type registration struct {
	mu      sync.Mutex
	version table.Version
}

// registrationRecord is the body of a node's record in the table.
type registrationRecord struct {
	Info
	RefreshedAt time.Time `json:"refreshedAt"`
	// Refresh is the time until the next refresh.
	Refresh fleet.Duration `json:"refresh"`
}

// stale reports whether the refresh of the record is overdue by far: the node is gone.
func (r registrationRecord) stale(now time.Time) bool {
	return now.Sub(r.RefreshedAt) > staleAfterRefreshes*max(r.Refresh.Std(), minRefresh)
}

// refreshInterval returns the time between two refreshes of a node's record.
func refreshInterval(members int) time.Duration {
	if members <= 1 {
		return soleMemberRefresh
	}
	return max(minRefresh, time.Duration(members)*refreshPerMember)
}

// keepRegistered refreshes the node's record and joins nodes that the view does
// not have, until the context ends.
func (c *Controller) keepRegistered(ctx context.Context) {
	for {
		interval := refreshInterval(len(c.Members()))
		c.refreshRegistration(ctx, interval)
		c.joinedOnce.Do(func() { close(c.joined) })
		if c.registerSignal.Wait(ctx, c.jitter(interval)) {
			wait.For(ctx, c.jitter(maxRegisterDelay))
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// maxRegisterDelay is about how long a node waits before it registers again, so that
// the nodes don't all write at once.
const maxRegisterDelay = time.Second

// RegisterAgain has the node write its record soon, because the table may have lost it.
func (c *Controller) RegisterAgain() {
	c.init()
	c.registerSignal.Notify()
}

// refreshRegistration runs one round of keepRegistered. If the table does not
// answer or there is none, only the seeds are tried.
func (c *Controller) refreshRegistration(ctx context.Context, interval time.Duration) {
	var others []registrationRecord
	if c.Store != nil {
		others = c.register(ctx, interval)
	}
	c.join(ctx, others)
}

// register writes the node's record and returns those of the other nodes, nil if
// they can't be read.
func (c *Controller) register(ctx context.Context, interval time.Duration) []registrationRecord {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	if err := c.writeRegistration(ctx, interval); err != nil {
		c.counts.tableErrors.Inc(1)
	}
	others, err := c.readRegistrations(ctx)
	if err != nil {
		c.counts.tableErrors.Inc(1)
		return nil
	}
	c.markUnregisteredDead(others)
	return others
}

// writeRegistration writes the node's record unless the node has left.
func (c *Controller) writeRegistration(ctx context.Context, interval time.Duration) error {
	c.registration.mu.Lock()
	defer c.registration.mu.Unlock()
	c.mu.Lock()
	body := registrationRecord{Info: c.view.self.Info, RefreshedAt: time.Now().UTC(), Refresh: fleet.Duration(interval)}
	left := c.view.self.Status == Left
	c.mu.Unlock()
	if left {
		return nil
	}
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return c.putRegistration(ctx, text)
}

// putRegistration writes the record, or deletes it if the body is nil. The record
// belongs to this node alone, so a version conflict stems from an earlier write
// of its own whose answer was lost; the write is repeated with the version found.
func (c *Controller) putRegistration(ctx context.Context, body []byte) error {
	key := table.Key{Partition: partition, Sort: string(c.Self.Node)}
	for range exchangeTries {
		err := c.Store.Transact(ctx, table.Token(uuid.NewString()),
			[]table.Write{{Key: key, Expect: c.registration.version, Body: body}})
		if err == nil {
			c.registration.version++
			return nil
		}
		if table.NotWritten(err) {
			return err
		}
		switch held, err := c.Store.Get(ctx, key); {
		case err == nil:
			c.registration.version = held.Version
		case errors.Is(err, table.ErrNotFound):
			c.registration.version = table.Absent
		default:
			return err
		}
	}
	return table.ErrOutcomeUnknown
}

// unregister deletes the node's record.
func (c *Controller) unregister(ctx context.Context) {
	if c.Store == nil {
		return
	}
	c.registration.mu.Lock()
	defer c.registration.mu.Unlock()
	if c.registration.version != table.Absent {
		if err := c.putRegistration(ctx, nil); err != nil {
			c.counts.tableErrors.Inc(1)
		}
	}
}

// readRegistrations returns the records of the other nodes and deletes those of
// nodes that are gone.
func (c *Controller) readRegistrations(ctx context.Context) ([]registrationRecord, error) {
	var list []registrationRecord
	for record, err := range table.All(ctx, c.Store, table.Range{Partition: partition}) {
		if err != nil {
			return nil, err
		}
		var other registrationRecord
		if json.Unmarshal(record.Body, &other) != nil || other.Node == c.Self.Node {
			continue
		}
		switch {
		case other.PeerAddress == c.Self.PeerAddress:
			c.removePredecessor(ctx, record)
		case !other.stale(time.Now()) || c.inUnreachableRegion(other):
			list = append(list, other)
		default:
			c.removeRegistration(ctx, other, record)
		}
	}
	return list, nil
}

// inUnreachableRegion reports whether a stale record belongs to a node of an
// unreachable region and is within the retention period.
func (c *Controller) inUnreachableRegion(other registrationRecord) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return c.view.RegionUnreachable(now, other.Region) && now.Sub(other.RefreshedAt) < unreachableRetention
}

// removeRegistration deletes the record of a node that is gone. Only the member
// ranked first for that node does it.
func (c *Controller) removeRegistration(ctx context.Context, other registrationRecord, record table.Record) {
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

// removePredecessor deletes the record of an earlier process at this node's
// address that ended without deleting it, so that other nodes don't try to join
// it.
func (c *Controller) removePredecessor(ctx context.Context, record table.Record) {
	if c.MayBeAlive(fleet.NodeID(record.Key.Sort)) {
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

// markUnregisteredDead marks nodes of unreachable regions as dead if they are no
// longer registered.
func (c *Controller) markUnregisteredDead(others []registrationRecord) {
	registered := make(map[fleet.NodeID]bool, len(others))
	for _, other := range others {
		registered[other.Node] = true
	}
	c.withView(func(now time.Time) []Action {
		for _, record := range c.view.Records() {
			if !registered[record.Node] && c.view.RegionUnreachable(now, record.Region) {
				c.view.MarkDead(now, record.Node)
			}
		}
		return nil
	})
}

// join fetches the members from registered nodes that are not live in the view,
// then from the seeds while no other member is known, at most from maxJoins nodes.
func (c *Controller) join(ctx context.Context, others []registrationRecord) {
	targets := c.joinTargets(others)
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
		if joined == maxJoins || ctx.Err() != nil {
			return
		}
		if target.address != "" && target.address != c.Self.PeerAddress && c.joinAt(ctx, target) {
			joined++
		}
	}
}

// joinTarget is a node to join. The node id is empty for a seed.
type joinTarget struct {
	node    fleet.NodeID
	address string
}

// joinTargets returns the registered nodes that are neither live in the view nor
// have left, in random order: those of the own region first, but nodes of the other regions in
// turn with them after maxJoins, since all of the own region may be lost.
func (c *Controller) joinTargets(others []registrationRecord) []joinTarget {
	c.mu.Lock()
	defer c.mu.Unlock()
	others = slices.DeleteFunc(slices.Clone(others), func(other registrationRecord) bool {
		record, found := c.view.record(other.Node)
		return found && (record.live() || record.Status == Left)
	})
	c.Rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var sameRegion, otherRegions []joinTarget
	for _, other := range others {
		if other.Region == c.Self.Region {
			sameRegion = append(sameRegion, joinTarget{other.Node, other.PeerAddress})
		} else {
			otherRegions = append(otherRegions, joinTarget{other.Node, other.PeerAddress})
		}
	}
	first := min(maxJoins, len(sameRegion))
	return append(slices.Clone(sameRegion[:first]), inTurn(otherRegions, sameRegion[first:])...)
}

// inTurn returns the targets of two lists, one of each in turn.
func inTurn(a, b []joinTarget) (targets []joinTarget) {
	for len(a) > 0 && len(b) > 0 {
		targets = append(targets, a[0], b[0])
		a, b = a[1:], b[1:]
	}
	return slices.Concat(targets, a, b)
}

// joinRounds is the number of exchanges in a join. In the first one each side
// receives its own record if the other has it as dead, and in the second it
// refutes it.
const joinRounds = 2

func (c *Controller) joinAt(ctx context.Context, target joinTarget) bool {
	for range joinRounds {
		c.mu.Lock()
		request := c.view.JoinRequest(target.node)
		c.mu.Unlock()
		answer, err := c.exchange(ctx, request, func(ctx context.Context, in, out any) error {
			return c.Peers.CallAddress(ctx, target.address, exchangeMethod, in, out)
		})
		if err != nil {
			return false
		}
		c.mergeAnswer(ctx, answer.From, request, answer)
	}
	return true
}
