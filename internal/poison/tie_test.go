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

// nodeWithTiedParts returns a node that has recorded as many crashes as a part needs to be
// refused, all of requests with the same two parts. It is called in a bubble.
func nodeWithTiedParts() *poison.Controller {
	node := &poison.Controller{Store: standin.NewTable(), Node: "n"}
	for crash := range poison.MaxPartCrashes {
		id := fmt.Sprint("s", crash)
		node.RecordCrash(fleet.ServerID(id), "b", []poison.Run{{
			Digest: poison.DigestOf([]byte(id)), Parts: []poison.Digest{soundPart, badPart},
		}})
	}
	synctest.Wait()
	return node
}

// TestSoundPartThatSharesAllCrashesIsTried guards against sound requests that are refused
// because their part was in each request that crashed a server, beside the cause, and no
// sound request was answered in between.
func TestSoundPartThatSharesAllCrashesIsTried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		node := nodeWithTiedParts()
		sound := poison.DigestOf([]byte("sound"))
		c.Check(node.Check(sound, []poison.Digest{soundPart, badPart}).Verdict, qt.Equals, poison.Refuse)
		c.Check(node.Check(sound, []poison.Digest{soundPart}).Verdict, qt.Not(qt.Equals), poison.Refuse)
	})
}

// TestTrialTellsTiedPartsApart has a request with one of two tied parts run in a trial. If it
// crashes its server, that part is the cause and the other one is cleared; if it is answered,
// it is the other way round. Either way no further trial of the two is granted at once.
func TestTrialTellsTiedPartsApart(t *testing.T) {
	for _, crashes := range []bool{true, false} {
		t.Run(fmt.Sprint("crashes ", crashes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				node := nodeWithTiedParts()
				request, parts := poison.DigestOf([]byte("request")), []poison.Digest{soundPart}
				verdict, _ := node.BeginTrial(t.Context(), soundPart, poison.Trial{
					Server: "t", Boot: "b", Deadline: time.Now().Add(time.Second), Parts: parts,
				})
				c.Assert(verdict, qt.Equals, poison.Exclusive)
				c.Check(node.Check(request, parts).Verdict, qt.Equals, poison.Refuse, qt.Commentf("one trial at a time"))
				time.Sleep(100 * time.Millisecond)
				if crashes {
					node.RecordCrash("t", "b", []poison.Run{{Digest: request, Parts: parts}})
				} else {
					node.RecordCompletion(time.Now(), request, parts)
				}
				node.EndTrial(soundPart)
				synctest.Wait()
				time.Sleep(2 * time.Second)
				soundVerdict, badVerdict := node.Check(request, parts).Verdict, node.Check(request, []poison.Digest{badPart}).Verdict
				if crashes {
					c.Check(soundVerdict, qt.Equals, poison.Refuse)
					c.Check(badVerdict, qt.Not(qt.Equals), poison.Refuse)
				} else {
					c.Check(soundVerdict, qt.Equals, poison.Unrestricted)
					c.Check(badVerdict, qt.Equals, poison.Refuse)
				}
			})
		})
	}
}
