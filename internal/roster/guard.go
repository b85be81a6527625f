package roster

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/wait"
)

// ErrResponseLost reports that a response will not arrive: the source has answered a
// request that was sent later.
var ErrResponseLost = errors.New("response lost: the source has answered a later request")

// ErrNoResponse reports that the source has not answered a probe: it was away, at least for
// this node, during the read.
var ErrNoResponse = errors.New("the source did not answer a probe")

// Guard is a feed that gives up reads whose response was lost, however long the caller
// would wait for it. While a response is overdue it probes the source; once a probe is
// answered and the response still does not arrive, the read fails with
// [ErrResponseLost] and the caller can repeat it at once. A source that is merely slow is
// slow to answer probes too. The error of a read during which a probe was not answered is
// also [ErrNoResponse]. Calls must not overlap. The exported fields are set before
// use.
type Guard[T any] struct {
	Source Feed[T]
	// Probe makes a small read of the source over a connection of its own.
	Probe func(ctx context.Context) error
	// GaveUp is called when a response was given up: other connections of that time may
	// no longer deliver anything either. It may be nil.
	GaveUp func()

	// grace is how long a response may arrive after the answer to a probe.
	grace time.Duration
}

// Timing of a guard.
const (
	// overdueAfter is the time after which a response, or the next page of one, is
	// overdue, in addition to the time for which the source was asked to wait.
	overdueAfter = 300 * time.Millisecond
	// probeTimeout bounds one probe, probePause is the pause after one that failed.
	probeTimeout = 250 * time.Millisecond
	probePause   = 150 * time.Millisecond
	// minGrace and maxGrace bound the grace, which is multiplied by graceFactor with each
	// response that is given up until one arrives: on a saturated link a large response
	// may arrive long after a small one that was sent later.
	minGrace    = 200 * time.Millisecond
	maxGrace    = 10 * time.Second
	graceFactor = 3
)

var _ Feed[ServerEntry] = (*Guard[ServerEntry])(nil)

// List implements [Feed]. Each page of the list that arrives counts as a response of its
// own if the source reports it by [ReportProgress].
func (g *Guard[T]) List(ctx context.Context) (entries []T, revision Revision, err error) {
	err = g.read(ctx, overdueAfter, func(ctx context.Context) (err error) {
		entries, revision, err = g.Source.List(ctx)
		return err
	})
	return entries, revision, err
}

// Follow implements [Feed].
func (g *Guard[T]) Follow(
	ctx context.Context, after Revision, maxWait time.Duration,
) (changes []T, revision Revision, err error) {
	err = g.read(ctx, maxWait+overdueAfter, func(ctx context.Context) (err error) {
		changes, revision, err = g.Source.Follow(ctx, after, maxWait)
		return err
	})
	return changes, revision, err
}

// read runs a read whose response, or each page of it, is overdue after a time.
func (g *Guard[T]) read(ctx context.Context, overdue time.Duration, read func(ctx context.Context) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	g.grace = max(g.grace, minGrace)
	progress := &progress{at: time.Now()}
	prober := &prober{probe: g.Probe, progress: progress, overdue: overdue, grace: g.grace, giveUp: cancel}
	ended := make(chan struct{})
	timer := time.AfterFunc(overdue, func() {
		defer close(ended)
		prober.run(ctx)
	})
	err := read(context.WithValue(ctx, progressKey{}, progress))
	cancel(nil)
	if !timer.Stop() {
		<-ended
	}
	switch {
	case err == nil:
		g.grace = minGrace
	case errors.Is(context.Cause(ctx), ErrResponseLost):
		g.grace = min(graceFactor*g.grace, maxGrace)
		if g.GaveUp != nil {
			g.GaveUp()
		}
		err = ErrResponseLost
	}
	if err != nil && prober.unanswered > 0 {
		err = errors.Join(err, ErrNoResponse)
	}
	return err
}

// prober gives up a read once the source has answered a probe.
type prober struct {
	probe          func(ctx context.Context) error
	progress       *progress
	overdue, grace time.Duration
	giveUp         context.CancelCauseFunc
	// unanswered counts the probes that failed before the read ended.
	unanswered int
}

func (p *prober) run(ctx context.Context) {
	for ctx.Err() == nil {
		last := p.progress.last()
		if due := time.Until(last.Add(p.overdue)); due > 0 {
			wait.For(ctx, due)
			continue
		}
		if err := p.try(ctx); err != nil {
			if ctx.Err() == nil {
				p.unanswered++
			}
			wait.For(ctx, probePause)
			continue
		}
		wait.For(ctx, p.grace)
		if p.progress.last().Equal(last) {
			p.giveUp(ErrResponseLost)
		}
	}
}

// try makes one probe.
func (p *prober) try(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return p.probe(ctx)
}

// progress is when a part of a response arrived last, or when the read began.
type progress struct {
	mu sync.Mutex
	at time.Time
}

func (p *progress) last() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.at
}

type progressKey struct{}

// ReportProgress reports to the [Guard] of a read, if there is one, that a part of its
// response has arrived.
func ReportProgress(ctx context.Context) {
	guarded, ok := ctx.Value(progressKey{}).(*progress)
	if !ok {
		return
	}
	guarded.mu.Lock()
	defer guarded.mu.Unlock()
	guarded.at = time.Now()
}
