// Package drain stops a node without cutting off requests.
//
// First the node announces that it is leaving, so that no new answer of the look-up
// contains its address. Callers cache answers, so the node continues to serve until
// the announcement has reached all nodes and the last answer with its address has
// expired. Then it stops accepting connections, waits for the running requests, runs
// the final steps, announces that it has stopped, and reports the number of requests
// that were cut off, which is 0 unless the context ended first.
package drain

import (
	"context"
	"log/slog"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/logs"
	"github.com/guavatrack/guavatrack/internal/wait"
)

// propagationTime is the time allowed for the announcement that the node is leaving
// to reach all nodes.
const propagationTime = 2 * time.Second

// Step is one of the final steps of a drain.
type Step struct {
	Name string
	Run  func(ctx context.Context) error
}

// Sequence holds the actions of a drain, in the order in which Run calls them. Set
// the exported fields before Run.
type Sequence struct {
	// AnnounceLeaving announces that the node is leaving, so that the look-up no
	// longer returns its address.
	AnnounceLeaving func()
	// StopAt says, before AnnounceLeaving, when the requests that still run are cut off.
	// It may be nil.
	StopAt func(cutOff time.Time)
	// KeepFor is how long callers may use an answer of the look-up.
	KeepFor time.Duration
	// Finish stops accepting connections, waits for the running requests and returns
	// how many of them were cut off because the context ended.
	Finish func(ctx context.Context) (cutOff int)
	// FinalSteps run in order after Finish. A failed step does not stop the following
	// ones.
	FinalSteps []Step
	// AnnounceStopped announces to the other nodes that this one has stopped. It may
	// be nil.
	AnnounceStopped func(ctx context.Context)
	Log             *slog.Logger
}

// Report is the result of a drain.
type Report struct {
	// CutOff is the number of requests that did not finish.
	CutOff int `json:"cutOff"`
	// Waited is the time spent waiting for cached answers of the look-up to expire.
	Waited time.Duration `json:"waited"`
	Took   time.Duration `json:"took"`
}

// finalStepsTimeout bounds the final steps. They run even if the context has ended.
const finalStepsTimeout = 3 * time.Second

// Run stops the node. When the context ends, it stops waiting but still runs the
// final steps. The error names the steps that failed.
func (s *Sequence) Run(ctx context.Context) (report Report, err error) {
	log := s.Log
	log = logs.OrDiscard(log)
	startedAt := time.Now()
	log.InfoContext(ctx, "drain begins", "keepFor", s.KeepFor)
	if cutOff, bounded := ctx.Deadline(); bounded && s.StopAt != nil {
		s.StopAt(cutOff)
	}
	s.AnnounceLeaving()
	wait.For(ctx, s.KeepFor+propagationTime)
	report.Waited = time.Since(startedAt)
	report.CutOff = s.Finish(ctx)
	finalCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalStepsTimeout)
	defer cancel()
	for _, step := range s.FinalSteps {
		if stepErr := step.Run(finalCtx); stepErr != nil {
			err = errors.Join(err, errors.Wrapf(stepErr, "drain: %s", step.Name))
		}
	}
	if s.AnnounceStopped != nil {
		s.AnnounceStopped(finalCtx)
	}
	report.Took = time.Since(startedAt)
	log.InfoContext(ctx, "drain ends", "cutOff", report.CutOff, "took", report.Took)
	return report, err
}
