package drain

import (
	"sync"

	"github.com/guavatrack/guavatrack/internal/connlimit"
)

// Reservations is the memory that one request has reserved. Concurrent attempts may use it.
// Its exported fields are set before use.
type Reservations struct {
	// Requests holds the sum over all requests, which Limit bounds, in bytes.
	Requests *Requests
	Limit    int64
	// Account holds this memory and that of connections. It may be nil.
	Account *connlimit.Account

	mu       sync.Mutex
	size     int64
	released bool
}

// Reserve reserves memory for size bytes until Release and reports whether there is room for
// it. After Release there is none.
func (r *Reservations) Reserve(size int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.released || !r.Requests.reserve(size, r.Limit) {
		return false
	}
	if !r.Account.Reserve(size) {
		r.Requests.free(size)
		return false
	}
	r.size += size
	return true
}

// Release frees the memory that the request has reserved.
func (r *Reservations) Release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Requests.free(r.size)
	r.Account.Release(r.size)
	r.size, r.released = 0, true
}
