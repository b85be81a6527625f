package roster_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// restoreTo has the feed list entries from an older copy of the store.
func (f *feed[T]) restoreTo(entries []T) {
	f.update(func() { f.compacted, f.all, f.revision = true, entries, roster.RevisionIn(1, 1) })
}

// TestServerReturnsWithItsNextGoodEntry guards against a server that stays unused after
// another writer has overwritten its entry once.
func TestServerReturnsWithItsNextGoodEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t, func(s *fixture) { s.servers.all = []roster.ServerEntry{entry("a", "a1"), entry("b", "b1")} })
		time.Sleep(3 * time.Second)
		for range 3 {
			s.servers.update(func() { s.servers.changes = []roster.ServerEntry{{ID: "a", Unreadable: true}} })
			time.Sleep(time.Second)
			s.Check(s.has("a"), qt.IsFalse)
			s.Check(s.has("b"), qt.IsTrue)
			s.servers.update(func() { s.servers.changes = []roster.ServerEntry{entry("a", "a1")} })
			time.Sleep(time.Second)
			s.Check(s.has("a"), qt.IsTrue)
		}
	})
}

// TestUnreadableEntryIsNotTheEndOfAServer guards against a server that counts as one that
// has left because another writer overwrote its entry, so that its good entry is ignored
// after the store was restored to a copy from before.
func TestUnreadableEntryIsNotTheEndOfAServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		good := []roster.ServerEntry{entry("a", "a1"), entry("b", "b1")}
		s := start(t, func(s *fixture) { s.servers.all = good })
		time.Sleep(3 * time.Second)
		s.servers.update(func() { s.servers.changes = []roster.ServerEntry{{ID: "a", Unreadable: true}, {ID: "b"}} })
		time.Sleep(time.Second)
		s.Check(s.has("a") || s.has("b"), qt.IsFalse)
		s.servers.restoreTo(good)
		time.Sleep(5 * time.Second)
		s.Check(s.has("a"), qt.IsTrue)
		s.Check(s.has("b"), qt.IsFalse, qt.Commentf("its entry was removed"))
	})
}

// TestRemovalOfAnUnreadableEntryIsTheEndOfItsServer guards against the use of a server that
// has left while its entry could not be read.
func TestRemovalOfAnUnreadableEntryIsTheEndOfItsServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		good := []roster.ServerEntry{entry("a", "a1"), entry("b", "b1")}
		s := start(t, func(s *fixture) { s.servers.all = good })
		time.Sleep(3 * time.Second)
		s.servers.update(func() {
			s.servers.changes = []roster.ServerEntry{{ID: "a", Unreadable: true}, {ID: "b", Unreadable: true}}
		})
		time.Sleep(time.Second)
		s.servers.update(func() { s.servers.changes = []roster.ServerEntry{{ID: "a"}} })
		time.Sleep(time.Second)
		s.servers.update(func() { s.servers.compacted, s.servers.all = true, nil })
		time.Sleep(4 * time.Second)
		s.servers.restoreTo(good)
		time.Sleep(5 * time.Second)
		s.Check(s.has("a") || s.has("b"), qt.IsFalse)
	})
}

// TestUnreadableEntryNamesNoServerAfterAnOutage guards against requests to the server of
// an entry that can't be read: only servers whose entries have expired are waited for.
func TestUnreadableEntryNamesNoServerAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t, func(s *fixture) { s.servers.all = []roster.ServerEntry{entry("a", "a1"), entry("b", "b1")} })
		time.Sleep(3 * time.Second)
		s.servers.update(func() { s.servers.down = true })
		time.Sleep(5 * time.Second)
		s.servers.update(func() {
			s.servers.down, s.servers.changes = false, []roster.ServerEntry{{ID: "a", Unreadable: true}, {ID: "b"}}
		})
		time.Sleep(time.Second)
		s.Check(s.has("a"), qt.IsFalse)
		s.Check(s.has("b"), qt.IsTrue)
	})
}

// TestManifestWithPartsMissingIsNotApplied guards against a process that ends because another
// node has sent a manifest, or a part of one, that is null.
func TestManifestWithPartsMissingIsNotApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t, func(*fixture) {})
		time.Sleep(3 * time.Second)
		s.manifests.update(func() {
			s.manifests.changes = []*roster.Manifest{
				nil,
				{Version: 9, Hosts: map[string][]*roster.Route{"h": {nil}}},
				{Version: 9, Pools: map[fleet.PoolID]*roster.Pool{"p": nil}},
				{Version: 9, Pools: map[fleet.PoolID]*roster.Pool{
					"p": {Engine: &roster.EngineSpec{Models: map[fleet.ModelID]*roster.Model{"m": nil}}},
				}},
				{Version: 7},
			}
		})
		time.Sleep(3 * time.Second)
		s.Assert(s.roster.View().Manifest, qt.IsNotNil)
		s.Check(s.roster.View().Manifest.Version, qt.Equals, uint64(7))
	})
}

// TestEntryOfAnEarlierRunIsIgnoredInARestoredStore guards against a running server that
// counts as one that has started again, and its requests as cause of a crash: the store was
// restored to a copy that has the entry of the run before.
func TestEntryOfAnEarlierRunIsIgnoredInARestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before := []roster.ServerEntry{entry("a", "a1")}
		s := start(t, func(s *fixture) { s.servers.all = before })
		time.Sleep(3 * time.Second)
		s.servers.update(func() { s.servers.changes = []roster.ServerEntry{entry("a", "a2")} })
		time.Sleep(time.Second)
		s.servers.restoreTo(before)
		time.Sleep(5 * time.Second)
		s.Assert(s.has("a"), qt.IsTrue)
		s.Check(s.roster.View().Servers["a"].Boot, qt.Equals, fleet.BootID("a2"))
	})
}
