package poison

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/internal/metric"
	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Metrics lists the metrics that a [Controller] registers.
var Metrics = []metric.Doc{
	{Name: crashesName, Kind: metric.Counter, Help: "crashes of backend servers held against a request"},
	{Name: refusedName, Kind: metric.Counter, Help: "requests refused because they crash backend servers"},
	{Name: trialsName, Kind: metric.Counter, Help: "suspected requests that were run apart from others"},
}

const (
	crashesName = "poison.crashes"
	refusedName = "poison.refused"
	trialsName  = "poison.trials"
)

// Timing and size of the exchange of notices through the table.
const (
	partition    = "poison"
	pollInterval = 2 * time.Second
	tableTimeout = time.Second
	maxTries     = 4
	pollLimit    = 500
)

// Controller keeps a [Book] and shares it. Its exported fields are set before
// first use.
type Controller struct {
	Store table.Store
	Node  fleet.NodeID
	// Spread, if set, tells the other nodes of a notice without waiting. Their
	// nodes call Learn.
	Spread  func(Notice)
	Log     *slog.Logger
	Metrics metrics.Registry

	once                     sync.Once
	mu                       sync.Mutex
	book                     Book
	crashes, refused, trials metrics.Counter
}

func (c *Controller) setUp() {
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	c.crashes = metrics.GetOrRegisterCounter(crashesName, c.Metrics)
	c.refused = metrics.GetOrRegisterCounter(refusedName, c.Metrics)
	c.trials = metrics.GetOrRegisterCounter(trialsName, c.Metrics)
}

// Check says how a request may run, and until when it is refused.
func (c *Controller) Check(digest Digest) (Verdict, time.Time) {
	c.once.Do(c.setUp)
	c.mu.Lock()
	defer c.mu.Unlock()
	verdict, until := c.book.Check(time.Now(), digest)
	if verdict == Refuse {
		c.refused.Inc(1)
	}
	return verdict, until
}

// Learn takes in a notice of another node.
func (c *Controller) Learn(notice Notice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.book.Learn(time.Now(), notice)
}

// Crashed notes the crash of a server against the requests that ran on it and
// returns when the other nodes can know.
func (c *Controller) Crashed(ctx context.Context, server fleet.ServerID, boot fleet.BootID, aboard []Digest) {
	c.once.Do(c.setUp)
	now := time.Now()
	c.mu.Lock()
	blamed := c.book.Blame(now, aboard)
	notices := make([]Notice, 0, len(blamed))
	for _, digest := range blamed {
		notices = append(notices, c.book.Crashed(now, digest, server, boot))
	}
	c.mu.Unlock()
	c.crashes.Inc(int64(len(notices)))
	c.Log.Warn("backend server crashed", slog.String("server", string(server)), slog.Int("suspects", len(notices)))
	var sharing sync.WaitGroup
	for _, notice := range notices {
		sharing.Go(func() { c.share(ctx, notice) })
	}
	sharing.Wait()
}

// Cleared notes that a suspect ended well.
func (c *Controller) Cleared(ctx context.Context, digest Digest) {
	c.mu.Lock()
	notice := c.book.Cleared(time.Now(), digest)
	c.mu.Unlock()
	c.share(ctx, notice)
}

// Trial asks for the right to run a suspect once more until the given time. No
// two nodes get it at the same time while the table can be reached; without the
// table the right is given if no other node is known to have it.
func (c *Controller) Trial(ctx context.Context, digest Digest, end time.Time) (Verdict, time.Time) {
	c.once.Do(c.setUp)
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	for range maxTries {
		notice, version, err := c.current(ctx, digest)
		if err != nil {
			break
		}
		now := time.Now()
		if verdict, until := c.Check(digest); verdict != Alone {
			return verdict, until
		}
		if trialElsewhere(now, notice, c.Node) {
			return Refuse, notice.TrialEnd
		}
		notice.Trial, notice.TrialEnd = c.Node, end
		if err = c.put(ctx, notice, version); err == nil {
			c.trials.Inc(1)
			return Alone, notice.Until
		}
		if !errors.Is(err, table.ErrConflict) {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if notice := c.book.Get(digest); trialElsewhere(time.Now(), notice, c.Node) {
		return Refuse, notice.TrialEnd
	}
	return c.book.Check(time.Now(), digest)
}

func trialElsewhere(now time.Time, notice Notice, node fleet.NodeID) bool {
	return notice.Trial != "" && notice.Trial != node && now.Before(notice.TrialEnd)
}

// share merges a notice into the table and tells the other nodes.
func (c *Controller) share(ctx context.Context, notice Notice) {
	if c.Spread != nil {
		c.Spread(notice)
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	for range maxTries {
		merged, version, err := c.current(ctx, notice.Digest)
		if err != nil {
			return
		}
		if err = c.put(ctx, merged, version); !errors.Is(err, table.ErrConflict) {
			return
		}
	}
}

// current merges the table's notice of a digest into the book and returns the
// result with the version of the record.
func (c *Controller) current(ctx context.Context, digest Digest) (notice Notice, version table.Version, err error) {
	record, err := c.Store.Get(ctx, key(digest))
	if err != nil && !errors.Is(err, table.ErrNotFound) {
		return notice, 0, errors.Wrapf(err, "notice %s", digest)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		var found Notice
		if err := json.Unmarshal(record.Body, &found); err != nil {
			return notice, 0, errors.Wrapf(err, "notice %s", digest)
		}
		return c.book.Learn(time.Now(), found), record.Version, nil
	}
	return c.book.Get(digest), table.Absent, nil
}

func key(digest Digest) table.Key { return table.Key{Partition: partition, Sort: string(digest)} }

func (c *Controller) put(ctx context.Context, notice Notice, version table.Version) error {
	body, err := json.Marshal(notice)
	if err != nil {
		return errors.Wrapf(err, "notice %s", notice.Digest)
	}
	write := table.Write{Key: key(notice.Digest), Expect: version, Body: body}
	return errors.Wrapf(c.Store.Transact(ctx, table.Token(uuid.NewString()), []table.Write{write}),
		"notice %s", notice.Digest)
}

// Run learns the notices in the table until the context ends and deletes those
// that have expired.
func (c *Controller) Run(ctx context.Context) error {
	c.once.Do(c.setUp)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		c.poll(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *Controller) poll(ctx context.Context) {
	records, err := c.Store.Query(ctx, table.Range{Partition: partition, Limit: pollLimit})
	if err != nil {
		return
	}
	now := time.Now()
	for _, record := range records {
		var notice Notice
		if json.Unmarshal(record.Body, &notice) != nil {
			continue
		}
		if now.After(notice.Until.Add(Keep)) {
			write := table.Write{Key: record.Key, Expect: record.Version}
			_ = c.Store.Transact(ctx, table.Token(uuid.NewString()), []table.Write{write})
			continue
		}
		c.Learn(notice)
	}
}
