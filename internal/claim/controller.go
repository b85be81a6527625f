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
	// ErrOutcomeUnknown says that the call may have run.
	ErrOutcomeUnknown = errors.New("the call may have run and its outcome is unknown")
	// ErrReused says that the key was used for a call of other content.
	ErrReused = errors.New("the idempotency key was used for another call")
	// ErrTable says that the claim could not be recorded and nothing was sent.
	ErrTable = errors.New("the claim could not be recorded")
	// ErrDropped says that the call ran and its answer was not kept.
	ErrDropped = errors.New("the call ran and its answer was too large to keep")
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

// Result is the end of a run.
type Result struct {
	Answer *Answer
	// Sent says whether any byte may have reached a backend server.
	Sent bool
	Err  error
}

// maxKeptAnswer is the largest body that is recorded, in bytes.
const maxKeptAnswer = 128 << 10

// Controller carries out the decisions of [Owner]. Its exported fields are set
// before first use.
type Controller struct {
	Store   table.Store
	Node    fleet.NodeID
	Log     *slog.Logger
	Metrics metrics.Registry

	once                       sync.Once
	writer                     *groupWriter
	settling                   sync.WaitGroup
	recorded, replayed         metrics.Counter
	unsettled, swept           metrics.Counter
	sweepPartition, sweepFirst int
}

func (c *Controller) setUp() {
	c.Log = logs.OrDiscard(c.Log)
	c.Metrics = metric.OrNew(c.Metrics)
	c.writer = &groupWriter{store: c.Store}
	c.recorded = metrics.GetOrRegisterCounter(recordedName, c.Metrics)
	c.replayed = metrics.GetOrRegisterCounter(replayedName, c.Metrics)
	c.unsettled = metrics.GetOrRegisterCounter(unsettledName, c.Metrics)
	c.swept = metrics.GetOrRegisterCounter(sweptName, c.Metrics)
	c.sweepFirst = rand.IntN(partitions)
}

// Do runs a call at most once over all nodes. It returns the answer of the one
// run, be it this or an earlier one. The error of run is returned as it is when
// this arrival ran the call.
func (c *Controller) Do(ctx context.Context, call Call, run func() Result) (answer *Answer, err error) {
	c.once.Do(c.setUp)
	claim := c.newRecord(call)
	owner := &Owner{Attempt: claim.Attempt, Content: claim.Content, Deadline: call.Deadline}
	key := Key(call.Caller, call.Key)
	event := Event{Kind: Begin}
	for {
		action := owner.Next(time.Now(), event)
		if !wait.For(ctx, action.After) && action.Kind != Wait {
			action.Kind = Read
		}
		switch action.Kind {
		case Write:
			event = c.claim(ctx, key, claim)
		case Read:
			event = c.read(ctx, key)
		case Wait:
			event = Event{Kind: Elapsed}
		case Run:
			return c.run(key, claim, run)
		default:
			return c.end(key, claim, action)
		}
	}
}

func (c *Controller) newRecord(call Call) Record {
	now := time.Now()
	settleBy := call.Deadline.Add(SettleGrace)
	return Record{
		Caller: call.Caller, Node: c.Node, Request: call.Request, Attempt: Attempt(uuid.NewString()),
		Content: call.Content, State: Claimed, At: now, SettleBy: settleBy, Until: settleBy.Add(Keep),
	}
}

func (c *Controller) claim(ctx context.Context, key table.Key, record Record) Event {
	err := c.put(ctx, key, table.Absent, record)
	switch {
	case err == nil:
		c.recorded.Inc(1)
		return Event{Kind: Wrote}
	case errors.Is(err, table.ErrConflict):
		return Event{Kind: Conflicted}
	case errors.Is(err, table.ErrUnavailable):
		return Event{Kind: WriteRefused}
	default:
		return Event{Kind: WriteLost}
	}
}

func (c *Controller) put(ctx context.Context, key table.Key, expect table.Version, record Record) error {
	body, err := json.Marshal(record)
	if err != nil {
		return errors.Wrapf(table.ErrUnavailable, "claim %s: %v", key.Sort, err)
	}
	return c.writer.write(ctx, table.Write{Key: key, Expect: expect, Body: body})
}

func (c *Controller) read(ctx context.Context, key table.Key) Event {
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
		return record, 0, errors.Wrapf(err, "claim %s", key.Sort)
	}
	if err := json.Unmarshal(found.Body, &record); err != nil {
		return record, 0, errors.Wrapf(err, "claim %s", key.Sort)
	}
	return record, found.Version, nil
}

// run sends the call and has its end recorded.
func (c *Controller) run(key table.Key, claim Record, run func() Result) (*Answer, error) {
	// A panic must not leave the claim without an end.
	result := Result{Sent: true, Err: ErrOutcomeUnknown}
	defer func() { c.settle(key, claim, result) }()
	result = run()
	return result.Answer, result.Err
}

func (c *Controller) end(key table.Key, claim Record, action Action) (*Answer, error) {
	switch action.Kind {
	case Replay:
		if action.Answer == nil || action.Answer.Dropped {
			return nil, ErrDropped
		}
		c.replayed.Inc(1)
		return action.Answer, nil
	case EndReused:
		return nil, ErrReused
	case EndRefused:
		return nil, ErrTable
	case EndRefusedAndRelease:
		c.settle(key, claim, Result{})
		return nil, ErrTable
	default:
		return nil, ErrOutcomeUnknown
	}
}
