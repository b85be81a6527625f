package hosted

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// TestPaceCountsWhereAsked guards against start windows in deployments that did not ask for
// them.
func TestPaceCountsWhereAsked(t *testing.T) {
	c := qt.New(t)
	plain := &roster.Manifest{Version: 1}
	shared := &roster.Manifest{Organisations: map[fleet.OrganisationID]*roster.Organisation{"o": {ID: "o"}}}
	for _, test := range []struct {
		setting  string
		manifest *roster.Manifest
		want     dispatch.PaceMode
	}{
		{"", nil, dispatch.PaceReported},
		{"", plain, dispatch.PaceReported},
		{"", shared, dispatch.PaceAlways},
		{"adaptive", plain, dispatch.PaceAlways},
		{"off", plain, dispatch.PaceNever},
		{"off", shared, dispatch.PaceNever},
	} {
		c.Check(paceMode(test.setting, test.manifest), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}
