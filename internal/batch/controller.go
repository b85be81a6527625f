package batch

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"net/http"
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
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

// ErrKeyReused reports that the idempotency key belongs to a job with a
// different request.
var ErrKeyReused = errors.New("the idempotency key was used for another job")

// Metrics lists the metrics that a [Controller] registers.
var Metrics = []metric.Doc{
	{Name: submittedName, Kind: metric.Counter, Help: "jobs stored"},
	{Name: attemptsName, Kind: metric.Counter, Help: "attempts to run a stored job"},
	{Name: answeredName, Kind: metric.Counter, Help: "jobs whose answer was recorded"},
}

const (
	submittedName = "jobs.submitted"
	attemptsName  = "jobs.attempts"
	answeredName  = "jobs.answered"
)

// Result is the result of one attempt at a job.
type Result struct {
	// Answer is nil if the job is to be retried, at the earliest after
	// RetryAfter.
	Answer     *Answer
	RetryAfter time.Duration
}

// Intervals and limits of a [Controller].
const (
	pollInterval  = 500 * time.Millisecond
	renewInterval = 20 * time.Second
	tableTimeout  = 3 * time.Second
	queryLimit    = 100
	// maxRunning is the maximum number of jobs that a node runs concurrently.
	maxRunning = 16
	// maxRecordAttempts is the maximum number of attempts to record an answer.
	// If all fail, the lease expires and the job runs again.
	maxRecordAttempts = 20
	recordRetryPause  = 250 * time.Millisecond
	// Expired jobs are searched for at a long interval and in small pages, since
	// job records contain complete answers.
	expiryInterval = 20 * time.Minute
	expiryLimit    = 20
)

// Controller stores jobs, runs them and records their answers. Set the exported
// fields before the first use.
type Controller struct {
	Store table.Store
	Node  fleet.NodeID
	// Execute makes one attempt at a job.
	Execute func(ctx context.Context, job Job) Result
	Rand    *rand.Rand
	Log     *slog.Logger
	Metrics metrics.Registry

	setUpOnce                     sync.Once
	runningJobs                   sync.WaitGroup
	runSlots                      chan struct{}
	stop, runEnded                chan struct{}
	started                       atomic.Bool
	stopOnce                      sync.Once
	submitted, attempts, answered metrics.Counter
	shard                         int
}

func (c *Controller) setUp() {
	c.Log = logs.OrDiscard(c.Log)
	c.Metrics = metric.OrNew(c.Metrics)
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	c.stop, c.runEnded = make(chan struct{}), make(chan struct{})
	c.runSlots = make(chan struct{}, maxRunning)
	c.shard = c.Rand.IntN(shardCount)
	c.submitted = metrics.GetOrRegisterCounter(submittedName, c.Metrics)
	c.attempts = metrics.GetOrRegisterCounter(attemptsName, c.Metrics)
	c.answered = metrics.GetOrRegisterCounter(answeredName, c.Metrics)
}

// Submit stores a job. If it returns without an error, the job will be answered.
// Submitting a job again under the same ID returns the stored one. Errors are
// [ErrKeyReused] and those of [table.Store]; only table.ErrOutcomeUnknown leaves
// it open whether the job was stored.
func (c *Controller) Submit(ctx context.Context, job Job) (stored Job, err error) {
	c.setUpOnce.Do(c.setUp)
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	writes, err := newJob(job)
	if err != nil {
		return job, err
	}
	token := table.Token(uuid.NewString())
	err = c.transact(ctx, token, writes)
	if err == nil {
		c.submitted.Inc(1)
		return job, nil
	}
	if table.NotWritten(err) {
		return job, errors.Wrapf(err, "job %s", job.ID)
	}
	stored, _, fetchErr := c.Fetch(ctx, job.ID)
	switch {
	case fetchErr != nil:
		return job, errors.Wrapf(table.ErrOutcomeUnknown, "job %s", job.ID)
	case stored.Path != job.Path || string(stored.Body) != string(job.Body):
		return stored, ErrKeyReused
	}
	return stored, nil
}

func newJob(job Job) ([]table.Write, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return nil, errors.Wrapf(err, "job %s", job.ID)
	}
	entry, err := json.Marshal(QueueEntry{ID: job.ID, Deadline: job.Deadline})
	if err != nil {
		return nil, errors.Wrapf(err, "job %s", job.ID)
	}
	return []table.Write{{Key: job.ID.jobKey(), Body: body}, {Key: job.ID.queueKey(), Body: entry}}, nil
}

// Fetch reads a job and the version of its record.
func (c *Controller) Fetch(ctx context.Context, id JobID) (job Job, version table.Version, err error) {
	c.setUpOnce.Do(c.setUp)
	record, err := c.Store.Get(ctx, id.jobKey())
	if err != nil {
		return job, 0, errors.Wrapf(err, "job %s", id)
	}
	if err := json.Unmarshal(record.Body, &job); err != nil {
		return job, 0, errors.Wrapf(err, "job %s", id)
	}
	return job, record.Version, nil
}

// Run takes jobs from the queue and runs them until the context ends or Stop is
// called. Jobs that are running at that time return to the queue. Run must be
// called only once.
func (c *Controller) Run(ctx context.Context) error {
	c.setUpOnce.Do(c.setUp)
	c.started.Store(true)
	defer close(c.runEnded)
	ctx, cancel := context.WithCancel(ctx)
	defer c.runningJobs.Wait()
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	expiryTicker := time.NewTicker(expiryInterval)
	defer expiryTicker.Stop()
	for {
		select {
		case <-ticker.C:
			c.poll(ctx)
		case <-expiryTicker.C:
			c.deleteExpired(ctx)
		case <-c.stop:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// Stop makes Run stop taking jobs and return running jobs to the queue. It waits
// until Run has ended or the context ends.
func (c *Controller) Stop(ctx context.Context) {
	c.setUpOnce.Do(c.setUp)
	c.stopOnce.Do(func() { close(c.stop) })
	if !c.started.Load() {
		return
	}
	select {
	case <-c.runEnded:
	case <-ctx.Done():
	}
}

// deleteExpired deletes the expired jobs of one random shard.
func (c *Controller) deleteExpired(ctx context.Context) {
	span := table.Range{Partition: jobPartition + shardName(c.Rand.IntN(shardCount)), Limit: expiryLimit}
	for record, err := range table.All(ctx, c.Store, span) {
		if err != nil {
			return
		}
		var job Job
		if json.Unmarshal(record.Body, &job) == nil && time.Now().After(job.ExpiresAt) {
			writes := []table.Write{{Key: record.Key, Expect: record.Version}}
			_ = c.Store.Transact(ctx, table.Token(uuid.NewString()), writes)
		}
	}
}

// queuedEntry is a queue entry with the version of its record.
type queuedEntry struct {
	QueueEntry
	version table.Version
}

// poll reads one shard of the queue, a different one each time, and starts jobs
// that are ready to run.
func (c *Controller) poll(ctx context.Context) {
	c.shard++
	records, err := c.Store.Query(ctx, table.Range{
		Partition: queuePartition + shardName(c.shard%shardCount), Limit: queryLimit,
	})
	if err != nil {
		return
	}
	entries := make([]QueueEntry, 0, len(records))
	versions := make([]table.Version, 0, len(records))
	for _, record := range records {
		var entry QueueEntry
		if json.Unmarshal(record.Body, &entry) == nil {
			entries = append(entries, entry)
			versions = append(versions, record.Version)
		}
	}
	for range entries {
		index, found := Choose(time.Now(), entries, c.Rand)
		if !found || !c.startJob(ctx, queuedEntry{entries[index], versions[index]}) {
			return
		}
		entries[index].LeaseExpiry = time.Now().Add(leaseDuration)
	}
}

// startJob takes a lease on a job and runs the job in the background. It returns
// false if the node already runs maxRunning jobs.
func (c *Controller) startJob(ctx context.Context, entry queuedEntry) bool {
	select {
	case c.runSlots <- struct{}{}:
	default:
		return false
	}
	leased := queuedEntry{entry.WithLease(time.Now(), c.Node), entry.version + 1}
	if c.writeEntry(ctx, leased.QueueEntry, entry.version) != nil {
		<-c.runSlots
		return true
	}
	c.runningJobs.Go(func() {
		defer func() { <-c.runSlots }()
		c.attempt(ctx, leased)
	})
	return true
}

// attempt makes one attempt at a job and records its answer, or returns the job
// to the queue if there is none.
func (c *Controller) attempt(ctx context.Context, entry queuedEntry) {
	job, version, err := c.Fetch(ctx, entry.ID)
	if err != nil {
		return
	}
	c.attempts.Inc(1)
	if time.Now().After(job.Deadline) {
		c.recordAnswer(ctx, entry, job, version, deadlineAnswer())
		return
	}
	attemptCtx, cancel := context.WithDeadline(ctx, job.Deadline)
	renewed := make(chan queuedEntry, 1)
	go func() { renewed <- c.renewLease(attemptCtx, entry, cancel) }()
	result := c.Execute(attemptCtx, job)
	cancel()
	entry = <-renewed
	if result.Answer == nil {
		_ = c.writeEntry(context.WithoutCancel(ctx), entry.Requeued(time.Now(), result.RetryAfter), entry.version)
		return
	}
	c.recordAnswer(context.WithoutCancel(ctx), entry, job, version, result.Answer)
}

// deadlineAnswer returns the answer of a job whose deadline has passed.
func deadlineAnswer() *Answer {
	body, err := refusal.New(refusal.DeadlinePassed, "the job's deadline passed before it was answered").MarshalJSON()
	if err != nil {
		body = nil
	}
	return &Answer{Status: http.StatusGatewayTimeout, ContentType: "application/json", Body: body}
}

// renewLease renews the lease until the context ends, and cancels the attempt if
// another node has taken over the job. It returns the entry as last written.
func (c *Controller) renewLease(ctx context.Context, entry queuedEntry, cancelAttempt context.CancelFunc) queuedEntry {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return entry
		case <-ticker.C:
		}
		renewed := entry.QueueEntry
		renewed.LeaseExpiry = time.Now().Add(leaseDuration)
		switch err := c.writeEntry(ctx, renewed, entry.version); {
		case err == nil:
			entry = queuedEntry{renewed, entry.version + 1}
		case errors.Is(err, table.ErrConflict):
			cancelAttempt()
		}
	}
}

func (c *Controller) writeEntry(ctx context.Context, entry QueueEntry, expect table.Version) error {
	body, err := json.Marshal(entry)
	if err != nil {
		return errors.Wrapf(err, "job %s", entry.ID)
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	token := table.Token(uuid.NewString())
	writes := []table.Write{{Key: entry.ID.queueKey(), Expect: expect, Body: body}}
	if err := c.transact(ctx, token, writes); err != nil {
		return errors.Wrapf(err, "job %s", entry.ID)
	}
	return nil
}

// transact sends a transaction and, if its answer is lost, sends it once more.
func (c *Controller) transact(ctx context.Context, token table.Token, writes []table.Write) error {
	err := c.Store.Transact(ctx, token, writes)
	if errors.Is(err, table.ErrOutcomeUnknown) {
		return c.Store.Transact(ctx, token, writes)
	}
	return err
}

// recordAnswer stores the answer with the job and removes the job from the
// queue.
func (c *Controller) recordAnswer(ctx context.Context, entry queuedEntry, job Job, version table.Version, answer *Answer) {
	job.State, job.Answer = Done, answer
	body, err := json.Marshal(job)
	if err != nil {
		c.Log.Error("failed to encode job with its answer", slog.String("job", string(job.ID)), slog.Any("error", err))
		return
	}
	token := table.Token(uuid.NewString())
	writes := []table.Write{
		{Key: job.ID.jobKey(), Expect: version, Body: body},
		{Key: job.ID.queueKey(), Expect: entry.version},
	}
	for range maxRecordAttempts {
		err = c.Store.Transact(ctx, token, writes)
		if err == nil {
			c.answered.Inc(1)
			return
		}
		if errors.Is(err, table.ErrConflict) {
			return
		}
		if errors.Is(err, table.ErrRejected) {
			break // It would be rejected again.
		}
		time.Sleep(recordRetryPause)
	}
	c.Log.Warn("failed to record answer of job", slog.String("job", string(job.ID)), slog.Any("error", err))
}
