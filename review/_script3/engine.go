package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/guavatrack/guavatrack/platform/standin"
)

// Engine is a model engine that keeps one order unanswered and carries it out late.
type Engine struct {
	ID     string
	Models []string
	case_  *Case
	// OnLate is called when an order was kept unanswered, with its holder.
	OnLate func(holder string)

	address string
	mu      sync.Mutex
	born    int64
	beat    int
	down    bool
	loaded  map[string]bool
	// sequence is the number of orders accepted by this run, life that of runs before it.
	sequence, life int
	busy           bool
	late           bool
	server         *http.Server
	connections    map[net.Conn]bool
}

// Sizes of the engine, as of standin.Site.
const (
	modelMB       = 70.0
	engineMB      = 3*modelMB + 20
	modelLoad     = 80 * time.Millisecond
	lateExpect    = 3
	lateBy        = 9 * time.Second
	engineRestart = 700 * time.Millisecond
)

func startEngine(c *Case, id string, models []string) *Engine {
	e := &Engine{ID: id, Models: models, case_: c, loaded: make(map[string]bool), born: time.Now().UnixMilli()}
	for _, model := range models[:3] {
		e.loaded[model] = true
	}
	e.listen()
	go func() {
		for {
			e.register()
			time.Sleep(heartbeat)
		}
	}()
	return e
}

func (e *Engine) listen() {
	address := e.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	check(err)
	e.address = listener.Addr().String()
	e.connections = make(map[net.Conn]bool)
	e.server = &http.Server{Handler: e, ConnState: func(connection net.Conn, state http.ConnState) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.connections[connection] = state != http.StateClosed
	}}
	server := e.server
	go func() { _ = server.Serve(listener) }()
}

// state returns what the engine says of itself. The caller holds e.mu.
func (e *Engine) state() map[string]any {
	models := []map[string]any{}
	for model := range e.loaded {
		models = append(models, map[string]any{"name": model, "version": 1, "adapters": []string{}})
	}
	return map[string]any{
		"stage": "prefill_decode", "models": models, "busy": e.busy, "sequence": e.sequence, "born": e.born,
		"queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 90000, "handles": 0,
		"atHand": map[string]any{"inMemory": []string{}, "onDisk": e.Models},
	}
}

func (e *Engine) register() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return
	}
	e.beat++
	entry := e.state()
	entry["service"], entry["address"], entry["zone"], entry["version"] = standin.EnginePool, e.address, zone, "v1"
	entry["slots"], entry["state"], entry["coldLeftMs"], entry["sequence"] = 8, "ready", 0, e.beat
	e.case_.Site.Store.Put("servers", e.ID, entry)
}

// Restart ends the process of the engine and starts it again, empty, under the same id.
func (e *Engine) Restart() {
	e.mu.Lock()
	e.down = true
	for connection := range e.connections {
		_ = connection.(*net.TCPConn).SetLinger(0)
	}
	server := e.server
	e.mu.Unlock()
	_ = server.Close()
	e.case_.Say("%s crashes", e.ID)
	time.Sleep(engineRestart)
	e.mu.Lock()
	e.life++
	e.loaded, e.sequence, e.busy, e.born, e.down = make(map[string]bool), 0, false, time.Now().UnixMilli(), false
	e.mu.Unlock()
	e.listen()
	e.case_.Say("%s starts again under its id, empty", e.ID)
	e.register()
}

type orderBody struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Expected  *int   `json:"expectedRev"`
	Holder    string `json:"holder"`
	Fencing   uint64 `json:"fencingToken"`
}

// ServeHTTP implements [http.Handler].
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Guavatrack-Expect-Instance"); expected != "" && expected != e.ID {
		w.Header().Set("Guavatrack-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		w.Header().Set("Guavatrack-Instance-Id", e.ID)
	case "/report":
		e.mu.Lock()
		state := e.state()
		e.mu.Unlock()
		_ = json.NewEncoder(w).Encode(state)
	case "/order":
		e.takeOrder(w, r)
	default:
		e.run(w, r)
	}
}

func (e *Engine) run(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	model, id := r.Header.Get("Guavatrack-Model"), r.Header.Get("Guavatrack-Attempt-Id")
	w.Header().Set("Guavatrack-Attempt-Id", id)
	e.mu.Lock()
	held := e.loaded[model]
	e.mu.Unlock()
	if !held {
		w.Header().Set("Guavatrack-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Guavatrack-Response-Seal", "seal-"+e.ID)
	w.Header().Set("Content-Type", "text/event-stream")
	for event := range 3 {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event+1, model)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}

func (e *Engine) takeOrder(w http.ResponseWriter, r *http.Request) {
	var order orderBody
	if json.NewDecoder(r.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	rare := order.Model != "m0" && order.Model != "m1" && order.Model != "m2"
	keeps := e.case_.Trouble && !e.late && order.Operation == "load" && rare && order.Expected != nil &&
		*order.Expected == lateExpect && e.sequence == lateExpect
	if keeps {
		e.late = true
	}
	e.mu.Unlock()
	if keeps {
		e.case_.Say("%s keeps an order of %s unanswered: load %s, expectedRev %d", e.ID, order.Holder, order.Model, *order.Expected)
		time.AfterFunc(lateBy, func() {
			status := e.execute(order)
			e.case_.Say("%s carries the late order out: load %s, expectedRev %d: %d", e.ID, order.Model, *order.Expected, status)
		})
		go e.OnLate(order.Holder)
		panic(http.ErrAbortHandler)
	}
	status := e.execute(order)
	e.case_.Say("%s: order of %s (%d): %s %s, expectedRev %d: %d", e.ID, order.Holder, order.Fencing, order.Operation, order.Model,
		*order.Expected, status)
	w.WriteHeader(status)
}

// execute begins to carry out an order and returns the status of the answer.
func (e *Engine) execute(order orderBody) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch held := e.loaded[order.Model]; {
	case e.busy || order.Expected != nil && *order.Expected != e.sequence:
		return http.StatusConflict
	case held == (order.Operation == "load"):
		return http.StatusOK
	}
	if order.Operation == "load" && float64(len(e.loaded)+1)*modelMB > engineMB {
		e.case_.Break("LIMIT: %s is ordered to load %s beside %d models of %.0f MB; it has room for %.0f MB", e.ID, order.Model, len(e.loaded), modelMB, engineMB)
	}
	e.sequence++
	e.busy = true
	life := e.life
	time.AfterFunc(modelLoad, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.life != life {
			return
		}
		if order.Operation == "load" {
			e.loaded[order.Model] = true
		} else {
			delete(e.loaded, order.Model)
		}
		e.busy = false
	})
	return http.StatusAccepted
}
