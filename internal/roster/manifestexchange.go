package roster

import (
	"context"
	"encoding/json"
	"log/slog"
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
	// Announce has the members exchange messages soon: it is called when the node has a
	// newer manifest after its feed failed, or from another node. It may be nil.
	Announce func()
	Log      *slog.Logger
	Metrics  metrics.Registry

	// behind receives a stamp that is above this node's version. Others that come while it
	// is handled are dropped.
	behind  chan newerStamp
	fetched metrics.Counter
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
}

const (
	manifestMethod = "roster.manifest"
	// manifestFetchTimeout bounds one request for the manifest of another node.
	manifestFetchTimeout = 500 * time.Millisecond
	// ownFeedPatience is how long a node whose own feed does not fail waits for it before
	// it fetches a newer manifest from another node.
	ownFeedPatience = 600 * time.Millisecond
)

// Register registers the method that nodes call on each other.
func (e *ManifestExchange) Register() {
	e.Log = logs.OrDiscard(e.Log)
	e.behind = make(chan newerStamp, 1)
	e.fetched = metrics.GetOrRegisterCounter(fetchedMetric, metric.OrNew(e.Metrics))
	e.Peers.Handle(manifestMethod, peer.Typed(e.handle))
	e.Roster.onManifestsRecovered = e.announce
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
// version. It does not block: while one is being fetched, later stamps are dropped, and
// come again with the next messages.
func (e *ManifestExchange) ReceiveStamp(_ context.Context, from fleet.NodeID, text json.RawMessage) {
	var stamp manifestStamp
	if err := json.Unmarshal(text, &stamp); err != nil {
		e.Log.Warn("stamp of another node not decoded", slog.String("node", string(from)), slog.Any("error", err))
		return
	}
	if stamp.Manifest <= e.version() {
		return
	}
	select {
	case e.behind <- newerStamp{from: from, version: stamp.Manifest}:
	default:
	}
}

// Run fetches newer manifests until the context ends.
func (e *ManifestExchange) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case newer := <-e.behind:
			e.fetch(ctx, newer)
		}
	}
}

// fetch fetches the manifest of a node whose version is newer than this node's, unless
// the node's own feed brings it first.
func (e *ManifestExchange) fetch(ctx context.Context, newer newerStamp) {
	if !e.Roster.manifestsFailing.Load() {
		wait.For(ctx, ownFeedPatience)
	}
	own := e.version()
	if newer.version <= own {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, manifestFetchTimeout)
	defer cancel()
	var response manifestResponse
	err := e.Peers.Call(ctx, newer.from, manifestMethod, manifestRequest{After: own}, &response)
	var manifests []*Manifest
	if err == nil {
		manifests, err = packed.Decode[*Manifest](response.Packed)
	}
	if err != nil {
		e.Log.Warn("manifest not fetched from another node", slog.String("node", string(newer.from)),
			slog.Uint64("version", newer.version), slog.Uint64("own", own), slog.Any("error", err))
		return
	}
	e.fetched.Inc(1)
	e.Log.Info("manifest fetched from another node", slog.String("node", string(newer.from)),
		slog.Uint64("version", newer.version), slog.Uint64("own", own))
	e.Roster.applyManifests(time.Now(), manifests, readKind{})
	e.announce()
}

// announce has the members exchange messages soon: other nodes may be behind as well.
func (e *ManifestExchange) announce() {
	if e.Announce != nil {
		e.Announce()
	}
}

// handle handles another node's request.
func (e *ManifestExchange) handle(_ context.Context, request manifestRequest) (response manifestResponse, err error) {
	manifest := e.Roster.View().Manifest
	if manifest == nil || manifest.Version <= request.After {
		return response, nil
	}
	response.Packed, err = packed.Encode([]*Manifest{manifest})
	return response, err
}
