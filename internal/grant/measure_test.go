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

// measureVariable turns on the measurements, which print figures and assert
// nothing but the promises.
const measureVariable = "GRANT_MEASURE"

// TestMeasureConflicts loads 100 models on 20 servers from several nodes at
// once, in one burst and spread over a minute, and counts the transactions that
// met another. One owner per server is the case of one node.
func TestMeasureConflicts(t *testing.T) {
	if os.Getenv(measureVariable) == "" {
		t.Skip("set " + measureVariable + " to measure")
	}
	for _, spread := range []time.Duration{0, 10 * time.Second, time.Minute} {
		for _, nodes := range []int{1, 3, 7} {
			virtual(t, func(t *testing.T) { measureConflicts(t, nodes, spread) })
		}
	}
}

func measureConflicts(t *testing.T, nodes int, spread time.Duration) {
	const models, servers = 100, 20
	s := newSite(t, true, servers, 80*fleet.GiB)
	for i := range models {
		s.deploy(fleet.ModelID(fmt.Sprintf("m%d", i)), 10*fleet.GiB, 1)
	}
	s.table.SetFaults(standin.TableFaults{Delay: 10 * time.Millisecond})
	controllers := make([]*grant.Controller, 0, nodes)
	stops := make([]func(), 0, nodes)
	for i := range nodes {
		controller, stop := s.newNode(fleet.NodeID(fmt.Sprintf("n%d", i)), func(*grant.Controller) {})
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
	s.check()
	for _, stop := range stops {
		stop()
	}
}

// TestMeasureStandingGrants asks which share of the wake-ups of an hour without
// the table standing grants cover, at which reserved memory. Models are called
// on with Zipf weights; those called on within the last ten minutes are loaded
// when the outage begins. Named grants are held for the models called on most;
// blocks are memory that any model fits, with a replica of each model set aside.
func TestMeasureStandingGrants(t *testing.T) {
	if os.Getenv(measureVariable) == "" {
		t.Skip("set " + measureVariable + " to measure")
	}
	const memory, runs = 1600, 200
	for _, share := range []float64{0.05, 0.1, 0.2, 0.4} {
		for _, perHour := range []float64{60, 300} {
			random := rand.New(rand.NewPCG(1, uint64(perHour)))
			var named, blocks, wakeUps int
			for range runs {
				n, b, w := outage(random, share*memory, perHour)
				named, blocks, wakeUps = named+n, blocks+b, wakeUps+w
			}
			t.Logf("reserved %.2f, %3.0f calls/h: %.1f cold models/h, named %.3f, blocks %.3f", share, perHour,
				float64(wakeUps)/runs, float64(named)/float64(wakeUps), float64(blocks)/float64(wakeUps))
		}
	}
}

// outage returns how many wake-ups of one hour named grants and blocks cover.
func outage(random *rand.Rand, reserve, perHour float64) (named, blocks, wakeUps int) {
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
		wakeUps++
		if covered[i] {
			named++
		}
		if free > 0 {
			free--
			blocks++
		}
	}
	return named, blocks, wakeUps
}

// TestMeasureTakeover measures, for both kinds of engine, how long the only
// replica of a model that a dying node was loading stays out of reach. The order
// is lost, deaths fall at random moments and reports lag by a second.
func TestMeasureTakeover(t *testing.T) {
	if os.Getenv(measureVariable) == "" {
		t.Skip("set " + measureVariable + " to measure")
	}
	const deaths = 200
	for _, checksFencing := range []bool{true, false} {
		times := make([]time.Duration, 0, deaths)
		for i := range deaths {
			virtual(t, func(t *testing.T) { times = append(times, takeover(t, checksFencing, uint64(i))) })
		}
		slices.Sort(times)
		t.Logf("checks fencing %t: %d deaths, p50 %s, p99 %s, longest %s", checksFencing, deaths,
			times[deaths/2], times[deaths*99/100], times[deaths-1])
	}
}

func takeover(t *testing.T, checksFencing bool, seed uint64) time.Duration {
	s := newSite(t, checksFencing, 2, 80*fleet.GiB)
	s.deploy("hop", 10*fleet.GiB, 1)
	dying, stop := s.newNode("a", func(c *grant.Controller) { c.Seed = seed + 1 })
	heir, _ := s.newNode("b", func(c *grant.Controller) { c.Seed = seed + 1 })
	random := rand.New(rand.NewPCG(seed, 1))
	time.Sleep(time.Second + time.Duration(random.Int64N(int64(3*time.Second))))
	s.engines["s0"].SetFaults(standin.EngineFaults{DelayOrders: fleet.Duration(time.Hour)})
	if _, err := dying.Load(t.Context(), hop, "s0"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Duration(random.Int64N(int64(3 * time.Second))))
	stop()
	s.change(func() { s.dead["a"] = true })
	s.engines["s0"].SetFaults(standin.EngineFaults{})
	took := eventually(t, "granted again", func() bool {
		_, err := heir.Load(t.Context(), hop, "s1")
		return err == nil
	})
	s.check()
	return took
}

// TestMeasureDomainLoss lets three of seven nodes die at once while each has ten
// loads under way whose orders are lost, and counts what the other four do to
// the table until everything is released.
func TestMeasureDomainLoss(t *testing.T) {
	if os.Getenv(measureVariable) == "" {
		t.Skip("set " + measureVariable + " to measure")
	}
	virtual(t, func(t *testing.T) {
		const nodes, dying, loads = 7, 3, 10
		s := newSite(t, true, 20, 80*fleet.GiB)
		for i := range dying * loads {
			s.deploy(fleet.ModelID(fmt.Sprintf("m%d", i)), 10*fleet.GiB, 1)
		}
		controllers, stops := make([]*grant.Controller, nodes), make([]func(), nodes)
		for i := range nodes {
			controllers[i], stops[i] = s.newNode(fleet.NodeID(fmt.Sprintf("n%d", i)), func(*grant.Controller) {})
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
		s.change(func() {
			for i := range dying {
				s.dead[fleet.NodeID(fmt.Sprintf("n%d", i))] = true
			}
		})
		before, last, peak := s.table.Counts(), s.table.Counts(), 0
		took := eventually(t, "released", func() bool {
			if now := s.table.Counts(); time.Now().Nanosecond() < int(50*time.Millisecond) {
				peak, last = max(peak, now.Writes-last.Writes), now
			}
			return reserved(controllers[nodes-1]) == 0
		})
		after := s.table.Counts()
		t.Logf("%d orders of %d dead nodes: released after %s, %d transactions, %d writes, %d conflicts, %d writes in the busiest second",
			dying*loads, dying, took, after.Transactions-before.Transactions, after.Writes-before.Writes,
			after.Conflicts-before.Conflicts, peak)
		s.check()
		for _, stop := range stops[dying:] {
			stop()
		}
	})
}
