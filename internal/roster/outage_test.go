package roster_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/guavatrack/guavatrack/internal/packed"
	"github.com/guavatrack/guavatrack/internal/peer/peertest"
	"github.com/guavatrack/guavatrack/internal/roster"
)

// inForceBound is how long after its acknowledgement, or after the end of an outage of
// the store, a manifest may take to be in force at every node.
const inForceBound = 2500 * time.Millisecond

// TestManifestAfterAnOutageWithCompaction guards against a manifest that is not in force
// because the response to a list was lost: the store drops its history, the nodes list
// again, and the store is silent at that moment.
func TestManifestAfterAnOutageWithCompaction(t *testing.T) {
	for offset := time.Duration(0); offset < 2400*time.Millisecond; offset += 300 * time.Millisecond {
		t.Run(offset.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newOutageRegion(t, 6)
				time.Sleep(5 * time.Second)
				r.compact()
				time.Sleep(offset)
				r.outage.begin()
				time.Sleep(2500 * time.Millisecond)
				r.outage.end()
				r.deploy()
				time.Sleep(inForceBound)
				r.Check(r.late(), qt.HasLen, 0)
			})
		})
	}
}

// TestManifestAtNodesThatStartInAnOutage guards against nodes that know no manifest for
// long after the store has returned: the response to their first list was lost.
func TestManifestAtNodesThatStartInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newOutageRegion(t, 6)
		time.Sleep(5 * time.Second)
		r.outage.begin()
		time.Sleep(2 * time.Second)
		r.killFirst(4)
		time.Sleep(5 * time.Second)
		r.outage.end()
		r.deploy()
		time.Sleep(inForceBound)
		r.Check(r.late(), qt.HasLen, 0)
	})
}

// TestManifestAtANodeWhoseReadersWereKilled guards against a node that pauses for longer
// the longer an outage lasts, while the nodes from which it reads were killed: it had an
// older manifest in force seconds after the store had returned.
func TestManifestAtANodeWhoseReadersWereKilled(t *testing.T) {
	for _, length := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second, 12 * time.Second, 30 * time.Second} {
		t.Run(length.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newOutageRegion(t, 7)
				time.Sleep(5 * time.Second)
				r.outage.begin()
				time.Sleep(time.Second)
				r.killFirst(4)
				time.Sleep(length)
				r.outage.end()
				r.deploy()
				time.Sleep(inForceBound)
				r.Check(r.late(), qt.HasLen, 0)
			})
		})
	}
}

// TestDrainingServerAfterAnOutage guards against requests to a server that leaves: after
// an outage the list of servers was read again up to 6 s later, since the response that
// the node waited for had been lost.
func TestDrainingServerAfterAnOutage(t *testing.T) {
	for _, length := range []time.Duration{3 * time.Second, 5 * time.Second, 7 * time.Second, 9 * time.Second, 13 * time.Second} {
		t.Run(length.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newOutageRegion(t, 6)
				time.Sleep(5 * time.Second)
				r.outage.begin()
				time.Sleep(length)
				r.outage.end()
				leaving := entry("e7", "1")
				leaving.Server.Draining = true
				r.servers.put(leaving)
				time.Sleep(inForceBound)
				for node, controller := range r.nodes {
					r.Check(controller.View().Servers["e7"].Draining, qt.IsTrue, qt.Commentf("%s", node))
				}
			})
		})
	}
}

// TestFollowersOfAReaderThatGetsNoResponse guards against a reader that answers "nothing
// new" for as long as it gets no response itself: its list hangs, while the other nodes
// could read the store.
func TestFollowersOfAReaderThatGetsNoResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newOutageRegion(t, 7)
		time.Sleep(5 * time.Second)
		r.compact()
		time.Sleep(1900 * time.Millisecond)
		for range 10 {
			// Each response that is under way is lost again and again.
			r.outage.begin()
			r.outage.end()
			time.Sleep(50 * time.Millisecond)
		}
		r.deploy()
		time.Sleep(inForceBound)
		r.Check(r.late(), qt.HasLen, 0)
	})
}

// TestManifestIsInForceWithinTheBound checks the sum of all waits behind the bound: a
// manifest that is acknowledged at the end of an outage, of any length up to 12 s, is in
// force at every node 2.5 s later; also if the nodes' readers, or all nodes, were killed in
// the outage, or the store dropped its history before it.
func TestManifestIsInForceWithinTheBound(t *testing.T) {
	disturbances := map[string]func(r *outageRegion){
		"none":          func(*outageRegion) {},
		"compacted":     func(r *outageRegion) { r.compact() },
		"readersKilled": func(r *outageRegion) { r.killFirst(4) },
		"allKilled":     func(r *outageRegion) { r.killFirst(7) },
	}
	for name, disturb := range disturbances {
		t.Run(name, func(t *testing.T) {
			for length := 500 * time.Millisecond; length <= 12*time.Second; length += 170 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					r := newStampedRegion(t, 7)
					time.Sleep(5 * time.Second)
					r.outage.begin()
					time.Sleep(length / 2)
					disturb(r)
					time.Sleep(length - length/2)
					r.outage.end()
					r.deploy()
					time.Sleep(inForceBound)
					r.Check(r.late(), qt.HasLen, 0, qt.Commentf("outage of %s", length))
				})
			}
		})
	}
}

// TestManifestAtANodeThatTheStoreTurnsAway guards against a node whose knowledge hangs on
// its own path to the store: it gets no response from there, while the other nodes do.
func TestManifestAtANodeThatTheStoreTurnsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newStampedRegion(t, 6)
		away := &outage{}
		r.turnedAway["n6"] = away
		away.begin()
		r.start("n6")
		time.Sleep(inForceBound)
		r.Check(r.late(), qt.HasLen, 0)
		for range 5 {
			r.deploy()
			time.Sleep(inForceBound)
			r.Check(r.late(), qt.HasLen, 0)
		}
	})
}

// TestManifestNeverGoesBack guards against a node that puts an older manifest in force
// again: from the list of a store that was restored from an older copy, from changes that
// come late, or from another node that is behind.
func TestManifestNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 5), 5, 40).Draw(rt, "steps")
		versions := rapid.SliceOfN(rapid.Uint64Range(1, 20), len(steps), len(steps)).Draw(rt, "versions")
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			var network peertest.Network
			exchange := &roster.ManifestExchange{Peers: peertest.Endpoint{Network: &network, Node: "a"}}
			s := start(t, func(s *fixture) {
				s.manifests.all = []*roster.Manifest{{Version: 1}}
				exchange.Roster = &s.roster
				exchange.Register()
			})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() { _ = exchange.Run(ctx) }()
			highest := uint64(0)
			check := func() {
				time.Sleep(700 * time.Millisecond)
				if manifest := s.roster.View().Manifest; manifest != nil {
					c.Assert(manifest.Version >= highest, qt.IsTrue, qt.Commentf("%d after %d", manifest.Version, highest))
					highest = manifest.Version
				}
			}
			for i, step := range steps {
				manifest := &roster.Manifest{Version: versions[i]}
				switch step {
				case 0, 1:
					s.manifests.update(func() {
						s.manifests.all, s.manifests.changes = []*roster.Manifest{manifest}, []*roster.Manifest{manifest}
					})
				case 2:
					s.manifests.update(func() { s.manifests.all, s.manifests.compacted = []*roster.Manifest{manifest}, true })
				case 3:
					s.manifests.update(func() {
						s.manifests.revision = roster.RevisionIn(s.manifests.revision.Era()+1, 1)
						s.manifests.all, s.manifests.compacted = []*roster.Manifest{manifest}, true
					})
				case 4:
					s.manifests.update(func() { s.manifests.down = !s.manifests.down })
				case 5:
					serveManifest(&network, manifest)
					exchange.ReceiveStamp(ctx, "b", json.RawMessage(fmt.Sprintf(`{"manifest":%d}`, rapid.Uint64Range(1, 30).Example(i))))
				}
				check()
			}
			check()
		})
	})
}

// serveManifest registers node b, which has a manifest in force whatever it is asked for.
func serveManifest(network *peertest.Network, manifest *roster.Manifest) {
	peertest.Endpoint{Network: network, Node: "b"}.Handle("roster.manifest",
		func(context.Context, json.RawMessage) (any, error) {
			list, err := packed.Encode([]*roster.Manifest{manifest})
			return map[string]any{"packed": list, "format": roster.ManifestFormat}, err
		})
}
