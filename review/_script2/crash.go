package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// crasher is a server of a plain service that a request with the poisonous body crashes as soon as it
// begins to run. The machine goes dark: its open channels hang, and no new ones are accepted. After
// downTime the server is back at its address under a new id; the old channels are reset then.
type crasher struct {
	*backend
	run      *run
	store    *storePort
	downTime time.Duration
	// reset has open channels reset at the crash in place of hanging.
	reset bool

	mu       sync.Mutex
	life     int
	dark     chan struct{}
	conns    map[net.Conn]struct{}
	stop     chan struct{}
	listener net.Listener
	crashes  *crashes
}

// storePort is what a server writes to.
type storePort struct {
	put func(key string, value map[string]any)
}

// crashes records the crashes and arrivals of the poisonous request at all servers.
type crashes struct {
	mu sync.Mutex
	at []time.Time
	// ids are the requests that crashed a server, in the order of at.
	ids []string
}

const poisonBody = "poisonous"

// darkConn is a channel to a crasher. It hangs once the server's life has ended.
type darkConn struct {
	net.Conn
	dark chan struct{}
}

func (d *darkConn) hang() bool {
	select {
	case <-d.dark:
		return true
	default:
		return false
	}
}

func (d *darkConn) Read(buffer []byte) (int, error) {
	count, err := d.Conn.Read(buffer)
	if d.hang() && err == nil {
		// What arrives in the dark is read by nobody.
		for err == nil {
			_, err = d.Conn.Read(buffer)
		}
		return 0, err
	}
	return count, err
}

func (d *darkConn) Write(data []byte) (int, error) {
	if d.hang() {
		return len(data), nil
	}
	return d.Conn.Write(data)
}

// Close leaves a channel in the dark open; the server resets it when it is back.
func (d *darkConn) Close() error {
	if d.hang() {
		return nil
	}
	return d.Conn.Close()
}

type darkListener struct {
	net.Listener
	owner *crasher
}

func (l darkListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.owner.mu.Lock()
	defer l.owner.mu.Unlock()
	l.owner.conns[accepted] = struct{}{}
	return &darkConn{Conn: accepted, dark: l.owner.dark}, nil
}

// begin begins a life of the server.
func (s *crasher) begin() error {
	address := s.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.listener, s.conns, s.dark, s.stop = listener, make(map[net.Conn]struct{}), make(chan struct{}), make(chan struct{})
	s.life++
	stop := s.stop
	s.mu.Unlock()
	s.backend.mu.Lock()
	s.address, s.born = listener.Addr().String(), time.Now().UnixMilli()
	s.id = fmt.Sprintf("%s-%d", strings.SplitN(s.id, "-life", 2)[0], 0)
	s.id = strings.TrimSuffix(s.id, "-0") + fmt.Sprintf("-life%d", s.life)
	if s.runs == nil {
		s.runs = make(map[string]int)
	}
	id := s.id
	s.backend.mu.Unlock()
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(darkListener{listener, s}) }()
	s.store.put(id, s.entry())
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(1200 * time.Millisecond):
				s.store.put(id, s.entry())
			}
		}
	}()
	return nil
}

// ServeHTTP implements http.Handler.
func (s *crasher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasSuffix(r.URL.Path, "/"+poisonBody) {
		s.backend.ServeHTTP(w, r)
		return
	}
	if expected := r.Header.Get("Guavatrack-Expect-Instance"); expected != "" && expected != s.id {
		s.backend.ServeHTTP(w, r)
		return
	}
	now := time.Now()
	s.crashes.mu.Lock()
	s.crashes.at = append(s.crashes.at, now)
	s.crashes.ids = append(s.crashes.ids, r.Header.Get("Guavatrack-Attempt-Id"))
	number := len(s.crashes.at)
	s.crashes.mu.Unlock()
	s.run.note("request %s reaches %s and crashes it: crash %d", r.Header.Get("Guavatrack-Attempt-Id"), s.id, number)
	s.crash()
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// crash ends the server's life.
func (s *crasher) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.dark:
		return
	default:
	}
	close(s.dark)
	close(s.stop)
	_ = s.listener.Close()
	old := s.conns
	if s.reset {
		resetAll(old)
	}
	time.AfterFunc(s.downTime, func() {
		resetAll(old)
		for s.begin() != nil {
			time.Sleep(20 * time.Millisecond)
		}
		s.run.note("%s is back", s.id)
	})
}

func resetAll(conns map[net.Conn]struct{}) {
	for conn := range conns {
		if tcp, is := conn.(*net.TCPConn); is {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// poison: a request crashes each server that begins to run it; the servers' machines go dark and are back
// after some seconds. Its requester sends it again and again, at any node.
func poison(c *run) error {
	const (
		nodes    = 3
		servers  = 6
		downTime = 4 * time.Second
		allowed  = 3
		play     = 45 * time.Second
	)
	store, storeAddress, err := startStore("127.0.0.1")
	if err != nil {
		return err
	}
	store.Put("op", "config", manifest(7, 4))
	all := &crashes{}
	port := &storePort{put: func(key string, value map[string]any) { store.Put("servers", key, value) }}
	for i := range servers {
		s := &crasher{
			backend: &backend{id: fmt.Sprint("i-desk", i), pool: plainPool, slots: 6, work: 60 * time.Millisecond},
			run:     c, store: port, downTime: downTime, reset: os.Getenv("CRASH") == "reset", crashes: all,
		}
		if err := s.begin(); err != nil {
			return err
		}
	}
	ips := freeIPs(nodes)
	if len(ips) < nodes {
		return fmt.Errorf("no free loopback addresses")
	}
	for _, ip := range ips {
		n, err := c.newNode(ip, storeAddress)
		if err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range c.nodes {
		if err := n.waitReady(15 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second)
	requests := newRequester()
	pressing := make(chan struct{})
	var group sync.WaitGroup
	for _, n := range c.nodes {
		requests.press(n, request{path: lookPrefix, limit: 3 * time.Second}, 10, pressing, &group)
	}
	time.Sleep(3 * time.Second)
	end := time.Now().Add(play)
	for turn := 0; time.Now().Before(end); turn++ {
		if !c.trouble {
			time.Sleep(time.Second)
			continue
		}
		n := c.nodes[turn%nodes]
		id, got := requests.ask(n, request{path: lookPrefix, limit: 3 * time.Second, same: poisonBody})
		c.note("poisonous request %s at %s: status %d, error %v", id, n.name, got.status, got.err)
		time.Sleep(500 * time.Millisecond)
	}
	close(pressing)
	group.Wait()
	served, failed := 0, 0
	for _, got := range requests.sent {
		if got.status == 200 && got.err == nil {
			served++
		} else {
			failed++
		}
	}
	all.mu.Lock()
	defer all.mu.Unlock()
	c.note("%d requests served, %d not, %d crashes", served, failed, len(all.at))
	if served == 0 || c.trouble && len(all.at) < 3 {
		if c.trouble && served > 0 {
			return nil
		}
		return fmt.Errorf("the case did not come about")
	}
	// Each request of the requester counts as one retry, to however many servers a node sent it.
	late := make(map[string]bool)
	for i, at := range all.at {
		if len(all.at) >= 3 && at.After(all.at[2].Add(contact)) {
			late[all.ids[i]] = true
		}
	}
	if len(late) > allowed {
		c.breakRule("BUDGET: the request reached servers in %d retries later than contactMs after it had crashed the third, %d crashes in all",
			len(late), len(all.at))
	}
	return nil
}
