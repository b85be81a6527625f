package poison_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/poison"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// sharedLoss is what callers of a node see after servers have crashed together.
type sharedLoss struct {
	node *poison.Controller
	// doomedUntil is until when a server that runs a trial crashes with the others.
	doomedUntil time.Time
	sent        int
	// refused counts the requests that were refused, lastRefused is when the last one was.
	refused     int
	lastRefused time.Time
}

// send sends a sound request with parts of a prompt, and has a trial answered, or its
// server crash if that is one of those that are lost.
func (l *sharedLoss) send(t *testing.T, parts []poison.Digest) {
	t.Helper()
	l.sent++
	server, digest := fleet.ServerID(fmt.Sprint("t", l.sent)), poison.DigestOf([]byte(fmt.Sprint("request ", l.sent)))
	finding := l.node.Check(digest, parts)
	if finding.Verdict == poison.Exclusive {
		finding.Verdict, _ = l.node.BeginTrial(t.Context(), finding.Digest, poison.Trial{
			Server: server, Boot: "b", Deadline: time.Now().Add(5 * time.Second), Parts: parts,
		})
	}
	switch {
	case finding.Verdict == poison.Occupied:
		t.Error("no other trial runs on the server")
	case finding.Verdict == poison.Refuse:
		l.refused++
		l.lastRefused = time.Now()
	case finding.Verdict == poison.Exclusive && time.Now().Before(l.doomedUntil):
		l.node.RecordCrash(server, "b", []poison.Run{{Digest: digest, Parts: parts}})
		l.node.EndTrial(finding.Digest)
	default:
		began, trial := time.Now(), finding
		time.AfterFunc(time.Second, func() {
			l.node.RecordCompletion(began, digest, parts)
			if trial.Verdict == poison.Exclusive {
				l.node.EndTrial(trial.Digest)
			}
		})
	}
}

// TestSoundPartsAreServedSoonAfterServersCrashTogether guards against sound requests that are
// refused for tens of seconds because servers with nothing else in common crashed at one
// moment, such as behind a cut: the parts that most prompts share ran on each of them, and a
// trial may have run on one that was lost as well.
func TestSoundPartsAreServedSoonAfterServersCrashTogether(t *testing.T) {
	const (
		crashes       = 8
		crashInterval = 75 * time.Millisecond
		interval      = 50 * time.Millisecond
		length        = 30 * time.Second
		// settled is by when a trial must have been answered: the pause after crashes at
		// one moment, the trial, and the pause that a request refused meanwhile makes.
		settled = 5 * time.Second
	)
	first, second := poison.PartDigest("a1"), poison.PartDigest("a2")
	prompts := [][]poison.Digest{{first}, {first, second}, {second}}
	for _, doomed := range []time.Duration{0, 500 * time.Millisecond} {
		t.Run(fmt.Sprint("trials crash for ", doomed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				node := &poison.Controller{Store: standin.NewTable(), Node: "n"}
				for crash := range crashes {
					id := fmt.Sprint("s", crash)
					node.RecordCrash(fleet.ServerID(id), "b", []poison.Run{{
						Digest: poison.DigestOf([]byte(id)), Parts: prompts[crash%len(prompts)],
					}})
					time.Sleep(crashInterval)
				}
				last := time.Now()
				loss := &sharedLoss{node: node, doomedUntil: last.Add(doomed)}
				for time.Since(last) < length {
					loss.send(t, prompts[loss.sent%len(prompts)])
					time.Sleep(interval)
				}
				time.Sleep(settled)
				qt.Check(t, loss.lastRefused.Sub(last) <= settled, qt.IsTrue,
					qt.Commentf("%d of %d refused, the last one %v after the loss", loss.refused, loss.sent, loss.lastRefused.Sub(last)))
			})
		})
	}
}

// TestCrashingPartCostsNoMoreServersThanItMay has a part that always crashes its server come
// in a burst, so that the first servers crash at one moment, and then at any time. It reaches
// at most three more once three servers have crashed, however long it comes.
func TestCrashingPartCostsNoMoreServersThanItMay(t *testing.T) {
	const (
		interval = 100 * time.Millisecond
		length   = time.Minute
		allowed  = poison.MaxPartCrashes + 3
	)
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		node := &poison.Controller{Store: standin.NewTable(), Node: "n"}
		crashes := 0
		parts := []poison.Digest{badPart}
		for sent := 0; sent < int(length/interval); sent++ {
			digest := poison.DigestOf([]byte(fmt.Sprint(sent)))
			server := fleet.ServerID(fmt.Sprint("s", sent))
			finding := node.Check(digest, parts)
			if finding.Verdict == poison.Exclusive {
				finding.Verdict, _ = node.BeginTrial(t.Context(), finding.Digest, poison.Trial{
					Server: server, Boot: "b", Deadline: time.Now().Add(time.Second), Parts: parts,
				})
			}
			if finding.Verdict != poison.Refuse {
				crashes++
				node.RecordCrash(server, "b", []poison.Run{{Digest: digest, Parts: parts}})
				node.EndTrial(finding.Digest)
			}
			time.Sleep(interval)
		}
		c.Check(crashes <= allowed, qt.IsTrue, qt.Commentf("%d servers crashed", crashes))
		c.Logf("%d servers crashed in %v", crashes, length)
	})
}
