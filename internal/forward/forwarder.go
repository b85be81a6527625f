// Package forward passes requests of callers on to other nodes, over HTTP: the other node
// runs a request as one of its own callers', and its answer streams back. A request is
// passed on once at most. A node that reaches no backend server does so.
//
// Nothing here decides whether a request has run: [Forwarder.Send] tells whether any byte of
// it may have reached a node, and an answer of that node says the rest.
package forward

import (
	"context"
	"log/slog"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/backend"
	"github.com/guavatrack/guavatrack/internal/logs"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// ErrNoNode reports that no node took a request: it has not run and will not.
var ErrNoNode = errors.New("no other node takes the request")

// Node is another node that takes requests of callers.
type Node struct {
	ID fleet.NodeID
	// Address is where it takes them, host and port.
	Address string
}

// Forwarder passes requests on. The exported fields are set before use.
type Forwarder struct {
	// Nodes returns the nodes that may take requests, the preferred ones first.
	Nodes func() []Node
	// Transport opens a connection for each request.
	Transport http.RoundTripper
	Log       *slog.Logger

	mu sync.Mutex
	// avoidUntil holds, for each node that took no request, until when it is not asked.
	avoidUntil map[fleet.NodeID]time.Time
}

const (
	// maxTries bounds the nodes that are asked for one request.
	maxTries = 4
	// avoidDuration is how long a node is not asked after it took no request.
	avoidDuration = time.Second
	// cutOffHeader is set in the answer of a node that reaches no backend server either.
	cutOffHeader = "Node-Cut-Off"
)

// Send sends a request to another node and returns its answer, of which the header has been
// read. build makes the request for an address. Send fails with [ErrNoNode] if no byte of it
// can have reached a node that takes it; after any other error it may have run.
func (f *Forwarder) Send(
	ctx context.Context, id fleet.RequestID, build func(address string) *http.Request,
) (*http.Response, error) {
	tries := 0
	for _, node := range f.Nodes() {
		if f.avoided(node.ID) {
			continue
		}
		if tries++; tries > maxTries || ctx.Err() != nil {
			break
		}
		began := time.Now()
		response, sent, err := f.try(ctx, build(node.Address))
		f.logTry(ctx, id, node, response, sent, err, time.Since(began))
		if err == nil {
			return response, nil
		}
		f.avoid(node.ID)
		if sent {
			return nil, err
		}
	}
	return nil, ErrNoNode
}

// errCutOff reports that a node reaches no backend server. It has not run the request.
var errCutOff = errors.New("the node reaches no backend server")

// try sends a request to one node. sent reports whether that may have run it.
func (f *Forwarder) try(ctx context.Context, request *http.Request) (response *http.Response, sent bool, err error) {
	var written atomic.Bool
	sends := &backend.Sends{OnSend: func() bool {
		written.Store(true)
		return true
	}}
	response, err = f.Transport.RoundTrip(request.WithContext(sends.Trace(ctx)))
	if err != nil {
		return nil, written.Load(), err
	}
	if response.Header.Get(cutOffHeader) != "" {
		return nil, false, errors.Join(errCutOff, response.Body.Close())
	}
	return response, true, nil
}

func (f *Forwarder) logTry(
	ctx context.Context, id fleet.RequestID, node Node, response *http.Response, sent bool, err error, took time.Duration,
) {
	outcome, status := "answered", 0
	if err != nil {
		outcome = err.Error()
	} else {
		status = response.StatusCode
	}
	logs.OrDiscard(f.Log).LogAttrs(ctx, slog.LevelInfo, "request passed on", slog.String("request", string(id)),
		slog.String("node", string(node.ID)), slog.Int("status", status), slog.Bool("mayHaveRun", sent),
		slog.Duration("took", took), slog.String("outcome", outcome))
}

func (f *Forwarder) avoided(node fleet.NodeID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.avoidUntil[node])
}

func (f *Forwarder) avoid(node fleet.NodeID) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.avoidUntil == nil {
		f.avoidUntil = make(map[fleet.NodeID]time.Time)
	}
	maps.DeleteFunc(f.avoidUntil, func(_ fleet.NodeID, until time.Time) bool { return !now.Before(until) })
	f.avoidUntil[node] = now.Add(avoidDuration)
}

// Handler takes the requests that other nodes pass on. While this node reaches no backend
// server either, it says so, and runs none.
type Handler struct {
	// Next runs a request; it must not pass it on.
	Next http.Handler
	// CutOff reports whether this node reaches no backend server.
	CutOff func() bool
}

// ServeHTTP implements [http.Handler].
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.CutOff() {
		w.Header().Set(cutOffHeader, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	h.Next.ServeHTTP(w, r)
}
