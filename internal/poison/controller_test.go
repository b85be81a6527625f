package poison_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/poison"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// TestServerHasOneTrialAtATime has two nodes request trials of two suspects on one
// server. If both were granted and the server crashed, either request could be the cause.
func TestServerHasOneTrialAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := standin.NewTable()
		first := &poison.Controller{Store: store, Node: "n1"}
		second := &poison.Controller{Store: store, Node: "n2"}
		first.RecordCrash("s0", "b", []poison.Run{{Digest: "d1"}})
		second.RecordCrash("s0", "b", []poison.Run{{Digest: "d2"}})
		synctest.Wait()
		request := func(node *poison.Controller, digest poison.Digest, boot fleet.BootID) poison.Verdict {
			trial := poison.Trial{Server: "s1", Boot: boot, Deadline: time.Now().Add(time.Minute)}
			verdict, _ := node.BeginTrial(t.Context(), digest, trial)
			return verdict
		}
		end := func(node *poison.Controller, digest poison.Digest) {
			node.EndTrial(digest)
			synctest.Wait()
		}
		c.Assert(request(first, "d1", "b"), qt.Equals, poison.Exclusive)
		c.Assert(request(second, "d2", "b"), qt.Equals, poison.Occupied)
		end(first, "d1")
		c.Assert(request(second, "d2", "b"), qt.Equals, poison.Exclusive, qt.Commentf("the server was released"))
		second.RecordCrash("s1", "b", []poison.Run{{Digest: "d2"}})
		end(second, "d2")
		c.Assert(request(first, "d1", "b"), qt.Equals, poison.Occupied, qt.Commentf("the server crashed"))
		c.Assert(request(first, "d1", "restarted"), qt.Equals, poison.Exclusive)
	})
}
