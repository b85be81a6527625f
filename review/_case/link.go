package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// link is the network path to one server: a proxy that can be cut.
type link struct {
	target, address string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
}

// newLink opens a path to a server on a free loopback port.
func newLink(target string) *link {
	l := &link{target: target, conns: make(map[net.Conn]struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("%v", err)
	}
	l.address = listener.Addr().String()
	l.open(listener)
	return l
}

func (l *link) open(listener net.Listener) {
	l.mu.Lock()
	l.listener = listener
	l.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.pass(conn)
		}
	}()
}

func (l *link) pass(near net.Conn) {
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		near.Close()
		return
	}
	l.mu.Lock()
	l.conns[near], l.conns[far] = struct{}{}, struct{}{}
	l.mu.Unlock()
	var group sync.WaitGroup
	copyTo := func(to, from net.Conn) {
		_, _ = io.Copy(to, from)
		if tcp, ok := to.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
	}
	group.Go(func() { copyTo(far, near) })
	group.Go(func() { copyTo(near, far) })
	group.Wait()
	near.Close()
	far.Close()
	l.mu.Lock()
	delete(l.conns, near)
	delete(l.conns, far)
	l.mu.Unlock()
}

// cut resets the channels of the path and refuses new ones for a time.
func (l *link) cut(duration time.Duration) {
	l.mu.Lock()
	l.listener.Close()
	for conn := range l.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		conn.Close()
	}
	clear(l.conns)
	l.mu.Unlock()
	time.Sleep(duration)
	for end := time.Now().Add(2 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		listener, err := net.Listen("tcp", l.address)
		if err == nil {
			l.open(listener)
			return
		}
		if time.Now().After(end) {
			cannotRun("listen again: %v", err)
		}
	}
}
