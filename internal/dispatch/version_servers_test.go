package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// serverRun is one run of a server's process.
type serverRun struct {
	boot     fleet.BootID
	software fleet.SoftwareVersion
	// ended is done when the process has ended; its answers break off then.
	ended context.Context //nolint:containedctx // a run lives as long as its context
	end   context.CancelFunc
}

// changingServer is a server that is started, drained and ended, with a software version
// for each of its runs.
type changingServer struct {
	id fleet.ServerID
	// run is the present run; nil while there is none. listed is the run that the
	// directory lists; nil if it lists none.
	run, listed     *serverRun
	draining, holds bool
}

// changingServers are servers and the directory that lists them. The entry of a run that
// has ended is listed for a while; the next run of the server begins after that, so that no
// entry names another version than that of the process which takes connections.
type changingServers struct {
	slotCounter
	mu      sync.Mutex
	servers []*changingServer
	boots   int
	slots   int
	// hidesVersions is set if the directory does not list the versions.
	hidesVersions bool
}

// dispatcher returns a dispatcher that sends calls to the servers.
func (s *changingServers) dispatcher(seed uint64) *dispatch.Dispatcher {
	return &dispatch.Dispatcher{
		Directory: s, Loader: s, Prober: s, Store: standin.NewTable(), Node: "n", Allowance: generous,
		Rand: rand.New(rand.NewPCG(seed, 1)),
	}
}

// loadTime is the time that a load takes.
const loadTime = 300 * time.Millisecond

// Replicas implements [dispatch.Directory].
func (s *changingServers) Replicas(item fleet.Item, pool fleet.PoolID) (replicas []dispatch.Replica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		if server.listed == nil || item.Model != "" && !server.holds {
			continue
		}
		replica := dispatch.Replica{
			Server: server.id, Boot: server.listed.boot, Software: server.listed.software, Pool: pool, Item: item,
			Ready: true, Draining: server.draining, Slots: s.slots, FixedSlots: true,
		}
		if s.hidesVersions {
			replica.Software = ""
		}
		replicas = append(replicas, replica)
	}
	return replicas
}

// Alive implements [dispatch.Prober].
func (s *changingServers) Alive(_ context.Context, replica dispatch.Replica) bool {
	return s.runOf(replica.Server) != nil
}

// Crashed implements [dispatch.Prober].
func (s *changingServers) Crashed(_ context.Context, replica dispatch.Replica) bool {
	run := s.runOf(replica.Server)
	return run == nil || run.boot != replica.Boot
}

// RequestLoad implements [dispatch.Loader]: the first server that is usable for the demand
// holds the item after loadTime. The estimate is the same if there is none.
func (s *changingServers) RequestLoad(_ context.Context, demand dispatch.Demand) (dispatch.Estimate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	usable := func(server *changingServer) bool {
		return server.usable() && (demand.Software == "" || server.listed.software == demand.Software)
	}
	if at := slices.IndexFunc(s.servers, usable); at >= 0 {
		server, run := s.servers[at], s.servers[at].listed
		time.AfterFunc(loadTime, func() { s.hold(server, run) })
	}
	return dispatch.Estimate{ReadyIn: loadTime}, nil
}

// hold completes a load at a server unless its process has ended.
func (s *changingServers) hold(server *changingServer, run *serverRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	server.holds = server.holds || server.run != nil && server.run == run
}

// usable reports whether the server may be sent calls, as far as the directory shows.
func (s *changingServer) usable() bool { return s.listed != nil && !s.draining }

// serves reports whether a usable server of a version is listed.
func (s *changingServers) serves(software fleet.SoftwareVersion) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		if server.usable() && server.listed.software == software {
			return true
		}
	}
	return false
}

// runOf returns the present run of a server; nil if there is none.
func (s *changingServers) runOf(id fleet.ServerID) *serverRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		if server.id == id {
			return server.run
		}
	}
	return nil
}

// begin begins a run of a server, unless there is one, and lists it.
func (s *changingServers) begin(server *changingServer, software fleet.SoftwareVersion, holds bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if server.run != nil {
		return
	}
	s.boots++
	run := &serverRun{boot: fleet.BootID(fmt.Sprint("boot", s.boots)), software: software}
	run.ended, run.end = context.WithCancel(context.Background())
	server.run, server.listed, server.draining, server.holds = run, run, false, holds
}

// end ends the run of a server, whose entry is listed for a while longer. Then another run
// begins, if it is to have one.
func (s *changingServers) end(server *changingServer, listedFor time.Duration, next fleet.SoftwareVersion, holds bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ended := server.run
	if ended == nil {
		return
	}
	server.run = nil
	ended.end()
	time.AfterFunc(listedFor, func() {
		s.unlist(server, ended)
		if next != "" {
			s.begin(server, next, holds)
		}
	})
}

// unlist removes the entry of a run that has ended.
func (s *changingServers) unlist(server *changingServer, ended *serverRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if server.listed == ended {
		server.listed = nil
	}
}

// drain has a server drain.
func (s *changingServers) drain(server *changingServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	server.draining = true
}

// serve ends the draining of a server, which holds the item from now on or not.
func (s *changingServers) serve(server *changingServer, holds bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	server.draining, server.holds = false, holds
}

// endAll ends all runs.
func (s *changingServers) endAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		if server.run != nil {
			server.run.end()
		}
	}
}
