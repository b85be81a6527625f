package poison

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
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

// Limits of the exchange of notices through the table.
const (
	partition           = "poison"
	defaultPollInterval = 2 * time.Second
	tableTimeout        = time.Second
	// catchUpTimeout bounds the time by which a crash delays the next attempt at
	// its requests.
	catchUpTimeout = 200 * time.Millisecond
	maxAttempts    = 4
	pollPageSize   = 500
)

// Controller replicates a [NoticeSet] between nodes, through the table and
// Publish. Its exported fields must be set before first use.
type Controller struct {
	Store table.Store
	Node  fleet.NodeID
	// Publish, if set, sends a notice to the other nodes without blocking. They
	// pass it to Merge.
	Publish func(Notice)
	// PollInterval is the time between two reads of the table; 0 means 2 s.
	PollInterval time.Duration
	Log          *slog.Logger
	Metrics      metrics.Registry

	once                     sync.Once
	mu                       sync.Mutex
	notices                  NoticeSet
	completed                completions  // of requests with parts, by part
	answered                 completions  // of requests, by their own digests
	known                    atomic.Int64 // the number of notices
	activeTrials             map[Digest]Trial
	crashes, refused, trials metrics.Counter
}

func (c *Controller) setUp() {
	c.Log = logs.OrDiscard(c.Log)
	c.Metrics = metric.OrNew(c.Metrics)
	c.activeTrials = make(map[Digest]Trial)
	c.crashes = metrics.GetOrRegisterCounter(crashesName, c.Metrics)
	c.refused = metrics.GetOrRegisterCounter(refusedName, c.Metrics)
	c.trials = metrics.GetOrRegisterCounter(trialsName, c.Metrics)
}

// Check returns the strictest verdict on a request and the parts of its prompt.
func (c *Controller) Check(digest Digest, parts []Digest) (finding Finding) {
	c.once.Do(c.setUp)
	if c.known.Load() == 0 {
		return Finding{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, part := range parts {
		finding = stricter(finding, c.find(now, part, parts))
	}
	finding = stricter(finding, c.find(now, digest, parts))
	if finding.Verdict == Refuse {
		c.refused.Inc(1)
	}
	return finding
}

// find returns the verdict on a digest of a request whose prompt has parts. Requests with
// a part that is on trial are refused, so that they don't wait for a server of their own in
// vain. The caller holds the lock.
func (c *Controller) find(now time.Time, digest Digest, parts []Digest) Finding {
	verdict, until := c.notices.CheckIn(now, digest, parts)
	if verdict == Unrestricted || verdict == Exclusive && c.isTrusted(now, digest) {
		return Finding{}
	}
	if verdict == Exclusive && digest.IsPart() {
		if _, active := c.activeTrials[digest]; active || trialOnOtherNode(now, c.notices.Get(digest), c.Node) {
			verdict, until = Refuse, now.Add(trialRetryAfter)
		}
	}
	return c.finding(now, digest, verdict, until)
}

// isTrusted reports whether a request needs no trial: its runs crashed together, while others
// were answered here lately. The caller holds the lock.
func (c *Controller) isTrusted(now time.Time, digest Digest) bool {
	return !digest.IsPart() && c.notices.crashCount(now, digest) < MaxCrashes && c.answered.lately(now, digest)
}

// finding returns a verdict with what it follows from. The caller holds the lock.
func (c *Controller) finding(now time.Time, digest Digest, verdict Verdict, until time.Time) Finding {
	return Finding{
		Verdict: verdict, Until: until, Digest: digest,
		Crashes: c.notices.crashCount(now, digest), Notice: c.notices.Get(digest),
	}
}

// Generation returns the generation of a crash by a run of a request that begins now.
func (c *Controller) Generation(digest Digest) int {
	if c.known.Load() == 0 {
		return 1
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.notices.Get(digest).generation()
}

// Merge merges a notice of another node. A part is cleared of its crashes if an answer
// to a request with it has begun later.
func (c *Controller) Merge(notice Notice) {
	c.once.Do(c.setUp)
	c.mu.Lock()
	now := time.Now()
	c.merge(now, notice)
	cleared := c.clearCompleted(now, notice.Digest)
	c.mu.Unlock()
	c.replicateAll(cleared)
}

// merge merges a notice and logs if it changes the verdict on a part. The caller holds
// the lock.
func (c *Controller) merge(now time.Time, notice Notice) Notice {
	before := c.partVerdict(now, notice.Digest)
	merged := c.notices.Merge(now, notice)
	c.known.Store(int64(len(c.notices.byDigest)))
	c.logPart(now, before, merged)
	return merged
}

// partVerdict returns the verdict on a part; that on a request is not needed. The caller
// holds the lock.
func (c *Controller) partVerdict(now time.Time, digest Digest) Verdict {
	if !digest.IsPart() {
		return Unrestricted
	}
	verdict, _ := c.notices.Check(now, digest)
	return verdict
}

// partVerdictNames names the verdicts on a part in the log.
var partVerdictNames = map[Verdict]string{Unrestricted: "cleared", Exclusive: "suspected", Refuse: "refused"}

// logPart logs a change of the verdict on a part. The caller holds the lock.
func (c *Controller) logPart(now time.Time, before Verdict, notice Notice) {
	verdict := c.partVerdict(now, notice.Digest)
	if verdict == before {
		return
	}
	c.Log.Warn("prompt part judged", slog.String("part", string(notice.Digest)), slog.String("verdict", partVerdictNames[verdict]),
		slog.Int("crashes", notice.CrashCount()), slog.Int("unexplained", c.notices.crashCount(now, notice.Digest)),
		slog.Time("lastSuccess", notice.ClearedAt))
}

// clearCompleted clears digests of the crashes before the latest completed answer of this
// node began. It returns the notices of parts that this changed. A request is cleared at this
// node alone: others that answer it do the same, and if all sent that to all, a read that is
// popular at many nodes would cost as many messages to each for every crash. The caller holds the
// lock.
func (c *Controller) clearCompleted(now time.Time, digests ...Digest) (cleared []Notice) {
	for _, digest := range digests {
		began := c.completionsOf(digest).last(digest)
		notice := c.notices.Get(digest)
		if began.IsZero() || !slices.ContainsFunc(notice.Crashes, func(crash Crash) bool {
			return crash.At.After(notice.ClearedAt) && !crash.At.After(began)
		}) {
			continue
		}
		success := Notice{Digest: digest, ClearedAt: began, ExpiresAt: now.Add(NoticeLifetime)}
		if merged := c.merge(now, success); digest.IsPart() {
			cleared = append(cleared, merged)
		}
	}
	return cleared
}

// completionsOf returns the record of completed answers that a digest belongs to.
func (c *Controller) completionsOf(digest Digest) *completions {
	if digest.IsPart() {
		return &c.completed
	}
	return &c.answered
}

// RecordCompletion records that a request was answered, and when the answer began. What
// crashes servers does so as an answer begins, so it clears the request and the parts of its
// prompt of the crashes before.
func (c *Controller) RecordCompletion(began time.Time, digest Digest, parts []Digest) {
	c.once.Do(c.setUp)
	c.mu.Lock()
	now := time.Now()
	c.answered.record(now, began, digest)
	for _, part := range parts {
		c.completed.record(now, began, part)
	}
	var cleared []Notice
	if c.known.Load() > 0 {
		cleared = c.clearCompleted(now, append(slices.Clone(parts), digest)...)
	}
	c.mu.Unlock()
	c.replicateAll(cleared)
}

// RecordCrash records the crash of a server against the requests that ran on
// it and the parts of their prompts. The notices are replicated in the background; a
// trial writes its notice to the table before it begins.
func (c *Controller) RecordCrash(server fleet.ServerID, boot fleet.BootID, runs []Run) {
	c.once.Do(c.setUp)
	c.catchUp()
	now := time.Now()
	running := make([]Digest, len(runs))
	generations := make(map[Digest]int, len(runs))
	for i, run := range runs {
		running[i] = run.Digest
		generations[run.Digest] = earlierGeneration(generations[run.Digest], run.Generation)
	}
	c.mu.Lock()
	parts := blamedParts(now, runs, &c.completed)
	suspects := c.notices.Suspects(now, server, boot, running)
	notices := make([]Notice, 0, len(parts)+len(suspects))
	described := make([]string, 0, maxLoggedParts)
	for _, digest := range slices.Concat(parts, suspects) {
		before, verdict := c.notices.Get(digest), c.partVerdict(now, digest)
		crash := Crash{Server: server, Boot: boot, At: now}
		generation, ran := generations[digest]
		switch {
		case digest.IsPart():
		case ran:
			crash.Generation = generation
		default: // the trial of another node
			crash.Generation = before.generation()
		}
		notice := c.notices.RecordCrash(digest, crash)
		notices = append(notices, notice)
		c.logPart(now, verdict, notice)
		if digest.IsPart() && len(described) < maxLoggedParts {
			described = append(described, describeBlame(now, before, notice, c.completed.last(digest)))
		}
	}
	c.known.Store(int64(len(c.notices.byDigest)))
	c.mu.Unlock()
	c.crashes.Inc(int64(len(notices)))
	c.Log.Warn("backend server crashed", slog.String("server", string(server)), slog.Int("suspects", len(suspects)),
		slog.Int("parts", len(parts)), slog.Any("blamed", described))
	c.replicateAll(notices)
}

// maxLoggedParts bounds the parts that the log line of a crash describes.
const maxLoggedParts = 8

// describeBlame describes a crash that was recorded against a part.
func describeBlame(now time.Time, before, after Notice, completed time.Time) string {
	answered := "never"
	if !completed.IsZero() {
		answered = now.Sub(completed).Round(time.Millisecond).String() + " ago"
	}
	return fmt.Sprintf("%s: crashes %d to %d, answered %s", after.Digest, before.CrashCount(), after.CrashCount(), answered)
}

// replicateAll replicates notices in the background. All are sent to the other nodes
// before the first is written to the table, which may be slow.
func (c *Controller) replicateAll(notices []Notice) {
	if len(notices) == 0 {
		return
	}
	go func() {
		if c.Publish != nil {
			for _, notice := range notices {
				c.Publish(notice)
			}
		}
		for _, notice := range notices {
			c.store(context.Background(), notice)
		}
	}()
}

// RecordSuccess records that a request that was run in a trial succeeded, and tells the other
// nodes. It does so even if [Controller.RecordCompletion] has cleared the request here already,
// which the others don't learn.
func (c *Controller) RecordSuccess(ctx context.Context, digest Digest) {
	c.mu.Lock()
	if len(c.notices.Get(digest).Crashes) == 0 {
		c.mu.Unlock()
		return
	}
	notice := c.notices.RecordSuccess(time.Now(), digest)
	c.known.Store(int64(len(c.notices.byDigest)))
	c.mu.Unlock()
	c.replicate(ctx, notice)
}

// catchUp reads the notices in the table before a crash is recorded against any
// request, since another node may have a suspect on trial on the server.
func (c *Controller) catchUp() {
	ctx, cancel := context.WithTimeout(context.Background(), catchUpTimeout)
	defer cancel()
	c.poll(ctx)
}

// replicate sends a notice to the other nodes and merges it into the table.
func (c *Controller) replicate(ctx context.Context, notice Notice) {
	if c.Publish != nil {
		c.Publish(notice)
	}
	c.store(ctx, notice)
}

// store merges a notice into the table. If that fails, the table gets it with the next
// notice of the digest.
func (c *Controller) store(ctx context.Context, notice Notice) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	for range maxAttempts {
		merged, version, err := c.mergeStored(ctx, notice.Digest)
		if err != nil {
			return
		}
		if err = c.put(ctx, merged, version); !errors.Is(err, table.ErrConflict) {
			return
		}
	}
}

// mergeStored merges the table's notice of a digest into the notices of this
// node and returns the result with the version of the table record.
func (c *Controller) mergeStored(ctx context.Context, digest Digest) (notice Notice, version table.Version, err error) {
	var stored Notice
	if version, err = table.ReadJSON(ctx, c.Store, key(digest), &stored); err != nil {
		return notice, version, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if version == table.Absent {
		return c.notices.Get(digest), version, nil
	}
	return c.merge(time.Now(), stored), version, nil
}

func key(digest Digest) table.Key { return table.Key{Partition: partition, Sort: string(digest)} }

// put writes a notice over a version of its record, along with other writes.
func (c *Controller) put(ctx context.Context, notice Notice, version table.Version, others ...table.Write) error {
	body, err := json.Marshal(notice)
	if err != nil {
		return errors.Wrapf(err, "encode poison notice %s", notice.Digest)
	}
	write := table.Write{Key: key(notice.Digest), Expect: version, Body: body}
	if err := c.Store.Transact(ctx, table.Token(uuid.NewString()), append(others, write)); err != nil {
		return errors.Wrapf(err, "write poison notice %s", notice.Digest)
	}
	return nil
}

// delete deletes a record that has a version.
func (c *Controller) delete(ctx context.Context, key table.Key, version table.Version) error {
	return c.Store.Transact(ctx, table.Token(uuid.NewString()), []table.Write{{Key: key, Expect: version}})
}

// Run polls the table until the context ends. It merges the notices into those
// of this node and deletes those that expired more than [NoticeLifetime] ago.
func (c *Controller) Run(ctx context.Context) error {
	c.once.Do(c.setUp)
	ticker := time.NewTicker(cmp.Or(c.PollInterval, defaultPollInterval))
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

// poll merges the notices in the table into those of this node and deletes old
// ones.
func (c *Controller) poll(ctx context.Context) {
	records, err := c.Store.Query(ctx, table.Range{Partition: partition, Limit: pollPageSize})
	if err != nil {
		return
	}
	if len(records) == pollPageSize {
		// Notices of parts are needed most, and sort last.
		parts, err := c.Store.Query(ctx, table.Range{Partition: partition, Prefix: partPrefix, Limit: pollPageSize})
		if err != nil {
			return
		}
		records = append(records, parts...)
	}
	now := time.Now()
	for _, record := range records {
		if isReservation(record.Key) {
			c.deleteOld(ctx, record, now)
			continue
		}
		var notice Notice
		if json.Unmarshal(record.Body, &notice) != nil {
			continue
		}
		if now.After(notice.ExpiresAt.Add(NoticeLifetime)) {
			_ = c.delete(ctx, record.Key, record.Version)
			continue
		}
		c.Merge(notice)
	}
}
