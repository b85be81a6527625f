package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/guavatrack/guavatrack/platform/standin"
)

// App is an application engine without models, as of the order desk. It runs each request once
// and answers after its work.
type App struct {
	ID     string
	Work   time.Duration
	Record *Record
	// Answer writes the answer to a request that has run; nil means 200.
	Answer func(w http.ResponseWriter, r *http.Request, id string)

	// Zone is where the engine stands; empty means zone.
	Zone string

	address     string
	born        int64
	beat        int
	server      *http.Server
	mu          sync.Mutex
	crashed     bool
	connections map[net.Conn]bool
	runs        map[string]time.Time
	ends        map[string]time.Time
}

// startApp starts an engine of the site's plain pool and has it register every 1.2 s.
func startApp(c *Case, id string, work time.Duration) *App { return startAppIn(c, id, zone, work) }

// heartbeat is the time between two check-ins of an engine.
const heartbeat = 1200 * time.Millisecond

// startAppIn is startApp for an engine of a zone.
func startAppIn(c *Case, id, place string, work time.Duration) *App {
	app := &App{
		ID: id, Work: work, Record: c.Record, Zone: place, born: time.Now().UnixMilli(),
		runs: make(map[string]time.Time), ends: make(map[string]time.Time), connections: make(map[net.Conn]bool),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	app.address = listener.Addr().String()
	app.server = &http.Server{Handler: app, ConnState: app.track}
	go func() { _ = app.server.Serve(listener) }()
	app.register(c.Site)
	go func() {
		for time.Sleep(heartbeat); !app.hasCrashed(); time.Sleep(heartbeat) {
			app.register(c.Site)
		}
	}()
	return app
}

func (a *App) track(connection net.Conn, state http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if state == http.StateClosed {
		delete(a.connections, connection)
	} else {
		a.connections[connection] = true
	}
}

func (a *App) hasCrashed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.crashed
}

// Crash ends the engine's process: its connections are reset, and its entry is removed after
// three check-in intervals of silence.
func (a *App) Crash(c *Case) {
	a.mu.Lock()
	a.crashed = true
	for connection := range a.connections {
		_ = connection.(*net.TCPConn).SetLinger(0)
	}
	a.mu.Unlock()
	_ = a.server.Close()
	c.Say("%s crashes", a.ID)
	time.AfterFunc(3*heartbeat, func() { c.Site.Store.Remove("servers", a.ID) })
}

func (a *App) register(site *standin.Site) {
	a.beat++
	site.Store.Put("servers", a.ID, map[string]any{
		"service": standin.ServicePool, "address": a.address, "zone": a.Zone, "version": "v1", "slots": 64,
		"state": "ready", "coldLeftMs": 0, "sequence": a.beat, "born": a.born,
	})
}

// ServeHTTP implements [http.Handler].
func (a *App) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Guavatrack-Instance-Id", a.ID)
	if r.URL.Path == "/health" {
		return
	}
	if expected := r.Header.Get("Guavatrack-Expect-Instance"); expected != "" && expected != a.ID {
		w.Header().Set("Guavatrack-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Guavatrack-Attempt-Id")
	a.mu.Lock()
	a.runs[id] = time.Now()
	a.mu.Unlock()
	a.Record.Say("%s runs %s", a.ID, id)
	time.Sleep(a.Work)
	a.mu.Lock()
	a.ends[id] = time.Now()
	a.mu.Unlock()
	w.Header().Set("Guavatrack-Attempt-Id", id)
	w.Header().Set("Guavatrack-Response-Seal", "seal-"+a.ID)
	if a.Answer != nil {
		a.Answer(w, r, id)
		return
	}
	_, _ = fmt.Fprintf(w, "done %s", id)
}

// Ran returns when a request began and ended to run; zero times if it didn't.
func (a *App) Ran(id string) (began, ended time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.runs[id], a.ends[id]
}
