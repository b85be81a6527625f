package roster_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"pgregory.net/rapid"

	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// feed is a [roster.Feed] whose entries and failures a test sets.
type feed[T any] struct {
	mu        sync.Mutex
	all       []T
	changes   []T
	revision  roster.Revision
	down      bool
	compacted bool
	reads     int
	// listDuration is the time that reading the whole list takes.
	listDuration time.Duration
}

var errDown = errors.New("store down")

func (f *feed[T]) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	change()
}

func (f *feed[T]) List(ctx context.Context) ([]T, roster.Revision, error) {
	f.mu.Lock()
	duration := f.listDuration
	f.mu.Unlock()
	select {
	case <-time.After(duration):
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if f.down {
		return nil, 0, errDown
	}
	f.compacted, f.changes = false, nil
	return f.all, f.revision, nil
}

func (f *feed[T]) Follow(
	ctx context.Context, after roster.Revision, wait time.Duration,
) ([]T, roster.Revision, error) {
	for end := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) {
		f.mu.Lock()
		down, compacted, revision, changes := f.down, f.compacted, f.revision, f.changes
		if !down && !compacted && revision > after {
			f.changes = nil
		}
		f.mu.Unlock()
		switch {
		case down:
			return nil, 0, errDown
		case compacted:
			return nil, 0, roster.ErrCompacted
		case revision > after || !time.Now().Before(end):
			return changes, revision, nil
		case ctx.Err() != nil:
			return nil, 0, ctx.Err()
		}
	}
}

// fixture is a controller with feeds that a test controls.
type fixture struct {
	*qt.C
	servers   feed[roster.ServerEntry]
	manifests feed[*roster.Manifest]
	roster    roster.Controller
}

// start runs a controller. fill sets the initial entries of its feeds before it
// reads them.
func start(t *testing.T, fill func(s *fixture)) *fixture {
	t.Helper()
	s := &fixture{C: qt.New(t)}
	s.roster.Servers, s.roster.Manifests = &s.servers, &s.manifests
	fill(s)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.roster.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return s
}

func entry(id, boot string) roster.ServerEntry {
	return roster.ServerEntry{
		ID: fleet.ServerID(id), Server: &roster.Server{ID: fleet.ServerID(id), Boot: fleet.BootID(boot), Pool: "p"},
	}
}

func (s *fixture) has(id string) bool { return s.roster.View().Servers[fleet.ServerID(id)] != nil }

func TestServersAreAddedAndRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t, func(s *fixture) { s.servers.all = []roster.ServerEntry{entry("a", "1"), entry("b", "1")} })
		time.Sleep(3 * time.Second)
		s.Assert(s.has("a") && s.has("b"), qt.IsTrue)
		s.Assert(s.roster.View().Servers, qt.HasLen, 2)
		for _, server := range s.roster.View().Servers {
			s.Assert(server.Pool, qt.Equals, fleet.PoolID("p"))
		}
		s.servers.update(func() { s.servers.changes = []roster.ServerEntry{{ID: "a"}, entry("b", "2")} })
		time.Sleep(time.Second)
		s.Assert(s.has("a"), qt.IsFalse)
		s.Assert(s.roster.View().Servers["b"].Boot, qt.Equals, fleet.BootID("2"))
	})
}

// TestExpiredServersHaveTimeToRegisterAgain checks that servers whose entries
// expire while the store is unreachable have time to register again: one of them
// does and stays, the other one is removed.
func TestExpiredServersHaveTimeToRegisterAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t, func(s *fixture) { s.servers.all = []roster.ServerEntry{entry("a", "1"), entry("b", "1")} })
		time.Sleep(3 * time.Second)
		s.servers.update(func() { s.servers.down = true })
		time.Sleep(5 * time.Second)
		s.Assert(s.has("a") && s.has("b"), qt.IsTrue)
		s.servers.update(func() {
			s.servers.down, s.servers.changes = false, []roster.ServerEntry{{ID: "a"}, {ID: "b"}}
		})
		time.Sleep(time.Second)
		s.Assert(s.has("a") && s.has("b"), qt.IsTrue)
		s.servers.update(func() { s.servers.changes = []roster.ServerEntry{entry("a", "1")} })
		time.Sleep(3 * time.Second)
		s.Assert(s.has("a"), qt.IsTrue)
		s.Assert(s.has("b"), qt.IsFalse)
	})
}

func TestFeedIsListedAgainAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t, func(s *fixture) { s.servers.all = []roster.ServerEntry{entry("a", "1"), entry("b", "1")} })
		time.Sleep(3 * time.Second)
		s.servers.update(func() { s.servers.compacted, s.servers.all = true, []roster.ServerEntry{entry("c", "1")} })
		time.Sleep(4 * time.Second)
		s.Assert(s.has("c"), qt.IsTrue)
		s.Assert(s.has("a") || s.has("b"), qt.IsFalse)
	})
}

func TestOlderManifestIsNeverApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t, func(s *fixture) {
			s.Assert(s.roster.View().Manifest, qt.IsNil)
			s.manifests.all = []*roster.Manifest{{Version: 7}}
		})
		time.Sleep(3 * time.Second)
		s.Assert(s.roster.View().Manifest.Version, qt.Equals, uint64(7))
		s.manifests.update(func() { s.manifests.changes = []*roster.Manifest{{Version: 9}, {Version: 8}} })
		time.Sleep(time.Second)
		s.manifests.update(func() { s.manifests.compacted, s.manifests.all = true, []*roster.Manifest{{Version: 7}} })
		time.Sleep(4 * time.Second)
		s.Assert(s.roster.View().Manifest.Version, qt.Equals, uint64(9))
	})
}

// TestChangesInQuickSuccessionAreReadTogether bounds the number of reads during
// many changes in quick succession.
func TestChangesInQuickSuccessionAreReadTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var views atomic.Int64
		s := start(t, func(s *fixture) { s.roster.OnChange = func(*roster.View) { views.Add(1) } })
		s.servers.update(func() {})
		time.Sleep(3 * time.Second)
		views.Store(0)
		for range 100 {
			s.servers.update(func() { s.servers.changes = append(s.servers.changes, entry("a", "1")) })
			time.Sleep(100 * time.Millisecond)
		}
		s.Assert(views.Load() <= 20, qt.IsTrue, qt.Commentf("%d", views.Load()))
		s.Assert(s.has("a"), qt.IsTrue)
	})
}

// TestSlowListIsReadCompletely guards against a list that never completes: the
// nodes of a large site all start at once and read the list of servers in many
// slow pages, which takes longer than a response may take otherwise.
func TestSlowListIsReadCompletely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t, func(s *fixture) {
			s.servers.listDuration, s.servers.all = 3*time.Second, []roster.ServerEntry{entry("a", "1")}
		})
		time.Sleep(4 * time.Second)
		s.Assert(s.has("a"), qt.IsTrue)
	})
}

// TestReadsPauseAfterManyChanges guards against a saturated region link: a
// thousand servers change their entries every two seconds, and many nodes read
// them over the link.
func TestReadsPauseAfterManyChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var reads atomic.Int64
		s := start(t, func(s *fixture) { s.roster.OnChange = func(*roster.View) { reads.Add(1) } })
		time.Sleep(3 * time.Second)
		reads.Store(0)
		for range 10 {
			s.servers.update(func() {
				s.servers.changes = nil // The store keeps only the newest row of each server.
				for i := range 1000 {
					s.servers.changes = append(s.servers.changes, entry(fmt.Sprint("e", i), "1"))
				}
			})
			time.Sleep(2 * time.Second)
		}
		s.Assert(reads.Load() <= 4, qt.IsTrue, qt.Commentf("%d", reads.Load()))
		s.Assert(s.roster.View().Servers, qt.HasLen, 1000)
	})
}

func TestLongestPrefixWins(t *testing.T) {
	c := qt.New(t)
	manifest := &roster.Manifest{Hosts: map[string][]*roster.Route{
		"a": {{Name: "all", Prefix: "/"}, {Name: "orders", Prefix: "/orders/"}, {Name: "new", Prefix: "/orders/new/"}},
		"b": {{Name: "only", Prefix: "/x/"}},
	}}
	for _, test := range []struct{ host, path, want string }{
		{"a", "/orders/new/1", "new"},
		{"a", "/orders/1", "orders"},
		{"a", "/orders", "all"},
		{"b", "/x/", "only"},
		{"b", "/y/", ""},
		{"c", "/", ""},
	} {
		got := ""
		if route := manifest.Match(test.host, test.path); route != nil {
			got = route.Name
		}
		c.Check(got, qt.Equals, test.want, qt.Commentf("%s%s", test.host, test.path))
	}
}

func TestPoolsAreChosenByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		route := roster.Route{Targets: []roster.Target{{Pool: "a", Weight: 90}, {Pool: "none"}, {Pool: "b", Weight: 10}}}
		random := rapid.Float64Range(0, 0.999999).Draw(t, "random")
		want := fleet.PoolID("a")
		if random >= 0.9 {
			want = "b"
		}
		if got := route.PickPool(random); got != want {
			t.Fatalf("%v: %s", random, got)
		}
	})
}
