package claim

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/guavatrack/guavatrack/internal/table"
)

// Bounds of group commits.
const (
	// maxGroup is the maximum number of writes in one transaction. It keeps the
	// answers in one transaction below the size limit of table services.
	maxGroup = 16
	// maxInFlight is the maximum number of concurrent transactions.
	maxInFlight = 4
	// writeTimeout bounds one transaction with its retry.
	writeTimeout = 3 * time.Second
)

// groupWriter commits concurrent writes in one transaction. A write is queued
// only while maxInFlight transactions are in flight.
type groupWriter struct {
	store    table.Store
	mu       sync.Mutex
	queue    []*pendingWrite
	inFlight int
}

type pendingWrite struct {
	write table.Write
	done  chan error
}

// write writes one record and returns the errors of [table.Store.Transact].
func (g *groupWriter) write(ctx context.Context, write table.Write) error {
	pending := &pendingWrite{write: write, done: make(chan error, 1)}
	g.mu.Lock()
	g.queue = append(g.queue, pending)
	g.startTransactions()
	g.mu.Unlock()
	select {
	case err := <-pending.done:
		return err
	case <-ctx.Done():
		return table.ErrOutcomeUnknown
	}
}

// startTransactions starts transactions for queued writes, up to maxInFlight.
// g.mu must be held.
func (g *groupWriter) startTransactions() {
	for len(g.queue) > 0 && g.inFlight < maxInFlight {
		group := g.nextGroup()
		g.inFlight++
		go g.commitAndRelease(group)
	}
}

// nextGroup removes the next group from the queue. No two of its writes have the
// same key.
func (g *groupWriter) nextGroup() []*pendingWrite {
	keys := make(map[table.Key]struct{}, maxGroup)
	var group, rest []*pendingWrite
	for _, pending := range g.queue {
		_, duplicate := keys[pending.write.Key]
		if duplicate || len(group) == maxGroup {
			rest = append(rest, pending)
			continue
		}
		keys[pending.write.Key] = struct{}{}
		group = append(group, pending)
	}
	size := len(table.FirstBatch(g.store, writesOf(group)))
	g.queue = slices.Concat(group[size:], rest)
	return group[:size]
}

// writesOf returns the writes of a group.
func writesOf(group []*pendingWrite) []table.Write {
	writes := make([]table.Write, len(group))
	for i, pending := range group {
		writes[i] = pending.write
	}
	return writes
}

// commitAndRelease commits a group and then starts the transactions that had to
// wait for it.
func (g *groupWriter) commitAndRelease(group []*pendingWrite) {
	g.commit(group)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	g.startTransactions()
}

// commit writes a group in one transaction. On a conflict it commits the writes
// one by one, since the error does not tell which of them conflicted.
func (g *groupWriter) commit(group []*pendingWrite) {
	err := g.transact(table.Token(uuid.NewString()), writesOf(group))
	if errors.Is(err, table.ErrConflict) && len(group) > 1 {
		for i := range group {
			g.commit(group[i : i+1])
		}
		return
	}
	for _, pending := range group {
		pending.done <- err
	}
}

// transact sends a transaction. If its outcome is unknown it is sent once more
// with the same token.
func (g *groupWriter) transact(token table.Token, writes []table.Write) error {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	err := g.store.Transact(ctx, token, writes)
	if !errors.Is(err, table.ErrOutcomeUnknown) {
		return err
	}
	if retryErr := g.store.Transact(ctx, token, writes); !table.NotWritten(retryErr) {
		return retryErr
	}
	return table.ErrOutcomeUnknown
}
