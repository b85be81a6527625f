package grant_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/internal/grant"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// measureVariable names the environment variable that enables the measurements.
// They print figures and assert only the invariants of the ledger.
const measureVariable = "GRANT_MEASURE"

// TestMeasureConflicts loads 100 models on 20 servers from several nodes at
// once, in one burst and spread over up to a minute, and counts the transactions
// that conflicted with another one. The runs with one node show the case of one
// owner per server.
func TestMeasureConflicts(t *testing.T) {
	if os.Getenv(measureVariable) == "" {
		t.Skip("set " + measureVariable + " to measure")
	}
	for _, spread := range []time.Duration{0, 10 * time.Second, time.Minute} {
		for _, nodes := range []int{1, 3, 7} {
			inVirtualTime(t, func(t *testing.T) { measureConflicts(t, nodes, spread) })
		}
	}
}

func measureConflicts(t *testing.T, nodes int, spread time.Duration) {
	const models, servers = 100, 20
	s := newCluster(t, true, servers, 80*fleet.GiB)
	for i := range models {
		s.deploy(fleet.ModelID(fmt.Sprintf("m%d", i)), 10*fleet.GiB, 1)
	}
	s.table.SetFaults(standin.TableFaults{Delay: 10 * time.Millisecond})
	controllers := make([]*grant.Controller, 0, nodes)
	stops := make([]func(), 0, nodes)
	for i := range nodes {
		controller, stop := s.startConfiguredNode(fleet.NodeID(fmt.Sprintf("n%d", i)), func(*grant.Controller) {})
		controllers, stops = append(controllers, controller), append(stops, stop)
	}
	time.Sleep(5 * time.Second)
	random := rand.New(rand.NewPCG(1, uint64(nodes)))
	var (
		all   sync.WaitGroup
		mu    sync.Mutex
		times []time.Duration
		fails int
	)
	for i := range models {
		model := fleet.ModelID(fmt.Sprintf("m%d", i))
		server := s.vms[i%servers].ID
		wait := time.Duration(random.Float64() * float64(spread))
		all.Go(func() {
			time.Sleep(wait)
			began := time.Now()
			_, err := controllers[i%nodes].Load(context.Background(), fleet.Item{Model: model}, server)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				fails++
				return
			}
			times = append(times, time.Since(began))
		})
	}
	all.Wait()
	slices.Sort(times)
	conflicts := int64(0)
	for _, controller := range controllers {
		conflicts += metrics.GetOrRegisterCounter("grants.conflicts", controller.Metrics).Count()
	}
	t.Logf("nodes %d, spread %s: %d loads, %d refused, %d conflicts, p50 %s, p99 %s",
		nodes, spread, len(times), fails, conflicts, times[len(times)/2], times[len(times)*99/100])
	s.checkLedger()
	for _, stop := range stops {
		stop()
	}
}

// TestMeasureStandingGrants simulates a table outage of one hour and measures
// the share of cold loads that standing grants cover, by the share of memory
// reserved. Models are requested with Zipf weights; those requested within the
// last ten minutes are loaded when the outage begins. Named grants are reserved
// for the most requested models; blocks are memory in which any model fits, with
// one replica of each model's decided number reserved too.
func TestMeasureStandingGrants(t *testing.T) {
	if os.Getenv(measureVariable) == "" {
		t.Skip("set " + measureVariable + " to measure")
	}
	const memory, runs = 1600, 200
	for _, share := range []float64{0.05, 0.1, 0.2, 0.4} {
		for _, perHour := range []float64{60, 300} {
			random := rand.New(rand.NewPCG(1, uint64(perHour)))
			var named, blocks, coldLoads int
			for range runs {
				n, b, w := simulateOutage(random, share*memory, perHour)
				named, blocks, coldLoads = named+n, blocks+b, coldLoads+w
			}
			t.Logf("reserved %.2f, %3.0f calls/h: %.1f cold models/h, named %.3f, blocks %.3f", share, perHour,
				float64(coldLoads)/runs, float64(named)/float64(coldLoads), float64(blocks)/float64(coldLoads))
		}
	}
}

// simulateOutage returns the number of cold loads in an outage of one hour, and
// how many of them named grants and blocks cover.
func simulateOutage(random *rand.Rand, reserve, perHour float64) (named, blocks, coldLoads int) {
	const models, blockSize, keepAlive = 100, 24.0, 1.0 / 6
	sizes, weights, total := make([]float64, models), make([]float64, models), 0.0
	for i := range models {
		sizes[i] = []float64{6, 10, 16, 24}[random.IntN(4)]
		weights[i] = 1 / float64(i+1)
		total += weights[i]
	}
	calls := func(hours float64) map[int]bool {
		called := make(map[int]bool)
		for at := random.ExpFloat64() / perHour; at < hours; at += random.ExpFloat64() / perHour {
			draw, i := random.Float64()*total, 0
			for draw > weights[i] {
				draw, i = draw-weights[i], i+1
			}
			called[i] = true
		}
		return called
	}
	loaded := calls(keepAlive)
	covered, left := make(map[int]bool), reserve
	for i := range models {
		if !loaded[i] && sizes[i] <= left {
			covered[i], left = true, left-sizes[i]
		}
	}
	free := int(reserve / blockSize)
	for i := range calls(1) {
		if loaded[i] {
			continue
		}
		coldLoads++
		if covered[i] {
			named++
		}
		if free > 0 {
			free--
			blocks++
		}
	}
	return named, blocks, coldLoads
}

// TestMeasureTakeover measures, for engines with and without fencing, how long
// the only replica of a model can't be loaded after the node that was loading it
// has died. The order is lost, nodes die at random times and reports lag by a
// second.
func TestMeasureTakeover(t *testing.T) {
	if os.Getenv(measureVariable) == "" {
		t.Skip("set " + measureVariable + " to measure")
	}
	const deaths = 200
	for _, checksFencing := range []bool{true, false} {
		times := make([]time.Duration, 0, deaths)
		for i := range deaths {
			inVirtualTime(t, func(t *testing.T) { times = append(times, measureTakeover(t, checksFencing, uint64(i))) })
		}
		slices.Sort(times)
		t.Logf("checks fencing %t: %d deaths, p50 %s, p99 %s, longest %s", checksFencing, deaths,
			times[deaths/2], times[deaths*99/100], times[deaths-1])
	}
}

func measureTakeover(t *testing.T, checksFencing bool, seed uint64) time.Duration {
	s := newCluster(t, checksFencing, 2, 80*fleet.GiB)
	s.deploy("hop", 10*fleet.GiB, 1)
	dying, stop := s.startConfiguredNode("a", func(c *grant.Controller) { c.Seed = seed + 1 })
	successor, _ := s.startConfiguredNode("b", func(c *grant.Controller) { c.Seed = seed + 1 })
	random := rand.New(rand.NewPCG(seed, 1))
	time.Sleep(time.Second + time.Duration(random.Int64N(int64(3*time.Second))))
	s.engines["s0"].SetFaults(standin.EngineFaults{DelayOrders: fleet.Duration(time.Hour)})
	if _, err := dying.Load(t.Context(), hop, "s0"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Duration(random.Int64N(int64(3 * time.Second))))
	stop()
	s.update(func() { s.dead["a"] = true })
	s.engines["s0"].SetFaults(standin.EngineFaults{})
	took := eventually(t, "granted again", func() bool {
		_, err := successor.Load(t.Context(), hop, "s1")
		return err == nil
	})
	s.checkLedger()
	return took
}

// TestMeasureDomainLoss stops three of seven nodes at once while each has ten
// loads in progress whose orders are lost, and counts the transactions and
// writes of the other four until all grants are released.
func TestMeasureDomainLoss(t *testing.T) {
	if os.Getenv(measureVariable) == "" {
		t.Skip("set " + measureVariable + " to measure")
	}
	inVirtualTime(t, func(t *testing.T) {
		const nodes, dying, loads = 7, 3, 10
		s := newCluster(t, true, 20, 80*fleet.GiB)
		for i := range dying * loads {
			s.deploy(fleet.ModelID(fmt.Sprintf("m%d", i)), 10*fleet.GiB, 1)
		}
		controllers, stops := make([]*grant.Controller, nodes), make([]func(), nodes)
		for i := range nodes {
			controllers[i], stops[i] = s.startConfiguredNode(fleet.NodeID(fmt.Sprintf("n%d", i)), func(*grant.Controller) {})
		}
		time.Sleep(5 * time.Second)
		for _, e := range s.engines {
			e.SetFaults(standin.EngineFaults{DelayOrders: fleet.Duration(time.Hour)})
		}
		for i := range dying * loads {
			item := fleet.Item{Model: fleet.ModelID(fmt.Sprintf("m%d", i))}
			if _, err := controllers[i%dying].Load(t.Context(), item, s.vms[i%len(s.vms)].ID); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(2 * time.Second) // until all nodes have read the records
		for i := range dying {
			stops[i]()
		}
		s.update(func() {
			for i := range dying {
				s.dead[fleet.NodeID(fmt.Sprintf("n%d", i))] = true
			}
		})
		before, last, peak := s.table.Counts(), s.table.Counts(), 0
		took := eventually(t, "released", func() bool {
			if now := s.table.Counts(); time.Now().Nanosecond() < int(50*time.Millisecond) {
				peak, last = max(peak, now.Writes-last.Writes), now
			}
			return totalReserved(controllers[nodes-1]) == 0
		})
		after := s.table.Counts()
		t.Logf("%d orders of %d dead nodes: released after %s, %d transactions, %d writes, %d conflicts, %d writes in the busiest second",
			dying*loads, dying, took, after.Transactions-before.Transactions, after.Writes-before.Writes,
			after.Conflicts-before.Conflicts, peak)
		s.checkLedger()
		for _, stop := range stops[dying:] {
			stop()
		}
	})
}
