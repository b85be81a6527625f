package connlimit

import "sync"

// Account is an amount, of memory or of connections, of which parts are reserved. It may be used
// concurrently.
type Account struct {
	limit int64

	mu   sync.Mutex
	used int64
}

// NewAccount returns an account of a limit.
func NewAccount(limit int64) *Account { return &Account{limit: limit} }

// Reserve reserves an amount and reports whether there was room for it. A nil account has no limit.
func (a *Account) Reserve(size int64) bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if size > a.limit-a.used {
		return false
	}
	a.used += size
	return true
}

// Release frees an amount that was reserved.
func (a *Account) Release(size int64) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.used -= size
}

// Used returns the amount that is reserved.
func (a *Account) Used() int64 {
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}
