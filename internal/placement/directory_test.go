package placement

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// directoryFixture is a directory with the view that it lists.
type directoryFixture struct {
	view      *roster.View
	directory *Directory
	// version is that of the last update.
	version uint64
}

func newDirectoryFixture(servers int) *directoryFixture {
	f := &directoryFixture{view: &roster.View{Servers: make(map[fleet.ServerID]*roster.Server), ServersListed: true}}
	f.directory = &Directory{View: func() *roster.View { return f.view }}
	for i := range servers {
		f.set(fixtureServer(i), false, fixtureModel(i), fixtureModel(i+1))
	}
	return f
}

func fixtureServer(i int) fleet.ServerID { return fleet.ServerID(fmt.Sprint("s", i)) }
func fixtureModel(i int) fleet.ModelID   { return fleet.ModelID(fmt.Sprint("m", i)) }

// change publishes a view that change has edited.
func (f *directoryFixture) change(change func(servers map[fleet.ServerID]*roster.Server)) {
	next := &roster.View{Servers: make(map[fleet.ServerID]*roster.Server), ServersListed: true}
	for id, server := range f.view.Servers {
		next.Servers[id] = server
	}
	change(next.Servers)
	f.view = next
	f.directory.UpdateView(next)
}

// set registers a server with the models that it holds.
func (f *directoryFixture) set(id fleet.ServerID, draining bool, models ...fleet.ModelID) {
	engine := &roster.Engine{}
	for _, model := range models {
		engine.LoadedModels = append(engine.LoadedModels, roster.LoadedModel{Model: model, Adapters: []fleet.AdapterID{"a"}})
	}
	f.change(func(servers map[fleet.ServerID]*roster.Server) {
		servers[id] = &roster.Server{ID: id, Boot: "b", Pool: "p", Slots: 2, Draining: draining, Engine: engine}
	})
}

func (f *directoryFixture) remove(id fleet.ServerID) {
	f.change(func(servers map[fleet.ServerID]*roster.Server) { delete(servers, id) })
}

// update applies an update of the scheduler that a server holds one model.
func (f *directoryFixture) update(id fleet.ServerID, model fleet.ModelID) {
	f.version++
	f.directory.applyUpdate(1, []engineUpdate{{Server: id, Boot: "b", Version: f.version, Held: []modelUpdate{{Model: model}}}})
}

// listing returns the replicas of an item, ordered by server.
func listing(directory *Directory, item fleet.Item) []dispatch.Replica {
	list := slices.Clone(directory.Replicas(item, "p"))
	slices.SortFunc(list, func(a, b dispatch.Replica) int { return strings.Compare(string(a.Server), string(b.Server)) })
	return list
}

// TestIndexFollowsServersAndScheduler compares a directory that has followed random
// changes with one that lists everything anew after each.
func TestIndexFollowsServersAndScheduler(t *testing.T) {
	const servers, models = 4, 5
	c := qt.New(t)
	rapid.Check(t, func(t *rapid.T) {
		f := newDirectoryFixture(2)
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			server := fixtureServer(rapid.IntRange(0, servers-1).Draw(t, "server"))
			model := fixtureModel(rapid.IntRange(0, models-1).Draw(t, "model"))
			switch rapid.IntRange(0, 3).Draw(t, "change") {
			case 0:
				f.set(server, rapid.Bool().Draw(t, "draining"), model)
			case 1:
				f.remove(server)
			case 2:
				f.update(server, model)
			case 3:
				f.directory.Replicas(fleet.Item{}, "p")
			}
		}
		fresh := &Directory{
			View: f.directory.View, schedulerEntries: f.directory.schedulerEntries,
			rosterEntries: f.directory.rosterEntries, confirmedAt: f.directory.confirmedAt,
		}
		c.Assert(listing(f.directory, fleet.Item{}), qt.DeepEquals, listing(fresh, fleet.Item{}))
		for i := range models {
			for _, item := range []fleet.Item{{Model: fixtureModel(i)}, {Model: fixtureModel(i), Adapter: "a"}} {
				c.Assert(listing(f.directory, item), qt.DeepEquals, listing(fresh, item))
			}
		}
	})
}

// TestChangeOfOneEngineListsThatOneAnew guards against listing every engine anew for
// each change: among hundreds of engines that swap models, several change in the time
// between two calls of a node.
func TestChangeOfOneEngineListsThatOneAnew(t *testing.T) {
	const changeAllocations = 30
	for _, servers := range []int{4, 400} {
		f := newDirectoryFixture(servers)
		f.directory.Replicas(fleet.Item{}, "p")
		next := 0
		found := testing.AllocsPerRun(20, func() {
			next++
			f.update("s0", fixtureModel(1000+next%2))
			f.directory.Replicas(fleet.Item{Model: "m1"}, "p")
		})
		qt.Check(t, found <= changeAllocations, qt.IsTrue, qt.Commentf("%v allocations with %d servers", found, servers))
	}
}

// TestRunsListedLaterHaveATime guards against servers that a node floods since it takes them for
// old ones, and against a node that takes all servers for new ones when it starts.
func TestRunsListedLaterHaveATime(t *testing.T) {
	c := qt.New(t)
	f := &directoryFixture{view: &roster.View{Servers: make(map[fleet.ServerID]*roster.Server)}}
	f.directory = &Directory{View: func() *roster.View { return f.view }}
	register := func(boot fleet.BootID, draining bool, ids ...fleet.ServerID) {
		f.change(func(servers map[fleet.ServerID]*roster.Server) {
			for _, id := range ids {
				servers[id] = &roster.Server{ID: id, Boot: boot, Pool: "p", Slots: 2, Draining: draining}
			}
		})
	}
	listed := func() (times []time.Time) {
		for _, replica := range listing(f.directory, fleet.Item{}) {
			times = append(times, replica.ListedAt)
		}
		return times
	}
	register("1", false, "s0", "s1")
	c.Check(listed(), qt.DeepEquals, []time.Time{{}, {}})
	register("1", false, "s2")
	register("2", false, "s1")
	times := listed()
	c.Check(times[0].IsZero() && !times[1].IsZero() && !times[2].IsZero(), qt.IsTrue)
	register("1", true, "s0", "s2")
	c.Check(listed(), qt.DeepEquals, times)
}
