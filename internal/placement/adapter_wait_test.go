package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// TestAdapterOfALoadedModelIsExpectedAtOnce guards against calls for an adapter that are
// refused since the load of its base model would take too long, although that is loaded:
// no estimate of the scheduler is there for the first of them.
func TestAdapterOfALoadedModelIsExpectedAtOnce(t *testing.T) {
	const loadTime = time.Second
	adapter := fleet.Item{Model: "m0", Adapter: "other"}
	for _, test := range []struct {
		name     string
		draining bool
		item     fleet.Item
		software fleet.SoftwareVersion
		want     time.Duration
	}{
		{"loaded", false, adapter, "", 0},
		{"loaded at the version", false, adapter, older, 0},
		{"loaded at another version only", false, adapter, newer, loadTime},
		{"loaded at a leaving engine only", true, adapter, "", loadTime},
		{"not loaded", false, fleet.Item{Model: "m2", Adapter: "other"}, "", loadTime},
		{"a model that is not loaded", false, fleet.Item{Model: "m2"}, "", loadTime},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newDirectoryFixture(0)
			f.set("s0", test.draining, "m0")
			f.change(func(servers map[fleet.ServerID]*roster.Server) { servers["s0"].Software = older })
			r := &Reporter{Node: "n0", Directory: f.directory, View: newVersionFixture(loadTime).View}
			estimate, err := r.RequestLoad(t.Context(), dispatch.Demand{Item: test.item, Pool: "p", Software: test.software})
			c.Assert(err, qt.IsNil)
			c.Check(estimate.ReadyIn, qt.Equals, test.want)
		})
	}
}
