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

// Spread has a node take a newer manifest from another node that has it in force, so that
// it does not depend on its own path to the store. Each message between members carries
// the version that its sender has in force, as a stamp; a node that is behind fetches the
// manifest from there. Nodes of an older build send no stamp and are not asked. The
// exported fields are set before Register.
type Spread struct {
	Roster *Controller
	Peers  Peers
	// Announce has the members exchange messages soon: it is called when the node has a
	// newer manifest after its feed failed, or from another node. It may be nil.
	Announce func()
	Log      *slog.Logger
	Metrics  metrics.Registry

	// behind receives the newest stamp that is above this node's version.
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
func (s *Spread) Register() {
	s.Log = logs.OrDiscard(s.Log)
	s.behind = make(chan newerStamp, 1)
	s.fetched = metrics.GetOrRegisterCounter(fetchedMetric, metric.OrNew(s.Metrics))
	s.Peers.Handle(manifestMethod, peer.Typed(s.handle))
	s.Roster.onManifestsRecovered = s.announce
}

// Stamp returns the node's stamp for messages to other members.
func (s *Spread) Stamp() json.RawMessage {
	text, err := json.Marshal(manifestStamp{Manifest: s.version()})
	if err != nil {
		s.Log.Error("stamp not encoded", slog.Any("error", err))
		return nil
	}
	return text
}

// version returns the version of the manifest in force, 0 if there is none.
func (s *Spread) version() uint64 {
	if manifest := s.Roster.View().Manifest; manifest != nil {
		return manifest.Version
	}
	return 0
}

// ReceiveStamp has the manifest fetched from a member whose stamp is above this node's
// version. It does not block: while one is being fetched, later stamps are dropped, and
// come again with the next messages.
func (s *Spread) ReceiveStamp(_ context.Context, from fleet.NodeID, text json.RawMessage) {
	var stamp manifestStamp
	if err := json.Unmarshal(text, &stamp); err != nil {
		s.Log.Warn("stamp of another node not decoded", slog.String("node", string(from)), slog.Any("error", err))
		return
	}
	if stamp.Manifest <= s.version() {
		return
	}
	select {
	case s.behind <- newerStamp{from: from, version: stamp.Manifest}:
	default:
	}
}

// Run fetches newer manifests until the context ends.
func (s *Spread) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case newer := <-s.behind:
			s.fetch(ctx, newer)
		}
	}
}

// fetch fetches the manifest of a node whose version is newer than this node's, unless
// the node's own feed brings it first.
func (s *Spread) fetch(ctx context.Context, newer newerStamp) {
	if !s.Roster.manifestsFailing.Load() {
		wait.For(ctx, ownFeedPatience)
	}
	own := s.version()
	if newer.version <= own {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, manifestFetchTimeout)
	defer cancel()
	var response manifestResponse
	err := s.Peers.Call(ctx, newer.from, manifestMethod, manifestRequest{After: own}, &response)
	var manifests []*Manifest
	if err == nil {
		manifests, err = packed.Decode[*Manifest](response.Packed)
	}
	if err != nil {
		s.Log.Warn("manifest not fetched from another node", slog.String("node", string(newer.from)),
			slog.Uint64("version", newer.version), slog.Uint64("own", own), slog.Any("error", err))
		return
	}
	s.fetched.Inc(1)
	s.Log.Info("manifest fetched from another node", slog.String("node", string(newer.from)),
		slog.Uint64("version", newer.version), slog.Uint64("own", own))
	s.Roster.applyManifests(time.Now(), manifests, readKind{})
	s.announce()
}

// announce has the members exchange messages soon: other nodes may be behind as well.
func (s *Spread) announce() {
	if s.Announce != nil {
		s.Announce()
	}
}

// handle handles another node's request.
func (s *Spread) handle(_ context.Context, request manifestRequest) (response manifestResponse, err error) {
	manifest := s.Roster.View().Manifest
	if manifest == nil || manifest.Version <= request.After {
		return response, nil
	}
	response.Packed, err = packed.Encode([]*Manifest{manifest})
	return response, err
}
