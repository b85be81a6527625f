package dispatch

import (
	"math/rand/v2"
	"sync"
)

// SharedRand returns a random generator that draws from the given source and is
// safe for concurrent use. The source must not be used directly any more.
func SharedRand(source rand.Source) *rand.Rand { return rand.New(&lockedSource{source: source}) }

// lockedSource is a random source that is safe for concurrent use.
type lockedSource struct {
	mu     sync.Mutex
	source rand.Source
}

// Uint64 implements [rand.Source].
func (l *lockedSource) Uint64() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.source.Uint64()
}
