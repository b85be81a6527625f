package standin

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/go-faster/errors"
)

// EarlyServer is a server on loopback that answers requests before it has read their bodies.
type EarlyServer struct {
	// Answer writes the answer to a request, of whose body no more than a buffer has been
	// read, to its connection, which is closed afterwards.
	Answer func(connection *net.TCPConn, request *http.Request)

	listener    net.Listener
	connections sync.WaitGroup
}

// earlyBuffer is the size of the receive buffers of an [EarlyServer], in bytes. It is small so
// that long bodies don't fit into the buffers on their way.
const earlyBuffer = 64 << 10

// Listen starts the server and returns its address.
func (s *EarlyServer) Listen(ctx context.Context) (address string, err error) {
	if s.listener, err = (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0"); err != nil {
		return "", errors.Wrap(err, "early server")
	}
	s.connections.Go(func() {
		for {
			connection, err := s.listener.Accept()
			if err != nil {
				return
			}
			s.connections.Go(func() { s.serve(connection) })
		}
	})
	return s.listener.Addr().String(), nil
}

func (s *EarlyServer) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	tcp, is := connection.(*net.TCPConn)
	if !is || tcp.SetReadBuffer(earlyBuffer) != nil {
		return
	}
	if request, err := http.ReadRequest(bufio.NewReader(tcp)); err == nil {
		s.Answer(tcp, request)
	}
}

// Close stops the server and waits until all answers have been written.
func (s *EarlyServer) Close() {
	_ = s.listener.Close()
	s.connections.Wait()
}
