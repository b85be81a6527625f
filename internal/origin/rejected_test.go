package origin

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// refusingStore answers some transactions with an error.
type refusingStore struct {
	table.Store

	mu sync.Mutex
	// rejects is the key of the record of which it rejects each write.
	rejects string
	// throttles has all transactions turned away.
	throttles bool
	// refused counts the transactions that were answered with an error.
	refused int
}

// Transact implements table.Store.
func (s *refusingStore) Transact(ctx context.Context, token table.Token, writes []table.Write) error {
	if err := s.refusal(writes); err != nil {
		return err
	}
	return s.Store.Transact(ctx, token, writes)
}

func (s *refusingStore) refusal(writes []table.Write) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.throttles {
		s.refused++
		return table.ErrThrottled
	}
	for _, write := range writes {
		if write.Key.Sort == s.rejects {
			s.refused++
			return table.ErrRejected
		}
	}
	return nil
}

// reject has the store reject the record of a stream.
func (s *refusingStore) reject(request fleet.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejects = streamKey{pool: pool, request: request}.tableKey().Sort
}

// reachesStore reports whether the node has reached the store with its last call.
func (n *testNode) reachesStore() bool {
	n.Controller.mu.Lock()
	defer n.Controller.mu.Unlock()
	return n.unwritableSince.IsZero()
}

func (s *refusingStore) setThrottles(throttles bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.throttles = throttles
}

func (s *refusingStore) countRefused() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

// newRefusingCluster starts nodes whose store refuses some transactions.
func newRefusingCluster(t *testing.T, nodes int) (*cluster, *refusingStore) {
	t.Helper()
	refusing := &refusingStore{}
	c := &cluster{C: qt.New(t), table: standin.NewTable(), wrap: func(store table.Store) table.Store {
		refusing.Store = store
		return refusing
	}}
	c.startAll(t, nodes, old)
	c.list(old, next)
	return c, refusing
}

// Guards against a record that the store rejects and that holds up all others: its
// transaction was sent again and again, and counted as an outage of the store.
func TestRejectedRecordHoldsUpNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, store := newRefusingCluster(t, 2)
		requests := c.beginMany(c.nodes[0], 20)
		store.reject(requests[7])
		c.restore()
		time.Sleep(rewriteTime + settled)
		c.Check(c.nodes[0].reachesStore(), qt.IsTrue)
		c.Check(store.countRefused() < 20, qt.IsTrue, qt.Commentf("%d", store.countRefused()))
		c.kill(0)
		for i, request := range requests {
			if i != 7 {
				c.checkFound(c.nodes[1], request, next)
			}
		}
		c.begin(c.nodes[1], "new", next)
	})
}

// Guards against a stream that waits until its time limit, and others with it, since the
// store rejects its record.
func TestStreamWhoseRecordIsRejectedIsEndedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, store := newRefusingCluster(t, 2)
		store.reject("rejected")
		began := time.Now()
		err := c.nodes[0].Record(t.Context(), pool, "rejected", next)
		c.Check(err, qt.ErrorIs, ErrNotRecorded)
		c.Check(time.Since(began) < writeRetryPause, qt.IsTrue)
		_, restricted := c.nodes[0].Restriction(pool)
		c.Check(restricted, qt.IsFalse)
	})
}

// Guards against rests that are refused for longer after a restoration, since a store that
// had too many calls for a moment counted as one that was away.
func TestThrottledStoreIsNotAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, store := newRefusingCluster(t, 2)
		c.begin(c.nodes[0], "a", next)
		store.setThrottles(true)
		c.restore()
		time.Sleep(rewriteTime / 2)
		store.setThrottles(false)
		time.Sleep(settled)
		c.Check(c.nodes[0].reachesStore(), qt.IsTrue)
		c.Check(c.nodes[0].rewriting(), qt.IsFalse)
		c.checkFound(c.nodes[0], "of the base version", old)
		c.checkFound(c.nodes[1], "a", next)
	})
}

// Guards against a stream that goes on at the base version while its record is still to be
// written again: the store turns writes away for longer than they usually take.
func TestLackOfARecordProvesNothingWhileRecordsAreWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, store := newRefusingCluster(t, 2)
		for i := range 3 * maxCallStreams {
			c.begin(c.nodes[0], fleet.RequestID(fmt.Sprint("r", i)), next)
		}
		store.setThrottles(true)
		c.restore()
		time.Sleep(2 * rewriteTime)
		c.Check(c.nodes[0].recordsComplete(), qt.IsFalse)
		store.setThrottles(false)
		time.Sleep(settled)
		c.Check(c.nodes[0].recordsComplete(), qt.IsTrue)
	})
}

// Guards against a stream that goes on at the base version since the node that is asked has
// no records to write again, while others still write theirs.
func TestLackOfARecordProvesNothingWhileOtherNodesWriteTheirs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, store := newRefusingCluster(t, 3)
		requests := c.beginMany(c.nodes[0], 20)
		time.Sleep(2 * keepTime) // The others keep none of the records any more.
		store.setThrottles(true)
		c.restore()
		for range 4 {
			time.Sleep(rewriteTime / 2)
			c.checkFound(c.nodes[1], requests[3], next) // The node that began it is asked.
		}
		store.setThrottles(false)
		time.Sleep(settled + othersWriteAge)
		c.checkFound(c.nodes[1], requests[3], next)
		c.checkFound(c.nodes[2], "of the base version", old)
	})
}
