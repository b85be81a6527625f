package dispatch

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against streams that are suspected of their server's crash, or requests that are
// not, since the time of day was set meanwhile: a time without a monotonic reading is compared
// by that.
func TestTimeOfAnAnswerDoesNotFollowTheTimeOfDay(t *testing.T) {
	c := qt.New(t)
	taken := &slot{started: time.Now()}
	c.Check(taken.mayHaveBegun(time.Now()), qt.IsTrue)
	taken.recordAnswer(time.Now())
	c.Check(strings.Contains(taken.answered().String(), " m=+"), qt.IsTrue, qt.Commentf("%v", taken.answered()))
	c.Check(taken.mayHaveBegun(taken.started), qt.IsTrue)
	c.Check(taken.mayHaveBegun(taken.answered().Add(crashWindow)), qt.IsFalse)
}
