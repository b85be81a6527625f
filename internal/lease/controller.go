package lease

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/guavatrack/guavatrack/internal/logs"
	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Timing of the controller.
const (
	// renewalsPerLease is the number of renewals in the duration of a lease.
	renewalsPerLease = 8
	// retryInterval is the time between two reads of the record while its holder is
	// suspected to have failed, and between two renewals while they fail.
	retryInterval = 500 * time.Millisecond
	// maxRetryDoublings is how often retryInterval is doubled while a process fails to
	// read the record, unless it may claim without a delay: all processes of the fleet
	// read it at once while the table is down.
	maxRetryDoublings = 2
	// claimDelayInterval is the time between two evaluations of the claim delay.
	claimDelayInterval = 50 * time.Millisecond
	// callTimeout bounds one call to the table.
	callTimeout = time.Second
)

// Controller acquires and renews a lease, or watches which process holds it. Its
// exported fields are set before Run.
type Controller struct {
	// Name distinguishes the lease from others of the same nodes; it may be empty for one.
	Name  string
	State State
	Store table.Store
	Key   table.Key
	// Era returns the latest era of the table that any answer has had; it may be nil.
	Era func() table.Era
	// Clock includes the time for which the VM was suspended; nil means [wait.BootTime].
	Clock func() time.Duration
	// ClaimDelay returns the total time to wait before claiming a free lease, so that
	// better suited VMs claim first. Nil means no wait.
	ClaimDelay func() time.Duration
	// Deputies returns the processes that may be named as the deputy, the best
	// first. If it or Peers is nil, no deputy is named.
	Deputies func() []fleet.NodeID
	Peers    Peers
	// Note returns what this process, as the holder, leaves to the next one; it may be nil.
	Note func() string
	Log  *slog.Logger

	once sync.Once
	mu   sync.Mutex
	// suspect reports whether the holder may have failed, so that the record is
	// read.
	suspect  bool
	wake     wait.Signal
	released bool
	// failedReads counts the consecutive failures to read the record.
	failedReads int
	// unreadable is the last version of the record that could not be decoded.
	unreadable table.Version
	// failedRequests counts the consecutive requests on which the deputy gave no
	// promise. lastRequestAt is when this process, as the deputy, received the last
	// request.
	failedRequests int
	lastRequestAt  time.Duration
	// promisedAt is when a deputy last gave a promise, or this process gained the lease.
	promisedAt time.Duration
}

func (c *Controller) init() {
	c.once.Do(func() {
		c.wake = wait.NewSignal()
		c.suspect = true
		if c.Clock == nil {
			c.Clock = wait.BootTime
		}
		c.Log = logs.OrDiscard(c.Log)
		if c.Name != "" {
			c.Log = c.Log.With(slog.String("lease", c.Name))
		}
	})
}

// Holds reports whether this process may act now, and returns the fencing number
// to act under.
func (c *Controller) Holds() (fleet.FencingNumber, bool) {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.syncEra()
	return c.State.MayAct(c.Clock())
}

// syncEra updates the state with the era of the table. A holder that reads a new one
// has to claim the lease again at once, since it may not act before. The caller holds
// the lock.
func (c *Controller) syncEra() {
	if c.Era == nil || !c.State.ObserveEra(c.Clock(), c.Era()) {
		return
	}
	c.Log.Warn("lease in doubt, the table was restored", slog.Uint64("era", uint64(c.State.era)),
		slog.Bool("held", c.State.heldThrough), slog.Uint64("fencing", uint64(c.State.record.Fencing)))
	c.suspect = true
	c.wake.Notify()
}

// IsHolder reports whether this process holds the lease. It may still have to wait for
// the handover delay before it acts.
func (c *Controller) IsHolder() bool {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.State.isHolder && c.Clock() < c.State.actUntil
}

// Inherited returns the note of the holder before this one.
func (c *Controller) Inherited() string {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.State.inherited
}

// Holder returns the process that held the lease when the record was last read;
// empty if it is unknown or has released the lease.
func (c *Controller) Holder() fleet.NodeID {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.State.record.Released {
		return ""
	}
	return c.State.record.Node
}

// Deputy returns the process that was named as the deputy when the record was last read;
// empty if there is none.
func (c *Controller) Deputy() fleet.NodeID {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.State.record.Deputy
}

// Unpromised returns how long this process has held the lease without a promise of the deputies
// that it named; 0 if it is not the holder or named none.
func (c *Controller) Unpromised() time.Duration {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	if deputy, _, _, found := c.State.Deputy(); !found || deputy == "" {
		return 0
	}
	return c.Clock() - c.promisedAt
}

// Suspected reports whether the holder is suspected to have failed.
func (c *Controller) Suspected() bool {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspect
}

// Suspect makes the controller read the record, because the holder does not
// respond or says that it is not the holder.
func (c *Controller) Suspect() {
	c.init()
	c.mu.Lock()
	already := c.suspect
	c.suspect = true
	c.mu.Unlock()
	if !already {
		c.wake.Notify()
	}
}

// ClearSuspicion ends the suspicion that the holder has failed.
func (c *Controller) ClearSuspicion() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspect = false
}

// Run acquires and renews the lease, or watches its holder, until the context
// ends.
func (c *Controller) Run(ctx context.Context) error {
	c.init()
	var group sync.WaitGroup
	defer group.Wait()
	if c.Peers != nil {
		group.Go(func() { c.requestPromises(ctx) })
	}
	for ctx.Err() == nil {
		c.wake.Wait(ctx, c.step(ctx))
	}
	return nil
}

// step performs the action that is due and returns the time until the next step.
func (c *Controller) step(ctx context.Context) time.Duration {
	c.mu.Lock()
	c.syncEra()
	isHolder, suspect, released := c.State.isHolder, c.suspect || c.requestOverdue(), c.released
	c.mu.Unlock()
	switch {
	case released:
		return time.Second
	case isHolder:
		if c.renew(ctx) {
			return c.State.LeaseDuration / renewalsPerLease
		}
	case suspect:
		c.tryClaim(ctx)
		return c.retryPause()
	default:
		return time.Second
	}
	return retryInterval
}

// retryPause returns the time until the next read of the record while its holder is
// suspected to have failed.
func (c *Controller) retryPause() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failedReads == 0 || c.State.isHolder || c.mayClaimAtOnce() {
		return retryInterval
	}
	return wait.Jitter(retryInterval << min(c.failedReads-1, maxRetryDoublings))
}

// tryClaim reads the record and claims the lease if it can be claimed.
func (c *Controller) tryClaim(ctx context.Context) {
	c.mu.Lock()
	failed := c.failedReads > 0
	c.mu.Unlock()
	if !c.refresh(ctx) {
		return
	}
	c.mu.Lock()
	skipDelay := c.mayClaimAtOnce()
	record, expect, ok := c.State.Claim(c.Clock())
	ok = ok && !c.released
	c.mu.Unlock()
	if failed && !skipDelay {
		return // The former holder reads the record within retryInterval, and claims first.
	}
	if !ok || !skipDelay && !c.waitClaimDelay(ctx, expect) {
		return
	}
	sent := c.Clock()
	err := c.writeRecord(ctx, record, expect)
	if errors.Is(err, table.ErrOutcomeUnknown) {
		err = c.confirmWrite(ctx, record, expect)
	}
	if err != nil {
		c.Log.Info("lease claim failed", slog.Any("error", err))
		if errors.Is(err, table.ErrConflict) {
			c.refresh(ctx) // Another process claimed first: its name is needed at once.
		}
		return
	}
	c.mu.Lock()
	released := c.released
	if !released {
		c.State.ClaimSucceeded(sent, c.Clock(), record, expect+1)
		c.promisedAt = c.Clock()
	}
	handoverLeft := c.State.actFrom - c.Clock()
	c.mu.Unlock()
	if released {
		c.Log.Info("lease gained after its release", slog.Uint64("fencing", uint64(record.Fencing)))
		c.Release(ctx) // The release may have read the record before the claim took effect.
		return
	}
	c.Log.Info("lease gained", slog.Uint64("fencing", uint64(record.Fencing)), slog.Duration("actsIn", max(0, handoverLeft)))
}

// HolderVM returns the VM that held the lease when the record was last read; empty if it is
// unknown. A process that starts on it may claim the lease at once.
func (c *Controller) HolderVM() string {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.State.record.Holder
}

// mayClaimAtOnce reports whether this process may claim the lease without the claim
// delay. The caller holds the lock.
func (c *Controller) mayClaimAtOnce() bool {
	return c.State.record.Holder == c.State.VM || c.State.IsDeputy()
}

// waitClaimDelay waits for the claim delay, so that better suited VMs can claim
// first, and reports whether the lease can still be claimed after it.
func (c *Controller) waitClaimDelay(ctx context.Context, expect table.Version) bool {
	if c.ClaimDelay == nil {
		return true
	}
	waited := time.Duration(0)
	for waited < c.ClaimDelay() {
		// The delay may change while other VMs become known.
		if !wait.For(ctx, claimDelayInterval) {
			return false
		}
		waited += claimDelayInterval
	}
	if waited == 0 {
		return true
	}
	if !c.refresh(ctx) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_, version, ok := c.State.Claim(c.Clock())
	return ok && version == expect && !c.released
}

// confirmWrite returns nil if a write whose response was lost took effect, and
// [table.ErrConflict] if it did not.
func (c *Controller) confirmWrite(ctx context.Context, record Record, expect table.Version) error {
	stored, version, err := c.readRecord(ctx)
	switch {
	case err != nil:
		return err
	case version == expect+1 && stored == record:
		return nil
	default:
		return table.ErrConflict
	}
}

// renew renews the lease and reports whether that succeeded.
func (c *Controller) renew(ctx context.Context) bool {
	note := ""
	if c.Note != nil {
		note = c.Note()
	}
	c.mu.Lock()
	record, expect := c.State.Renewal(c.Clock(), c.chooseDeputy())
	c.mu.Unlock()
	record.Note = note
	sent := c.Clock()
	err := c.writeRecord(ctx, record, expect)
	if errors.Is(err, table.ErrOutcomeUnknown) || errors.Is(err, table.ErrConflict) {
		// This renewal or an earlier one may have taken effect, at an unknown time.
		// It does not extend the right to act.
		stored, version, readErr := c.readRecord(ctx)
		if readErr != nil {
			return false
		}
		c.observe(stored, version)
		return false
	}
	if err != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.State.RenewalSucceeded(sent, record, expect+1)
	return true
}

// refresh reads the record, updates the state with it, and reports whether the
// record could be read.
func (c *Controller) refresh(ctx context.Context) bool {
	record, version, err := c.readRecord(ctx)
	c.mu.Lock()
	if err != nil {
		c.failedReads++
	} else {
		c.failedReads = 0
	}
	c.mu.Unlock()
	if err != nil {
		return false
	}
	c.observe(record, version)
	return true
}

func (c *Controller) observe(record Record, version table.Version) {
	c.mu.Lock()
	wasHolder, formerNode := c.State.isHolder, c.State.record.Node
	c.State.Observe(c.Clock(), record, version)
	lost := wasHolder && !c.State.isHolder
	c.mu.Unlock()
	if record.Node != formerNode {
		c.Log.Info("lease seen", slog.String("holder", record.Holder), slog.String("node", string(record.Node)),
			slog.Uint64("fencing", uint64(record.Fencing)), slog.Bool("released", record.Released))
	}
	if lost {
		c.Log.Warn("lease lost", slog.String("holder", record.Holder))
	}
}

// readRecord reads the record. One that can't be decoded, because another writer has
// overwritten it, is a record of an unknown holder.
func (c *Controller) readRecord(ctx context.Context) (record Record, version table.Version, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, err = table.ReadJSON(ctx, c.Store, c.Key, &record)
	if err != nil && version != table.Absent {
		c.recordUnreadable(version, err)
		return Record{Era: version.Era()}, version, nil
	}
	return record, version, err
}

// recordUnreadable logs a version of the record that can't be decoded, once.
func (c *Controller) recordUnreadable(version table.Version, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version == c.unreadable {
		return
	}
	c.unreadable = version
	c.Log.Warn("lease record cannot be decoded", slog.Any("error", err))
}

// writeRecord writes the record, without its note if the table rejects it with that: the note
// may be more than it takes.
func (c *Controller) writeRecord(ctx context.Context, record Record, expect table.Version) error {
	err := c.writeOnce(ctx, record, expect)
	if record.Note == "" || !errors.Is(err, table.ErrRejected) {
		return err
	}
	c.Log.Warn("lease record rejected, written without its note", slog.Int("noteBytes", len(record.Note)), slog.Any("error", err))
	record.Note = ""
	return c.writeOnce(ctx, record, expect)
}

// writeOnce writes the record once.
func (c *Controller) writeOnce(ctx context.Context, record Record, expect table.Version) error {
	body, err := json.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode lease record")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.Store.Transact(ctx, table.Token(uuid.NewString()), []table.Write{{Key: c.Key, Expect: expect, Body: body}})
}

// maxReleaseAttempts is the maximum number of attempts to write the release of a
// lease.
const maxReleaseAttempts = 4

// Release permanently ends the right of this process to act and writes the release
// to the table, also if the outcome of a claim is still unknown.
func (c *Controller) Release(ctx context.Context) {
	c.init()
	c.mu.Lock()
	c.State.isHolder, c.released = false, true
	c.mu.Unlock()
	for range maxReleaseAttempts {
		record, version, err := c.readRecord(ctx)
		if err == nil && (record.Node != c.State.Node || record.Released) {
			return
		}
		if err == nil {
			record.Released = true
			err = c.writeRecord(ctx, record, version)
		}
		if err == nil {
			c.Log.Info("lease released")
			return
		}
		c.Log.Warn("lease release failed", slog.Any("error", err))
	}
}
