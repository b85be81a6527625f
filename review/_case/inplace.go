package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/guavatrack/guavatrack/platform/standin"
)

const (
	streamRoute  = "/strm201/"
	streamPool   = "plain88"
	streamEvents = 40
	eventTime    = 100 * time.Millisecond
)

// writer is a plain backend server (no models) that writes streams which may be resumed.
type writer struct {
	id, zone, address string

	mu       sync.Mutex
	version  string
	born     int64
	sequence int
	server   *http.Server
	conns    map[net.Conn]struct{}
}

func (s *writer) start(version string) {
	address := s.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	var listener net.Listener
	var err error
	for end := time.Now().Add(2 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if listener, err = net.Listen("tcp", address); err == nil {
			break
		}
		if time.Now().After(end) {
			cannotRun("%v", err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address, s.version, s.born, s.sequence = listener.Addr().String(), version, time.Now().UnixMilli(), 0
	s.conns = make(map[net.Conn]struct{})
	s.server = &http.Server{Handler: s, ConnState: func(conn net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if state == http.StateNew {
			s.conns[conn] = struct{}{}
		} else if state == http.StateClosed {
			delete(s.conns, conn)
		}
	}}
	go func(server *http.Server) { _ = server.Serve(listener) }(s.server)
}

// crash ends the process: its channels are reset and its port refuses new ones.
func (s *writer) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	_ = s.server.Close()
}

func (s *writer) checkIn(store *standin.Store) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	store.Put("servers", s.id, map[string]any{
		"service": streamPool, "address": s.address, "zone": s.zone, "version": s.version, "slots": 32, "state": "ready",
		"coldLeftMs": 0, "sequence": s.sequence, "born": s.born,
	})
}

func (s *writer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	id := r.Header.Get("Guavatrack-Attempt-Id")
	w.Header().Set("Guavatrack-Attempt-Id", id)
	w.Header().Set("Guavatrack-Instance-Id", s.id)
	if expect := r.Header.Get("Guavatrack-Expect-Instance"); expect != "" && expect != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !strings.HasPrefix(r.URL.Path, streamRoute) {
		w.WriteHeader(http.StatusOK)
		return
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	record("server %s of %s runs %s from event %d", s.id, version, id, last+1)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Guavatrack-Response-Seal", "seal."+id)
	flusher, _ := w.(http.Flusher)
	for event := last + 1; event <= streamEvents; event++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, version); err != nil {
			return
		}
		flusher.Flush()
		select {
		case <-time.After(eventTime):
		case <-r.Context().Done():
			return
		}
	}
}

// inplaceCase starts the last server of a software version again in place, under its id, with
// the version that the others run, while streams are written that their requesters take up.
func inplaceCase(trouble bool) int {
	store := standin.NewStore()
	f := newFleet(serve(store))
	zones := []string{"zatec-yard", "brno-hall", "louny-store"}
	var writers []*writer
	for i, zone := range zones {
		s := &writer{id: fmt.Sprintf("i-plain%d", i), zone: zone}
		version := "v2"
		if i == 0 {
			version = "v1"
		}
		s.start(version)
		writers = append(writers, s)
	}
	put := func(version int) {
		store.Put("op", "config", map[string]any{
			"version": version,
			"routes": []map[string]any{{
				"name": "r-stream", "host": host, "prefix": streamRoute, "kind": "streaming", "service": streamPool, "timeoutMs": 20000,
				"latencyGoalMs": 2500, "priority": 1, "maxAttempts": 2, "resumable": true, "gapAimMs": 250,
			}},
			"services": []map[string]any{{"name": streamPool, "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": false}},
			"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": bodyLimit, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		})
	}
	put(7)
	// The service ran v1 before the others were replaced: it is listed first.
	writers[0].checkIn(store)
	for _, zone := range zones {
		f.addNode(zone).start()
	}
	for _, n := range f.nodes {
		if !n.awaitReady(20 * time.Second) {
			cannotRun("%s is not ready", n.name)
		}
	}
	time.Sleep(3 * time.Second)
	for _, s := range writers {
		s.checkIn(store)
	}
	var pause sync.Mutex // held while the server that starts again is down
	go func() {
		for {
			time.Sleep(1200 * time.Millisecond)
			pause.Lock()
			for _, s := range writers {
				s.checkIn(store)
			}
			pause.Unlock()
		}
	}()
	time.Sleep(3 * time.Second)

	const requesters = 24
	type event struct {
		id      int
		version string
	}
	streams := make([][]event, requesters)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var group sync.WaitGroup
	start := time.Now()
	for i := range requesters {
		group.Go(func() {
			first, body := "", fmt.Sprintf("stream %d", i)
			// Nodes that failed the requester are left out; all requesters begin at the first.
			for try := range 5 {
				ctx, cancel := context.WithDeadline(context.Background(), start.Add(20*time.Second))
				n := f.nodes[0]
				if try > 0 {
					n = f.nodes[1+(i+try)%2]
				}
				id := fmt.Sprintf("%08x%08x", i+1, try+1)
				request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.front+streamRoute+"2f", strings.NewReader(body))
				request.Host = host
				request.Header.Set("Guavatrack-Attempt-Id", id)
				request.Header.Set("Guavatrack-Deadline-Ms", strconv.FormatInt(time.Until(start.Add(20*time.Second)).Milliseconds(), 10))
				if count := len(streams[i]); count > 0 {
					request.Header.Set("Last-Event-Id", strconv.Itoa(streams[i][count-1].id))
					request.Header.Set("Resumes", first)
				}
				answer, err := client.Do(request)
				if err != nil {
					record("%s at %s: %v", id, n.name, err)
					cancel()
					continue
				}
				begun := len(streams[i])
				lines, number := bufio.NewScanner(answer.Body), 0
				for lines.Scan() {
					if text, found := strings.CutPrefix(lines.Text(), "id: "); found {
						number, _ = strconv.Atoi(text)
					}
					if version, found := strings.CutPrefix(lines.Text(), "data: "); found && answer.StatusCode == http.StatusOK {
						streams[i] = append(streams[i], event{number, version})
						if first == "" {
							first = id
						}
					}
				}
				answer.Body.Close()
				cancel()
				record("%s at %s: status %d, %d events, error %v", id, n.name, answer.StatusCode, len(streams[i])-begun, lines.Err())
				if answer.StatusCode == http.StatusOK && lines.Err() == nil {
					return
				}
				if after, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64); err == nil {
					time.Sleep(time.Duration(after * float64(time.Second)))
				}
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		pause.Lock()
		record("%s crashes", writers[0].id)
		writers[0].crash()
		time.Sleep(200 * time.Millisecond)
		writers[0].start("v2")
		record("%s is back under its id with v2; it checks in at its interval", writers[0].id)
		pause.Unlock()
	}
	group.Wait()
	joined := 0
	for i, events := range streams {
		for at := 1; at < len(events); at++ {
			if events[at].version != events[at-1].version {
				joined++
				record("stream %d holds event %d of %s and event %d of %s", i, events[at-1].id, events[at-1].version, events[at].id, events[at].version)
				break
			}
		}
	}
	record("%d streams, %d hold events of two software versions", len(streams), joined)
	if joined > 2 {
		record("ORDER: more than two streams hold events from engines of two software versions of one service")
		return broken
	}
	return held
}
