package run

import (
	"context"
	"sync"
)

// Background runs goroutines for a controller while its Run method is active.
type Background struct {
	mu      sync.Mutex
	ctx     context.Context //nolint:containedctx // the context of Run while it is active
	pending sync.WaitGroup
}

// Begin lets Go start work, with the given context. The function it returns
// ends that and waits for the work that is still running.
func (b *Background) Begin(ctx context.Context) (end func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ctx = ctx
	return b.end
}

func (b *Background) end() {
	b.mu.Lock()
	b.ctx = nil
	b.mu.Unlock()
	b.pending.Wait()
}

// Go runs work in a goroutine with the context of Run. It does nothing while
// Run is not active.
func (b *Background) Go(work func(ctx context.Context)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ctx := b.ctx; ctx != nil {
		b.pending.Go(func() { work(ctx) })
	}
}
