package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// silencer forwards connections to a target. Those that are open may go silent for good: nothing is
// forwarded on them any more, and they are neither closed nor reset. New ones work.
type silencer struct {
	target  string
	address string

	mu   sync.Mutex
	open []*silencedPair
}

// silencedPair is a connection with the one to the target.
type silencedPair struct {
	silent atomic.Bool
}

// startSilencer serves a silencer on a free port of an address.
func startSilencer(ip, target string) (*silencer, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &silencer{target: target, address: listener.Addr().String()}
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go s.forward(accepted)
		}
	}()
	return s, nil
}

// silence has all open connections go silent and returns their number.
func (s *silencer) silence() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, pair := range s.open {
		pair.silent.Store(true)
	}
	count := len(s.open)
	s.open = nil
	return count
}

func (s *silencer) forward(from net.Conn) {
	to, err := net.Dial("tcp", s.target)
	if err != nil {
		_ = from.Close()
		return
	}
	pair := &silencedPair{}
	s.mu.Lock()
	s.open = append(s.open, pair)
	s.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { pair.copy(to, from) })
	both.Go(func() { pair.copy(from, to) })
	both.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, open := range s.open {
		if open == pair {
			s.open = append(s.open[:i], s.open[i+1:]...)
			return
		}
	}
}

// copy copies one direction until it ends. What arrives on a silent connection is dropped, its end too.
func (p *silencedPair) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if p.silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if _, writeErr := to.Write(buffer[:count]); writeErr != nil || err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}
