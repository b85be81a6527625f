package connlimit

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// ConnectionMemory is the memory of a connection in bytes: its two goroutines, the buffers of
	// net/http and a short header. 600 connections took about 18 KiB each, garbage included.
	ConnectionMemory = 16 << 10
	// freeHeaderMemory is the memory of a header that is part of ConnectionMemory. More is reserved
	// in steps of headerStep.
	freeHeaderMemory = 6 << 10
	headerStep       = 4 << 10
)

// Answers written without net/http. Each ends its connection.
const (
	answerBusy = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1.00\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	answerMany = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// Bounds of the end of a refused connection. What arrives is read for a while, since a close with
// unread data resets the connection, and the sender might not get the answer.
const (
	lingerTime  = 100 * time.Millisecond
	lingerBytes = 64 << 10
	// maxLingering bounds the refused connections that are read at a time, which have no place. It is
	// less for a listener with few places.
	maxLingering      = 16
	placesPerLingerer = 16
	answerTimeout     = time.Second
)

// Listener bounds the connections of a socket. Its exported fields are set before use.
type Listener struct {
	net.Listener
	Table *Table
	// HTTP is set if the socket takes HTTP/1, of which HeaderFields bounds the header fields of a
	// request. Set [Listener.ConnState] and [Listener.ConnContext] as hooks of the server.
	HTTP         bool
	HeaderFields int
	Counters     *Counters

	once  sync.Once
	slots chan struct{}
}

// Accept returns the next connection that is within the limits.
func (l *Listener) Accept() (net.Conn, error) {
	l.once.Do(func() { l.slots = make(chan struct{}, l.lingering()) })
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		accepted := &Conn{Conn: raw, listener: l, inHeader: l.HTTP}
		accepted.entry.Close = func() { _ = raw.Close() }
		displaced, admitted := l.Table.Add(time.Now(), addressOf(raw), &accepted.entry)
		if displaced != nil {
			l.Counters.Displaced.Inc(1)
			displaced.Close()
		}
		if admitted {
			return accepted, nil
		}
		l.Counters.Refused.Inc(1)
		l.refuse(raw)
	}
}

// lingering returns the bound on the refused connections that are read at a time.
func (l *Listener) lingering() int {
	if l.Table.Connections == 0 {
		return maxLingering
	}
	return min(maxLingering, max(1, l.Table.Connections/placesPerLingerer))
}

func addressOf(connection net.Conn) netip.Addr {
	address, _ := netip.ParseAddrPort(connection.RemoteAddr().String())
	return address.Addr().Unmap()
}

// refuse closes a connection after an answer, which fits into the buffer of a new connection.
// Beyond a number at a time connections are closed at once after that.
func (l *Listener) refuse(raw net.Conn) {
	select {
	case l.slots <- struct{}{}:
		go func() {
			l.writeBusy(raw)
			linger(raw)
			<-l.slots
		}()
	default:
		l.writeBusy(raw)
		_ = raw.Close()
	}
}

func (l *Listener) writeBusy(raw net.Conn) {
	if l.HTTP {
		writeAnswer(raw, answerBusy)
	}
}

func writeAnswer(raw net.Conn, answer string) {
	_ = raw.SetWriteDeadline(time.Now().Add(answerTimeout))
	_, _ = io.WriteString(raw, answer)
}

// linger ends the writing, reads for a short while and closes the connection.
func linger(raw net.Conn) {
	if half, ok := raw.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = raw.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, raw, lingerBytes)
	_ = raw.Close()
}

// ConnState is the hook of an [http.Server] for the states of its connections.
func (l *Listener) ConnState(connection net.Conn, state http.ConnState) {
	c, ok := connection.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.endHeader()
		c.SetState(Reading)
	case http.StateIdle:
		c.beginHeader()
		c.SetState(Idle)
	default:
	}
}

// connKey is the key of the connection in a request's context.
type connKey struct{}

// ConnContext is the hook of an [http.Server] for the contexts of its connections. It makes the
// connection available to [ConnOf].
func (*Listener) ConnContext(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, connection)
}

// ConnOf returns the connection of a request by its context; nil if it is not of a [Listener].
func ConnOf(ctx context.Context) *Conn {
	connection, _ := ctx.Value(connKey{}).(*Conn)
	return connection
}

// Conn is a connection of a [Listener].
type Conn struct {
	net.Conn
	listener *Listener
	entry    Entry

	// mu guards the fields below.
	mu sync.Mutex
	// inHeader is set while the header of a request is read, reserved is the memory for it.
	inHeader bool
	header   Header
	reserved int64
	refused  bool
	closed   bool
}

// errRefused ends the reading of a refused request.
var errRefused = errors.New("the request is refused")

// Read implements [net.Conn].
func (c *Conn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	answer := c.countHeader(buffer[:max(count, 0)])
	if answer == "" {
		return count, err
	}
	writeAnswer(c.Conn, answer)
	// net/http writes no answer of its own after an error of reading.
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: errRefused}
}

// countHeader counts bytes of a header that were read. It returns the answer with which the
// request is refused; empty if it is not.
func (c *Conn) countHeader(data []byte) (answer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inHeader || c.header.Ended || len(data) == 0 {
		return ""
	}
	c.header.Add(data)
	// The request line is not a field.
	if c.listener.HeaderFields > 0 && c.header.Lines > c.listener.HeaderFields+1 {
		c.listener.Counters.ManyFields.Inc(1)
		c.refused = true
		return answerMany
	}
	for c.header.Memory() > freeHeaderMemory+c.reserved {
		if c.closed || !c.listener.Table.Account.Reserve(headerStep) {
			c.listener.Counters.HeaderMemory.Inc(1)
			c.refused = true
			return answerBusy
		}
		c.reserved += headerStep
	}
	return ""
}

// endHeader records that the header has been read. Its memory stays reserved.
func (c *Conn) endHeader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHeader = false
}

// beginHeader records that the request has ended and another one may follow.
func (c *Conn) beginHeader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.header, c.inHeader = Header{}, true
	c.releaseHeader()
}

func (c *Conn) releaseHeader() {
	c.listener.Table.Account.Release(c.reserved)
	c.reserved = 0
}

// SetState records that the connection has entered a state, or has made progress in it. It may be
// called on a nil connection.
func (c *Conn) SetState(state State) {
	if c != nil {
		c.listener.Table.SetState(time.Now(), &c.entry, state)
	}
}

// DisplaceReading closes another connection whose request has made no progress for a while, and
// reports whether there was one. Its memory becomes free soon after. It may be called on a nil
// connection.
func (c *Conn) DisplaceReading() bool {
	if c == nil {
		return false
	}
	displaced := c.listener.Table.DisplaceReading(time.Now(), &c.entry)
	if displaced == nil {
		return false
	}
	c.listener.Counters.Displaced.Inc(1)
	displaced.Close()
	return true
}

// errNoHalfClose reports a connection that can only be closed as a whole.
var errNoHalfClose = errors.New("the connection cannot end its writing alone")

// CloseWrite ends the writing.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errNoHalfClose
}

// Close implements [net.Conn].
func (c *Conn) Close() error {
	c.mu.Lock()
	refused := c.refused && !c.closed
	c.closed = true
	c.releaseHeader()
	c.mu.Unlock()
	if refused {
		linger(c.Conn)
	}
	err := c.Conn.Close()
	c.listener.Table.Remove(&c.entry)
	return err
}
