package standin

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// LoadAll loads that many models at once, each on its own engine, and reports
// whether all loads came to their end.
func LoadAll(ctx context.Context, store *WeightStore, loads int, size fleet.Bytes) bool {
	var group sync.WaitGroup
	var failed atomic.Int64
	for range loads {
		loader := NewEngine(EngineConfig{Memory: fleet.TiB, Store: store})
		copied := &held{engine.HeldItem{Item: fleet.Item{Model: "m"}, Size: size, State: engine.Loading}}
		group.Go(func() {
			if !loader.transfer(ctx, copied) {
				failed.Add(1)
			}
		})
	}
	group.Wait()
	return failed.Load() == 0
}
