package standin

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// EngineConfig describes an engine. Without Memory, everything but the id, the
// store and the ledger is as in [DefaultEngine].
type EngineConfig struct {
	ID     fleet.ServerID
	Memory fleet.Bytes
	// TokenRate is the tokens a second over all running requests, RequestRate
	// that of one request; 0 means unlimited.
	TokenRate   float64
	RequestRate float64
	// Concurrency is the number of requests that run at once.
	Concurrency int
	// PrefillRate is the prompt bytes a second before the first token; 0 means
	// unlimited. A cached prefix costs nothing.
	PrefillRate float64
	// CacheEntries limits the prefix cache.
	CacheEntries  int
	ReportLag     time.Duration
	ChecksFencing bool
	// Store is where remote checkpoints come from.
	Store *WeightStore
	// MemoryRate and DiskRate are the bytes a second of loads from the VM's
	// own caches, which hold HostMemory and Disk bytes of checkpoints.
	MemoryRate, DiskRate fleet.Bytes
	HostMemory, Disk     fleet.Bytes
	UnloadTime           time.Duration
	RestartTime          time.Duration
	Ledger               *Ledger
}

// DefaultEngine returns an engine with one accelerator of 80 GiB.
func DefaultEngine() EngineConfig {
	return EngineConfig{
		ID: "engine", Memory: 80 * fleet.GiB,
		TokenRate: 2000, RequestRate: 60, Concurrency: 32, PrefillRate: 40_000, CacheEntries: 64,
		ReportLag: time.Second, MemoryRate: 16 * fleet.GiB, DiskRate: 4 * fleet.GiB,
		HostMemory: 128 * fleet.GiB, Disk: 512 * fleet.GiB,
		UnloadTime: 50 * time.Millisecond, RestartTime: time.Second,
	}
}

// DefaultStore returns the store of the wreaths site.
func DefaultStore() WeightStoreConfig {
	return WeightStoreConfig{
		LoadsPerSecond: 10, FullSpeed: 4, Rate: 2 * fleet.GiB,
		AdapterTime: 5 * time.Millisecond, AdapterSlots: 30,
	}
}

// EngineFaults are the faults that only engines have.
type EngineFaults struct {
	Faults
	// CrashOn crashes the engine when it starts to run a prompt that contains
	// the text.
	CrashOn string `json:"crashOn,omitempty"`
	// CrashInLoads crashes the engine in the middle of that many of the next
	// loads.
	CrashInLoads int `json:"crashInLoads,omitempty"`
	// Crash crashes it now.
	Crash bool `json:"crash,omitempty"`
	// ReportLag, when set, replaces the configured one.
	ReportLag fleet.Duration `json:"reportLag,omitempty"`
	// EventGap loses every event whose sequence number it divides.
	EventGap uint64 `json:"eventGap,omitempty"`
	// IgnoreFencing carries out orders with old fencing numbers.
	IgnoreFencing bool `json:"ignoreFencing,omitempty"`
	// DelayOrders is how long an accepted load order waits before it is
	// carried out.
	DelayOrders fleet.Duration `json:"delayOrders,omitempty"`
}

// held is one copy of an item in accelerator memory.
type held struct {
	engine.HeldItem
}

// Engine is a stand-in for an engine. Its HTTP API is that of package engine.
type Engine struct {
	config EngineConfig
	gate   gate
	router *mux.Router

	mu sync.Mutex
	// life ends when the engine crashes.
	life        context.Context
	end         context.CancelFunc
	boot        fleet.BootID
	down        bool
	fencing     fleet.FencingNumber
	role        engine.Role
	faults      EngineFaults
	held        map[fleet.GrantID]*held
	checkpoints *checkpoints
	reports     []engine.Report
	runs        map[fleet.RequestID]*run
	waiting     []*run
	running     int
	generated   int
	ratedAt     time.Time
	rate        float64
	cache       []engine.CacheOrder
	events      []engine.CacheEvent
	crashes     int
	started     int
}

// NewEngine returns an engine that holds nothing.
func NewEngine(config EngineConfig) *Engine {
	defaults := DefaultEngine()
	if config.Memory == 0 {
		ledger, store, id := config.Ledger, config.Store, config.ID
		config = defaults
		config.Ledger, config.Store = ledger, store
		if id != "" {
			config.ID = id
		}
	}
	if config.Ledger == nil {
		config.Ledger = NewLedger()
	}
	if config.Store == nil {
		config.Store = NewWeightStore(DefaultStore())
	}
	e := &Engine{
		config: config, gate: gate{throttled: tooManyRequests}, role: engine.RoleMixed,
		boot: newBoot(), held: make(map[fleet.GrantID]*held), runs: make(map[fleet.RequestID]*run),
		checkpoints: newCheckpoints(config.HostMemory, config.Disk), ratedAt: time.Now(),
	}
	e.life, e.end = context.WithCancel(context.Background())
	e.router = e.routes()
	return e
}

func newBoot() fleet.BootID { return fleet.BootID(uuid.NewString()) }

func (e *Engine) routes() *mux.Router {
	router := mux.NewRouter()
	post := router.Methods(http.MethodPost).Subrouter()
	post.HandleFunc("/v1/chat/completions", e.handleChat)
	post.HandleFunc("/v1/completions", e.handleCompletion)
	post.HandleFunc("/admin/load", e.handleLoad)
	post.HandleFunc("/admin/unload", e.handleUnload)
	post.HandleFunc("/admin/fence", e.handleFence)
	post.HandleFunc("/admin/role", e.handleRole)
	post.HandleFunc("/admin/cancel", e.handleCancel)
	post.HandleFunc("/admin/kvExport", e.handleExport)
	post.HandleFunc("/admin/kvImport", e.handleImport)
	post.HandleFunc(faultPath, e.handleFault)
	get := router.Methods(http.MethodGet).Subrouter()
	get.HandleFunc("/v1/models", e.handleModels)
	get.HandleFunc("/admin/report", e.handleReport)
	get.HandleFunc("/admin/events", e.handleEvents)
	get.HandleFunc("/admin/ping", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	})
	return router
}

// ServeHTTP implements [http.Handler].
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	down := e.down
	e.mu.Unlock()
	if down && r.URL.Path != faultPath {
		panic(http.ErrAbortHandler)
	}
	e.gate.serve(w, r, e.router)
}

// ID returns the engine's name in the VM list.
func (e *Engine) ID() fleet.ServerID { return e.config.ID }

// SetFaults replaces the faults.
func (e *Engine) SetFaults(faults EngineFaults) {
	e.gate.SetFaults(faults.Faults)
	e.mu.Lock()
	e.faults = faults
	e.mu.Unlock()
	if faults.Crash {
		e.Crash()
	}
}

// Crash ends the engine's process: all connections are cut, everything that
// was held is lost, and a new process answers after the restart time. It
// reports whether the engine was up.
func (e *Engine) Crash() bool {
	if !e.Stop() {
		return false
	}
	e.mu.Lock()
	e.crashes++
	e.mu.Unlock()
	time.AfterFunc(e.config.RestartTime, e.Start)
	return true
}

// Stop ends the engine's process without a restart, as when its VM is
// reclaimed. It reports whether the engine was up.
func (e *Engine) Stop() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return false
	}
	e.down = true
	e.end()
	for grant, copied := range e.held {
		e.drop(grant, copied)
	}
	e.checkpoints.memory = newCheckpoints(e.config.HostMemory, 0).memory
	e.cache, e.events, e.reports, e.fencing = nil, nil, nil, 0
	return true
}

// Start starts a new process of a stopped engine.
func (e *Engine) Start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		e.down, e.boot = false, newBoot()
		e.life, e.end = context.WithCancel(context.Background())
	}
}

// Crashes returns how often the engine has crashed.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// Started returns how many requests the engine has begun to run.
func (e *Engine) Started() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.started
}

// Cache puts a checkpoint into one of the VM's caches.
func (e *Engine) Cache(item fleet.Item, size fleet.Bytes, tier engine.CacheTier) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if tier == engine.HostMemory {
		e.checkpoints.memory.put(item.String(), size)
	} else {
		e.checkpoints.disk.put(item.String(), size)
	}
}

// drop makes a copy absent. The caller holds the lock.
func (e *Engine) drop(grant fleet.GrantID, copied *held) {
	copied.State = engine.Unloading
	delete(e.held, grant)
	e.config.Ledger.add(e.config.ID, copied.Item, -1)
}

// accept checks an order's fencing number and answers 409 if it is old.
func (e *Engine) accept(w http.ResponseWriter, number fleet.FencingNumber, boot fleet.BootID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.config.ChecksFencing || e.faults.IgnoreFencing {
		return true
	}
	if boot != "" && boot != e.boot {
		writeError(w, http.StatusConflict, "stale_boot", "the engine has been restarted")
		return false
	}
	if number < e.fencing {
		writeError(w, http.StatusConflict, "stale_fencing", fmt.Sprintf("fencing number %d is below %d", number, e.fencing))
		return false
	}
	e.fencing = number
	return true
}

func (e *Engine) handleLoad(w http.ResponseWriter, r *http.Request) {
	var order engine.LoadOrder
	if !readJSON(w, r, &order) || !e.accept(w, order.Fencing, order.Boot) {
		return
	}
	e.mu.Lock()
	delay, life := e.faults.DelayOrders.Std(), e.life
	e.mu.Unlock()
	if delay == 0 {
		if !e.load(life, order) {
			writeError(w, http.StatusNotFound, "base_not_loaded", "the adapter's base model is not loaded")
			return
		}
	} else {
		// A delayed order is carried out by whichever process runs then, as
		// when it waited in the network.
		time.AfterFunc(delay, func() {
			e.mu.Lock()
			now := e.life
			stale := e.config.ChecksFencing && !e.faults.IgnoreFencing &&
				(order.Fencing < e.fencing || order.Boot != "" && order.Boot != e.boot)
			e.mu.Unlock()
			if !stale {
				e.load(now, order)
			}
		})
	}
	w.WriteHeader(http.StatusAccepted)
}

// load starts to load an item. A repeated order for a grant has no effect.
func (e *Engine) load(life context.Context, order engine.LoadOrder) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, again := e.held[order.Grant]; again || life.Err() != nil {
		return true
	}
	if order.Item.IsAdapter() && e.find(order.Item.Base()) == nil {
		return false
	}
	copied := &held{engine.HeldItem{
		Item: order.Item, Version: order.Version, Size: order.Size, Grant: order.Grant, State: engine.Loading,
	}}
	e.held[order.Grant] = copied
	e.config.Ledger.add(e.config.ID, order.Item, 1)
	used := fleet.Bytes(0)
	for _, other := range e.held {
		used += other.Size
	}
	if used > e.config.Memory {
		e.config.Ledger.record(MemoryViolation, e.config.ID, "%s of %s after loading %s", used, e.config.Memory, order.Item)
	}
	crash := e.faults.CrashInLoads > 0
	if crash {
		e.faults.CrashInLoads--
	}
	go e.finishLoad(life, copied, crash)
	return true
}

func (e *Engine) finishLoad(life context.Context, copied *held, crash bool) {
	if crash {
		wait.For(life, minLoadStep)
		e.Crash()
		return
	}
	if !e.transfer(life, copied) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if copied.State == engine.Loading {
		copied.State, copied.Progress = engine.Ready, 1
	}
}

// find returns a ready copy of an item, or nil. The caller holds the lock.
func (e *Engine) find(item fleet.Item) *held {
	for _, copied := range e.held {
		if copied.Item == item && copied.State == engine.Ready {
			return copied
		}
	}
	return nil
}

func (e *Engine) handleUnload(w http.ResponseWriter, r *http.Request) {
	var order engine.UnloadOrder
	if !readJSON(w, r, &order) || !e.accept(w, order.Fencing, "") {
		return
	}
	w.WriteHeader(http.StatusAccepted)
	e.mu.Lock()
	defer e.mu.Unlock()
	copied := e.held[order.Grant]
	if copied == nil || copied.State == engine.Unloading {
		return
	}
	copied.State = engine.Unloading
	go e.finishUnload(e.life, copied)
}

// finishUnload makes a copy absent once its requests have ended, and with a
// base model its adapters.
func (e *Engine) finishUnload(life context.Context, copied *held) {
	if !wait.For(life, e.config.UnloadTime) {
		return
	}
	for {
		e.mu.Lock()
		if life.Err() != nil || copied.Running+copied.Queued == 0 {
			break
		}
		e.mu.Unlock()
		wait.For(life, minLoadStep)
	}
	defer e.mu.Unlock()
	if life.Err() != nil {
		return
	}
	e.drop(copied.Grant, copied)
	for grant, other := range e.held {
		if other.Item.IsAdapter() && other.Item.Base() == copied.Item && e.find(copied.Item) == nil {
			e.drop(grant, other)
		}
	}
}

func (e *Engine) handleFence(w http.ResponseWriter, r *http.Request) {
	var order engine.FenceOrder
	if readJSON(w, r, &order) && e.accept(w, order.Fencing, "") {
		w.WriteHeader(http.StatusAccepted)
	}
}

func (e *Engine) handleRole(w http.ResponseWriter, r *http.Request) {
	var order engine.RoleOrder
	if readJSON(w, r, &order) && e.accept(w, order.Fencing, "") {
		e.mu.Lock()
		e.role = order.Role
		e.mu.Unlock()
		w.WriteHeader(http.StatusAccepted)
	}
}

func (e *Engine) handleFault(w http.ResponseWriter, r *http.Request) {
	var faults EngineFaults
	if readJSON(w, r, &faults) {
		e.SetFaults(faults)
		w.WriteHeader(http.StatusNoContent)
	}
}

// handleReport answers with the newest report that is at least the lag old,
// or with the first one that was ever made.
func (e *Engine) handleReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := time.Now()
	e.reports = append(e.reports, e.report(now))
	lag := e.config.ReportLag
	if e.faults.ReportLag > 0 {
		lag = e.faults.ReportLag.Std()
	}
	chosen := 0
	for i, report := range e.reports {
		if !report.AsOf.After(now.Add(-lag)) {
			chosen = i
		}
	}
	e.reports = e.reports[chosen:]
	report := e.reports[0]
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, report)
}

// report describes the engine now. The caller holds the lock.
func (e *Engine) report(now time.Time) engine.Report {
	if span := now.Sub(e.ratedAt).Seconds(); span > 1 {
		e.rate = float64(e.generated) / span
		e.generated, e.ratedAt = 0, now
	}
	report := engine.Report{
		Server: e.config.ID, Boot: e.boot, AsOf: now, Memory: e.config.Memory,
		Held: make([]engine.HeldItem, 0, len(e.held)), Checkpoints: e.checkpoints.list(),
		Running: e.running, Queued: len(e.waiting), TokensPerSecond: e.rate,
	}
	if e.config.ChecksFencing && !e.faults.IgnoreFencing {
		report.Fencing = e.fencing
	}
	for _, copied := range e.held {
		report.Held = append(report.Held, copied.HeldItem)
	}
	slices.SortFunc(report.Held, func(a, b engine.HeldItem) int {
		return strings.Compare(string(a.Grant), string(b.Grant))
	})
	return report
}
