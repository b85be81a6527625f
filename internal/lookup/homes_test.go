package lookup_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/guavatrack/guavatrack/internal/lookup"
	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

func newMembers(count int, region fleet.Region) []member.Info {
	list := make([]member.Info, count)
	for i := range list {
		id := fmt.Sprintf("%s%02d", region, i)
		list[i] = member.Info{Node: fleet.NodeID(id), Place: fleet.Place{Region: region}, CallerAddress: id + ":80"}
	}
	return list
}

func item(i int) fleet.Item { return fleet.Item{Model: fleet.ModelID(fmt.Sprint("model", i))} }

func TestOnlyModelsOfARemovedNodeMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := newMembers(rapid.IntRange(2, 20).Draw(t, "nodes"), "east")
		removed := members[rapid.IntRange(0, len(members)-1).Draw(t, "lost")]
		remaining := slices.DeleteFunc(slices.Clone(members), func(info member.Info) bool { return info.Node == removed.Node })
		for i := range 50 {
			before, after := lookup.Homes(item(i), "east", members), lookup.Homes(item(i), "east", remaining)
			if before[0].Node != removed.Node && before[0].Node != after[0].Node {
				t.Fatalf("%s moved from %s to %s", item(i), before[0].Node, after[0].Node)
			}
			if before[0].Node == removed.Node && before[1].Node != after[0].Node {
				t.Fatalf("%s moved to %s and not to its second home %s", item(i), after[0].Node, before[1].Node)
			}
		}
	})
}

func TestHomesAreProportionalToWeights(t *testing.T) {
	c := qt.New(t)
	members := newMembers(4, "east")
	members[0].Weight = 3
	counts := make(map[fleet.NodeID]int)
	for i := range 6000 {
		counts[lookup.Homes(item(i), "east", members)[0].Node]++
	}
	c.Assert(counts["east00"] > 2700 && counts["east00"] < 3300, qt.IsTrue, qt.Commentf("%v", counts))
}

func TestAdaptersHaveTheHomesOfTheirBaseModel(t *testing.T) {
	members := newMembers(9, "east")
	base := fleet.Item{Model: "hop"}
	adapter := fleet.Item{Model: "hop", Adapter: "spring"}
	qt.Assert(t, lookup.Homes(adapter, "east", members), qt.DeepEquals, lookup.Homes(base, "east", members))
}

func TestLeavingAndOverloadedNodesAreNotChosenFirst(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	members := newMembers(6, "east")
	homes := lookup.Homes(item(1), "east", members)
	for i := range members {
		members[i].Leaving = members[i].Node == homes[0].Node
	}
	chosen := lookup.Choose(item(1), "east", "east", members, nil, 1, random)
	c.Assert(chosen[0].Node, qt.Equals, homes[1].Node)
	loads := lookup.Loads{homes[1].Node: 90, homes[2].Node: 10, homes[3].Node: 10}
	chosen = lookup.Choose(item(1), "east", "east", members, loads, 1, random)
	c.Assert(chosen[0].Node, qt.Equals, homes[2].Node)
}

func TestHotModelIsSpreadEvenly(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	counts := make(map[fleet.NodeID]int)
	for range 4000 {
		counts[lookup.Choose(item(1), "east", "east", newMembers(8, "east"), nil, 4, random)[0].Node]++
	}
	c.Assert(counts, qt.HasLen, 4)
	for _, count := range counts {
		c.Assert(count > 900 && count < 1100, qt.IsTrue, qt.Commentf("%v", counts))
	}
}

func TestHandlerFallsBackToItsRegionAndRefusesIfNotCurrent(t *testing.T) {
	c := qt.New(t)
	current := true
	handler := &lookup.Handler{
		Region:  "east",
		Members: func() []member.Info { return newMembers(3, "east") },
		Current: func() bool { return current },
	}
	get := func(query string) *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/v1/where?"+query, http.NoBody))
		return recorder
	}
	var answer lookup.Answer
	c.Assert(json.Unmarshal(get("model=hop&region=west").Body.Bytes(), &answer), qt.IsNil)
	c.Assert(answer.Addresses, qt.HasLen, 2)
	c.Assert(get("model=hop").Body.String(), qt.Matches, `\{"addresses":\["east..:80","east..:80"\],"keepFor":"10s"\}\n`)
	current = false
	c.Assert(get("model=hop").Code, qt.Equals, http.StatusServiceUnavailable)
}

// BenchmarkChoose measures a look-up among as many members as are planned for.
func BenchmarkChoose(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	members := slices.Concat(newMembers(137, "east"), newMembers(137, "west"), newMembers(136, "north"))
	loads := make(lookup.Loads)
	for i, info := range members {
		loads[info.Node] = float64(i % 7)
	}
	for i := 0; b.Loop(); i++ {
		lookup.Choose(item(i), "east", "east", members, loads, 1, random)
	}
}
