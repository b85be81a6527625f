package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/guavatrack/guavatrack/platform/standin"
)

// Names of the deployment's host, services and route prefixes.
const (
	host       = "site.example"
	modelsPool = "wreath-advisor"
	plainPool  = "order-desk"
	chatPrefix = "/chat/"
	lookPrefix = "/look/"
	oncePrefix = "/once/"
)

// manifest returns a manifest of three routes: streams that may be resumed, idempotent requests and
// requests that run once at most.
func manifest(version, models int) map[string]any {
	list := make([]map[string]any, 0, models)
	for i := range models {
		list = append(list, map[string]any{
			"name": fmt.Sprint("model", i), "weightsMb": 70000.0, "loadS": 6.0, "diskS": 0.78, "warmS": 0.6, "adapters": 0, "adapterMb": 66.0,
		})
	}
	route := func(name, prefix, kind, service string, timeoutMs, goalMs, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": prefix, "kind": kind, "service": service, "timeoutMs": timeoutMs,
			"latencyGoalMs": goalMs, "priority": 1, "maxAttempts": attempts, "sticky": true, "resumable": resumable, "gapAimMs": 250,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			route("chat", chatPrefix, "streaming", modelsPool, 12000, 400, 2, true),
			route("look", lookPrefix, "idempotent", plainPool, 3000, 300, 2, false),
			route("once", oncePrefix, "non_idempotent", plainPool, 3000, 300, 1, false),
		},
		"services": []map[string]any{
			{"name": modelsPool, "healthPath": "/health", "maxConns": 230, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 32, "kvCapacityTokens": 127016, "weightsMb": 230000.0, "adapterSlots": 8, "loadsPerS": 11.0,
				"hostMb": 150000.0, "diskMb": 1400000.0, "models": list,
			}},
			{"name": plainPool, "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// backend is a stand-in of an engine or of a server of a plain service. Its handler answers what the
// page on the protocol says, unless hook answers first.
type backend struct {
	id, pool, address string
	slots             int
	born              int64
	models            []string
	onDisk            []string
	// hook answers a request in the place of the backend and reports whether it did; nil means never.
	hook func(w http.ResponseWriter, r *http.Request) bool
	// work is how long a request runs, and the time between two events of a stream; events is the number
	// of events of a stream.
	work   time.Duration
	events int
	// software is the version of the server's software, which its streams name; empty means v1.
	software string

	mu       sync.Mutex
	sequence int
	busy     bool
	arrivals []arrival
	runs     map[string]int
	// running holds the ids of the streams that run, kept the parts of prompts that were read.
	running map[string]bool
	kept    map[string]string
	server  *http.Server
}

// arrival is a request that reached a backend.
type arrival struct {
	at         time.Time
	path, id   string
	remote     string
	refusedFor time.Duration
}

// startBackend serves a backend on a free port of an address.
func startBackend(b *backend, ip string) error {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	b.address, b.born, b.runs = listener.Addr().String(), time.Now().UnixMilli(), make(map[string]int)
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(listener) }()
	return nil
}

// entry returns the backend's entry in the store.
func (b *backend) entry() map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry := map[string]any{
		"service": b.pool, "address": b.address, "zone": zone, "version": b.version(), "slots": b.slots, "state": "ready",
		"coldLeftMs": 0, "sequence": 1, "born": b.born,
	}
	b.addModels(entry)
	return entry
}

// version returns the version of the server's software.
func (b *backend) version() string { return cmp.Or(b.software, "v1") }

// addModels adds what an engine holds. The caller holds the lock.
func (b *backend) addModels(to map[string]any) {
	if b.pool != modelsPool {
		return
	}
	list := make([]map[string]any, 0, len(b.models))
	for _, name := range b.models {
		list = append(list, map[string]any{"name": name, "version": 1, "adapters": []string{}})
	}
	to["stage"], to["models"] = "prefill_decode", list
	to["atHand"] = map[string]any{"inMemory": []string{}, "onDisk": b.onDisk}
}

// register writes the backend's entry and repeats that about every check-in interval.
func (b *backend) register(store *standin.Store, stop <-chan struct{}) {
	store.Put("servers", b.id, b.entry())
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(1200 * time.Millisecond):
				store.Put("servers", b.id, b.entry())
			}
		}
	}()
}

func (b *backend) arrived(r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals = append(b.arrivals, arrival{at: time.Now(), path: r.URL.Path, id: r.Header.Get("Guavatrack-Attempt-Id"), remote: r.RemoteAddr})
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.arrived(r)
	if expected := r.Header.Get("Guavatrack-Expect-Instance"); expected != "" && expected != b.id {
		w.Header().Set("Guavatrack-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if b.hook != nil && b.hook(w, r) {
		return
	}
	switch r.URL.Path {
	case "/report":
		b.report(w)
	case "/order":
		b.order(w, r)
	case "/kv-list":
		b.listKept(w)
	case "/health":
		w.Header().Set("Guavatrack-Instance-Id", b.id)
	default:
		b.run(w, r)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (b *backend) report(w http.ResponseWriter) {
	b.mu.Lock()
	report := map[string]any{
		"busy": b.busy, "sequence": b.sequence, "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 127016, "handles": 0, "born": b.born,
	}
	runs := make([][]any, 0, len(b.running))
	for id := range b.running {
		runs = append(runs, []any{id, 826, 1, 1})
	}
	report["runs"], report["running"] = runs, len(runs)
	b.addModels(report)
	b.mu.Unlock()
	writeJSON(w, http.StatusOK, report)
}

// listKept answers with the parts of prompts that the engine keeps.
func (b *backend) listKept(w http.ResponseWriter) {
	b.mu.Lock()
	held := make([][]any, 0, len(b.kept))
	for part, model := range b.kept {
		held = append(held, []any{"", part, 628, model})
	}
	b.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"epoch": 1, "next": 1, "held": held})
}

// keep records that a stream runs and that its prompt has been read. The returned function ends the run.
func (b *backend) keep(r *http.Request) (end func()) {
	id := r.Header.Get("Guavatrack-Attempt-Id")
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running == nil {
		b.running, b.kept = make(map[string]bool), make(map[string]string)
	}
	b.running[id] = true
	for pair := range strings.SplitSeq(r.Header.Get("Guavatrack-Prompt-Prefix"), ",") {
		if part, _, found := strings.Cut(pair, ":"); found {
			b.kept[part] = r.Header.Get("Guavatrack-Model")
		}
	}
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.running, id)
	}
}

// order carries out an order to load or unload a model.
func (b *backend) order(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Operation string `json:"operation"`
		Model     string `json:"model"`
		Expect    *int   `json:"expectedRev"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.busy || order.Expect != nil && *order.Expect != b.sequence {
		w.WriteHeader(http.StatusConflict)
		return
	}
	b.sequence++
	b.busy = true
	time.AfterFunc(800*time.Millisecond, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.busy = false
		kept := []string{}
		for _, name := range b.models {
			if name != order.Model {
				kept = append(kept, name)
			}
		}
		if order.Operation == "load" {
			kept = append(kept, order.Model)
		}
		b.models = kept
	})
	w.WriteHeader(http.StatusAccepted)
}

// run runs a request and answers it.
func (b *backend) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Guavatrack-Attempt-Id")
	model, _, _ := strings.Cut(r.Header.Get("Guavatrack-Model"), "/")
	b.mu.Lock()
	held := b.pool != modelsPool
	for _, name := range b.models {
		held = held || name == model
	}
	if held {
		b.runs[id]++
	}
	b.mu.Unlock()
	if !held {
		w.Header().Set("Guavatrack-Attempt-Id", id)
		w.Header().Set("Guavatrack-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Guavatrack-Attempt-Id", id)
	w.Header().Set("Guavatrack-Response-Seal", "seal."+b.id+"."+strconv.Itoa(len(body)))
	if b.pool == modelsPool {
		b.stream(w, r)
		return
	}
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
		return
	}
	text := fmt.Sprintf("%s ran %s", b.id, id)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

func (b *backend) stream(w http.ResponseWriter, r *http.Request) {
	defer b.keep(r)()
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	controller := http.NewResponseController(w)
	for event := last + 1; event <= b.events; event++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(b.work):
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", event, event, b.version())
		_ = controller.Flush()
	}
}

// startStore serves a store on a free port of an address.
func startStore(ip string) (store *standin.Store, address string, err error) {
	store = standin.NewStore()
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, "", err
	}
	go func() { _ = http.Serve(listener, store) }()
	return store, listener.Addr().String(), nil
}

// maxEntries and maxCallBytes bound a call that writes to the store.
const (
	maxEntries   = 100
	maxCallBytes = 1 << 20
)

// limitedStore is a store that refuses calls beyond the bounds of the page on the protocol: "A call holds at
// most 100 entries and at most 1 MB. The entries are `expectedRev` [...], `put` and `remove`."
type limitedStore struct {
	*standin.Store
	run *run
	// unlimited has the store take calls of any size.
	unlimited bool

	mu      sync.Mutex
	refused int
	largest int
}

// ServeHTTP implements http.Handler.
func (s *limitedStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/rows-tx" {
		s.Store.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var call struct {
		Conditions []json.RawMessage `json:"expectedRev"`
		Put        []json.RawMessage `json:"put"`
		Remove     []json.RawMessage `json:"remove"`
	}
	if json.Unmarshal(body, &call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	entries := len(call.Conditions) + len(call.Put) + len(call.Remove)
	if !s.unlimited && (entries > maxEntries || len(body) > maxCallBytes) {
		s.mu.Lock()
		s.refused++
		s.largest = max(s.largest, entries)
		first := s.refused == 1
		s.mu.Unlock()
		if first {
			s.run.note("the store refuses a call of %d entries", entries)
		}
		http.Error(w, "a call holds at most 100 entries", http.StatusBadRequest)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	s.Store.ServeHTTP(w, r)
}

// startLimitedStore serves a store with bounds on a free port of an address.
func startLimitedStore(c *run, ip string) (store *limitedStore, address string, err error) {
	store = &limitedStore{Store: standin.NewStore(), run: c, unlimited: os.Getenv("LIMIT") == "0"}
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, "", err
	}
	go func() { _ = http.Serve(listener, store) }()
	return store, listener.Addr().String(), nil
}
