package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Faults are the ways in which every stand-in can fail. They are set by call or
// as JSON by POST /fault, which replaces all of them. The zero value is
// faultless.
type Faults struct {
	// Slow is added before every answer.
	Slow fleet.Duration `json:"slow,omitempty"`
	// Down cuts every connection without an answer and without an effect.
	Down bool `json:"down,omitempty"`
	// LoseAnswers makes that many of the next POST calls take effect and then
	// cuts their connections.
	LoseAnswers int `json:"loseAnswers,omitempty"`
	// Throttle refuses that many of the next calls.
	Throttle int `json:"throttle,omitempty"`
	// Silence makes the connections that are open now hang for good; new ones
	// work.
	Silence bool `json:"silence,omitempty"`
}

// faultPath is where a stand-in takes its faults.
const faultPath = "/fault"

type openedKey struct{}

// ConnContext marks a connection with the time at which it was opened. Servers
// of stand-ins set it as http.Server.ConnContext so that open connections can
// go silent while new ones work.
func ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, openedKey{}, time.Now())
}

// gate applies [Faults] before a stand-in's own handler.
type gate struct {
	// throttled answers a call that is refused for its rate.
	throttled    http.HandlerFunc
	mu           sync.Mutex
	faults       Faults
	silentBefore atomic.Int64
}

// SetFaults replaces the faults.
func (g *gate) SetFaults(faults Faults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if faults.Silence {
		g.silentBefore.Store(time.Now().UnixNano())
	}
	g.faults = faults
}

// silenced reports whether the connection of a request has gone silent.
func (g *gate) silenced(ctx context.Context) bool {
	before := g.silentBefore.Load()
	if before == 0 {
		return false
	}
	opened, _ := ctx.Value(openedKey{}).(time.Time)
	return opened.UnixNano() <= before
}

// check hangs on a silent connection and cuts it while the server is down. It
// is called before each part of an answer.
func (g *gate) check(ctx context.Context) {
	if g.silenced(ctx) {
		hang(ctx)
	}
	g.mu.Lock()
	down := g.faults.Down
	g.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
}

// hang blocks until the other end gives up and then cuts the connection.
func hang(ctx context.Context) {
	<-ctx.Done()
	panic(http.ErrAbortHandler)
}

// take returns the faults for one call and counts down the limited ones.
func (g *gate) take(method string) Faults {
	g.mu.Lock()
	defer g.mu.Unlock()
	taken := g.faults
	if g.faults.Throttle > 0 {
		g.faults.Throttle--
	}
	if method != http.MethodPost {
		taken.LoseAnswers = 0
	} else if g.faults.LoseAnswers > 0 {
		g.faults.LoseAnswers--
	}
	return taken
}

// serve applies the faults and calls next.
func (g *gate) serve(w http.ResponseWriter, r *http.Request, next http.Handler) {
	if r.URL.Path == faultPath {
		next.ServeHTTP(w, r)
		return
	}
	if g.silenced(r.Context()) {
		hang(r.Context())
	}
	faults := g.take(r.Method)
	if faults.Down {
		panic(http.ErrAbortHandler)
	}
	if !wait.For(r.Context(), faults.Slow.Std()) {
		return
	}
	switch {
	case faults.Throttle > 0:
		g.throttled(w, r)
	case faults.LoseAnswers > 0:
		next.ServeHTTP(&discardWriter{header: make(http.Header)}, r)
		panic(http.ErrAbortHandler)
	default:
		next.ServeHTTP(w, r)
	}
}

// handleFault takes [Faults] as JSON.
func (g *gate) handleFault(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if readJSON(w, r, &faults) {
		g.SetFaults(faults)
		w.WriteHeader(http.StatusNoContent)
	}
}

// discardWriter drops an answer.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d *discardWriter) WriteHeader(int)             {}
func (d *discardWriter) Flush()                      {}

func tooManyRequests(w http.ResponseWriter, _ *http.Request) {
	writeError(w, http.StatusTooManyRequests, "rate_limit_exceeded", "throttled")
}

// maxBody is the largest request body that a stand-in reads, in bytes.
const maxBody = 4 << 20

// readJSON decodes the body; it answers 400 and returns false if it can't.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(into); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request_error", err.Error())
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// writeError answers in the shape of OpenAI-compatible servers.
func writeError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, struct {
		Error errorDetail `json:"error"`
	}{errorDetail{Message: message, Type: code, Code: code}})
}

// Server serves one stand-in on a loopback port.
type Server struct {
	// Address is the host and port.
	Address string
	server  *http.Server
}

// Serve starts a stand-in on the address, such as "127.0.0.1:0".
func Serve(address string, handler http.Handler) (*Server, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	server := &http.Server{
		Handler: handler, ConnContext: ConnContext, ReadHeaderTimeout: 10 * time.Second,
	}
	go func() { _ = server.Serve(listener) }()
	return &Server{Address: listener.Addr().String(), server: server}, nil
}

// Close cuts all connections and stops listening.
func (s *Server) Close() { _ = s.server.Close() }
