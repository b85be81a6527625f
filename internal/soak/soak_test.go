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
	for _, seed := range seeds {
		runSeed(t, &soak.Run{Seed: seed, Faults: 6})
	}
}

// serverSeeds lists the seeds of the short run with faults that servers play.
var serverSeeds = []uint64{1}

// TestPromisesHoldUnderFaultsOfServers adds silences that end and answers with neither a
// length nor chunks.
func TestPromisesHoldUnderFaultsOfServers(t *testing.T) {
	for _, seed := range serverSeeds {
		runSeed(t, &soak.Run{Seed: seed, Faults: 3, ServerFaults: 4})
	}
}

// releaseSeeds lists the seeds of the short run with changes of software versions.
//
// 240: an engine came back under its id with another version, and the holder of the lease
// took its report for one of the run before.
var releaseSeeds = []uint64{2, 240}

// TestNoStreamIsJoinedUnderReleases guards against streams joined from two software
// versions when engines are replaced in both directions beside faults.
func TestNoStreamIsJoinedUnderReleases(t *testing.T) {
	for _, seed := range releaseSeeds {
		runSeed(t, &soak.Run{Seed: seed, Faults: 4, ServerFaults: 1, Releases: 4})
	}
}

// refusalSeeds lists the seeds of the short run with refusals that are written once more.
var refusalSeeds = []uint64{1}

// TestPromisesHoldUnderRepeatedRefusals guards against untrue refusals and second runs
// where servers write refusals once more on kept connections.
func TestPromisesHoldUnderRepeatedRefusals(t *testing.T) {
	for _, seed := range refusalSeeds {
		runSeed(t, &soak.Run{Seed: seed, Faults: 3, RefusalFaults: 4})
	}
}

// brokenSeeds lists the seeds of the short run with broken answers.
var brokenSeeds = []uint64{1}

// TestBrokenAnswersReachNoCaller guards against parts of answers that pass for the whole, and
// answers with broken heads, beside faults: servers reset connections after a part of an
// answer while long uploads are written, and send status 000 and names of fields with blanks
// and control bytes.
func TestBrokenAnswersReachNoCaller(t *testing.T) {
	for _, seed := range brokenSeeds {
		runSeed(t, &soak.Run{Seed: seed, Faults: 3, BrokenFaults: 5})
	}
}

// keySeeds lists the seeds of the short run with organisations, of which one loses its key.
var keySeeds = []uint64{1}

// TestKeysUnderFaults guards against keys and wrong organisations at servers, and requests
// with a removed key that run, beside faults.
func TestKeysUnderFaults(t *testing.T) {
	for _, seed := range keySeeds {
		runSeed(t, &soak.Run{Seed: seed, Faults: 5, ServerFaults: 1, Organisations: 3, RemoveKey: true})
	}
}

// runSeed builds the program and does a run, of which the seed and faults are set.
func runSeed(t *testing.T, run *soak.Run) {
	t.Helper()
	c := qt.New(t)
	binary := filepath.Join(t.TempDir(), "guavatrack")
	build, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "../../cmd/guavatrack").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", build))
	run.Binary, run.Dir, run.Nodes, run.Engines, run.Callers = binary, t.TempDir(), 3, 2, 4
	run.Span, run.Log = 5*time.Second, t.Logf
	outcome, err := run.Do()
	c.Check(err, qt.IsNil, qt.Commentf("seed %d", run.Seed))
	c.Check(outcome.Breaches, qt.HasLen, 0, qt.Commentf("seed %d: %s", run.Seed, strings.Join(outcome.Breaches, "\n")))
	c.Check(outcome.Served > 0, qt.IsTrue)
}
