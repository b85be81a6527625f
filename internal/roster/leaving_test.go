package roster_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// factBoard holds the facts that nodes have published.
type factBoard struct {
	owner fleet.NodeID
	facts *[]member.Fact
}

func (b factBoard) Publish(fact member.Fact, _ time.Duration) bool {
	fact.Owner = b.owner
	*b.facts = append(*b.facts, fact)
	return true
}

func (b factBoard) Facts(kind string) (list []member.Fact) {
	for _, fact := range *b.facts {
		if fact.Kind == kind {
			list = append(list, fact)
		}
	}
	return list
}

func entryOf(boot fleet.BootID) roster.ServerEntry {
	return roster.ServerEntry{ID: "s", Server: &roster.Server{ID: "s", Boot: boot}}
}

// TestStaleEntryDoesNotBringBackAServerThatLeaves guards against a server that has said
// that it leaves being used again: its entry in the store is older, or is written again
// after an outage of the store. The other node is told.
func TestStaleEntryDoesNotBringBackAServerThatLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := &region{}
		r.start(t, 2)
		r.servers.put(entryOf("first"))
		time.Sleep(5 * time.Second)
		var facts []member.Fact
		notices := make([]*roster.LeaveNotices, 0, len(r.controllers))
		for i, controller := range r.controllers {
			node := fleet.NodeID(rune('a' + i))
			notices = append(notices, &roster.LeaveNotices{
				Node: node, Roster: controller, Facts: factBoard{owner: node, facts: &facts},
			})
		}
		draining := func(want bool) {
			t.Helper()
			for _, controller := range r.controllers {
				c.Check(controller.View().Servers["s"].Draining, qt.Equals, want)
			}
		}
		draining(false)
		notices[0].RecordLeaving("s", "first")
		notices[0].RecordLeaving("s", "first")
		notices[1].Receive()
		notices[1].Receive()
		c.Check(facts, qt.HasLen, 1)
		draining(true)
		r.servers.put(entryOf("first"))
		time.Sleep(5 * time.Second)
		draining(true)
		r.servers.put(entryOf("second"))
		time.Sleep(5 * time.Second)
		draining(false)
	})
}
