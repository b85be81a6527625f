package placement

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/roster"
)

// Guards against streams that begin unasked at a run, not listed yet, that has carried out a
// late order at the last moment: it holds the model when the order can't come any more.
func TestEngineIsAskedForItsRunUntilThatOfALateOrderIsListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &Scheduler{}
		s.init()
		e := newEngine(&roster.Server{ID: "s", Boot: "b"})
		s.recordUnanswered(time.Now(), e, 0)
		directory := &Directory{}
		directory.applyUpdate(1, []engineUpdate{e.update(time.Now())})
		time.Sleep(unansweredOrderTTL + replacedInPlaceDelay - time.Second)
		c.Check(directory.LateOrder("s"), qt.IsTrue)
		time.Sleep(2 * time.Second)
		c.Check(directory.LateOrder("s"), qt.IsFalse)
	})
}
