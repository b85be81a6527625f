package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// Mode is how a [Proxy] treats its connections.
type Mode int

// Modes of a proxy.
const (
	// Pass forwards both directions.
	Pass Mode = iota
	// Slow delays each chunk that is read.
	Slow
	// Silent accepts connections but forwards nothing.
	Silent
	// OneWay forwards to the target but nothing back.
	OneWay
	// Reset resets all open connections and each new one.
	Reset
)

// String returns the name of the mode, as logged.
func (m Mode) String() string { return [...]string{"pass", "slow", "silent", "oneWay", "reset"}[m] }

// Proxy forwards TCP connections to a target and can inject network faults.
type Proxy struct {
	// Target is the address that connections are forwarded to, Delay the delay of
	// each chunk in mode Slow.
	Target string
	Delay  time.Duration

	listener net.Listener
	mu       sync.Mutex
	mode     Mode
	conns    map[net.Conn]struct{}
}

// Listen starts the proxy on a free loopback port and returns its address.
func (p *Proxy) Listen() (address string, err error) {
	p.conns = make(map[net.Conn]struct{})
	if p.listener, err = (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0"); err != nil {
		return "", err
	}
	go p.accept()
	return p.listener.Addr().String(), nil
}

// Close stops the proxy and resets all of its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Set(Reset)
}

// Set changes the mode, which applies to open connections too.
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

// reset closes a connection with a TCP reset, by a linger time of 0.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (p *Proxy) currentMode() Mode {
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
		go p.forward(conn)
	}
}

// forward connects to the target and copies both directions until they end.
func (p *Proxy) forward(from net.Conn) {
	if p.currentMode() == Reset {
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
	both.Go(func() { p.copyDirection(to, from, false) })
	both.Go(func() { p.copyDirection(from, to, true) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, from)
	delete(p.conns, to)
	p.mu.Unlock()
}

// modePoll is the interval at which a stalled direction checks the mode.
const modePoll = 20 * time.Millisecond

// copyDirection copies one direction of a connection. A stalled chunk is kept and
// sent once the mode allows it, since TCP retransmits what was lost while a link
// was cut.
func (p *Proxy) copyDirection(to, from net.Conn, back bool) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	buffer := make([]byte, 16<<10)
	for {
		count, err := from.Read(buffer)
		for mode := p.currentMode(); mode == Silent || mode == OneWay && back; mode = p.currentMode() {
			time.Sleep(modePoll)
		}
		mode := p.currentMode()
		if mode == Slow {
			time.Sleep(p.Delay)
		}
		if mode == Reset {
			reset(to)
			reset(from)
			return
		}
		if _, writeErr := to.Write(buffer[:count]); writeErr != nil || err != nil {
			if !errors.Is(err, io.EOF) || writeErr != nil || wasReset(from) {
				reset(to)
				reset(from)
			}
			return
		}
	}
}

// wasReset reports whether a connection that reached its end was reset: the system may have
// reported that to a write of the other direction.
func wasReset(conn net.Conn) (was bool) {
	tcp, is := conn.(*net.TCPConn)
	if !is {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true // closed by the other direction
	}
	err = raw.Control(func(descriptor uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		was = err != nil || info.State == unix.BPF_TCP_CLOSE
	})
	return was || err != nil
}
