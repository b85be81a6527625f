package claim_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/claim"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// callWithContent returns a call with the key k.
func callWithContent(content string) claim.Call {
	return claim.Call{
		Caller: "taproom", Key: "k", Content: "content of " + content, Deadline: time.Now().Add(10 * time.Second),
	}
}

// slowRun returns a run that counts itself and answers after 200 ms.
func slowRun(runs *atomic.Int64) func() claim.Result {
	return func() claim.Result {
		runs.Add(1)
		time.Sleep(200 * time.Millisecond)
		return claim.Result{Answer: &claim.Answer{Status: 201, Body: []byte("booked")}, Sent: true}
	}
}

func TestRepeatsAtTwoNodesGetOneAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := standin.NewTable()
		store.SetFaults(standin.TableFaults{Delay: 5 * time.Millisecond, LoseAnswers: 3})
		nodes := []*claim.Controller{{Store: store, Node: "a"}, {Store: store, Node: "b"}}
		var runs atomic.Int64
		var group sync.WaitGroup
		for i := range 20 {
			group.Go(func() {
				answer, err := nodes[i%2].Do(t.Context(), callWithContent("k"), slowRun(&runs))
				c.Check(err, qt.IsNil)
				c.Check(string(answer.Body), qt.Equals, "booked")
			})
		}
		group.Wait()
		c.Assert(runs.Load(), qt.Equals, int64(1))
		nodes[0].Flush(t.Context())
		nodes[1].Flush(t.Context())
	})
}

func TestTableUnavailableRefusesWithoutSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := standin.NewTable()
		store.SetFaults(standin.TableFaults{Down: true})
		node := &claim.Controller{Store: store, Node: "a"}
		var runs atomic.Int64
		started := time.Now()
		_, err := node.Do(t.Context(), callWithContent("k"), slowRun(&runs))
		c.Assert(err, qt.ErrorIs, claim.ErrNotRecorded)
		c.Assert(runs.Load(), qt.Equals, int64(0))
		c.Assert(time.Since(started) < time.Second, qt.IsTrue)
	})
}

func TestOutcomeIsRecordedAfterTableRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := standin.NewTable()
		node, other := &claim.Controller{Store: store, Node: "a"}, &claim.Controller{Store: store, Node: "b"}
		var runs atomic.Int64
		answer, err := node.Do(t.Context(), callWithContent("k"), func() claim.Result {
			store.SetFaults(standin.TableFaults{Down: true})
			return slowRun(&runs)()
		})
		c.Assert(err, qt.IsNil)
		c.Assert(string(answer.Body), qt.Equals, "booked")
		time.Sleep(time.Minute)
		store.SetFaults(standin.TableFaults{LoseAnswers: 2})
		node.Flush(t.Context())
		answer, err = other.Do(t.Context(), callWithContent("k"), slowRun(&runs))
		c.Assert(err, qt.IsNil)
		c.Assert(string(answer.Body), qt.Equals, "booked")
		c.Assert(runs.Load(), qt.Equals, int64(1))
	})
}

func TestUnsentCallMayRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := standin.NewTable()
		node, other := &claim.Controller{Store: store, Node: "a"}, &claim.Controller{Store: store, Node: "b"}
		errNoServer := errors.New("no server")
		_, err := node.Do(t.Context(), callWithContent("k"), func() claim.Result { return claim.Result{Err: errNoServer} })
		c.Assert(err, qt.Equals, errNoServer)
		var runs atomic.Int64
		_, err = other.Do(t.Context(), callWithContent("k"), slowRun(&runs))
		c.Assert(err, qt.IsNil)
		c.Assert(runs.Load(), qt.Equals, int64(1))
		other.Flush(t.Context())
	})
}

func TestLostAnswerStaysUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := standin.NewTable()
		node, other := &claim.Controller{Store: store, Node: "a"}, &claim.Controller{Store: store, Node: "b"}
		_, err := node.Do(t.Context(), callWithContent("k"), func() claim.Result {
			return claim.Result{Sent: true, Err: claim.ErrOutcomeUnknown}
		})
		c.Assert(err, qt.ErrorIs, claim.ErrOutcomeUnknown)
		node.Flush(t.Context())
		var runs atomic.Int64
		_, err = other.Do(t.Context(), callWithContent("k"), slowRun(&runs))
		c.Assert(err, qt.ErrorIs, claim.ErrOutcomeUnknown)
		_, err = other.Do(t.Context(), callWithContent("another"), slowRun(&runs))
		c.Assert(err, qt.ErrorIs, claim.ErrKeyReused)
		c.Assert(runs.Load(), qt.Equals, int64(0))
	})
}

func TestClaimsAreCommittedInGroups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := standin.NewTable()
		store.SetFaults(standin.TableFaults{Delay: 10 * time.Millisecond})
		node := &claim.Controller{Store: store, Node: "a"}
		var runs atomic.Int64
		var group sync.WaitGroup
		for i := range 160 {
			group.Go(func() {
				call := callWithContent("k")
				call.Key = fleet.IdempotencyKey(fmt.Sprint(i))
				_, err := node.Do(t.Context(), call, slowRun(&runs))
				c.Check(err, qt.IsNil)
			})
		}
		group.Wait()
		node.Flush(t.Context())
		c.Assert(runs.Load(), qt.Equals, int64(160))
		c.Assert(store.Counts().Writes, qt.Equals, 320)
		c.Assert(store.Counts().Transactions < 60, qt.IsTrue, qt.Commentf("%d", store.Counts().Transactions))
	})
}
