package placement

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/roster"
)

// Guards against a time of another node, past all that the scheduler sends, with which a
// server is never asked for its run before a stream begins there, or always.
func TestTimeOfALateOrderIsBounded(t *testing.T) {
	for _, sent := range []int64{math.MaxInt64, math.MaxInt64 / int64(time.Millisecond), lateOrderTime.Milliseconds()} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			directory := &Directory{}
			directory.applyUpdate(1, []engineUpdate{{Server: "s", Boot: "b", Version: 1, LateOrderMs: sent}})
			c.Check(directory.LateOrder("s"), qt.IsTrue, qt.Commentf("%d ms", sent))
			time.Sleep(lateOrderTime)
			c.Check(directory.LateOrder("s"), qt.IsFalse, qt.Commentf("%d ms", sent))
		})
	}
}

// Guards against the time of a late order that an update without one shortens, and against
// one that is kept for ever.
func TestLateOrderOutlastsOtherUpdatesAndIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		directory := &Directory{}
		directory.applyUpdate(1, []engineUpdate{{Server: "s", Boot: "b", Version: 1, LateOrderMs: lateOrderTime.Milliseconds()}})
		directory.applyUpdate(2, []engineUpdate{{Server: "s", Boot: "b", Version: 1}})
		c.Check(directory.LateOrder("s"), qt.IsTrue)
		time.Sleep(lateOrderTime + time.Second)
		directory.applyUpdate(2, []engineUpdate{{Server: "other", Boot: "b", Version: 1}})
		c.Check(directory.lateOrders, qt.HasLen, 0)
	})
}

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
