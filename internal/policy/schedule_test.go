package policy_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/guavatrack/guavatrack/internal/policy"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

var monday = time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)

// observeGaps adds requests at the given times, each served in one second, to a
// pattern and returns the end of the last one.
func observeGaps(pattern *policy.Pattern, population *policy.Population, arrivals []time.Time) time.Time {
	for i := 1; i < len(arrivals); i++ {
		pattern.Observe(population, arrivals[i-1].Add(time.Second), arrivals[i])
	}
	return arrivals[len(arrivals)-1].Add(time.Second)
}

// periodicArrivals returns arrivals at a fixed period.
func periodicArrivals(period time.Duration, count int) []time.Time {
	times := make([]time.Time, count)
	for i := range times {
		times[i] = monday.Add(time.Duration(i) * period)
	}
	return times
}

// poissonArrivals returns arrivals of a Poisson process with a mean gap.
func poissonArrivals(meanGap time.Duration, count int) []time.Time {
	random := rand.New(rand.NewPCG(1, 1))
	times := make([]time.Time, count)
	at := monday
	for i := range times {
		at = at.Add(2*time.Second + time.Duration(random.ExpFloat64()*float64(meanGap)))
		times[i] = at
	}
	return times
}

var testCosts = policy.Costs{ColdStart: 0.3, HoldPerSecond: 2.0 / 3600, LoadTime: 10 * time.Second}

func TestFrequentItemStaysLoaded(t *testing.T) {
	c := qt.New(t)
	var pattern policy.Pattern
	population := policy.NewPopulation()
	idle := observeGaps(&pattern, population, poissonArrivals(time.Minute, 300))
	schedule := pattern.Schedule(population, idle, testCosts)
	loaded, until := schedule.At(0)
	c.Assert(loaded, qt.IsTrue)
	c.Assert(until > time.Minute, qt.IsTrue, qt.Commentf("%v", schedule))
}

// TestPeriodicItemIsPrewarmed has other requests besides the periodic ones.
// Without them the profile of the day would be that of the periodic item
// itself.
func TestPeriodicItemIsPrewarmed(t *testing.T) {
	c := qt.New(t)
	var pattern, other policy.Pattern
	population := policy.NewPopulation()
	observeGaps(&other, population, poissonArrivals(10*time.Minute, 7200))
	idle := observeGaps(&pattern, population, periodicArrivals(6*time.Hour, 200))
	schedule := pattern.Schedule(population, idle, policy.Costs{ColdStart: 3, HoldPerSecond: 1.0 / 3600, LoadTime: 10 * time.Second})
	loaded, _ := schedule.At(time.Hour)
	c.Assert(loaded, qt.IsFalse, qt.Commentf("%v", schedule))
	loaded, _ = schedule.At(6*time.Hour - time.Second)
	c.Assert(loaded, qt.IsTrue, qt.Commentf("%v", schedule))
}

// TestItemIsNotHeldOvernight has requests about every half hour in the daytime
// only.
func TestItemIsNotHeldOvernight(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	var arrivals []time.Time
	for day := range 28 {
		for at := 8 * time.Hour; at < 18*time.Hour; at += time.Duration(random.ExpFloat64() * float64(30*time.Minute)) {
			arrivals = append(arrivals, monday.AddDate(0, 0, day).Add(at))
		}
	}
	var pattern policy.Pattern
	population := policy.NewPopulation()
	evening := observeGaps(&pattern, population, arrivals)
	costs := policy.Costs{ColdStart: 3, HoldPerSecond: 2.0 / 3600, LoadTime: 10 * time.Second}
	schedule := pattern.Schedule(population, evening, costs)
	midnight := monday.AddDate(0, 0, 28).Sub(evening)
	loaded, _ := schedule.At(midnight + 2*time.Hour)
	c.Assert(loaded, qt.IsFalse, qt.Commentf("%v", schedule))
	noon := monday.AddDate(0, 0, 27).Add(12 * time.Hour)
	schedule = pattern.Schedule(population, noon, costs)
	loaded, _ = schedule.At(30 * time.Minute)
	c.Assert(loaded, qt.IsTrue, qt.Commentf("%v", schedule))
}

func TestItemWithoutHistoryIsKeptUntilBreakEven(t *testing.T) {
	c := qt.New(t)
	var pattern policy.Pattern
	schedule := pattern.Schedule(policy.NewPopulation(), monday, testCosts)
	c.Assert(schedule.Windows, qt.DeepEquals, []policy.Window{{From: 0, To: 9 * time.Minute}})
}

func TestScheduleCostsNoMoreThanDropping(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var pattern policy.Pattern
		population := policy.NewPopulation()
		at := monday
		count := rapid.IntRange(1, 60).Draw(t, "count")
		arrivals := make([]time.Time, 1, count+1)
		arrivals[0] = at
		for range count {
			at = at.Add(time.Duration(rapid.IntRange(2, 100_000).Draw(t, "gap")) * time.Second)
			arrivals = append(arrivals, at)
		}
		idle := observeGaps(&pattern, population, arrivals)
		costs := policy.Costs{
			ColdStart:     rapid.Float64Range(0, 10).Draw(t, "cold"),
			HoldPerSecond: rapid.Float64Range(0, 0.01).Draw(t, "hold"),
			LoadTime:      time.Duration(rapid.IntRange(0, 600).Draw(t, "load")) * time.Second,
		}
		schedule := pattern.Schedule(population, idle, costs)
		if schedule.ExpectedCost > costs.ColdStart*(1+1e-6)+1e-9 {
			t.Fatalf("expected cost %g exceeds the cost %g of unloading at once", schedule.ExpectedCost, costs.ColdStart)
		}
		last := time.Duration(0)
		for _, window := range schedule.Windows {
			if window.From < last || window.To <= window.From {
				t.Fatalf("windows out of order: %v", schedule.Windows)
			}
			last = window.To
		}
	})
}

func TestPatternsRoundTripThroughEncoding(t *testing.T) {
	c := qt.New(t)
	var pattern policy.Pattern
	population := policy.NewPopulation()
	idle := observeGaps(&pattern, population, periodicArrivals(20*time.Minute, 100))
	item := fleet.ParseItem("m0:a")
	body := policy.AppendPatterns(nil, map[fleet.Item]*policy.Pattern{item: &pattern})
	c.Assert(len(body) < 200, qt.IsTrue, qt.Commentf("%d bytes", len(body)))
	patterns, err := policy.ReadPatterns(body)
	c.Assert(err, qt.IsNil)
	before := pattern.Schedule(population, idle, testCosts)
	after := patterns[item].Schedule(population, idle, testCosts)
	c.Assert(after.Windows, qt.DeepEquals, before.Windows)
	for length := 1; length < len(body); length++ {
		_, err := policy.ReadPatterns(body[:length])
		c.Assert(err, qt.IsNotNil)
	}
}

func TestScalingHasHysteresis(t *testing.T) {
	c := qt.New(t)
	var state policy.ScalingState
	step := func(replicas, running, seconds int) (want int) {
		utilisation := policy.Utilisation{Replicas: replicas, Running: running, Concurrency: 10}
		want, state = state.Step(utilisation, 0, 4, monday.Add(time.Duration(seconds)*time.Second))
		return want
	}
	c.Assert(step(1, 9, 0), qt.Equals, 1)
	c.Assert(step(1, 9, 9), qt.Equals, 1)
	c.Assert(step(1, 9, 10), qt.Equals, 2)
	c.Assert(step(2, 9, 20), qt.Equals, 2) // neither high nor low
	c.Assert(step(2, 1, 30), qt.Equals, 2)
	c.Assert(step(2, 5, 200), qt.Equals, 2) // no longer low
	c.Assert(step(2, 1, 300), qt.Equals, 2)
	c.Assert(step(2, 1, 599), qt.Equals, 2)
	c.Assert(step(2, 1, 600), qt.Equals, 1)
	c.Assert(step(1, 0, 10_000), qt.Equals, 1) // the last replica is left to the schedule
}
