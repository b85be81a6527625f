package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/guavatrack/guavatrack/platform/standin"
)

// Times and sizes of the case.
const (
	inplaceServers = 3
	inplaceStreams = 60
	inplaceEvents  = 40
	inplaceEvent   = 100 * time.Millisecond
	// startGap is the time between two streams, downTime the time for which the server is
	// down, heartbeat the time after which it writes its entry.
	startGap  = 25 * time.Millisecond
	downTime  = 200 * time.Millisecond
	heartbeat = 1200 * time.Millisecond
)

// streamer is a stand-in of a plain service's server that serves streams. It may come back
// in place, under its id, with another version of its software.
type streamer struct {
	id, address string
	rig         *rig

	mu       sync.Mutex
	software string
	born     int64
	http     *http.Server
}

func (s *streamer) start(software string) error {
	address := s.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address, s.software, s.born = listener.Addr().String(), software, time.Now().UnixMilli()
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func(server *http.Server) { _ = server.Serve(listener) }(s.http)
	return nil
}

func (s *streamer) register() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rig.site.Store.Put("servers", s.id, map[string]any{
		"service": standin.ServicePool, "address": s.address, "zone": "east-a", "version": s.software, "slots": 64,
		"state": "ready", "sequence": 1, "coldLeftMs": 0, "born": s.born,
	})
}

// ServeHTTP implements [http.Handler].
func (s *streamer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Guavatrack-Attempt-Id")
	w.Header().Set("Guavatrack-Attempt-Id", id)
	if expected := r.Header.Get("Guavatrack-Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	software := s.software
	s.mu.Unlock()
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	s.rig.note("%s (%s) runs %s after event %d", s.id, software, id, last)
	w.Header().Set("Guavatrack-Response-Seal", "seal-"+s.id)
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for event := last + 1; event <= inplaceEvents; event++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(inplaceEvent):
		}
		_, _ = fmt.Fprint(w, "id: ", event, "\ndata: piece ", event, " of ", software, "\n\n")
		_ = controller.Flush()
	}
}

// playInplace has a server come back in place with another version of its software. Streams
// that begin there are then broken by the loss of a node, and taken up by their callers.
func playInplace(r *rig, trouble bool) (verdict, error) {
	if err := r.start(&standin.Site{Engines: 1, Models: 1}, 3); err != nil {
		return verdict{}, err
	}
	r.site.Store.Put("op", "config", map[string]any{
		"version": 100,
		"routes": []map[string]any{{
			"name": "resumable", "host": standin.Host, "prefix": standin.Resumable, "kind": "streaming", "service": standin.ServicePool,
			"timeoutMs": 12000, "latencyGoalMs": 400, "priority": 1, "maxAttempts": 2, "resumable": true, "gapAimMs": 250,
		}},
		"services": []map[string]any{{"name": standin.ServicePool, "healthPath": "/health", "maxConns": 500}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	var servers []*streamer
	for i := range inplaceServers {
		s := &streamer{id: fmt.Sprint("chat-", i), rig: r}
		if err := s.start("v1"); err != nil {
			return verdict{}, err
		}
		s.register()
		servers = append(servers, s)
	}
	time.Sleep(8 * time.Second)
	if trouble {
		back := servers[0]
		r.note("%s restarts with another version", back.id)
		_ = back.http.Close()
		time.Sleep(downTime)
		if err := back.start("v2"); err != nil {
			return verdict{}, err
		}
		time.AfterFunc(heartbeat, func() { back.register(); r.note("%s has written its entry", back.id) })
	}
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	streams := make([]standin.Stream, inplaceStreams)
	var group sync.WaitGroup
	for i := range streams {
		group.Go(func() {
			caller := standin.StreamCaller{Tries: 500, Node: func(try int) string {
				if try == 0 {
					return r.nodes[0].config.Callers.Listen
				}
				return r.nodes[1+(i+try)%2].config.Callers.Listen
			}}
			streams[i], _ = caller.Do(ctx)
		})
		time.Sleep(startGap)
	}
	time.Sleep(time.Second)
	if trouble {
		r.note("%s is killed", r.nodes[0].config.Node.Name)
		_ = r.nodes[0].process.Process.Signal(syscall.SIGKILL)
	}
	group.Wait()
	joined, takenUp := 0, 0
	for i := range streams {
		r.describe(i, &streams[i])
		if streams[i].TakenUp() {
			takenUp++
		}
		if err := streams[i].Joined(); err != nil {
			joined++
			r.note("joined: %v", err)
		}
	}
	text := fmt.Sprintf("%d of %d streams that were taken up hold events of two software versions", joined, takenUp)
	return verdict{broken: joined > allowedJoined, text: text}, nil
}
