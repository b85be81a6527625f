// Package edgelog records what callers get from an edge other than a complete answer:
// answers cut off, refusals made before the dispatcher got the call, and answers that
// could not be written. The dispatcher logs the end of every call that it gets.
//
// The rate of each kind of lines is bounded, since callers can cause them at any rate.
package edgelog

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/logs"
	"github.com/guavatrack/guavatrack/internal/metric"
)

// Metrics lists the metrics that a [Recorder] registers.
var Metrics = []metric.Doc{
	{Name: cutOffName, Kind: metric.Counter, Help: "answers cut off before their end, or with an error event at their end"},
}

const cutOffName = "requests.cutOff"

// Bounds of each kind of lines, per second. A stopping node may cut off many answers at
// once; a refusal needs no line for each caller.
const (
	cutOffsPerSecond  = 100
	refusalsPerSecond = 20
	failuresPerSecond = 20
)

// Version identifies a state of the manifest or configuration.
type Version struct {
	Number uint64
	// Since is when it came into force at this node.
	Since time.Time
}

// Arrival is what a node had in force when a request arrived.
type Arrival struct {
	// Version is the version in force, 0 if there was none.
	Version uint64
	// ReadAge is how long ago, at the latest, there was no newer version; 0 if unknown.
	ReadAge time.Duration
}

// Recorder logs and counts for one edge. Its exported fields are set before the first
// use. A nil Recorder records nothing.
type Recorder struct {
	Log     *slog.Logger
	Metrics metrics.Registry
	// Version returns the version in force; nil if there are none.
	Version func() Version

	once                        sync.Once
	cutOffs, refusals, failures logs.Limit
	cutOffCount                 metrics.Counter
}

func (r *Recorder) setUp() {
	r.Log = logs.OrDiscard(r.Log)
	r.cutOffCount = metrics.GetOrRegisterCounter(cutOffName, metric.OrNew(r.Metrics))
	r.cutOffs.Log, r.cutOffs.Kind, r.cutOffs.PerSecond = r.Log, "answer cut off", cutOffsPerSecond
	r.refusals.Log, r.refusals.Kind, r.refusals.PerSecond = r.Log, "request refused at the edge", refusalsPerSecond
	r.failures.Log, r.failures.Kind, r.failures.PerSecond = r.Log, "answer not written", failuresPerSecond
}

// InForce returns the version in force.
func (r *Recorder) InForce() Version {
	if r == nil || r.Version == nil {
		return Version{}
	}
	return r.Version()
}

// CutOff describes an answer whose caller does not get the rest of it.
type CutOff struct {
	Call *dispatch.Call
	// MayHaveRun reports whether a server may have run the call.
	MayHaveRun bool
	// Signalled is set if the answer ends with an error event; otherwise the connection
	// is closed.
	Signalled bool
	// LastEvent is the id of the last event written, or "" if none is known.
	LastEvent string
	// Bytes is the number of bytes of the body that were written.
	Bytes int64
	// Arrived is the version in force when the request arrived.
	Arrived uint64
	Cause   error
}

// CutOff logs and counts an answer that was cut off.
func (r *Recorder) CutOff(c *CutOff) {
	if r == nil {
		return
	}
	r.once.Do(r.setUp)
	r.cutOffCount.Inc(1)
	if !r.cutOffs.Admit() {
		return
	}
	left := time.Duration(0)
	if !c.Call.Deadline.IsZero() {
		left = c.Call.TimeLeft()
	}
	now := r.InForce()
	age := time.Duration(-1)
	if !now.Since.IsZero() {
		age = time.Since(now.Since)
	}
	r.Log.LogAttrs(context.Background(), slog.LevelWarn, "answer cut off",
		slog.String("request", string(c.Call.ID)), slog.Bool("begun", c.Call.AnswerStarted()),
		slog.Bool("mayHaveRun", c.MayHaveRun), slog.Bool("signalled", c.Signalled),
		slog.String("lastEvent", c.LastEvent), slog.Int64("bytes", c.Bytes), slog.String("cause", causeOf(c.Call, c.Cause)),
		slog.Duration("left", left), slog.Uint64("manifestAtArrival", c.Arrived), slog.Uint64("manifest", now.Number),
		slog.Duration("manifestAge", age))
}

// causeOf returns the text of the error, with the cause of the cancellation of the
// call's context if that says more.
func causeOf(call *dispatch.Call, err error) string {
	cause := context.Cause(call.Context)
	if cause == nil || cause == call.Context.Err() { //nolint:errorlint // the same value, not the same kind
		return err.Error()
	}
	return cause.Error() + ": " + err.Error()
}

// Refused logs a refusal that was made before the dispatcher got the call. The id may
// be empty.
func (r *Recorder) Refused(id string, status int, arrived Arrival, reason error) {
	if r == nil {
		return
	}
	r.once.Do(r.setUp)
	if !r.refusals.Admit() {
		return
	}
	r.Log.LogAttrs(context.Background(), slog.LevelInfo, "request refused at the edge",
		slog.String("request", id), slog.Int("status", status), slog.String("reason", reason.Error()),
		slog.Uint64("manifest", arrived.Version), slog.Duration("manifestReadAge", arrived.ReadAge))
}

// NotWritten logs a refusal or an answer that could not be written to the caller.
func (r *Recorder) NotWritten(id string, status int, err error) {
	if r == nil {
		return
	}
	r.once.Do(r.setUp)
	if !r.failures.Admit() {
		return
	}
	r.Log.LogAttrs(context.Background(), slog.LevelWarn, "answer not written",
		slog.String("request", id), slog.Int("status", status), slog.String("error", err.Error()))
}

// CutOffs returns the number of answers cut off so far.
func (r *Recorder) CutOffs() int64 {
	if r == nil {
		return 0
	}
	r.once.Do(r.setUp)
	return r.cutOffCount.Count()
}
