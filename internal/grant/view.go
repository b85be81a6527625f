package grant

import (
	"slices"
	"strings"
	"time"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/vmlist"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// View is one grant of a server as this node sees it.
type View struct {
	Grant   fleet.GrantID
	Item    fleet.Item
	Version fleet.Version
	// Size is the reserved memory.
	Size fleet.Bytes
	// State and the fields up to Queued are those of the engine's report. State
	// is empty while the engine doesn't report the grant as held.
	State           engine.ItemState
	Progress        float64
	Running, Queued int
	// Draining is set if the item is to be unloaded.
	Draining bool
	// Standing is set if the grant was recorded in advance and is unused.
	Standing bool
	// Quarantined is set if the memory stays reserved, because an order under
	// the grant may still arrive, until it is renewed or the VM ends.
	Quarantined bool
}

// ServerView is a node's view of one server.
type ServerView struct {
	VM vmlist.VM
	// Reserved is the memory of all grants, Foreign the memory that the engine
	// reports as held without one.
	Reserved, Foreign fleet.Bytes
	Grants            []View
	Boot              fleet.BootID
	ChecksFencing     bool
	// AsOf is the time of the report by the engine's clock, PolledAt the time at
	// which it was received by this node's clock.
	AsOf, PolledAt  time.Time
	Checkpoints     map[string]engine.CacheTier
	Running, Queued int
	// Listed is set if the VM list names the server.
	Listed bool
}

// Leaving reports whether the server must not be given new work.
func (v *ServerView) Leaving() bool { return !v.Listed || v.VM.State != vmlist.Live }

// Views returns the servers that are listed or that this node follows, sorted by
// id.
func (c *Controller) Views() []ServerView {
	var views []ServerView
	c.forEachServer(func(s *server) {
		if s.followed || s.listed {
			views = append(views, c.view(s))
		}
	})
	slices.SortFunc(views, func(a, b ServerView) int {
		return strings.Compare(string(a.VM.ID), string(b.VM.ID))
	})
	return views
}

func (c *Controller) view(s *server) ServerView {
	view := ServerView{
		VM: s.vm, Reserved: s.machine.record.Reserved(), Foreign: s.machine.Foreign(),
		Boot: s.machine.report.Boot, ChecksFencing: c.checksFencing(s),
		AsOf: s.machine.report.AsOf, PolledAt: s.polledAt, Checkpoints: s.machine.report.Checkpoints,
		Running: s.machine.report.Running, Queued: s.machine.report.Queued, Listed: s.listed,
	}
	if view.VM.ID == "" {
		view.VM = vmlist.VM{ID: s.id, Pool: s.machine.record.Pool, Address: s.machine.record.Address, Memory: s.machine.record.Memory}
	}
	for i := range s.machine.record.Grants {
		g := &s.machine.record.Grants[i]
		entry := View{
			Grant: g.ID, Item: g.Item, Version: g.Version, Size: g.Size,
			Draining: g.State == Draining, Standing: g.Standing && s.machine.grantState(g.ID).held == nil,
			Quarantined: s.machine.Quarantined(g),
		}
		if known := s.machine.grantState(g.ID).held; known != nil {
			entry.State, entry.Progress = known.State, known.Progress
			entry.Running, entry.Queued = known.Running, known.Queued
		}
		view.Grants = append(view.Grants, entry)
	}
	return view
}

// Replicas returns the replicas of an item that engines report, sorted by
// server.
func (c *Controller) Replicas(item fleet.Item) []engine.Replica {
	var replicas []engine.Replica
	c.forEachServer(func(s *server) {
		g := s.machine.record.FindItem(item)
		if g == nil {
			return
		}
		state := s.machine.grantState(g.ID)
		if state.held == nil {
			return
		}
		address := s.vm.Address
		if address == "" {
			address = s.machine.record.Address
		}
		replicas = append(replicas, engine.Replica{
			Item: g.Item, Version: state.held.Version, Grant: g.ID, Server: s.id,
			Boot: s.machine.report.Boot, Address: address, Place: s.vm.Place,
			State: state.held.State, Progress: state.held.Progress,
			Running: state.held.Running, Queued: state.held.Queued,
			AsOf: s.machine.report.AsOf, ReadySince: state.readySince,
			Draining: g.State == Draining || !s.listed || s.vm.State != vmlist.Live,
		})
	})
	slices.SortFunc(replicas, func(a, b engine.Replica) int {
		return strings.Compare(string(a.Server), string(b.Server))
	})
	return replicas
}
