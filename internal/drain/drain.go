// Package drain stops a node without cutting off a request.
//
// First the node leaves the look-up, so that no new answer names it. Callers
// keep answers for a while, so for that time, and for as long as the news takes
// to spread, it serves on as before. Only then it takes no new connections,
// lets what runs finish, hands over what it holds, says that it is gone, and
// reports how many requests were cut off, which is 0 unless the time ran out.
package drain

import (
	"context"
	"log/slog"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/logs"
	"github.com/guavatrack/guavatrack/internal/wait"
)

// spreadTime is allowed for the news that the node leaves to reach all nodes.
const spreadTime = 2 * time.Second

// Step is one part of the handing over.
type Step struct {
	Name string
	Run  func(ctx context.Context) error
}

// Sequence is the order of a node's stop. Set the exported fields before Run.
type Sequence struct {
	// Leave announces that the node is no longer to be named.
	Leave func()
	// KeepFor is how long callers keep answers of the look-up.
	KeepFor time.Duration
	// Finish stops taking new connections, waits for the running requests and
	// returns how many were cut off when the context ended.
	Finish func(ctx context.Context) (cutOff int)
	// HandOver runs one step after the other, whatever the earlier ones ended
	// with.
	HandOver []Step
	// Gone tells the others that the node is gone.
	Gone func(ctx context.Context)
	Log  *slog.Logger
}

// Report is the result of a drain.
type Report struct {
	// CutOff is the number of requests that did not finish.
	CutOff int `json:"cutOff"`
	// Waited is the time until the last kept answer had run out.
	Waited time.Duration `json:"waited"`
	Took   time.Duration `json:"took"`
}

// handOverTime is left to the last steps when the context has ended.
const handOverTime = 3 * time.Second

// Run stops the node. When the context ends it waits no longer, but still
// hands over. The error names the steps that failed.
func (s *Sequence) Run(ctx context.Context) (report Report, err error) {
	log := s.Log
	log = logs.OrDiscard(log)
	began := time.Now()
	log.InfoContext(ctx, "drain begins", "keepFor", s.KeepFor)
	s.Leave()
	wait.For(ctx, s.KeepFor+spreadTime)
	report.Waited = time.Since(began)
	report.CutOff = s.Finish(ctx)
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), handOverTime)
	defer cancel()
	for _, step := range s.HandOver {
		if failed := step.Run(last); failed != nil {
			err = errors.Join(err, errors.Wrapf(failed, "drain: %s", step.Name))
		}
	}
	if s.Gone != nil {
		s.Gone(last)
	}
	report.Took = time.Since(began)
	log.InfoContext(ctx, "drain ends", "cutOff", report.CutOff, "took", report.Took)
	return report, err
}
