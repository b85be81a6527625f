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

// Membership provides the membership of the fleet.
type Membership interface {
	// Members returns the live nodes, including this one.
	Members() []member.Info
	// Neighbors returns nodes of this region. The neighbour relations of all
	// nodes connect the whole region.
	Neighbors() []fleet.NodeID
	// LinkTargets returns one node of each other region.
	LinkTargets() []fleet.NodeID
}

var _ Membership = (*member.Controller)(nil)

const (
	// pollIntervalPerMember is multiplied by the number of members to get the
	// time between two reads of the head record, which limits the fleet as a
	// whole to 1/pollIntervalPerMember reads a second.
	pollIntervalPerMember = 25 * time.Millisecond
	minPollInterval       = 2 * time.Second
	// maxDepartedRevisions is added to twice the number of members to get the
	// number of confirmed revisions above which those of nodes that are no
	// longer members are deleted.
	maxDepartedRevisions = 64
	// defaultContactTimeout is shorter than the shortest time after which
	// members declare a node dead, so that a node has stopped serving by the
	// time it is declared dead.
	defaultContactTimeout = 4 * time.Second
)

// Controller maintains the node's configuration. Set the exported fields and
// call Register before the peers run, then Run.
type Controller struct {
	Store  table.Store
	Node   fleet.NodeID
	Region fleet.Region
	// Peers and Membership may be nil for a single node.
	Peers      Peers
	Membership Membership
	// ContactTimeout is how long the node stays current without contact with the
	// table or another node; 0 means 4 s.
	ContactTimeout time.Duration
	Log            *slog.Logger
	Metrics        metrics.Registry

	once     sync.Once
	snapshot atomic.Pointer[ticket.Snapshot]
	inForce  atomic.Pointer[inForce]
	counts   counters

	mu       sync.Mutex
	state    *ticket.State
	revision Revision
	// mergedAhead holds the revisions above the node's own whose entries are
	// already merged.
	mergedAhead map[Revision]bool
	// maxTableRevision is the highest revision read from the table.
	maxTableRevision Revision
	// loaded is true once the node has merged a configuration read from the
	// table, by itself or by another node. Until then an empty configuration
	// can't be distinguished from one that has not been received yet.
	loaded bool
	// lastContact is the last time at which the node's revision was found not to
	// be lower than that of the table or of another node.
	lastContact time.Time
	// confirmedRevisions holds the highest revision received from each node.
	confirmedRevisions map[fleet.NodeID]Revision

	fetching   atomic.Bool
	background run.Background
}

func (c *Controller) init() {
	c.once.Do(func() {
		if c.ContactTimeout == 0 {
			c.ContactTimeout = defaultContactTimeout
		}
		c.Log = logs.OrDiscard(c.Log)
		c.counts = newCounters(c.Metrics)
		c.state = ticket.NewState()
		c.mergedAhead = make(map[Revision]bool)
		c.confirmedRevisions = make(map[fleet.NodeID]Revision)
		c.snapshot.Store(c.state.Snapshot())
	})
}

// Register registers the controller's handlers with the peers.
func (c *Controller) Register() {
	c.init()
	c.Peers.Handle(pushMethod, peer.Typed(c.receivePush))
	c.Peers.Handle(groupsMethod, peer.Typed(c.answerGroups))
	c.Peers.Handle(bucketsMethod, peer.Typed(c.answerBuckets))
	c.Peers.Handle(entriesMethod, peer.Typed(c.answerEntries))
	c.Peers.Handle(confirmMethod, peer.Typed(c.answerConfirm))
}

// Run polls the head record until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	c.init()
	defer c.background.Begin(ctx)()
	for {
		if err := c.poll(ctx); err != nil && ctx.Err() == nil {
			c.counts.tableErrors.Inc(1)
		}
		if !wait.For(ctx, c.jitter(max(minPollInterval, time.Duration(len(c.members()))*pollIntervalPerMember))) {
			return nil
		}
	}
}

func (c *Controller) members() []member.Info {
	if c.Membership == nil {
		return nil
	}
	return c.Membership.Members()
}

// jitter returns a random duration within a quarter of span around it.
func (c *Controller) jitter(span time.Duration) time.Duration {
	return span*3/4 + rand.N(span/2+1)
}

// poll reads the head record and merges the tickets that the node lacks.
func (c *Controller) poll(ctx context.Context) error {
	began := time.Now()
	latest, err := c.readHead(ctx)
	if err != nil {
		return err
	}
	if err := c.catchUp(ctx, latest); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if latest.Revision < c.maxTableRevision {
		c.counts.tableBehind.Inc(1)
	}
	c.maxTableRevision = max(c.maxTableRevision, latest.Revision)
	c.loaded = true
	c.recordContact(began)
	c.pruneConfirmed()
	return nil
}

// pruneConfirmed deletes the confirmed revisions of nodes that are no longer
// members, once there are many more revisions than members. The caller holds the
// lock.
func (c *Controller) pruneConfirmed() {
	members := c.members()
	if len(c.confirmedRevisions) <= 2*len(members)+maxDepartedRevisions {
		return
	}
	kept := make(map[fleet.NodeID]Revision, len(members))
	for _, info := range members {
		if revision, found := c.confirmedRevisions[info.Node]; found {
			kept[info.Node] = revision
		}
	}
	c.confirmedRevisions = kept
}

// recordContact updates lastContact. The caller holds the lock.
func (c *Controller) recordContact(at time.Time) {
	if at.After(c.lastContact) {
		c.lastContact = at
	}
}

// catchUp merges the tickets that the node lacks, up to the given head.
func (c *Controller) catchUp(ctx context.Context, latest head) error {
	c.mu.Lock()
	revision := c.revision
	c.mu.Unlock()
	if revision >= latest.Revision {
		return nil
	}
	entries, err := c.readSince(ctx, latest, revision)
	if err != nil {
		return err
	}
	return c.merge(entries, latest.Revision)
}

// readSince returns the entries of the tickets accepted after a revision. It
// reads all objects instead if the revision is 0 or if the head does not list
// all of these tickets.
func (c *Controller) readSince(ctx context.Context, latest head, revision Revision) ([]ticket.Entry, error) {
	numbers, listed := latest.ticketsSince(revision)
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
		changed, err := stored.Ticket.Entries()
		if err != nil {
			return nil, err
		}
		entries = append(entries, changed...)
	}
	return entries, nil
}

// merge merges entries with which the node has every ticket up to the revision.
func (c *Controller) merge(entries []ticket.Entry, revision Revision) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.mergeEntries(entries); err != nil {
		return err
	}
	c.advance(revision)
	return nil
}

// mergeEntries merges entries and publishes the new snapshot. The caller holds
// the lock.
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
			c.Log.Error("conflicting object contents under one ticket number", "object", entry.String(), "number", uint64(entry.Number))
			changed = true
		case outcome == ticket.Applied:
			changed = true
		}
	}
	return nil
}

// advance raises the node's revision, including any consecutive revisions that
// were merged ahead. The caller holds the lock.
func (c *Controller) advance(revision Revision) {
	before := c.revision
	c.revision = max(c.revision, revision)
	for c.mergedAhead[c.revision+1] {
		c.revision++
	}
	for merged := range c.mergedAhead {
		if merged <= c.revision {
			delete(c.mergedAhead, merged)
		}
	}
	c.counts.revision.Update(int64(c.revision))
	if c.revision != before {
		c.inForce.Store(&inForce{revision: c.revision, since: time.Now()})
	}
}

// inForce is a revision and when it came into force at this node.
type inForce struct {
	revision Revision
	since    time.Time
}

// InForce returns the revision up to which the node has merged every ticket, and when
// it did so; zeros if there is none yet. It takes no lock.
func (c *Controller) InForce() (revision Revision, since time.Time) {
	if now := c.inForce.Load(); now != nil {
		return now.revision, now.since
	}
	return 0, time.Time{}
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

// Revision returns the revision up to which the node has merged every ticket.
func (c *Controller) Revision() Revision {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// digestWith returns the digest that the configuration would have after merging
// the entries.
func (c *Controller) digestWith(entries []ticket.Entry) ticket.Digest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.DigestWith(entries)
}

// Current reports whether the node may be listed to callers and accept new work.
func (c *Controller) Current() bool { return c.ReadyError() == nil }

// ReadyError returns the reason why the node is not current, or nil if it is.
func (c *Controller) ReadyError() error {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.loaded {
		return errors.New("configuration not read yet")
	}
	// Unlike the monotonic clock, the wall clock includes time in which the VM
	// was suspended.
	now := time.Now()
	sinceContact := max(now.Sub(c.lastContact), now.Round(0).Sub(c.lastContact.Round(0)))
	if sinceContact > c.ContactTimeout {
		return errors.Errorf("no contact with the table or another node for %s", sinceContact.Round(time.Second))
	}
	return nil
}

// Stamp identifies the configuration of a node.
type Stamp struct {
	Revision Revision      `json:"revision"`
	Digest   ticket.Digest `json:"digest"`
	// Loaded is true if the node has read its configuration from the table or
	// fetched it from a node that has.
	Loaded bool `json:"known"`
}

// currentStamp returns the node's currentStamp. The caller holds the lock.
func (c *Controller) currentStamp() Stamp { return Stamp{c.revision, c.state.Digest(), c.loaded} }

// Stamp returns the node's stamp as JSON, to be sent with messages between
// members.
func (c *Controller) Stamp() json.RawMessage {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	encoded, err := json.Marshal(c.currentStamp())
	if err != nil {
		return nil
	}
	return encoded
}

// ReceiveStamp handles the stamp of another node. If that node's revision is
// higher, or its digest differs at the same revision, it fetches the differing
// entries.
func (c *Controller) ReceiveStamp(_ context.Context, from fleet.NodeID, encoded json.RawMessage) {
	c.init()
	var stamp Stamp
	if json.Unmarshal(encoded, &stamp) != nil {
		return
	}
	c.mu.Lock()
	c.confirmedRevisions[from] = max(c.confirmedRevisions[from], stamp.Revision)
	behind := stamp.Revision > c.revision
	differs := stamp.Revision == c.revision && stamp.Digest != c.state.Digest()
	if !behind {
		c.loaded = c.loaded || stamp.Loaded && !differs
		c.recordContact(time.Now())
	}
	c.mu.Unlock()
	if behind || differs {
		c.background.Go(func(ctx context.Context) { c.fetch(ctx, from) })
	}
}
