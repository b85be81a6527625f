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

// Timing of a controller.
const (
	// renewShare of the length is the time between two renewals.
	renewShare = 8
	// lookInterval is the time between two looks at a lease that another VM
	// seems to hold no more.
	lookInterval = 500 * time.Millisecond
	// yieldInterval is the time between two looks at who else may claim.
	yieldInterval = 50 * time.Millisecond
	// callTimeout bounds one call of the table.
	callTimeout = time.Second
)

// Controller holds a lease or watches who does. Its exported fields are set
// before Run.
type Controller struct {
	Term  Term
	Store table.Store
	Key   table.Key
	// Clock counts suspension; nil means [BootTime].
	Clock func() time.Duration
	// Yield returns how long to wait in all before a lease that is free is claimed,
	// so that VMs better suited go first. Nil means not at all.
	Yield func() time.Duration
	// Deputies returns the processes that may be named as the deputy, the best
	// first. Nil, or nil Peers, means that none is.
	Deputies func() []fleet.NodeID
	Peers    Peers
	Log      *slog.Logger

	once    sync.Once
	mu      sync.Mutex
	suspect bool
	wake    wait.Signal
	gaveUp  bool
	// refusals counts the deputy's missing answers in a row, askedAt is when this
	// process was asked as the deputy.
	refusals int
	askedAt  time.Duration
}

func (c *Controller) init() {
	c.once.Do(func() {
		c.wake = wait.NewSignal()
		c.suspect = true
		if c.Clock == nil {
			c.Clock = BootTime
		}
		c.Log = logs.OrDiscard(c.Log)
	})
}

// Holds reports whether this process may act now, and under which number.
func (c *Controller) Holds() (fleet.FencingNumber, bool) {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Term.Holds(c.Clock())
}

// Mine reports whether this process has the lease, although it may have to wait
// before it acts.
func (c *Controller) Mine() bool {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Term.mine && c.Clock() < c.Term.until
}

// Holder returns the process that held the lease when the record was last
// read; empty if unknown.
func (c *Controller) Holder() fleet.NodeID {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Term.record.Released {
		return ""
	}
	return c.Term.record.Node
}

// Suspect has the record read, since its holder does not answer or says that it
// is not the holder.
func (c *Controller) Suspect() {
	c.init()
	c.mu.Lock()
	already := c.suspect
	c.suspect = true
	c.mu.Unlock()
	if !already {
		c.wake.Give()
	}
}

// Trust ends a suspicion.
func (c *Controller) Trust() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspect = false
}

// Run holds or watches the lease until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	c.init()
	var attending sync.WaitGroup
	defer attending.Wait()
	if c.Peers != nil {
		attending.Go(func() { c.attend(ctx) })
	}
	for ctx.Err() == nil {
		c.wake.Wait(ctx, c.step(ctx))
	}
	return nil
}

// step does what is due and returns when to look again.
func (c *Controller) step(ctx context.Context) time.Duration {
	c.mu.Lock()
	mine, suspect, gaveUp := c.Term.mine, c.suspect || c.unasked(), c.gaveUp
	c.mu.Unlock()
	switch {
	case gaveUp:
		return time.Second
	case mine:
		if c.renew(ctx) {
			return c.Term.Length / renewShare
		}
	case suspect:
		c.look(ctx)
	default:
		return time.Second
	}
	return lookInterval
}

// look reads the record and claims the lease if it is to be had.
func (c *Controller) look(ctx context.Context) {
	if !c.read(ctx) {
		return
	}
	c.mu.Lock()
	own := c.Term.record.Holder == c.Term.Self || c.Term.IsDeputy()
	record, expect, wanted := c.Term.Claim(c.Clock())
	c.mu.Unlock()
	if !wanted || !own && !c.yield(ctx, expect) {
		return
	}
	sent := c.Clock()
	err := c.write(ctx, record, expect)
	if errors.Is(err, table.ErrUnknown) {
		err = c.settle(ctx, record, expect)
	}
	if err != nil {
		c.Log.Info("lease not gained", slog.Any("error", err))
		if errors.Is(err, table.ErrConflict) {
			c.read(ctx) // Another was faster: its name is needed at once.
		}
		return
	}
	c.mu.Lock()
	c.Term.Claimed(sent, c.Clock(), record, expect+1)
	from := c.Term.from - c.Clock()
	c.mu.Unlock()
	c.Log.Info("lease gained", slog.Uint64("fencing", uint64(record.Fencing)), slog.Duration("actsIn", max(0, from)))
}

// yield lets others go first, and reports whether the lease is still to be had
// after that.
func (c *Controller) yield(ctx context.Context, expect table.Version) bool {
	if c.Yield == nil {
		return true
	}
	waited := time.Duration(0)
	for waited < c.Yield() {
		// Others may become known meanwhile.
		if !wait.For(ctx, yieldInterval) {
			return false
		}
		waited += yieldInterval
	}
	if waited == 0 {
		return true
	}
	if !c.read(ctx) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_, now, wanted := c.Term.Claim(c.Clock())
	return wanted && now == expect && !c.gaveUp
}

// settle finds out whether a write whose answer was lost took effect.
func (c *Controller) settle(ctx context.Context, record Record, expect table.Version) error {
	held, version, err := c.fetch(ctx)
	switch {
	case err != nil:
		return err
	case version == expect+1 && held == record:
		return nil
	default:
		return table.ErrConflict
	}
}

// renew reports whether the lease was renewed.
func (c *Controller) renew(ctx context.Context) bool {
	c.mu.Lock()
	record, expect := c.Term.Renewal(c.Clock(), c.deputy())
	c.mu.Unlock()
	sent := c.Clock()
	err := c.write(ctx, record, expect)
	if errors.Is(err, table.ErrUnknown) || errors.Is(err, table.ErrConflict) {
		// This renewal or an earlier one may have taken effect, it is not known
		// when. The right is not extended for it.
		held, version, readErr := c.fetch(ctx)
		if readErr != nil {
			return false
		}
		c.seen(held, version)
		return false
	}
	if err != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Term.Renewed(sent, record, expect+1)
	return true
}

// read takes in the record and reports whether it could be read.
func (c *Controller) read(ctx context.Context) bool {
	record, version, err := c.fetch(ctx)
	if err != nil {
		return false
	}
	c.seen(record, version)
	return true
}

func (c *Controller) seen(record Record, version table.Version) {
	c.mu.Lock()
	before, was := c.Term.mine, c.Term.record.Node
	c.Term.Seen(c.Clock(), record, version)
	lost := before && !c.Term.mine
	c.mu.Unlock()
	if record.Node != was {
		c.Log.Info("lease seen", slog.String("holder", record.Holder), slog.String("node", string(record.Node)),
			slog.Uint64("fencing", uint64(record.Fencing)), slog.Bool("released", record.Released))
	}
	if lost {
		c.Log.Warn("lease lost", slog.String("holder", record.Holder))
	}
}

func (c *Controller) fetch(ctx context.Context) (record Record, version table.Version, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	found, err := c.Store.Get(ctx, c.Key)
	switch {
	case errors.Is(err, table.ErrNotFound):
		return Record{}, table.Absent, nil
	case err != nil:
		return Record{}, 0, err
	}
	if err := json.Unmarshal(found.Body, &record); err != nil {
		return Record{}, 0, errors.Wrap(err, "lease record")
	}
	return record, found.Version, nil
}

func (c *Controller) write(ctx context.Context, record Record, expect table.Version) error {
	body, err := json.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "lease record")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.Store.Transact(ctx, table.Token(uuid.NewString()), []table.Write{{Key: c.Key, Expect: expect, Body: body}})
}

// releaseTries is how often the release of a lease is written.
const releaseTries = 4

// GiveUp ends the right of this process for good and tells the others, also if
// a claim is on its way whose outcome is not known yet.
func (c *Controller) GiveUp(ctx context.Context) {
	c.init()
	c.mu.Lock()
	c.Term.mine, c.gaveUp = false, true
	c.mu.Unlock()
	for range releaseTries {
		record, version, err := c.fetch(ctx)
		if err == nil && (record.Node != c.Term.Node || record.Released) {
			return
		}
		if err == nil {
			record.Released = true
			err = c.write(ctx, record, version)
		}
		if err == nil {
			c.Log.Info("lease released")
			return
		}
		c.Log.Warn("lease not released", slog.Any("error", err))
	}
}
