package poison_test

import (
	"fmt"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/poison"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// TestSoundPartThatSharesAllCrashesIsTried guards against sound requests that are refused
// because their part was in each request that crashed a server, beside the cause, and no
// sound request was answered in between.
func TestSoundPartThatSharesAllCrashesIsTried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		node := &poison.Controller{Store: standin.NewTable(), Node: "n"}
		for crash := range poison.MaxPartCrashes {
			id := fmt.Sprint("s", crash)
			node.RecordCrash(fleet.ServerID(id), "b", []poison.Run{{
				Digest: poison.DigestOf([]byte(id)), Parts: []poison.Digest{soundPart, badPart},
			}})
		}
		synctest.Wait()
		sound := poison.DigestOf([]byte("sound"))
		c.Check(node.Check(sound, []poison.Digest{soundPart, badPart}).Verdict, qt.Equals, poison.Refuse)
		c.Check(node.Check(sound, []poison.Digest{soundPart}).Verdict, qt.Not(qt.Equals), poison.Refuse)
	})
}
