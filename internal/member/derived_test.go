package member_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// viewOf returns a view of count nodes in two regions.
func viewOf(now time.Time, count int) *member.View {
	info := func(i int) member.Info {
		region := fleet.Region(fmt.Sprint("r", i%2))
		return member.Info{Node: fleet.NodeID(fmt.Sprint("n", i)), Place: fleet.Place{Region: region}}
	}
	view := member.NewView(info(0), time.Second, rand.New(rand.NewPCG(1, 1)))
	request := member.Message{From: "n1", Region: "r1"}
	for i := 1; i < count; i++ {
		request.Members = append(request.Members, member.Record{Info: info(i), Incarnation: 1, Status: member.Alive})
	}
	view.Receive(now, request)
	view.Tick(now)
	return view
}

// TestReadingAnUnchangedViewAllocatesLittle guards against lists that are derived
// anew each time that a view is read: hundreds of nodes that exchange messages
// several times a second spent most of their processor time on that.
func TestReadingAnUnchangedViewAllocatesLittle(t *testing.T) {
	const readAllocations = 4
	now := time.Now()
	for _, count := range []int{3, 300} {
		view := viewOf(now, count)
		found := testing.AllocsPerRun(10, func() {
			view.Live(now)
			view.Ranked("servers")
			view.LinkTargets(now)
		})
		qt.Check(t, found <= readAllocations, qt.IsTrue, qt.Commentf("%v allocations with %d nodes", found, count))
	}
}

// TestDerivedListsFollowTheView guards against lists of an earlier state of the view.
func TestDerivedListsFollowTheView(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	view := viewOf(now, 5)
	c.Assert(view.Live(now), qt.HasLen, 5)
	c.Assert(view.Ranked("servers"), qt.HasLen, 3)
	dead := member.Record{Info: member.Info{Node: "n2", Place: fleet.Place{Region: "r0"}}, Incarnation: 1, Status: member.Dead}
	view.Receive(now, member.Message{From: "n1", Region: "r1", Members: []member.Record{dead}})
	c.Assert(view.Live(now), qt.HasLen, 4)
	c.Assert(view.Ranked("servers"), qt.HasLen, 2)
	view.AnnounceLeaving(false)
	c.Assert(view.Ranked("servers"), qt.HasLen, 1)
	c.Assert(view.Live(now), qt.HasLen, 4)
	view.AnnounceLeaving(true)
	c.Assert(view.Live(now), qt.HasLen, 3)
}
