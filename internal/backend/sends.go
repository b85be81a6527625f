package backend

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Sends records the connections over which one request is sent, to tell what its answer
// proves. What a connection itself records is missing unless the transport opens it by
// [RecordConns].
type Sends struct {
	// OnSend is called as soon as a connection is available, which is before the first
	// byte is written; it may be nil. If it returns false the connection is closed, so that
	// nothing is sent.
	OnSend func() bool

	mu sync.Mutex
	// count is the number of connections. net/http sends a request without a body again
	// by itself if a connection that it had kept breaks before the answer.
	count int
	// kept is set if the last connection carried another request before.
	kept bool
	// conn is the last connection; nil if it is no [Conn].
	conn *Conn
}

// Trace returns a context for the request.
func (s *Sends) Trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: s.record})
}

func (s *Sends) record(connection httptrace.GotConnInfo) {
	if s.OnSend != nil && !s.OnSend() {
		_ = connection.Conn.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count++
	s.kept = connection.Reused
	s.conn = recorded(connection.Conn)
}

// recorded returns the [Conn] under a connection; nil if there is none.
func recorded(connection net.Conn) *Conn {
	for {
		switch wrapped := connection.(type) {
		case *Conn:
			return wrapped
		case interface{ NetConn() net.Conn }:
			connection = wrapped.NetConn()
		default:
			return nil
		}
	}
}

// Kept reports whether the connection of the answer carried another request before. An
// answer on it that does not name its request may be that to the other one.
func (s *Sends) Kept() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kept
}

// Repeated reports whether the request was sent over other connections before, of which
// the answer says nothing.
func (s *Sends) Repeated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count > 1
}

// Early reports whether the server sent anything over the connection before the first
// request was written.
func (s *Sends) Early() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn != nil && s.conn.Early()
}

// RecordRefusal records that the request with an id was refused. It reports false if one
// with the same id was refused over the connection before, so that the refusal may be the
// same once more.
func (s *Sends) RecordRefusal(id fleet.RequestID) (first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn == nil || s.conn.recordRefusal(id)
}

// CloseConnection closes the connection, so that no other request is sent over it.
func (s *Sends) CloseConnection() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		_ = s.conn.Close()
	}
}
