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

// ErrReused says that a job with the same key asks for something else.
var ErrReused = errors.New("the idempotency key was used for another job")

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

// Result is the end of one attempt.
type Result struct {
	// Answer is nil if the job is to be tried again.
	Answer     *Answer
	RetryAfter time.Duration
}

// Timing of a [Controller].
const (
	pollInterval  = 500 * time.Millisecond
	renewInterval = 20 * time.Second
	tableTimeout  = 3 * time.Second
	queryLimit    = 100
	// maxRunning bounds the jobs that a node runs at once.
	maxRunning = 16
	// settleTries bounds the tries to record an answer. After that the lease
	// runs out and the job runs again.
	settleTries = 20
	settlePause = 250 * time.Millisecond
	// Expired jobs are looked for seldom and in small pages, since they hold
	// whole answers.
	sweepInterval = 20 * time.Minute
	sweepLimit    = 20
)

// Controller stores, runs and answers jobs. Its exported fields are set before
// first use.
type Controller struct {
	Store table.Store
	Node  fleet.NodeID
	// Execute makes one attempt at a job.
	Execute func(ctx context.Context, job Job) Result
	Rand    *rand.Rand
	Log     *slog.Logger
	Metrics metrics.Registry

	once                          sync.Once
	running                       sync.WaitGroup
	places                        chan struct{}
	stop, ended                   chan struct{}
	started                       atomic.Bool
	stopping                      sync.Once
	submitted, attempts, answered metrics.Counter
	shard                         int
}

func (c *Controller) setUp() {
	c.Log = logs.OrDiscard(c.Log)
	c.Metrics = metric.OrNew(c.Metrics)
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	c.stop, c.ended = make(chan struct{}), make(chan struct{})
	c.places = make(chan struct{}, maxRunning)
	c.shard = c.Rand.IntN(shards)
	c.submitted = metrics.GetOrRegisterCounter(submittedName, c.Metrics)
	c.attempts = metrics.GetOrRegisterCounter(attemptsName, c.Metrics)
	c.answered = metrics.GetOrRegisterCounter(answeredName, c.Metrics)
}

// Submit stores a job. When it returns without error the job will be answered.
// Submitting a job again under the same id returns the stored one. Errors are
// those of [table.Store], of which only ErrUnknown leaves open whether the job
// was stored, and [ErrReused].
func (c *Controller) Submit(ctx context.Context, job Job) (stored Job, err error) {
	c.once.Do(c.setUp)
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
	if errors.Is(err, table.ErrUnavailable) {
		return job, errors.Wrapf(err, "job %s", job.ID)
	}
	stored, _, found := c.Fetch(ctx, job.ID)
	switch {
	case found != nil:
		return job, errors.Wrapf(table.ErrUnknown, "job %s", job.ID)
	case stored.Path != job.Path || string(stored.Body) != string(job.Body):
		return stored, ErrReused
	}
	return stored, nil
}

func newJob(job Job) ([]table.Write, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return nil, errors.Wrapf(err, "job %s", job.ID)
	}
	entry, err := json.Marshal(Entry{ID: job.ID, Deadline: job.Deadline})
	if err != nil {
		return nil, errors.Wrapf(err, "job %s", job.ID)
	}
	return []table.Write{{Key: job.ID.jobKey(), Body: body}, {Key: job.ID.queueKey(), Body: entry}}, nil
}

// Fetch reads a job.
func (c *Controller) Fetch(ctx context.Context, id JobID) (job Job, version table.Version, err error) {
	c.once.Do(c.setUp)
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
// called. Jobs that run then go back into the queue. It is called once.
func (c *Controller) Run(ctx context.Context) error {
	c.once.Do(c.setUp)
	c.started.Store(true)
	defer close(c.ended)
	ctx, cancel := context.WithCancel(ctx)
	defer c.running.Wait()
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	sweeper := time.NewTicker(sweepInterval)
	defer sweeper.Stop()
	for {
		select {
		case <-ticker.C:
			c.poll(ctx)
		case <-sweeper.C:
			c.sweep(ctx)
		case <-c.stop:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// Stop takes no more jobs, gives those that run back to the queue and waits
// until that is done or the context ends.
func (c *Controller) Stop(ctx context.Context) {
	c.once.Do(c.setUp)
	c.stopping.Do(func() { close(c.stop) })
	if !c.started.Load() {
		return
	}
	select {
	case <-c.ended:
	case <-ctx.Done():
	}
}

// sweep deletes jobs of one part of the table that have expired.
func (c *Controller) sweep(ctx context.Context) {
	span := table.Range{Partition: jobPartition + shardName(c.Rand.IntN(shards)), Limit: sweepLimit}
	for {
		records, err := c.Store.Query(ctx, span)
		if err != nil || len(records) == 0 {
			return
		}
		for _, record := range records {
			var job Job
			if json.Unmarshal(record.Body, &job) == nil && time.Now().After(job.Until) {
				writes := []table.Write{{Key: record.Key, Expect: record.Version}}
				_ = c.Store.Transact(ctx, table.Token(uuid.NewString()), writes)
			}
		}
		span.After = records[len(records)-1].Key.Sort
	}
}

// queued is an entry with the version of its record.
type queued struct {
	Entry
	version table.Version
}

// poll looks at one part of the queue and starts what there is to run.
func (c *Controller) poll(ctx context.Context) {
	c.shard++
	records, err := c.Store.Query(ctx, table.Range{
		Partition: queuePartition + shardName(c.shard%shards), Limit: queryLimit,
	})
	if err != nil {
		return
	}
	entries := make([]Entry, 0, len(records))
	versions := make([]table.Version, 0, len(records))
	for _, record := range records {
		var entry Entry
		if json.Unmarshal(record.Body, &entry) == nil {
			entries = append(entries, entry)
			versions = append(versions, record.Version)
		}
	}
	for range entries {
		index, found := Choose(time.Now(), entries, c.Rand)
		if !found || !c.start(ctx, queued{entries[index], versions[index]}) {
			return
		}
		entries[index].Lease = time.Now().Add(lease)
	}
}

// start takes a job and runs it in the background. It returns false if the node
// runs enough already.
func (c *Controller) start(ctx context.Context, entry queued) bool {
	select {
	case c.places <- struct{}{}:
	default:
		return false
	}
	taken := queued{entry.Take(time.Now(), c.Node), entry.version + 1}
	if c.write(ctx, taken.Entry, entry.version) != nil {
		<-c.places
		return true
	}
	c.running.Go(func() {
		defer func() { <-c.places }()
		c.run(ctx, taken)
	})
	return true
}

// run makes one attempt at a job and records how it ended.
func (c *Controller) run(ctx context.Context, entry queued) {
	job, version, err := c.Fetch(ctx, entry.ID)
	if err != nil {
		return
	}
	c.attempts.Inc(1)
	if time.Now().After(job.Deadline) {
		c.finish(ctx, entry, job, version, expired())
		return
	}
	attempt, cancel := context.WithDeadline(ctx, job.Deadline)
	renewed := make(chan queued, 1)
	go func() { renewed <- c.renew(attempt, entry, cancel) }()
	result := c.Execute(attempt, job)
	cancel()
	entry = <-renewed
	if result.Answer == nil {
		_ = c.write(context.WithoutCancel(ctx), entry.Return(time.Now(), result.RetryAfter), entry.version)
		return
	}
	c.finish(context.WithoutCancel(ctx), entry, job, version, result.Answer)
}

// expired is the answer of a job whose deadline has passed.
func expired() *Answer {
	body, err := refusal.New(refusal.DeadlinePassed, "the job's deadline passed before it was answered").MarshalJSON()
	if err != nil {
		body = nil
	}
	return &Answer{Status: http.StatusGatewayTimeout, ContentType: "application/json", Body: body}
}

// renew keeps the lease until the context ends, and ends the attempt if another
// node has taken the job over. It returns the entry as last written.
func (c *Controller) renew(ctx context.Context, entry queued, lost context.CancelFunc) queued {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return entry
		case <-ticker.C:
		}
		longer := entry.Entry
		longer.Lease = time.Now().Add(lease)
		switch err := c.write(ctx, longer, entry.version); {
		case err == nil:
			entry = queued{longer, entry.version + 1}
		case errors.Is(err, table.ErrConflict):
			lost()
		}
	}
}

func (c *Controller) write(ctx context.Context, entry Entry, expect table.Version) error {
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

// transact sends a transaction and, if its answer is lost, once more.
func (c *Controller) transact(ctx context.Context, token table.Token, writes []table.Write) error {
	err := c.Store.Transact(ctx, token, writes)
	if errors.Is(err, table.ErrUnknown) {
		return c.Store.Transact(ctx, token, writes)
	}
	return err
}

// finish records the answer and takes the job out of the queue.
func (c *Controller) finish(ctx context.Context, entry queued, job Job, version table.Version, answer *Answer) {
	job.State, job.Answer = Done, answer
	body, err := json.Marshal(job)
	if err != nil {
		c.Log.Error("job not recorded", slog.String("job", string(job.ID)), slog.Any("error", err))
		return
	}
	token := table.Token(uuid.NewString())
	writes := []table.Write{
		{Key: job.ID.jobKey(), Expect: version, Body: body},
		{Key: job.ID.queueKey(), Expect: entry.version},
	}
	for range settleTries {
		err = c.Store.Transact(ctx, token, writes)
		if err == nil {
			c.answered.Inc(1)
			return
		}
		if errors.Is(err, table.ErrConflict) {
			return
		}
		time.Sleep(settlePause)
	}
	c.Log.Warn("answer of a job not recorded", slog.String("job", string(job.ID)), slog.Any("error", err))
}
