package backend

import (
	"context"
	"net/http/httptrace"
	"sync"

	"github.com/guavatrack/guavatrack/internal/dispatch"
)

// sends records the connections over which one request is sent.
type sends struct {
	attempt *dispatch.Attempt

	mu sync.Mutex
	// count is the number of connections. net/http sends a request without a body again
	// by itself if a connection that it had kept breaks before the answer.
	count int
	// kept is set if the last connection carried another request before.
	kept bool
	// conn is the last connection; nil if it is no [Conn].
	conn *Conn
}

// trace returns a context whose request is recorded. It marks the attempt as sent as
// soon as a connection is available, which is before the first byte is written.
func (s *sends) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: s.record})
}

func (s *sends) record(connection httptrace.GotConnInfo) {
	s.attempt.MarkSent()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count++
	s.kept = connection.Reused
	s.conn, _ = connection.Conn.(*Conn)
}

// OnKeptConnection reports whether the connection carried another request before. An
// answer on it that does not name its request may be that to the other one.
func (a *Answer) OnKeptConnection() bool {
	a.sends.mu.Lock()
	defer a.sends.mu.Unlock()
	return a.sends.kept
}

// SentAgain reports whether the request was sent over other connections before, of which
// the answer says nothing.
func (a *Answer) SentAgain() bool {
	a.sends.mu.Lock()
	defer a.sends.mu.Unlock()
	return a.sends.count > 1
}

// OnEarlyConnection reports whether the server sent anything over the connection before
// the first request was written. The transport must open connections by [RecordEarly].
func (a *Answer) OnEarlyConnection() bool {
	a.sends.mu.Lock()
	defer a.sends.mu.Unlock()
	return a.sends.conn != nil && a.sends.conn.Early()
}

// CloseConnection closes the connection of the answer, so that no other request is sent
// over it. The transport must open connections by [RecordEarly].
func (a *Answer) CloseConnection() {
	a.sends.mu.Lock()
	defer a.sends.mu.Unlock()
	if a.sends.conn != nil {
		_ = a.sends.conn.Close()
	}
}
