package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// IdempotencyHeader names the caller's key for a call.
const IdempotencyHeader = "Idempotency-Key"

// ServiceConfig describes a plain service.
type ServiceConfig struct {
	ID fleet.ServerID
	// Delay is the time that a call takes.
	Delay time.Duration
	Runs  *Runs
	// Ledger records the second run of a call.
	Ledger *Ledger
}

// Runs counts the runs of non-idempotent calls over all servers of a site.
type Runs struct {
	mu     sync.Mutex
	counts map[string]int
}

// NewRuns returns an empty count.
func NewRuns() *Runs { return &Runs{counts: make(map[string]int)} }

func (r *Runs) add(reference string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[reference]++
	return r.counts[reference]
}

// Count returns how often the call of a reference ran, see [Reference].
func (r *Runs) Count(reference string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[reference]
}

// Total returns the number of different calls that ran.
func (r *Runs) Total() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.counts)
}

// Reference names a call: by its body, or by its idempotency key if it has no
// body.
func Reference(path string, body []byte, key string) string {
	if len(body) == 0 {
		body = []byte(key)
	}
	digest := sha256.Sum256(append([]byte(path+"\n"), body...))
	return hex.EncodeToString(digest[:8])
}

// ServiceAnswer is what a plain service answers.
type ServiceAnswer struct {
	Path      string `json:"path"`
	Reference string `json:"reference"`
	// Run counts the runs of a POST call; 0 for a look-up.
	Run int `json:"run"`
}

// Service is a stand-in for a plain service: GET looks up, POST books. It runs
// every call that it gets and records the second run of one as a violation.
type Service struct {
	config ServiceConfig
	gate   gate
	router *mux.Router
}

// NewService returns a service.
func NewService(config ServiceConfig) *Service {
	if config.Runs == nil {
		config.Runs = NewRuns()
	}
	if config.Ledger == nil {
		config.Ledger = NewLedger()
	}
	s := &Service{config: config, gate: gate{throttled: tooManyRequests}, router: mux.NewRouter()}
	s.router.Methods(http.MethodPost).Path(faultPath).HandlerFunc(s.gate.handleFault)
	s.router.Methods(http.MethodPost).HandlerFunc(s.handlePost)
	s.router.Methods(http.MethodGet).HandlerFunc(s.handleGet)
	return s
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(faults Faults) { s.gate.SetFaults(faults) }

// ServeHTTP implements [http.Handler].
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.gate.serve(w, r, s.router) }

func (s *Service) handleGet(w http.ResponseWriter, r *http.Request) {
	if wait.For(r.Context(), s.config.Delay) {
		writeJSON(w, http.StatusOK, ServiceAnswer{Path: r.URL.Path, Reference: Reference(r.URL.Path, nil, "")})
	}
}

func (s *Service) handlePost(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	reference := Reference(r.URL.Path, body, r.Header.Get(IdempotencyHeader))
	count := s.config.Runs.add(reference)
	if count > 1 {
		s.config.Ledger.record(DoubleRun, s.config.ID, "%s: run %d of %s", r.URL.Path, count, reference)
	}
	wait.For(r.Context(), s.config.Delay)
	writeJSON(w, http.StatusCreated, ServiceAnswer{Path: r.URL.Path, Reference: reference, Run: count})
}
