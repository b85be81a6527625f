package lookup_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/lookup"
	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

func TestNearestAddresses(t *testing.T) {
	c := qt.New(t)
	newMember := func(region, domain, address string, leaving bool) member.Info {
		return member.Info{
			Place:         fleet.Place{Region: fleet.Region(region), FailureDomain: fleet.FailureDomain(domain)},
			CallerAddress: address, Leaving: leaving,
		}
	}
	members := []member.Info{
		newMember("west", "a", "a1", false), newMember("west", "a", "a2", false), newMember("west", "b", "b1", false),
		newMember("west", "b", "b2", true), newMember("east", "c", "c1", false), newMember("west", "a", "a1", false),
		{Place: fleet.Place{Region: "west", FailureDomain: "a"}, CallerAddress: "a3", Starting: true},
	}
	for _, test := range []struct {
		region, domain string
		want           []string
	}{
		{"west", "a", []string{"a1", "a2"}},
		{"west", "b", []string{"a1", "a2", "b1"}},
		{"east", "c", []string{"a1", "a2", "b1", "c1"}},
		{"nowhere", "", []string{"a1", "a2", "b1", "c1"}},
	} {
		place := fleet.Place{Region: fleet.Region(test.region), FailureDomain: fleet.FailureDomain(test.domain)}
		near := lookup.NearestAddresses(place, members, rand.New(rand.NewPCG(1, 2)))
		slices.Sort(near)
		c.Check(near, qt.DeepEquals, test.want, qt.Commentf("%s", place))
	}
}

// TestNearestAddressesAreShuffled checks that each address is the first one in some
// answers, so that callers are distributed over the nodes.
func TestNearestAddressesAreShuffled(t *testing.T) {
	c := qt.New(t)
	members := []member.Info{{CallerAddress: "1"}, {CallerAddress: "2"}, {CallerAddress: "3"}}
	first := make(map[string]int)
	random := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		first[lookup.NearestAddresses(fleet.Place{}, members, random)[0]]++
	}
	for _, address := range []string{"1", "2", "3"} {
		c.Check(first[address] > 60, qt.IsTrue, qt.Commentf("%v", first))
	}
}
