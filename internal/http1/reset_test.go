package http1_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/http1"
	"github.com/guavatrack/guavatrack/internal/standin"
)

const (
	// answerPart is a part of an answer.
	answerPart = "a part"
	// partTime is the time between a part of an answer and what follows.
	partTime = 2 * time.Millisecond
)

// longUpload is the body of a request that does not fit into the buffers of two sockets.
var longUpload = make([]byte, 32<<20)

// unframedHeads are heads of answers whose end is that of the connection.
var unframedHeads = map[string]string{
	"no framing":        "HTTP/1.1 200 OK\r\n\r\n",
	"Connection: close": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
	"HTTP/1.0":          "HTTP/1.0 200 OK\r\n\r\n",
}

// startEarlyServer starts a server that answers before it has read the body of a request, and
// returns its address.
func startEarlyServer(c *qt.C, answer func(connection *net.TCPConn)) (address string) {
	server := &standin.EarlyServer{Answer: func(connection *net.TCPConn, _ *http.Request) { answer(connection) }}
	address, err := server.Listen(c.Context())
	c.Assert(err, qt.IsNil)
	c.Cleanup(server.Close)
	return address
}

// upload sends a request with a long body over a new connection and reads the answer.
func upload(c *qt.C, transport http.RoundTripper, address string) (body string, err error) {
	request, err := http.NewRequestWithContext(c.Context(), http.MethodPost, "http://"+address+"/", bytes.NewReader(longUpload))
	c.Assert(err, qt.IsNil)
	return exchange(transport, request)
}

// exchange sends a request and reads the body of the answer.
func exchange(transport http.RoundTripper, request *http.Request) (body string, err error) {
	response, err := transport.RoundTrip(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

// TestResetDuringTheUploadEndsNoAnswer guards against a part of an answer that passes for
// the whole: a server answers before it has read a long upload, with neither a length nor
// chunks, and resets the connection after a part of the body. The system reports the reset
// to a write, and an end of file to the read after it.
func TestResetDuringTheUploadEndsNoAnswer(t *testing.T) {
	const exchanges = 100
	for name, head := range unframedHeads {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address := startEarlyServer(c, func(connection *net.TCPConn) {
				_, _ = io.WriteString(connection, head+answerPart)
				time.Sleep(partTime)
				_ = connection.SetLinger(0)
			})
			transport := http1.New(&http.Transport{DisableKeepAlives: true})
			whole := 0
			for range exchanges {
				if _, err := upload(c, transport, address); err == nil {
					whole++
				}
			}
			c.Check(whole, qt.Equals, 0, qt.Commentf("of %d answers", exchanges))
		})
	}
}

// TestEarlyAnswerThatEndsInOrderIsWhole checks that an answer which a server ends in order
// before it has read a long upload is whole at once, whether the server reads on, reads
// nothing more, or leaves a part of the body for the caller to read late.
func TestEarlyAnswerThatEndsInOrderIsWhole(t *testing.T) {
	const exchanges = 20
	for name, then := range map[string]func(connection *net.TCPConn, released <-chan struct{}){
		"reads on":           func(connection *net.TCPConn, _ <-chan struct{}) { _, _ = io.Copy(io.Discard, connection) },
		"reads nothing more": func(_ *net.TCPConn, released <-chan struct{}) { <-released },
	} {
		for framing, head := range unframedHeads {
			t.Run(name+", "+framing, func(t *testing.T) {
				c := qt.New(t)
				for range exchanges {
					released := make(chan struct{})
					address := startEarlyServer(c, func(connection *net.TCPConn) {
						_, _ = io.WriteString(connection, head+answerPart)
						_ = connection.CloseWrite()
						then(connection, released)
					})
					body, err := upload(c, http1.New(&http.Transport{DisableKeepAlives: true}), address)
					close(released)
					c.Check(err, qt.IsNil)
					c.Check(body, qt.Equals, answerPart)
				}
			})
		}
	}
}

// endingConn is a connection that reaches its end while a request is written to it. A write
// that is blocked then returns, with an error, only after a second: the end has been read
// long before.
type endingConn struct {
	net.Conn
	answer io.Reader
	// written is closed by the first write, ended at the end of the connection, interrupted
	// once writes time out or the connection is closed.
	written, ended, interrupted chan struct{}
	write, interrupt            sync.Once
	// writeError is the error of the write.
	writeError error
}

func (e *endingConn) Read(buf []byte) (int, error) {
	<-e.written
	count, err := e.answer.Read(buf)
	if err != nil {
		<-e.ended
	}
	return count, err
}

func (e *endingConn) Write([]byte) (int, error) {
	e.write.Do(func() { close(e.written) })
	<-e.ended
	if e.writeError == nil {
		<-e.interrupted
		return 0, os.ErrDeadlineExceeded
	}
	time.Sleep(time.Second)
	return 0, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", e.writeError)}
}

func (e *endingConn) SetWriteDeadline(time.Time) error {
	e.interrupt.Do(func() { close(e.interrupted) })
	return nil
}

func (e *endingConn) Close() error { return e.SetWriteDeadline(time.Time{}) }

// TestEndOfFileIsToldFromAReset plays each order of events that decides whether an end of
// file is that of the answer, in virtual time. After an orderly end a reset fails writes
// with EPIPE.
func TestEndOfFileIsToldFromAReset(t *testing.T) {
	for name, play := range map[string]struct {
		writeError error
		whole      bool
	}{
		"a write reports the reset after the end was read": {syscall.ECONNRESET, false},
		"a write reports that packets got lost":            {syscall.ETIMEDOUT, false},
		"reset after an orderly end":                       {syscall.EPIPE, true},
		"orderly end while a write is blocked":             {nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				connection := &endingConn{
					answer:  bytes.NewReader([]byte(unframedHeads["no framing"] + answerPart)),
					written: make(chan struct{}), ended: make(chan struct{}), interrupted: make(chan struct{}),
					writeError: play.writeError,
				}
				transport := http1.New(&http.Transport{
					DisableKeepAlives: true,
					DialContext:       func(context.Context, string, string) (net.Conn, error) { return connection, nil },
				})
				time.AfterFunc(time.Second, func() { close(connection.ended) })
				body, err := upload(c, transport, "192.0.2.1:80")
				c.Check(body, qt.Equals, answerPart)
				if play.whole {
					c.Check(err, qt.IsNil)
				} else {
					c.Check(err, qt.ErrorIs, play.writeError)
				}
				time.Sleep(time.Second) // until the write has returned
			})
		})
	}
}
