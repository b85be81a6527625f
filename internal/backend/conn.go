package backend

import (
	"context"
	"hash/maphash"
	"net"
	"sync"
	"sync/atomic"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Conn is a connection to a backend server. It records whether the server sent anything
// before the first request, which can't be an answer to that, and which requests were
// refused.
type Conn struct {
	net.Conn

	written, early atomic.Bool

	mu sync.Mutex
	// refused holds the hashes of the ids of refused requests.
	refused map[uint64]struct{}
}

// maxRefused is the number of refusals after which a connection is closed, since it would
// have to record too many.
const maxRefused = 64

// refusedSeed is the seed of the hashes of ids.
var refusedSeed = maphash.MakeSeed()

// Read implements [net.Conn].
func (c *Conn) Read(buf []byte) (int, error) {
	count, err := c.Conn.Read(buf)
	if count > 0 && !c.written.Load() {
		c.early.Store(true)
	}
	return count, err
}

// Write implements [net.Conn].
func (c *Conn) Write(data []byte) (int, error) {
	c.written.Store(true)
	return c.Conn.Write(data)
}

// Early reports whether the server sent anything before the first request was written.
// What arrives while that is written may be missed.
func (c *Conn) Early() bool { return c.early.Load() }

// recordRefusal records that a request was refused and reports whether it was not before.
// Of two ids with the same hash the second counts as refused before.
func (c *Conn) recordRefusal(id fleet.RequestID) (first bool) {
	hash := maphash.String(refusedSeed, string(id))
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, found := c.refused[hash]; found {
		return false
	}
	if c.refused == nil {
		c.refused = make(map[uint64]struct{})
	}
	c.refused[hash] = struct{}{}
	if len(c.refused) >= maxRefused {
		_ = c.Close()
	}
	return true
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// RecordConns returns a function that opens connections as dial does, each a [Conn].
func RecordConns(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: connection}, nil
	}
}
