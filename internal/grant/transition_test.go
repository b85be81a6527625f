package grant_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/grant"
	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// addGrants adds one grant for each version, each on a separate server, and
// returns the first error.
func addGrants(limit, surge int, versions ...fleet.Version) error {
	var item grant.ItemRecord
	for i, version := range versions {
		server := grant.ServerRecord{Server: "s", Memory: fleet.GiB}
		r := grant.Request{
			Order: table.Token(rune('a' + i)), Item: hop, Version: version, Size: fleet.GiB, Max: limit, Surge: surge,
		}
		var err error
		if _, item, err = grant.Add(server, item, &r); err != nil {
			return err
		}
	}
	return nil
}

func TestSurgeRequiresTwoVersions(t *testing.T) {
	tests := []struct {
		name       string
		max, surge int
		versions   []fleet.Version
		want       error
	}{
		{"up to the cap", 2, 0, []fleet.Version{"1", "1"}, nil},
		{"no surge decided", 2, 0, []fleet.Version{"1", "1", "2"}, grant.ErrAtCap},
		{"surge of the new version", 2, 1, []fleet.Version{"1", "1", "2"}, nil},
		{"no surge of one version", 2, 1, []fleet.Version{"1", "1", "1"}, grant.ErrAtCap},
		{"not beyond the surge", 2, 1, []fleet.Version{"1", "1", "2", "2"}, grant.ErrAtCap},
		{"new version alone not beyond the cap", 1, 2, []fleet.Version{"1", "2", "2"}, grant.ErrAtCap},
		{"none decided", 0, 1, []fleet.Version{"1"}, grant.ErrAtCap},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			err := addGrants(test.max, test.surge, test.versions...)
			if test.want == nil {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.ErrorIs, test.want)
		})
	}
}

func TestAdapterRequiresBaseModelAndMemory(t *testing.T) {
	c := qt.New(t)
	spring := fleet.Item{Model: "hop", Adapter: "spring"}
	server := grant.ServerRecord{Server: "s", Memory: 10 * fleet.GiB}
	adapter := grant.Request{Order: "a", Item: spring, Size: fleet.GiB, Max: 1}
	_, _, err := grant.Add(server, grant.ItemRecord{}, &adapter)
	c.Assert(err, qt.ErrorIs, grant.ErrNoBase)
	base := grant.Request{Order: "b", Item: hop, Size: 10 * fleet.GiB, Max: 1}
	full, _, err := grant.Add(server, grant.ItemRecord{}, &base)
	c.Assert(err, qt.IsNil)
	_, _, err = grant.Add(full, grant.ItemRecord{}, &adapter)
	c.Assert(err, qt.ErrorIs, grant.ErrNoMemory)
	base.Size = 9 * fleet.GiB
	roomy, _, err := grant.Add(server, grant.ItemRecord{}, &base)
	c.Assert(err, qt.IsNil)
	both, _, err := grant.Add(roomy, grant.ItemRecord{}, &adapter)
	c.Assert(err, qt.IsNil)
	c.Assert(both.Reserved(), qt.Equals, 10*fleet.GiB)
}
