package http1

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// conn is a connection whose reads tell a reset from the end of the server's bytes, also while
// a request is being written, and fail at a line of a head that continues another one.
//
// The system reports a reset to one call, the first one after it. If that is a write, the
// reads that follow meet an end of file, which ends a body with neither a length nor chunks.
type conn struct {
	net.Conn

	// writing has room for one write at a time.
	writing chan struct{}
	// writeErr is the error of the first write that failed. It is accessed while writing is
	// taken.
	writeErr error

	// expectsHead is set when a request is about to be written: the next bytes read are the
	// head of its response.
	expectsHead atomic.Bool
	// folds and folded, which is set once a line was found, are used by the goroutine that
	// reads.
	folds  foldScanner
	folded bool
}

// errFolded is the error of reads from a line on that continues another one.
var errFolded = errors.Wrap(ErrNoResponse, "line of a head that begins with a blank")

// Read implements [net.Conn]. An end of file after the connection broke is an error, and so is
// a line of a head that continues another one, from then on.
func (c *conn) Read(buf []byte) (int, error) {
	if c.folded {
		return 0, errFolded
	}
	count, err := c.Conn.Read(buf)
	if count > 0 && c.expectsHead.Swap(false) {
		c.folds.begin()
	}
	if count, c.folded = c.folds.scan(buf[:count]); c.folded {
		return count, errFolded
	}
	if errors.Is(err, io.EOF) {
		if broke := breakOf(c.firstWriteError()); broke != nil {
			err = errors.Wrap(broke, "connection broke before the end of the answer")
		}
	}
	return count, err
}

// Write implements [net.Conn].
func (c *conn) Write(data []byte) (int, error) {
	c.writing <- struct{}{}
	defer c.doneWriting()
	count, err := c.Conn.Write(data)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return count, err
}

// NetConn returns the connection that was dialed.
func (c *conn) NetConn() net.Conn { return c.Conn }

// firstWriteError returns the error of the first write that failed, once the end of the
// server's bytes was read. A write that goes on then is ended, since no answer can follow:
// if the reset was reported to it, it fails with that.
func (c *conn) firstWriteError() error {
	select {
	case c.writing <- struct{}{}:
	default:
		_ = c.SetWriteDeadline(time.Unix(0, 1))
		c.writing <- struct{}{}
	}
	defer c.doneWriting()
	return c.writeErr
}

func (c *conn) doneWriting() { <-c.writing }

// breakOf returns the error of a write if it reports that the connection broke before the
// end of the server's bytes; otherwise nil. A connection that breaks after that end fails
// writes with EPIPE.
func breakOf(writeErr error) error {
	var number syscall.Errno
	if errors.As(writeErr, &number) && number != syscall.EPIPE {
		return writeErr
	}
	return nil
}

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// tellingResets returns a function that opens connections as dial does, each a [conn].
func tellingResets(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: connection, writing: make(chan struct{}, 1)}, nil
	}
}
