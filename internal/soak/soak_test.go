package soak_test

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/soak"
)

// seeds lists the seeds of the short run. Each seed that ever failed is kept here,
// with its cause.
var seeds = []uint64{1, 12}

// TestPromisesHoldUnderFaults guards against violated guarantees and against
// models that are not served again after faults. It runs the real program under
// the faults of a few seeds; cmd/guavasoak does longer runs.
func TestPromisesHoldUnderFaults(t *testing.T) {
	c := qt.New(t)
	binary := filepath.Join(t.TempDir(), "guavatrack")
	build, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "../../cmd/guavatrack").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", build))
	for _, seed := range seeds {
		run := &soak.Run{
			Binary: binary, Dir: t.TempDir(), Seed: seed, Nodes: 3, Engines: 2, Callers: 4, Faults: 6,
			Span: 5 * time.Second, Log: t.Logf,
		}
		outcome, err := run.Do()
		c.Check(err, qt.IsNil, qt.Commentf("seed %d", seed))
		c.Check(outcome.Breaches, qt.HasLen, 0, qt.Commentf("seed %d: %s", seed, strings.Join(outcome.Breaches, "\n")))
		c.Check(outcome.Served > 0, qt.IsTrue)
	}
}
