package poison

import (
	"cmp"
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/internal/logs"
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
	defaultPoll  = 2 * time.Second
	tableTimeout = time.Second
	// catchUpTimeout bounds the delay of a further attempt after a crash.
	catchUpTimeout = 200 * time.Millisecond
	maxTries       = 4
	pollLimit      = 500
)

// Controller keeps a [Book] and shares it. Its exported fields are set before
// first use.
type Controller struct {
	Store table.Store
	Node  fleet.NodeID
	// Spread, if set, tells the other nodes of a notice without waiting. Their
	// nodes call Learn.
	Spread func(Notice)
	// PollInterval is the time between two reads of the table; 0 means 2 s.
	PollInterval time.Duration
	Log          *slog.Logger
	Metrics      metrics.Registry

	once                     sync.Once
	mu                       sync.Mutex
	book                     Book
	trying                   map[Digest]bool
	crashes, refused, trials metrics.Counter
}

func (c *Controller) setUp() {
	c.Log = logs.OrDiscard(c.Log)
	c.Metrics = metric.OrNew(c.Metrics)
	c.trying = make(map[Digest]bool)
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

// Crashed notes the crash of a server against the requests that ran on it. The
// other nodes are told in the background; a trial tells them before it begins.
func (c *Controller) Crashed(server fleet.ServerID, boot fleet.BootID, aboard []Digest) {
	c.once.Do(c.setUp)
	c.catchUp()
	now := time.Now()
	c.mu.Lock()
	blamed := c.book.Blame(now, server, boot, aboard)
	notices := make([]Notice, 0, len(blamed))
	for _, digest := range blamed {
		notices = append(notices, c.book.Crashed(now, digest, server, boot))
	}
	c.mu.Unlock()
	c.crashes.Inc(int64(len(notices)))
	c.Log.Warn("backend server crashed", slog.String("server", string(server)), slog.Int("suspects", len(notices)))
	go func() {
		for _, notice := range notices {
			c.share(context.Background(), notice)
		}
	}()
}

// Cleared notes that a suspect ended well.
func (c *Controller) Cleared(ctx context.Context, digest Digest) {
	c.mu.Lock()
	notice := c.book.Cleared(time.Now(), digest)
	c.mu.Unlock()
	c.share(ctx, notice)
}

// Trial asks for the right to run a suspect once more on the given server. No
// two nodes get it at the same time while the table can be reached; without the
// table the right is given if no other node is known to have it. If the verdict
// is [Alone] the caller must end the trial with EndTrial.
func (c *Controller) Trial(ctx context.Context, digest Digest, trial Trial) (Verdict, time.Time) {
	trial.Node = c.Node
	c.once.Do(c.setUp)
	c.mu.Lock()
	busy := c.trying[digest]
	c.trying[digest] = true
	c.mu.Unlock()
	if busy {
		return Refuse, trial.End
	}
	verdict, until := c.ask(ctx, digest, trial)
	if verdict != Alone {
		c.EndTrial(digest)
	}
	return verdict, until
}

// EndTrial ends what Trial began.
func (c *Controller) EndTrial(digest Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.trying, digest)
}

func (c *Controller) ask(ctx context.Context, digest Digest, trial Trial) (Verdict, time.Time) {
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
			return Refuse, notice.Trial.End
		}
		notice.Trial = trial
		if err = c.put(ctx, notice, version); err == nil {
			c.trials.Inc(1)
			c.begin(notice)
			return Alone, notice.Until
		}
		if !errors.Is(err, table.ErrConflict) {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if notice := c.book.Get(digest); trialElsewhere(time.Now(), notice, c.Node) {
		return Refuse, notice.Trial.End
	}
	return c.book.Check(time.Now(), digest)
}

// begin tells this and the other nodes of a trial.
func (c *Controller) begin(notice Notice) {
	c.Learn(notice)
	if c.Spread != nil {
		c.Spread(notice)
	}
}

func trialElsewhere(now time.Time, notice Notice, node fleet.NodeID) bool {
	return notice.Trial.Node != "" && notice.Trial.Node != node && now.Before(notice.Trial.End)
}

// catchUp reads the notices in the table before a crash is held against
// anyone, since another node may have a suspect on trial on the server.
func (c *Controller) catchUp() {
	ctx, cancel := context.WithTimeout(context.Background(), catchUpTimeout)
	defer cancel()
	c.poll(ctx)
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
	if err := c.Store.Transact(ctx, table.Token(uuid.NewString()), []table.Write{write}); err != nil {
		return errors.Wrapf(err, "notice %s", notice.Digest)
	}
	return nil
}

// Run learns the notices in the table until the context ends and deletes those
// that have expired.
func (c *Controller) Run(ctx context.Context) error {
	c.once.Do(c.setUp)
	ticker := time.NewTicker(cmp.Or(c.PollInterval, defaultPoll))
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
