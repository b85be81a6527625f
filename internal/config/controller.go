package config

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/internal/logs"
	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/internal/peer"
	"github.com/guavatrack/guavatrack/internal/run"
	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// Peers carries calls between nodes.
type Peers interface {
	Call(ctx context.Context, node fleet.NodeID, method string, in, out any) error
	Handle(method string, handler peer.Handler)
}

// Group says which other nodes there are.
type Group interface {
	// Members returns the live nodes, this one included.
	Members() []member.Info
	// Neighbors returns nodes of the region; together with the neighbours of
	// the others they reach all of it.
	Neighbors() []fleet.NodeID
	// Across returns one node of each other region.
	Across() []fleet.NodeID
}

var _ Group = (*member.Controller)(nil)

const (
	// pollPerMember makes the time between two reads of the head grow with the
	// members, so that the fleet reads it at most 1/pollPerMember times a
	// second.
	pollPerMember = 25 * time.Millisecond
	minPoll       = 2 * time.Second
	// maxForgotten is the number of confirmations of nodes that are gone that
	// may be held besides those of members.
	maxForgotten = 64
	// defaultLimit is how long a node stays current without contact. It is
	// below the shortest time after which members declare a node dead, so that
	// a dead node has stopped serving.
	defaultLimit = 4 * time.Second
)

// Controller keeps the node's configuration. Set the exported fields and call
// Register before the peers run, then Run.
type Controller struct {
	Store  table.Store
	Node   fleet.NodeID
	Region fleet.Region
	// Peers and Group may be nil for a node that is alone.
	Peers Peers
	Group Group
	// Limit is how long the node stays current without contact; 0 means 4 s.
	Limit   time.Duration
	Log     *slog.Logger
	Metrics metrics.Registry

	once     sync.Once
	snapshot atomic.Pointer[ticket.Snapshot]
	counts   counters

	mu       sync.Mutex
	state    *ticket.State
	revision Revision
	// ahead holds revisions above the node's own whose entries are merged.
	ahead map[Revision]bool
	// headSeen is the highest revision read in the table.
	headSeen Revision
	// known says that the node has, itself or through others, what was in the
	// table when one of them read it. Before, it can't tell an empty
	// configuration from one that it has not heard of.
	known bool
	// contact is when the stamp was last found to be no older than another
	// node's or the table's.
	contact time.Time
	// confirmed holds the highest revision heard from each node.
	confirmed map[fleet.NodeID]Revision

	syncing    atomic.Bool
	background run.Background
}

func (c *Controller) init() {
	c.once.Do(func() {
		if c.Limit == 0 {
			c.Limit = defaultLimit
		}
		c.Log = logs.OrDiscard(c.Log)
		c.counts = newCounters(c.Metrics)
		c.state = ticket.NewState()
		c.ahead = make(map[Revision]bool)
		c.confirmed = make(map[fleet.NodeID]Revision)
		c.snapshot.Store(c.state.Snapshot())
	})
}

// Register adds the controller's methods to the peers.
func (c *Controller) Register() {
	c.init()
	c.Peers.Handle(pushMethod, peer.Typed(c.receivePush))
	c.Peers.Handle(groupsMethod, peer.Typed(c.answerGroups))
	c.Peers.Handle(bucketsMethod, peer.Typed(c.answerBuckets))
	c.Peers.Handle(entriesMethod, peer.Typed(c.answerEntries))
	c.Peers.Handle(confirmMethod, peer.Typed(c.answerConfirm))
}

// Run reads the head of the configuration until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	c.init()
	defer c.background.Begin(ctx)()
	for {
		if err := c.poll(ctx); err != nil && ctx.Err() == nil {
			c.counts.tableErrors.Inc(1)
		}
		if !wait.For(ctx, c.jitter(max(minPoll, time.Duration(len(c.members()))*pollPerMember))) {
			return nil
		}
	}
}

func (c *Controller) members() []member.Info {
	if c.Group == nil {
		return nil
	}
	return c.Group.Members()
}

// jitter spreads a time by a quarter around it.
func (c *Controller) jitter(span time.Duration) time.Duration {
	return span*3/4 + rand.N(span/2+1)
}

// poll compares the node with the table.
func (c *Controller) poll(ctx context.Context) error {
	began := time.Now()
	held, err := c.readHead(ctx)
	if err != nil {
		return err
	}
	if err := c.catchUp(ctx, held); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if held.Revision < c.headSeen {
		c.counts.tableBehind.Inc(1)
	}
	c.headSeen = max(c.headSeen, held.Revision)
	c.known = true
	c.touch(began)
	c.forgetGone()
	return nil
}

// forgetGone drops the confirmations of nodes that are no longer members, once
// they are the most. The caller holds the lock.
func (c *Controller) forgetGone() {
	members := c.members()
	if len(c.confirmed) <= 2*len(members)+maxForgotten {
		return
	}
	kept := make(map[fleet.NodeID]Revision, len(members))
	for _, info := range members {
		if revision, found := c.confirmed[info.Node]; found {
			kept[info.Node] = revision
		}
	}
	c.confirmed = kept
}

// touch notes contact at a time. The caller holds the lock.
func (c *Controller) touch(at time.Time) {
	if at.After(c.contact) {
		c.contact = at
	}
}

// catchUp merges what the table has and the node lacks.
func (c *Controller) catchUp(ctx context.Context, held head) error {
	c.mu.Lock()
	revision := c.revision
	c.mu.Unlock()
	if revision >= held.Revision {
		return nil
	}
	entries, err := c.readSince(ctx, held, revision)
	if err != nil {
		return err
	}
	return c.merge(entries, held.Revision)
}

// readSince reads the tickets after a revision, or all objects if they are too
// many.
func (c *Controller) readSince(ctx context.Context, held head, revision Revision) ([]ticket.Entry, error) {
	numbers, listed := held.since(revision)
	if !listed || revision == 0 {
		c.counts.fullReads.Inc(1)
		return c.readObjects(ctx)
	}
	var entries []ticket.Entry
	for _, number := range numbers {
		stored, err := c.Ticket(ctx, number)
		if err != nil {
			return nil, err
		}
		touched, err := stored.Ticket.Entries()
		if err != nil {
			return nil, err
		}
		entries = append(entries, touched...)
	}
	return entries, nil
}

// merge takes in entries; with them the node has all tickets up to the
// revision.
func (c *Controller) merge(entries []ticket.Entry, revision Revision) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.mergeEntries(entries); err != nil {
		return err
	}
	c.advance(revision)
	return nil
}

// mergeEntries takes in entries and hands out the new snapshot. The caller
// holds the lock.
func (c *Controller) mergeEntries(entries []ticket.Entry) error {
	changed := false
	defer func() {
		if changed {
			c.snapshot.Store(c.state.Snapshot())
		}
	}()
	for _, entry := range entries {
		outcome, err := c.state.Merge(entry)
		switch {
		case err != nil:
			return errors.Wrapf(err, "number %d", entry.Number)
		case outcome == ticket.Clash:
			c.counts.clashes.Inc(1)
			c.Log.Error("two contents under one number", "object", entry.String(), "number", uint64(entry.Number))
			changed = true
		case outcome == ticket.Applied:
			changed = true
		}
	}
	return nil
}

// advance raises the node's revision, over those merged ahead as well. The
// caller holds the lock.
func (c *Controller) advance(revision Revision) {
	c.revision = max(c.revision, revision)
	for c.ahead[c.revision+1] {
		c.revision++
	}
	for merged := range c.ahead {
		if merged <= c.revision {
			delete(c.ahead, merged)
		}
	}
	c.counts.revision.Update(int64(c.revision))
}

// Snapshot returns the configuration in force on this node.
func (c *Controller) Snapshot() *ticket.Snapshot {
	c.init()
	return c.snapshot.Load()
}

// Digest returns the digest of the node's configuration.
func (c *Controller) Digest() ticket.Digest {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Digest()
}

// Revision returns the revision up to which the node has merged everything.
func (c *Controller) Revision() Revision {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// digestWith returns the digest that the state would have with the entries.
func (c *Controller) digestWith(entries []ticket.Entry) ticket.Digest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.DigestWith(entries)
}

// Current reports whether the node may be named to callers and take new work.
func (c *Controller) Current() bool { return c.ReadyError() == nil }

// ReadyError says why the node is not current; nil if it is.
func (c *Controller) ReadyError() error {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known {
		return errors.New("configuration not read yet")
	}
	// The wall clock also counts the time in which the VM was suspended.
	now := time.Now()
	silent := max(now.Sub(c.contact), now.Round(0).Sub(c.contact.Round(0)))
	if silent > c.Limit {
		return errors.Errorf("no contact with the table or another node for %s", silent.Round(time.Second))
	}
	return nil
}

// Stamp says which configuration a node has.
type Stamp struct {
	Revision Revision      `json:"revision"`
	Digest   ticket.Digest `json:"digest"`
	// Known says that the node has learned its configuration from the table or
	// from a node that has.
	Known bool `json:"known"`
}

// stamp returns the node's stamp. The caller holds the lock.
func (c *Controller) stamp() Stamp { return Stamp{c.revision, c.state.Digest(), c.known} }

// Stamp returns the node's stamp as JSON, for the messages between members.
func (c *Controller) Stamp() json.RawMessage {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	text, err := json.Marshal(c.stamp())
	if err != nil {
		return nil
	}
	return text
}

// Heard takes in the stamp of another node. If that has more it is fetched.
func (c *Controller) Heard(_ context.Context, from fleet.NodeID, text json.RawMessage) {
	c.init()
	var stamp Stamp
	if json.Unmarshal(text, &stamp) != nil {
		return
	}
	c.mu.Lock()
	c.confirmed[from] = max(c.confirmed[from], stamp.Revision)
	behind := stamp.Revision > c.revision
	differs := stamp.Revision == c.revision && stamp.Digest != c.state.Digest()
	if !behind {
		c.known = c.known || stamp.Known && !differs
		c.touch(time.Now())
	}
	c.mu.Unlock()
	if behind || differs {
		c.background.Go(func(ctx context.Context) { c.fetch(ctx, from) })
	}
}
