package trace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Config holds the parameters of a generated trace.
type Config struct {
	Seed     uint64
	Models   int
	Adapters int
	// Span is the length of the trace. It starts on a Monday at 00:00.
	Span time.Duration
	// MaxPerHour is the maximum mean rate of a model, in requests an hour. Models
	// with a higher rate are excluded: they are never idle for long, so every
	// policy keeps them loaded.
	MaxPerHour float64
	// Night is the lowest load at night relative to the mean of the day, and
	// Weekend the load on a Saturday or Sunday relative to a working day.
	Night, Weekend float64
}

// rateQuantiles are points of the cumulative distribution of mean rates: the
// share of items with at most a given rate, in requests a day (Shahrad et al.,
// figure 5: 45% of the applications are invoked at most once an hour and 81% at
// most once a minute; the whole range is eight orders of magnitude).
var rateQuantiles = []struct{ share, perDay float64 }{
	{0, 0.1}, {0.45, 24}, {0.81, 1440}, {1, 1e7},
}

// Shares of the classes of regularity by the coefficient of variation (CV) of
// the gaps between requests (approximate readings of Shahrad et al., figure 6): a
// CV near 0 means a timer, near 1 a Poisson process, above 1 bursts.
const (
	timerShare   = 0.2
	poissonShare = 0.4
	timerJitter  = 0.05 // CV of a timer's gaps
)

// Parameters of bursts, which are generated as sessions of requests in short
// succession.
const (
	minBurst = 2.0
	maxBurst = 20.0 // mean requests in a session
	minPause = 10.0
	maxPause = 120.0 // mean seconds between requests of a session
)

// Parameters of correlated models: in some of the groups of groupSize consecutive
// models, requests for the first model (the leader) are followed by requests for
// the others.
const (
	groupSize         = 10
	followGroupShare  = 0.3  // share of the groups that are correlated
	followChance      = 0.4  // probability that a follower is requested after the leader
	followDelay       = 30.0 // mean seconds between the leader's and the follower's request
	leaderIdleSeconds = 1800 // idle time of the leader after which its next request may be followed again
)

// generator holds the state of the generation of one trace.
type generator struct {
	Config
	rand *rand.Rand
	// cumulative is the operational time at the start of each hour of the week.
	cumulative [hoursPerWeek + 1]float64
	arrivals   []Arrival
}

const (
	hourSeconds  = 3600
	hoursPerDay  = 24
	hoursPerWeek = 168
	daySeconds   = hoursPerDay * hourSeconds
	weekSeconds  = hoursPerWeek * hourSeconds
)

// Generate returns the trace for a configuration, sorted as by [Sort].
func Generate(config Config) []Arrival {
	g := generator{Config: config, rand: rand.New(rand.NewPCG(config.Seed, config.Seed))}
	g.setWeeklyLoad()
	adapters := g.distributeAdapters()
	for model := range config.Models {
		g.generateModel(model, adapters[model])
	}
	Sort(g.arrivals)
	return g.arrivals
}

// setWeeklyLoad computes the cumulative load over the week. The load follows a
// cosine over the day with its maximum at 14:00 and is scaled by Weekend on
// Saturday and Sunday.
func (g *generator) setWeeklyLoad() {
	var weights [hoursPerWeek]float64
	total := 0.0
	for hour := range weights {
		day := 2 * math.Pi * (float64(hour%hoursPerDay) - 14) / hoursPerDay
		weights[hour] = 1 + (1-g.Night)*math.Cos(day)
		if hour/hoursPerDay >= 5 {
			weights[hour] *= g.Weekend
		}
		total += weights[hour]
	}
	sum := 0.0
	for hour, weight := range weights {
		g.cumulative[hour] = sum
		sum += weight / total * weekSeconds
	}
	g.cumulative[hoursPerWeek] = weekSeconds
}

// wallTime converts operational time, in which the load is constant, into time
// since the start of the trace, both in seconds.
func (g *generator) wallTime(operational float64) float64 {
	weeks := math.Floor(operational / weekSeconds)
	rest := operational - weeks*weekSeconds
	low, high := 0, hoursPerWeek
	for high-low > 1 {
		middle := (low + high) / 2
		if g.cumulative[middle] <= rest {
			low = middle
		} else {
			high = middle
		}
	}
	width := g.cumulative[low+1] - g.cumulative[low]
	fraction := 0.0
	if width > 0 {
		fraction = (rest - g.cumulative[low]) / width
	}
	return weeks*weekSeconds + (float64(low)+fraction)*hourSeconds
}

// distributeAdapters draws the number of adapters of each model. A few models
// get most of the adapters.
func (g *generator) distributeAdapters() []int {
	counts := make([]int, g.Models)
	for range g.Adapters {
		u := g.rand.Float64()
		counts[min(g.Models-1, int(u*u*float64(g.Models)))]++
	}
	return counts
}

// drawRate draws the mean rate of a model in requests a second, from the part of
// the distribution up to MaxPerHour.
func (g *generator) drawRate() float64 {
	u := g.rand.Float64() * shareWithRateUpTo(g.MaxPerHour*hoursPerDay)
	for i := 1; i < len(rateQuantiles); i++ {
		low, high := rateQuantiles[i-1], rateQuantiles[i]
		if u <= high.share {
			fraction := (u - low.share) / (high.share - low.share)
			return low.perDay * math.Pow(high.perDay/low.perDay, fraction) / daySeconds
		}
	}
	return g.MaxPerHour / hourSeconds
}

// shareWithRateUpTo returns the share of the items whose mean rate is at most
// perDay.
func shareWithRateUpTo(perDay float64) float64 {
	for i := 1; i < len(rateQuantiles); i++ {
		low, high := rateQuantiles[i-1], rateQuantiles[i]
		if perDay <= high.perDay {
			fraction := math.Log(perDay/low.perDay) / math.Log(high.perDay/low.perDay)
			return low.share + max(0, fraction)*(high.share-low.share)
		}
	}
	return 1
}

// generateModel adds the requests for one model and its adapters.
func (g *generator) generateModel(index, adapters int) {
	name := fleet.ModelID(fmt.Sprintf("model-%04d", index))
	times := g.drawArrivals(g.drawRate())
	popularity := newAdapterPopularity(adapters)
	for _, at := range times {
		g.add(at, fleet.Item{Model: name, Adapter: popularity.draw(g.rand)})
	}
	if index%groupSize == 0 && g.rand.Float64() < followGroupShare {
		g.addFollowers(index, times)
	}
}

// add adds an arrival unless it is outside the span of the trace.
func (g *generator) add(at float64, item fleet.Item) {
	if at >= 0 && at < g.Span.Seconds() {
		g.arrivals = append(g.arrivals, Arrival{At: time.Duration(at * float64(time.Second)), Item: item})
	}
}

// drawArrivals draws the arrival times of one model, in seconds since the start.
func (g *generator) drawArrivals(rate float64) []float64 {
	class := g.rand.Float64()
	switch {
	case class < timerShare:
		return g.timerArrivals(rate)
	case class < timerShare+poissonShare:
		return g.sessionArrivals(rate, 1, 1)
	default:
		size := minBurst * math.Pow(maxBurst/minBurst, g.rand.Float64())
		pause := minPause * math.Pow(maxPause/minPause, g.rand.Float64())
		return g.sessionArrivals(rate, size, pause)
	}
}

// timerArrivals draws the arrivals of a timer, which do not depend on the time of
// day.
func (g *generator) timerArrivals(rate float64) (times []float64) {
	period := 1 / rate
	for at := g.rand.Float64() * period; at < g.Span.Seconds(); {
		times = append(times, at)
		at += period * max(0.01, 1+timerJitter*g.rand.NormFloat64())
	}
	return times
}

// sessionArrivals draws the arrivals of sessions that start as a Poisson process
// in operational time. The number of requests in a session has a geometric
// distribution with mean size; pause is the mean time between them in seconds.
func (g *generator) sessionArrivals(rate, size, pause float64) (times []float64) {
	span := g.Span.Seconds() + weekSeconds
	for at := g.rand.ExpFloat64() * size / rate; at < span; at += g.rand.ExpFloat64() * size / rate {
		start := g.wallTime(at)
		if start >= g.Span.Seconds() {
			return times
		}
		times = append(times, start)
		for g.rand.Float64() > 1/size {
			start += g.rand.ExpFloat64() * pause
			times = append(times, start)
		}
	}
	return times
}

// addFollowers adds correlated requests: after the first request for the leader
// following an idle time, some models of its group are requested shortly after.
func (g *generator) addFollowers(leader int, times []float64) {
	last := math.Inf(-1)
	for _, at := range times {
		afterIdle := at-last > leaderIdleSeconds
		last = at
		if !afterIdle {
			continue
		}
		for follower := leader + 1; follower < min(leader+groupSize, g.Models); follower++ {
			if g.rand.Float64() < followChance {
				item := fleet.Item{Model: fleet.ModelID(fmt.Sprintf("model-%04d", follower))}
				g.add(at+g.rand.ExpFloat64()*followDelay, item)
			}
		}
	}
}

// adapterPopularity is the distribution of a model's requests over its adapters.
type adapterPopularity struct{ cumulative []float64 }

// baseModelShare is the share of requests for the base model itself if the model
// has adapters.
const baseModelShare = 0.2

// newAdapterPopularity weights the adapters by Zipf's law.
func newAdapterPopularity(adapters int) adapterPopularity {
	var p adapterPopularity
	total := 0.0
	for rank := range adapters {
		total += 1 / float64(rank+1)
		p.cumulative = append(p.cumulative, total)
	}
	return p
}

func (p adapterPopularity) draw(random *rand.Rand) fleet.AdapterID {
	if len(p.cumulative) == 0 || random.Float64() < baseModelShare {
		return ""
	}
	u := random.Float64() * p.cumulative[len(p.cumulative)-1]
	for rank, sum := range p.cumulative {
		if u <= sum {
			return fleet.AdapterID(fmt.Sprintf("adapter-%03d", rank))
		}
	}
	return ""
}
