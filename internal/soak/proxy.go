package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Mode is what a [Proxy] does to its connections.
type Mode int

// Modes of a proxy.
const (
	// Pass carries both directions.
	Pass Mode = iota
	// Slow delays each piece.
	Slow
	// Silent carries nothing, and takes connections.
	Silent
	// OneWay carries nothing back.
	OneWay
	// Reset cuts all connections and each new one.
	Reset
)

// String returns the mode's name in logs.
func (m Mode) String() string { return [...]string{"pass", "slow", "silent", "oneWay", "reset"}[m] }

// Proxy carries TCP connections to a target on loopback.
type Proxy struct {
	// Target is where connections go, Delay the delay of each piece if they are
	// slow.
	Target string
	Delay  time.Duration

	listener net.Listener
	mu       sync.Mutex
	mode     Mode
	conns    map[net.Conn]struct{}
}

// Listen opens the proxy on a free port and returns its address.
func (p *Proxy) Listen() (address string, err error) {
	p.conns = make(map[net.Conn]struct{})
	if p.listener, err = (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0"); err != nil {
		return "", err
	}
	go p.accept()
	return p.listener.Addr().String(), nil
}

// Close ends the proxy and all of its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Set(Reset)
}

// Set changes the mode, for open connections as well.
func (p *Proxy) Set(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode != Reset {
		return
	}
	for conn := range p.conns {
		reset(conn)
	}
}

// reset closes a connection so that the other side sees a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (p *Proxy) now() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.carry(conn)
	}
}

func (p *Proxy) carry(from net.Conn) {
	if p.now() == Reset {
		reset(from)
		return
	}
	to, err := (&net.Dialer{Timeout: time.Second}).Dial("tcp", p.Target)
	if err != nil {
		reset(from)
		return
	}
	p.mu.Lock()
	p.conns[from], p.conns[to] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pump(to, from, false) })
	both.Go(func() { p.pump(from, to, true) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, from)
	delete(p.conns, to)
	p.mu.Unlock()
}

// modePoll is the time between two looks at whether pieces may pass again.
const modePoll = 20 * time.Millisecond

// pump carries one direction. What is held up passes when the mode allows it: a
// link that is cut repeats what was lost.
func (p *Proxy) pump(to, from net.Conn, back bool) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	buffer := make([]byte, 16<<10)
	for {
		count, err := from.Read(buffer)
		for mode := p.now(); mode == Silent || mode == OneWay && back; mode = p.now() {
			time.Sleep(modePoll)
		}
		mode := p.now()
		if mode == Slow {
			time.Sleep(p.Delay)
		}
		if mode == Reset {
			reset(to)
			reset(from)
			return
		}
		if _, writeErr := to.Write(buffer[:count]); writeErr != nil || err != nil {
			if !errors.Is(err, io.EOF) {
				reset(to)
			}
			return
		}
	}
}
