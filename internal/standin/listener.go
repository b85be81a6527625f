package standin

import (
	"context"
	"net"
	"sync"

	"github.com/go-faster/errors"
)

// Listener is a listener whose connections are handed to it, so that servers run in
// memory and in virtual time.
type Listener struct {
	accept chan net.Conn
	closed chan struct{}
	once   sync.Once
}

var _ net.Listener = (*Listener)(nil)

// NewListener returns a listener without connections.
func NewListener() *Listener {
	return &Listener{accept: make(chan net.Conn), closed: make(chan struct{})}
}

// Deliver hands a connection to the server and waits until the server accepts it. It
// fails if the listener is closed or the context ends first.
func (l *Listener) Deliver(ctx context.Context, connection net.Conn) error {
	select {
	case l.accept <- connection:
		return nil
	case <-l.closed:
		return errors.New("connection refused")
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Accept implements [net.Listener].
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.accept:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements [net.Listener].
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements [net.Listener].
func (l *Listener) Addr() net.Addr { return &net.TCPAddr{} }
