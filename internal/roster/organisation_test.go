package roster_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/peer"
	"github.com/guavatrack/guavatrack/internal/peer/peertest"
	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// olderSource is the store as a build sees it that does not know organisations.
type olderSource struct{ roster.Feed[*roster.Manifest] }

func (s olderSource) List(ctx context.Context) ([]*roster.Manifest, roster.Revision, error) {
	manifests, revision, err := s.Feed.List(ctx)
	return withoutOrganisations(manifests), revision, err
}

func (s olderSource) Follow(ctx context.Context, after roster.Revision, wait time.Duration) ([]*roster.Manifest, roster.Revision, error) {
	manifests, revision, err := s.Feed.Follow(ctx, after, wait)
	return withoutOrganisations(manifests), revision, err
}

func withoutOrganisations(manifests []*roster.Manifest) (older []*roster.Manifest) {
	for _, manifest := range manifests {
		older = append(older, &roster.Manifest{Version: manifest.Version})
	}
	return older
}

// olderEndpoint is the endpoint of such a node: its responses state no format.
type olderEndpoint struct{ peertest.Endpoint }

func (e olderEndpoint) Handle(method string, handler peer.Handler) {
	e.Endpoint.Handle(method, func(ctx context.Context, request json.RawMessage) (any, error) {
		response, err := handler(ctx, request)
		if err != nil {
			return nil, err
		}
		text, err := json.Marshal(response)
		fields := make(map[string]json.RawMessage)
		if json.Unmarshal(text, &fields) != nil {
			return response, err
		}
		delete(fields, "format")
		return fields, err
	})
}

func (r *outageRegion) endpoint(node fleet.NodeID) roster.Peers {
	endpoint := peertest.Endpoint{Network: &r.network, Node: node}
	if r.older[node] {
		return olderEndpoint{endpoint}
	}
	return endpoint
}

// removalBound is how long after the acknowledgement of a manifest a key that it lacks may be
// served.
const removalBound = 4 * time.Second

// useKeys has each manifest hold one organisation with the key of its version, and checks that
// no node of this build has one without in force, and that none goes back.
func (r *outageRegion) useKeys() {
	var mu sync.Mutex
	r.manifest = func(next *roster.Manifest) {
		next.Organisations = map[fleet.OrganisationID]*roster.Organisation{"A": {ID: "A"}}
		next.Keys = map[string]fleet.OrganisationID{keyOf(next.Version): "A"}
	}
	deployedAt := make(map[uint64]time.Time)
	keyed := r.manifest
	r.manifest = func(next *roster.Manifest) {
		keyed(next)
		mu.Lock()
		defer mu.Unlock()
		deployedAt[next.Version] = time.Now()
	}
	r.deploy()
	r.onManifest = func(node fleet.NodeID, manifest *roster.Manifest) {
		mu.Lock()
		replaced, found := deployedAt[manifest.Version+1]
		mu.Unlock()
		if found && time.Since(replaced) > removalBound {
			r.Errorf("%s: version %d comes into force %s after the next one was deployed", node, manifest.Version, time.Since(replaced))
		}
		if !r.older[node] && (manifest.Organisations["A"] == nil || manifest.Keys[keyOf(manifest.Version)] != "A") {
			r.Errorf("%s has version %d without its organisation in force", node, manifest.Version)
		}
	}
}

func keyOf(version uint64) string { return fmt.Sprint("key ", version) }

// TestManifestOfAnOlderBuildIsNotUsed guards against a node that takes a manifest without
// organisations, since a node of an older build has passed it on, for one that has none, and
// serves everyone; and against one that waits for such nodes in place of the store. The first
// four nodes are the readers.
func TestManifestOfAnOlderBuildIsNotUsed(t *testing.T) {
	for name, older := range map[string][]fleet.NodeID{
		"two readers": {"n0", "n1"}, "all readers": {"n0", "n1", "n2", "n3"},
		"all readers but one": {"n0", "n1", "n2"}, "all but one": {"n0", "n1", "n2", "n3", "n4", "n5", "n6"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newStampedRegion(t, 0)
				r.older = make(map[fleet.NodeID]bool)
				for _, node := range older {
					r.older[node] = true
				}
				r.useKeys()
				for i := range 8 {
					r.start(fleet.NodeID(fmt.Sprint("n", i)))
				}
				time.Sleep(5 * time.Second)
				r.Check(r.late(), qt.HasLen, 0)
				for range 5 {
					r.deploy()
					time.Sleep(inForceBound)
					r.Check(r.late(), qt.HasLen, 0)
				}
			})
		})
	}
}

// TestNodeThatOnlyOlderBuildsReach guards against a node that fetches a manifest without
// organisations from the only nodes that it reaches while the store turns it away. It keeps
// the version that it has.
func TestNodeThatOnlyOlderBuildsReach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newStampedRegion(t, 0)
		r.older = map[fleet.NodeID]bool{"n0": true, "n1": true, "n2": true, "n3": true, "n4": true}
		r.useKeys()
		r.turnedAway["n5"] = &outage{}
		for i := range 6 {
			r.start(fleet.NodeID(fmt.Sprint("n", i)))
		}
		time.Sleep(5 * time.Second)
		r.turnedAway["n5"].set(true, 0)
		r.deploy()
		time.Sleep(10 * time.Second)
		r.Check(r.late(), qt.DeepEquals, []fleet.NodeID{"n5"})
		r.turnedAway["n5"].set(false, 0)
		time.Sleep(inForceBound)
		r.Check(r.late(), qt.HasLen, 0)
	})
}

// TestTurnedAwayNodeAmongOlderBuilds guards against a node that the store turns away, and that
// gives up after two readers of an older build although a third one has the manifest. It learns
// of manifests by its feed alone.
func TestTurnedAwayNodeAmongOlderBuilds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newOutageRegion(t, 0)
		r.older = map[fleet.NodeID]bool{"n0": true, "n1": true, "n2": true}
		r.useKeys()
		r.turnedAway["n6"] = &outage{}
		for i := range 8 {
			r.start(fleet.NodeID(fmt.Sprint("n", i)))
		}
		time.Sleep(5 * time.Second)
		r.turnedAway["n6"].set(true, 0)
		for range 5 {
			time.Sleep(5 * time.Second)
			r.deploy()
			time.Sleep(inForceBound)
			r.Check(r.late(), qt.HasLen, 0)
		}
	})
}

// TestRemovedKeyIsGoneAtAllNodes guards against a node that still has a key 4 s after its
// removal: manifests come in a series, the store turns some nodes away or is silent, and
// nodes are killed and started.
func TestRemovedKeyIsGoneAtAllNodes(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 7))
				t.Cleanup(func() { time.Sleep(10 * time.Second) })
				r := newStampedRegion(t, 0)
				r.useKeys()
				var nodes []fleet.NodeID
				start := func(node fleet.NodeID) {
					r.turnedAway[node] = &outage{}
					nodes = append(nodes, node)
				}
				for i := range 14 {
					start(fleet.NodeID(fmt.Sprint("n", i)))
					r.start(nodes[i])
				}
				time.Sleep(5 * time.Second)
				for step := range 12 {
					for _, node := range nodes {
						r.turnedAway[node].set(random.Float64() < 0.3, 0)
					}
					for range 1 + random.IntN(4) {
						r.deploy()
						time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
					}
					at := random.IntN(len(nodes))
					killed := nodes[at]
					nodes = append(nodes[:at], nodes[at+1:]...)
					start(fleet.NodeID(fmt.Sprint("m", step)))
					r.kill(killed, nodes[len(nodes)-1])
					time.Sleep(4 * time.Second)
					for node, controller := range r.nodes {
						manifest := controller.View().Manifest
						if manifest == nil {
							continue // The node serves nobody yet.
						}
						r.Check(manifest.Keys, qt.DeepEquals, map[string]fleet.OrganisationID{keyOf(r.version): "A"}, qt.Commentf("%s, step %d", node, step))
					}
				}
			})
		})
	}
}

// stalledFeed is a feed whose reads stand still with their process while stalled is set, also
// beyond the end of their context.
type stalledFeed struct {
	sharedFeed[*roster.Manifest]
	stalled, down atomic.Bool
}

func (f *stalledFeed) Follow(ctx context.Context, after roster.Revision, maxWait time.Duration) ([]*roster.Manifest, roster.Revision, error) {
	if f.down.Load() {
		return nil, 0, errDown
	}
	manifests, revision, err := f.sharedFeed.Follow(ctx, after, maxWait)
	for f.stalled.Load() {
		time.Sleep(time.Millisecond)
	}
	if ctx.Err() != nil {
		return nil, 0, ctx.Err()
	}
	return manifests, revision, err
}

// TestManifestIsAwaitedAfterAStandstill guards against a request with a key that was removed
// while the process stood still, and is served before the manifest is read again; and against
// requests that wait in calm, or during an outage of the store.
func TestManifestIsAwaitedAfterAStandstill(t *testing.T) {
	awaited := func(t *testing.T, controller *roster.Controller) time.Duration {
		began := time.Now()
		controller.AwaitManifest(t.Context())
		return time.Since(began)
	}
	synctest.Test(t, func(t *testing.T) {
		manifests := &stalledFeed{}
		manifests.put(&roster.Manifest{Version: 1})
		s := start(t, func(s *fixture) { s.roster.Manifests = manifests })
		for step := range 300 {
			time.Sleep(100 * time.Millisecond)
			s.Assert(awaited(t, &s.roster), qt.Equals, time.Duration(0))
			if step%37 == 0 {
				manifests.put(&roster.Manifest{Version: s.roster.View().Manifest.Version + 1})
			}
		}
		for _, length := range []time.Duration{4 * time.Second, 5 * time.Second, 30 * time.Second} {
			manifests.stalled.Store(true)
			time.Sleep(length / 2)
			version := s.roster.View().Manifest.Version + 1
			manifests.put(&roster.Manifest{Version: version})
			time.Sleep(length / 2)
			manifests.stalled.Store(false)
			s.Check(awaited(t, &s.roster) <= time.Second, qt.IsTrue)
			s.Check(s.roster.View().Manifest.Version, qt.Equals, version, qt.Commentf("stood still for %s", length))
			time.Sleep(5 * time.Second)
		}
		manifests.down.Store(true)
		waits := time.Duration(0)
		for range 100 {
			waits += awaited(t, &s.roster)
			time.Sleep(100 * time.Millisecond)
		}
		s.Check(waits <= time.Second, qt.IsTrue, qt.Commentf("%s", waits))
	})
}

// TestNoNodeOfACalmRegionAwaitsTheManifest guards against requests that wait since manifests
// change, or since the node reads them from another one.
func TestNoNodeOfACalmRegionAwaitsTheManifest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newStampedRegion(t, 8)
		time.Sleep(5 * time.Second)
		for step := range 400 {
			if step%23 == 0 {
				r.deploy()
			}
			time.Sleep(100 * time.Millisecond)
			for _, controller := range r.nodes {
				began := time.Now()
				controller.AwaitManifest(t.Context())
				r.Assert(time.Since(began), qt.Equals, time.Duration(0))
			}
		}
	})
}
