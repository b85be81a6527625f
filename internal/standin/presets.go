package standin

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

func place(region fleet.Region, domain string) fleet.Place {
	return fleet.Place{Region: region, FailureDomain: fleet.FailureDomain(string(region) + "-" + domain)}
}

// Wreaths returns the site of the wreath business at today's size.
func Wreaths() SiteConfig {
	return site(user{
		places: []fleet.Place{
			place("bohemia-west", "a"), place("bohemia-west", "b"), place("moravia-south", "a"),
		},
		engines: "wreath-advisor", desk: "order-desk", model: "hop-advisor", adapters: 95, loadsPerSecond: 10,
		class: ticket.Interactive, prices: ticket.Prices{ColdStartSecond: 0.05, AcceleratorHour: 2},
		prefix: "/orders/", lookup: "/stock", booking: "/confirmations",
	})
}

// Pedals returns the site of the pedal repair shop at today's size.
func Pedals() SiteConfig {
	return site(user{
		places:  []fleet.Place{place("bizkaia", "a"), place("bizkaia", "b"), place("cantabria", "a")},
		engines: "pedal-llm", desk: "taller-app", model: "pedal-helper", adapters: 115, loadsPerSecond: 4,
		class: ticket.Diagnosis, prices: ticket.Prices{ColdStartSecond: 0.002, AcceleratorHour: 4},
		prefix: "/repairs/", lookup: "/status", booking: "/bookings",
	})
}

// Both returns both users' backend servers behind one table, VM list and
// weight store.
func Both() SiteConfig {
	joined, second := Wreaths(), Pedals()
	joined.Pools = append(joined.Pools, second.Pools...)
	joined.Models = append(joined.Models, second.Models...)
	return joined
}

// Resize changes the number of engines of each engine pool, the models and the
// adapters of each user, for runs smaller than today's sizes.
func (c SiteConfig) Resize(engines, models, adapters int) SiteConfig {
	pools := make([]PoolConfig, len(c.Pools))
	copy(pools, c.Pools)
	for i := range pools {
		if pools[i].Kind == ticket.EnginePool {
			pools[i].Servers = engines
		}
	}
	kinds := make([]ModelConfig, len(c.Models))
	copy(kinds, c.Models)
	for i := range kinds {
		kinds[i].Count, kinds[i].Adapters = models, adapters
	}
	c.Pools, c.Models = pools, kinds
	return c
}

// user holds what differs between the two sites.
type user struct {
	places          []fleet.Place
	engines, desk   fleet.PoolID
	model           string
	adapters        int
	loadsPerSecond  float64
	class           ticket.Class
	prices          ticket.Prices
	prefix          string
	lookup, booking string
}

// Sizes that both sites share.
const (
	siteEngines = 20
	siteDesks   = 3
	siteModels  = 100
)

func site(u user) SiteConfig {
	store := DefaultStore()
	store.LoadsPerSecond = u.loadsPerSecond
	timeout := fleet.Duration(10 * time.Second)
	return SiteConfig{
		Store: store, ListLag: 2 * time.Second,
		Pools: []PoolConfig{
			{ID: u.engines, Kind: ticket.EnginePool, Servers: siteEngines, Places: u.places, Engine: DefaultEngine()},
			{
				ID: u.desk, Kind: ticket.ServicePool, Servers: siteDesks, Places: u.places, Prefix: u.prefix,
				Service: ServiceConfig{Delay: 5 * time.Millisecond},
				Routes: []ticket.Route{
					{Method: "GET", Path: u.lookup, Idempotent: true, Timeout: timeout},
					{Method: "POST", Path: u.booking, Timeout: timeout},
				},
			},
		},
		Models: []ModelConfig{{
			Pool: u.engines, Prefix: u.model, Count: siteModels, Adapters: u.adapters,
			Prices: u.prices, Class: u.class, Replicas: ticket.Replicas{Max: 2},
		}},
	}
}

// modelSizes are given to the models of a site in turn.
var modelSizes = []fleet.Bytes{8 * fleet.GiB, 14 * fleet.GiB, 16 * fleet.GiB, 24 * fleet.GiB, 32 * fleet.GiB}

// adapterSize is the accelerator memory of one adapter.
const adapterSize = 128 * fleet.MiB

// ModelName returns the name of a model of a site, counted from 0.
func (m ModelConfig) ModelName(number int) fleet.ModelID {
	return fleet.ModelID(fmt.Sprintf("%s-%03d", m.Prefix, number))
}

// Ticket returns the ticket that deploys everything of a site.
func (c SiteConfig) Ticket(number fleet.TicketNumber, operator string) ticket.Ticket {
	change := ticket.Ticket{
		Number: number, Operator: operator, Reason: "deploy the site",
		Pools:       make(map[fleet.PoolID]*ticket.Pool),
		Deployments: make(map[fleet.ModelID]*ticket.Deployment),
		Services:    make(map[fleet.ServiceID]*ticket.Service),
	}
	for _, pool := range c.Pools {
		change.Pools[pool.ID] = &ticket.Pool{Kind: pool.Kind, ChecksFencing: pool.Engine.ChecksFencing}
		if pool.Kind == ticket.ServicePool {
			change.Services[fleet.ServiceID(pool.ID)] = &ticket.Service{Prefix: pool.Prefix, Pool: pool.ID, Routes: pool.Routes}
		}
	}
	for _, kind := range c.Models {
		for i := range kind.Count {
			change.Deployments[kind.ModelName(i)] = kind.deployment(i)
		}
	}
	return change
}

// Ticket returns the ticket that deploys everything of the site.
func (s *Site) Ticket(number fleet.TicketNumber, operator string) ticket.Ticket {
	return s.config.Ticket(number, operator)
}

// ticketObjects is the largest number of deployments in one ticket.
const ticketObjects = 80

// Tickets returns [SiteConfig.Ticket] in parts that can each be recorded in one
// transaction, numbered from the given number on.
func (c SiteConfig) Tickets(first fleet.TicketNumber, operator string) []ticket.Ticket {
	whole := c.Ticket(first, operator)
	tickets := []ticket.Ticket{whole}
	tickets[0].Deployments = nil
	for names := range slices.Chunk(slices.Sorted(maps.Keys(whole.Deployments)), ticketObjects) {
		part := ticket.Ticket{
			Number: first + fleet.TicketNumber(len(tickets)), Operator: operator, Reason: whole.Reason,
			Deployments: make(map[fleet.ModelID]*ticket.Deployment),
		}
		for _, name := range names {
			part.Deployments[name] = whole.Deployments[name]
		}
		tickets = append(tickets, part)
	}
	return tickets
}

func (m ModelConfig) deployment(number int) *ticket.Deployment {
	deployment := &ticket.Deployment{
		Pool: m.Pool, Version: "1", Size: modelSizes[number%len(modelSizes)], Accelerators: 1,
		Replicas: m.Replicas, Class: m.Class, Prices: m.Prices,
		Adapters: make(map[fleet.AdapterID]ticket.Adapter),
		Timeout:  fleet.Duration(time.Minute), Concurrency: DefaultEngine().Concurrency,
	}
	for adapter := number; adapter < m.Adapters; adapter += m.Count {
		deployment.Adapters[fleet.AdapterID(fmt.Sprintf("style-%03d", adapter))] = ticket.Adapter{Size: adapterSize}
	}
	return deployment
}
