package roster

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/internal/logs"
	"github.com/guavatrack/guavatrack/internal/metric"
	"github.com/guavatrack/guavatrack/internal/packed"
	"github.com/guavatrack/guavatrack/internal/peer"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// ManifestExchange has a node take a newer manifest from another node that has it in
// force, so that it does not depend on its own path to the store. Each message between
// members carries the version that its sender has in force, as a stamp; a node that is
// behind fetches the manifest from there. Nodes of an older build send no stamp and are
// not asked. The exported fields are set before Register.
type ManifestExchange struct {
	Roster *Controller
	Peers  Peers
	// Announce has the members exchange messages soon: it is called when a newer manifest
	// has come into force at the node. It may be nil.
	Announce func()
	Log      *slog.Logger
	Metrics  metrics.Registry

	// behind is notified of a stamp that is above this node's version, answered when a
	// request for a manifest has ended.
	behind, answered wait.Signal
	// slots limits the requests under way.
	slots   chan struct{}
	fetched metrics.Counter

	mu sync.Mutex
	// newer holds the stamps above this node's version whose nodes have not been asked, at
	// most one of each node, the latest last.
	newer []newerStamp
}

// manifestStamp is the version of the manifest that a node has in force, 0 if none.
type manifestStamp struct {
	Manifest uint64 `json:"manifest"`
}

// newerStamp is a stamp with the node that sent it.
type newerStamp struct {
	from    fleet.NodeID
	version uint64
}

// manifestRequest requests the manifest in force from a node if it is newer.
type manifestRequest struct {
	After uint64 `json:"after"`
}

// manifestResponse holds the manifest; no entry if the node has none that is newer.
type manifestResponse struct {
	Packed packed.List `json:"packed"`
	// Format is the [ManifestFormat] of the node.
	Format int `json:"format,omitempty"`
}

const (
	manifestMethod = "roster.manifest"
	// manifestFetchTimeout bounds one request for the manifest of another node. Both may
	// have little processor time, so the next node is asked long before: after
	// manifestFetchInterval, while at most maxManifestFetches requests are under way.
	manifestFetchTimeout  = 2 * time.Second
	manifestFetchInterval = 300 * time.Millisecond
	maxManifestFetches    = 4
	// maxNewerStamps bounds the nodes that are kept to be asked.
	maxNewerStamps = 8
	// ownFeedPatience is how long a node whose own feed does not fail waits for it before
	// it fetches a newer manifest from another node.
	ownFeedPatience = 600 * time.Millisecond
)

// Register registers the method that nodes call on each other, and the exchange with its
// roster. It must be called before both run.
func (e *ManifestExchange) Register() {
	e.Log = logs.OrDiscard(e.Log)
	e.behind, e.answered = wait.NewSignal(), wait.NewSignal()
	e.slots = make(chan struct{}, maxManifestFetches)
	e.fetched = metrics.GetOrRegisterCounter(fetchedMetric, metric.OrNew(e.Metrics))
	e.Peers.Handle(manifestMethod, peer.Typed(e.handle))
	e.Roster.onManifest = e.announce
}

// Stamp returns the node's stamp for messages to other members.
func (e *ManifestExchange) Stamp() json.RawMessage {
	text, err := json.Marshal(manifestStamp{Manifest: e.version()})
	if err != nil {
		e.Log.Error("stamp not encoded", slog.Any("error", err))
		return nil
	}
	return text
}

// version returns the version of the manifest in force, 0 if there is none.
func (e *ManifestExchange) version() uint64 {
	if manifest := e.Roster.View().Manifest; manifest != nil {
		return manifest.Version
	}
	return 0
}

// ReceiveStamp has the manifest fetched from a member whose stamp is above this node's
// version. It does not block.
func (e *ManifestExchange) ReceiveStamp(_ context.Context, from fleet.NodeID, text json.RawMessage) {
	var stamp manifestStamp
	if err := json.Unmarshal(text, &stamp); err != nil {
		e.Log.Warn("stamp of another node not decoded", slog.String("node", string(from)), slog.Any("error", err))
		return
	}
	if stamp.Manifest <= e.version() {
		return
	}
	e.mu.Lock()
	e.newer = slices.DeleteFunc(e.newer, func(s newerStamp) bool { return s.from == from })
	e.newer = append(e.newer, newerStamp{from: from, version: stamp.Manifest})
	e.newer = e.newer[max(0, len(e.newer)-maxNewerStamps):]
	e.mu.Unlock()
	e.behind.Notify()
}

// takeNewer returns the latest stamp above this node's version and removes it.
func (e *ManifestExchange) takeNewer() (stamp newerStamp, found bool) {
	own := e.version()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.newer = slices.DeleteFunc(e.newer, func(s newerStamp) bool { return s.version <= own })
	if len(e.newer) == 0 {
		return newerStamp{}, false
	}
	last := len(e.newer) - 1
	stamp, e.newer = e.newer[last], e.newer[:last]
	return stamp, true
}

// Run fetches newer manifests until the context ends.
func (e *ManifestExchange) Run(ctx context.Context) error {
	var requests sync.WaitGroup
	defer requests.Wait()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-e.behind:
		}
		if !e.Roster.manifestsFailing.Load() {
			wait.For(ctx, ownFeedPatience)
		}
		e.fetch(ctx, &requests)
	}
}

// fetch asks the nodes that have reported a newer version for their manifest, one after the
// other, until this node is not behind any more or all have been asked. It does not wait for
// a slow one before it asks the next.
func (e *ManifestExchange) fetch(ctx context.Context, requests *sync.WaitGroup) {
	for {
		stamp, found := e.takeNewer()
		if !found {
			return
		}
		select {
		case <-ctx.Done():
			return
		case e.slots <- struct{}{}:
		}
		requests.Go(func() {
			defer e.answered.Notify()
			defer func() { <-e.slots }()
			e.request(ctx, stamp)
		})
		e.answered.Wait(ctx, manifestFetchInterval)
	}
}

// request requests the manifest of a node whose version is newer than this node's.
func (e *ManifestExchange) request(ctx context.Context, newer newerStamp) {
	own := e.version()
	ctx, cancel := context.WithTimeout(ctx, manifestFetchTimeout)
	defer cancel()
	asked := time.Now()
	var response manifestResponse
	err := e.Peers.Call(ctx, newer.from, manifestMethod, manifestRequest{After: own}, &response)
	var manifests []*Manifest
	if err == nil {
		manifests, err = packed.Decode[*Manifest](response.Packed)
	}
	if err == nil && response.Format < ManifestFormat {
		err = errOlderFormat
	}
	if err != nil {
		e.Log.Warn("manifest not fetched from another node", slog.String("node", string(newer.from)),
			slog.Uint64("version", newer.version), slog.Uint64("own", own), slog.Any("error", err))
		return
	}
	e.fetched.Inc(1)
	e.Log.Info("manifest fetched from another node", slog.String("node", string(newer.from)),
		slog.Uint64("version", newer.version), slog.Uint64("own", own), slog.Duration("took", time.Since(asked)))
	e.Roster.applyManifests(time.Now(), manifests, readKind{})
}

// announce has the members exchange messages soon: other nodes may be behind as well.
func (e *ManifestExchange) announce() {
	if e.Announce != nil {
		e.Announce()
	}
}

// handle handles another node's request.
func (e *ManifestExchange) handle(_ context.Context, request manifestRequest) (response manifestResponse, err error) {
	response.Format = ManifestFormat
	manifest := e.Roster.View().Manifest
	if manifest == nil || manifest.Version <= request.After {
		return response, nil
	}
	response.Packed, err = packed.Encode([]*Manifest{manifest})
	return response, err
}
