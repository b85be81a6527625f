package claim

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/guavatrack/guavatrack/internal/table"
)

// Bounds of group commits.
const (
	// maxGroup is the number of writes in one transaction. It keeps the answers
	// in one transaction below the size that table services accept.
	maxGroup = 16
	// maxFlights is the number of transactions under way at once.
	maxFlights = 4
	// writeTimeout bounds one transaction.
	writeTimeout = 3 * time.Second
)

// groupWriter puts writes that come at the same time into one transaction. A
// write waits only while as many transactions as allowed are under way.
type groupWriter struct {
	store   table.Store
	mu      sync.Mutex
	waiting []*pendingWrite
	flights int
}

type pendingWrite struct {
	write table.Write
	done  chan error
}

// write writes one record, and fails as [table.Store.Transact] does.
func (g *groupWriter) write(ctx context.Context, write table.Write) error {
	pending := &pendingWrite{write: write, done: make(chan error, 1)}
	g.mu.Lock()
	g.waiting = append(g.waiting, pending)
	g.launch()
	g.mu.Unlock()
	select {
	case err := <-pending.done:
		return err
	case <-ctx.Done():
		return table.ErrUnknown
	}
}

// launch starts transactions for what waits. The caller holds the lock.
func (g *groupWriter) launch() {
	for len(g.waiting) > 0 && g.flights < maxFlights {
		group := g.take()
		g.flights++
		go g.fly(group)
	}
}

// take returns the next group. No two of its writes have the same key.
func (g *groupWriter) take() []*pendingWrite {
	keys := make(map[table.Key]struct{}, maxGroup)
	var group, rest []*pendingWrite
	for _, pending := range g.waiting {
		_, twice := keys[pending.write.Key]
		if twice || len(group) == maxGroup {
			rest = append(rest, pending)
			continue
		}
		keys[pending.write.Key] = struct{}{}
		group = append(group, pending)
	}
	g.waiting = rest
	return group
}

func (g *groupWriter) fly(group []*pendingWrite) {
	g.commit(group)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.flights--
	g.launch()
}

// commit writes a group, and write by write if one of them conflicts, since a
// conflict does not say which.
func (g *groupWriter) commit(group []*pendingWrite) {
	token := table.Token(uuid.NewString())
	writes := make([]table.Write, len(group))
	for at, pending := range group {
		writes[at] = pending.write
	}
	err := g.transact(token, writes)
	if errors.Is(err, table.ErrConflict) && len(group) > 1 {
		for at := range group {
			g.commit(group[at : at+1])
		}
		return
	}
	for _, pending := range group {
		pending.done <- err
	}
}

// transact sends a transaction and, if the answer is lost, once more under the
// same token.
func (g *groupWriter) transact(token table.Token, writes []table.Write) error {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	err := g.store.Transact(ctx, token, writes)
	if !errors.Is(err, table.ErrUnknown) {
		return err
	}
	if again := g.store.Transact(ctx, token, writes); !errors.Is(again, table.ErrUnavailable) {
		return again
	}
	return table.ErrUnknown
}
