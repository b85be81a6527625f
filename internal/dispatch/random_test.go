package dispatch_test

import (
	"math/rand/v2"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/dispatch"
)

// TestSharedRand draws from several goroutines, so that the race detector reports a
// source that is not locked.
func TestSharedRand(t *testing.T) {
	const drawers, draws = 4, 100
	random := dispatch.SharedRand(rand.NewPCG(1, 2))
	var mu sync.Mutex
	seen := make(map[uint64]bool)
	var group sync.WaitGroup
	for range drawers {
		group.Go(func() {
			for range draws {
				drawn := random.Uint64()
				mu.Lock()
				seen[drawn] = true
				mu.Unlock()
			}
		})
	}
	group.Wait()
	qt.Assert(t, seen, qt.HasLen, drawers*draws)
}
