package standin

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/vmlist"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// PoolConfig describes the backend servers of one pool.
type PoolConfig struct {
	ID      fleet.PoolID
	Kind    ticket.PoolKind
	Servers int
	// Places are given to the servers in turn.
	Places []fleet.Place
	// Engine and Service are copied for each server, whose id is the pool's
	// name with a number.
	Engine  EngineConfig
	Service ServiceConfig
	// Prefix is the path prefix of a pool of plain services, with its routes.
	Prefix string
	Routes []ticket.Route
}

// ModelConfig describes the models of a site that its ticket deploys.
type ModelConfig struct {
	Pool     fleet.PoolID
	Prefix   string
	Count    int
	Adapters int
	Prices   ticket.Prices
	Class    ticket.Class
	Replicas ticket.Replicas
}

// SiteConfig describes everything around the nodes of one or more users.
type SiteConfig struct {
	Seed    uint64
	Pools   []PoolConfig
	Models  []ModelConfig
	Store   WeightStoreConfig
	ListLag time.Duration
	// EmptyCaches leaves the checkpoint caches of all VMs empty at the start.
	EmptyCaches bool
	// Speed divides the time of loads, so that a demonstration needn't wait;
	// 0 means 1.
	Speed float64
	// Table, when set, is used in place of a new one.
	Table *Table
}

// Site is a set of running stand-ins on loopback.
type Site struct {
	TableURL   string
	VMListURL  string
	Table      *Table
	TableHTTP  *TableServer
	VMs        *VMList
	Store      *WeightStore
	Runs       *Runs
	Ledger     *Ledger
	Engines    []*Engine
	Services   []*Service
	config     SiteConfig
	servers    []*Server
	engineByID map[fleet.ServerID]*Engine
}

// StartSite starts a site. The caller closes it.
func StartSite(config SiteConfig) (site *Site, err error) {
	if config.Speed == 0 {
		config.Speed = 1
	}
	if config.Table == nil {
		config.Table = NewTable()
	}
	config.Store.Rate = fleet.Bytes(float64(config.Store.Rate) * config.Speed)
	site = &Site{
		Table: config.Table, TableHTTP: NewTableServer(config.Table), VMs: NewVMList(config.ListLag),
		Store: NewWeightStore(config.Store), Runs: NewRuns(), Ledger: NewLedger(),
		config: config, engineByID: make(map[fleet.ServerID]*Engine),
	}
	defer func() {
		if err != nil {
			site.Close()
			site, err = nil, errors.Wrap(err, "start site")
		}
	}()
	tableServer, err := Serve(anyPort, site.TableHTTP)
	if err != nil {
		return site, err
	}
	site.servers = append(site.servers, tableServer)
	site.TableURL = "http://" + tableServer.Address
	listServer, err := Serve(anyPort, site.VMs)
	if err != nil {
		return site, err
	}
	site.servers = append(site.servers, listServer)
	site.VMListURL = "http://" + listServer.Address
	for _, pool := range config.Pools {
		for i := range pool.Servers {
			if err := site.startServer(pool, i); err != nil {
				return site, err
			}
		}
	}
	site.fillCaches()
	return site, nil
}

// anyPort lets the system choose a free loopback port.
const anyPort = "127.0.0.1:0"

func (s *Site) startServer(pool PoolConfig, i int) error {
	id := fleet.ServerID(fmt.Sprintf("%s-%02d", pool.ID, i))
	vm := vmlist.VM{ID: id, Pool: pool.ID, Place: pool.Places[i%len(pool.Places)], State: vmlist.Live}
	if pool.Kind == ticket.ServicePool {
		config := pool.Service
		config.ID, config.Runs, config.Ledger = id, s.Runs, s.Ledger
		service := NewService(config)
		server, err := Serve(anyPort, service)
		if err != nil {
			return err
		}
		s.Services, s.servers = append(s.Services, service), append(s.servers, server)
		vm.Address = server.Address
		s.VMs.Put(vm)
		return nil
	}
	config := pool.Engine
	config.ID, config.Store, config.Ledger = id, s.Store, s.Ledger
	config.MemoryRate = fleet.Bytes(float64(config.MemoryRate) * s.config.Speed)
	config.DiskRate = fleet.Bytes(float64(config.DiskRate) * s.config.Speed)
	started := NewEngine(config)
	server, err := Serve(anyPort, started)
	if err != nil {
		return err
	}
	s.Engines, s.servers = append(s.Engines, started), append(s.servers, server)
	s.engineByID[id] = started
	vm.Address, vm.Memory, vm.Accelerators = server.Address, config.Memory, 1
	s.VMs.Put(vm)
	return nil
}

// Shares of the engines that have a checkpoint at the start.
const (
	hostMemoryShare = 0.05
	localDiskShare  = 0.25
)

// fillCaches spreads checkpoints unevenly over the caches of the VMs.
func (s *Site) fillCaches() {
	source := rand.New(rand.NewPCG(s.config.Seed, 1))
	for model, deployment := range s.Ticket(1, "").Deployments {
		item := fleet.Item{Model: model}
		s.Decide(item, deployment.Replicas.Max)
		for _, server := range s.Engines {
			if s.config.EmptyCaches {
				continue
			}
			switch draw := source.Float64(); {
			case draw < hostMemoryShare:
				server.Cache(item, deployment.Size, engine.HostMemory)
			case draw < hostMemoryShare+localDiskShare:
				server.Cache(item, deployment.Size, engine.LocalDisk)
			}
		}
	}
}

// Decide sets the replicas that an item may have before more are a violation.
func (s *Site) Decide(item fleet.Item, replicas int) { s.Ledger.Decide(item, replicas) }

// Engine returns an engine by its id, or nil.
func (s *Site) Engine(id fleet.ServerID) *Engine { return s.engineByID[id] }

// Violations returns the broken promises so far.
func (s *Site) Violations() []Violation { return s.Ledger.Violations() }

// Reclaim marks an engine's VM as leaving and ends it after the notice.
func (s *Site) Reclaim(id fleet.ServerID, notice time.Duration) {
	s.VMs.Leave(id, time.Now().Add(notice))
	time.AfterFunc(notice, func() {
		if leaving := s.Engine(id); leaving != nil {
			leaving.Stop()
		}
		s.VMs.Remove(id)
	})
}

// Close stops everything.
func (s *Site) Close() {
	for _, server := range s.servers {
		server.Close()
	}
}
