package origin

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Guards against a record that is not written again after the restoration of the store,
// since streams of the base version, which need none, fill the memory of the node.
func TestStreamsOfTheBaseVersionLeaveRoomForThoseWithRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, old)
		c.list(old, next)
		for i := range maxOwnStreams {
			c.begin(c.nodes[0], fleet.RequestID(fmt.Sprint("r", i)), old)
		}
		c.begin(c.nodes[0], "a", next)
		c.restore()
		c.checkFound(c.nodes[1], "a", next)
	})
}

// restoringStore restores the store right after it has written the record of a stream.
type restoringStore struct {
	*partialStore
	restore func()
}

// Transact implements table.Store.
func (s *restoringStore) Transact(ctx context.Context, token table.Token, writes []table.Write) error {
	err := s.partialStore.Transact(ctx, token, writes)
	s.restore()
	return err
}

// Guards against a record that is not written again, since the store is restored between
// its write and the moment at which the node remembers it.
func TestRecordWrittenRightBeforeARestorationIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, old)
		c.list(old, next)
		store := &restoringStore{partialStore: c.nodes[0].store}
		store.restore = func() {
			c.nodes[0].Store = c.nodes[0].store
			c.restore()
			c.nodes[0].checkEra(time.Now())
		}
		c.nodes[0].Store = store
		c.begin(c.nodes[0], "a", next)
		c.checkFound(c.nodes[1], "a", next)
		time.Sleep(rewriteTime)
		c.network.SetUnresponsive("n0", true)
		c.checkFound(c.nodes[1], "a", next)
	})
}
