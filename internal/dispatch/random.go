package dispatch

import (
	"math/rand/v2"
	"sync"
)

// SharedRand returns a source of random choices that draws from another one and
// may be used by several goroutines at once. The other must not be used beside
// it.
func SharedRand(source rand.Source) *rand.Rand { return rand.New(&lockedSource{source: source}) }

// lockedSource shares a random source between requests.
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
