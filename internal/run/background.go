package run

import (
	"context"
	"sync"
)

// Background runs work beside a controller's Run, and only while that runs.
type Background struct {
	mu      sync.Mutex
	ctx     context.Context //nolint:containedctx // that of Run, while it runs
	pending sync.WaitGroup
}

// Begin allows work. The function it returns ends that and waits for the work
// that is under way.
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

// Go runs work that ends with Run. It does nothing while Run does not run.
func (b *Background) Go(work func(ctx context.Context)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ctx := b.ctx; ctx != nil {
		b.pending.Go(func() { work(ctx) })
	}
}
