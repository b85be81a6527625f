package claim

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/internal/logs"
	"github.com/guavatrack/guavatrack/internal/metric"
	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Errors of [Controller.Do].
var (
	// ErrOutcomeUnknown reports that the call may have run.
	ErrOutcomeUnknown = errors.New("the call may have run and its outcome is unknown")
	// ErrKeyReused reports that the key was used for a call of other content.
	ErrKeyReused = errors.New("the idempotency key was used for another call")
	// ErrNotRecorded reports that the claim could not be recorded and nothing
	// was sent.
	ErrNotRecorded = errors.New("the claim could not be recorded")
	// ErrAnswerNotKept reports that the call ran and its answer was too large
	// to store.
	ErrAnswerNotKept = errors.New("the call ran and its answer was too large to keep")
)

// Metrics lists the metrics that a [Controller] registers.
var Metrics = []metric.Doc{
	{Name: recordedName, Kind: metric.Counter, Help: "claims recorded before a call was sent"},
	{Name: replayedName, Kind: metric.Counter, Help: "repeats answered with a recorded outcome"},
	{Name: unsettledName, Kind: metric.Counter, Help: "outcomes that could not be recorded"},
	{Name: sweptName, Kind: metric.Counter, Help: "expired claims deleted"},
}

const (
	recordedName  = "claims.recorded"
	replayedName  = "claims.replayed"
	unsettledName = "claims.unsettled"
	sweptName     = "claims.swept"
)

// Call identifies a call that is not idempotent.
type Call struct {
	Caller   fleet.CallerID
	Key      fleet.IdempotencyKey
	Request  fleet.RequestID
	Content  string
	Deadline time.Time
}

// Result is the outcome of sending a call.
type Result struct {
	Answer *Answer
	// Sent reports whether any byte may have reached a backend server.
	Sent bool
	Err  error
}

// maxStoredBody is the size of the largest answer body that is stored, in bytes.
const maxStoredBody = 128 << 10

// Controller executes the actions of [Machine]. Its exported fields must be set
// before first use.
type Controller struct {
	Store   table.Store
	Node    fleet.NodeID
	Log     *slog.Logger
	Metrics metrics.Registry

	once                sync.Once
	writer              *groupWriter
	settling            sync.WaitGroup
	recorded, replayed  metrics.Counter
	unsettled, swept    metrics.Counter
	sweeps, sweepOffset int
}

func (c *Controller) setUp() {
	c.Log = logs.OrDiscard(c.Log)
	c.Metrics = metric.OrNew(c.Metrics)
	c.writer = &groupWriter{store: c.Store}
	c.recorded = metrics.GetOrRegisterCounter(recordedName, c.Metrics)
	c.replayed = metrics.GetOrRegisterCounter(replayedName, c.Metrics)
	c.unsettled = metrics.GetOrRegisterCounter(unsettledName, c.Metrics)
	c.swept = metrics.GetOrRegisterCounter(sweptName, c.Metrics)
	c.sweepOffset = rand.IntN(partitions)
}

// Do runs a call at most once across all nodes. It returns the answer of that
// run, whether by this attempt or an earlier one. If this attempt ran the call,
// the error of run is returned unchanged.
func (c *Controller) Do(ctx context.Context, call Call, run func() Result) (answer *Answer, err error) {
	c.once.Do(c.setUp)
	claim := c.newRecord(call)
	machine := &Machine{Attempt: claim.Attempt, Content: claim.Content, Deadline: call.Deadline}
	key := Key(call.Caller, call.Key)
	event := Event{Kind: Begin}
	for {
		action := machine.Next(time.Now(), event)
		if !wait.For(ctx, action.After) && action.Kind != Wait {
			action.Kind = Read
		}
		switch action.Kind {
		case Write:
			event = c.writeClaim(ctx, key, claim)
		case Read:
			event = c.readClaim(ctx, key)
		case Wait:
			event = Event{Kind: Elapsed}
		case Run:
			return c.run(key, claim, run)
		default:
			return c.finish(key, claim, action)
		}
	}
}

// newRecord returns the claim of a new attempt.
func (c *Controller) newRecord(call Call) Record {
	now := time.Now()
	settleBy := call.Deadline.Add(SettleGrace)
	return Record{
		Caller: call.Caller, Node: c.Node, Request: call.Request, Attempt: Attempt(uuid.NewString()),
		Content: call.Content, State: Claimed, CreatedAt: now, SettleBy: settleBy, ExpiresAt: settleBy.Add(OutcomeRetention),
	}
}

// writeClaim writes a claim if there is no record under its key.
func (c *Controller) writeClaim(ctx context.Context, key table.Key, record Record) Event {
	err := c.put(ctx, key, table.Absent, record)
	switch {
	case err == nil:
		c.recorded.Inc(1)
		return Event{Kind: Wrote}
	case errors.Is(err, table.ErrConflict):
		return Event{Kind: Conflicted}
	case table.NotWritten(err):
		return Event{Kind: WriteRefused}
	default:
		return Event{Kind: WriteUnknown}
	}
}

func (c *Controller) put(ctx context.Context, key table.Key, expect table.Version, record Record) error {
	body, err := json.Marshal(record)
	if err != nil {
		return errors.Wrapf(table.ErrUnavailable, "encode claim %s: %v", key.Sort, err)
	}
	return c.writer.write(ctx, table.Write{Key: key, Expect: expect, Body: body})
}

// readClaim reads the record of a call.
func (c *Controller) readClaim(ctx context.Context, key table.Key) Event {
	record, _, err := c.get(ctx, key)
	switch {
	case err == nil:
		return Event{Kind: Found, Record: record}
	case errors.Is(err, table.ErrNotFound):
		return Event{Kind: Missing}
	default:
		return Event{Kind: ReadFailed}
	}
}

func (c *Controller) get(ctx context.Context, key table.Key) (record Record, version table.Version, err error) {
	found, err := c.Store.Get(ctx, key)
	if err != nil {
		return record, 0, errors.Wrapf(err, "read claim %s", key.Sort)
	}
	if err := json.Unmarshal(found.Body, &record); err != nil {
		return record, 0, errors.Wrapf(err, "decode claim %s", key.Sort)
	}
	return record, found.Version, nil
}

// run sends the call and starts recording its outcome.
func (c *Controller) run(key table.Key, claim Record, run func() Result) (*Answer, error) {
	// If run panics, the outcome is recorded as unknown.
	result := Result{Sent: true, Err: ErrOutcomeUnknown}
	defer func() { c.settle(key, claim, result) }()
	result = run()
	return result.Answer, result.Err
}

// finish returns the result of an attempt that did not send the call.
func (c *Controller) finish(key table.Key, claim Record, action Action) (*Answer, error) {
	switch action.Kind {
	case Replay:
		if action.Answer == nil || action.Answer.Dropped {
			return nil, ErrAnswerNotKept
		}
		c.replayed.Inc(1)
		return action.Answer, nil
	case EndKeyReused:
		return nil, ErrKeyReused
	case EndRefused:
		return nil, ErrNotRecorded
	case EndRefusedAndRelease:
		c.settle(key, claim, Result{})
		return nil, ErrNotRecorded
	default:
		return nil, ErrOutcomeUnknown
	}
}
