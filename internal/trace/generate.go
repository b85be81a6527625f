package trace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Config describes a made trace.
type Config struct {
	Seed     uint64
	Models   int
	Adapters int
	// Span is the length of the trace. It starts on a Monday at 00:00.
	Span time.Duration
	// MaxPerHour is the greatest mean rate of a model. More frequent ones are
	// left out: they are never idle for long, so every policy keeps them.
	MaxPerHour float64
	// Night is the load at night relative to the mean of the day, and Weekend
	// that of a Saturday or Sunday relative to a working day.
	Night, Weekend float64
}

// Points of the distribution of mean rates: the share of items with at most a
// rate, in requests a day (Shahrad et al., figure 5: 45% of the applications
// are invoked at most once an hour and 81% at most once a minute; the whole
// range is eight orders of magnitude).
var rateQuantiles = []struct{ share, perDay float64 }{
	{0, 0.1}, {0.45, 24}, {0.81, 1440}, {1, 1e7},
}

// Shares of the classes of regularity by the coefficient of variation (CV) of
// the gaps (Shahrad et al., figure 6, read off roughly): near 0 are timers, near
// 1 is a Poisson process, above are bursts.
const (
	timerShare   = 0.2
	poissonShare = 0.4
	timerJitter  = 0.05 // CV of a timer's gaps
)

// Parameters of bursts: sessions of requests close together.
const (
	minBurst = 2.0
	maxBurst = 20.0 // mean requests in a session
	minPause = 10.0
	maxPause = 120.0 // mean seconds between requests of a session
)

// Parameters of models that wake one another: each group of some models follows
// its first one.
const (
	groupSize    = 10
	followShare  = 0.3  // of the groups
	followChance = 0.4  // that a follower is asked for after the leader
	followDelay  = 30.0 // mean seconds
	leaderPause  = 1800 // seconds of idleness after which followers wake anew
)

// generator holds the state of making one trace.
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

// Generate makes a trace.
func Generate(config Config) []Arrival {
	g := generator{Config: config, rand: rand.New(rand.NewPCG(config.Seed, config.Seed))}
	g.course()
	adapters := g.shareAdapters()
	for model := range config.Models {
		g.model(model, adapters[model])
	}
	Sort(g.arrivals)
	return g.arrivals
}

// course sets up the load over the week: a cosine over the day with its top at
// 14:00, scaled down at the weekend.
func (g *generator) course() {
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

// wall converts operational time into time since the start, both in seconds.
func (g *generator) wall(operational float64) float64 {
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

// shareAdapters deals the adapters to models, to few models most of them.
func (g *generator) shareAdapters() []int {
	counts := make([]int, g.Models)
	for range g.Adapters {
		u := g.rand.Float64()
		counts[min(g.Models-1, int(u*u*float64(g.Models)))]++
	}
	return counts
}

// rate draws a mean rate in requests a second, of those up to the greatest.
func (g *generator) rate() float64 {
	u := g.rand.Float64() * shareUpTo(g.MaxPerHour*hoursPerDay)
	for i := 1; i < len(rateQuantiles); i++ {
		low, high := rateQuantiles[i-1], rateQuantiles[i]
		if u <= high.share {
			part := (u - low.share) / (high.share - low.share)
			return low.perDay * math.Pow(high.perDay/low.perDay, part) / daySeconds
		}
	}
	return g.MaxPerHour / hourSeconds
}

// shareUpTo returns the share of the items that have at most a rate.
func shareUpTo(perDay float64) float64 {
	for i := 1; i < len(rateQuantiles); i++ {
		low, high := rateQuantiles[i-1], rateQuantiles[i]
		if perDay <= high.perDay {
			part := math.Log(perDay/low.perDay) / math.Log(high.perDay/low.perDay)
			return low.share + max(0, part)*(high.share-low.share)
		}
	}
	return 1
}

// model makes the requests for one model and its adapters.
func (g *generator) model(index, adapters int) {
	name := fleet.ModelID(fmt.Sprintf("model-%04d", index))
	times := g.times(g.rate())
	popularity := newPopularity(adapters)
	for _, at := range times {
		g.add(at, fleet.Item{Model: name, Adapter: popularity.draw(g.rand)})
	}
	if index%groupSize == 0 && g.rand.Float64() < followShare {
		g.wakeFollowers(index, times)
	}
}

func (g *generator) add(at float64, item fleet.Item) {
	if at >= 0 && at < g.Span.Seconds() {
		g.arrivals = append(g.arrivals, Arrival{At: time.Duration(at * float64(time.Second)), Item: item})
	}
}

// times draws the arrivals of one model, in seconds since the start.
func (g *generator) times(rate float64) []float64 {
	class := g.rand.Float64()
	switch {
	case class < timerShare:
		return g.timer(rate)
	case class < timerShare+poissonShare:
		return g.sessions(rate, 1, 1)
	default:
		size := minBurst * math.Pow(maxBurst/minBurst, g.rand.Float64())
		pause := minPause * math.Pow(maxPause/minPause, g.rand.Float64())
		return g.sessions(rate, size, pause)
	}
}

// timer draws regular arrivals, by day and night alike.
func (g *generator) timer(rate float64) (times []float64) {
	period := 1 / rate
	for at := g.rand.Float64() * period; at < g.Span.Seconds(); {
		times = append(times, at)
		at += period * max(0.01, 1+timerJitter*g.rand.NormFloat64())
	}
	return times
}

// sessions draws sessions as a Poisson process in operational time. A session
// has a geometric number of requests.
func (g *generator) sessions(rate, size, pause float64) (times []float64) {
	span := g.Span.Seconds() + weekSeconds
	for at := g.rand.ExpFloat64() * size / rate; at < span; at += g.rand.ExpFloat64() * size / rate {
		start := g.wall(at)
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

// wakeFollowers adds correlated first requests: when the leader is asked for
// after idleness, some of its group are asked for soon after.
func (g *generator) wakeFollowers(leader int, times []float64) {
	last := math.Inf(-1)
	for _, at := range times {
		first := at-last > leaderPause
		last = at
		if !first {
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

// popularity draws which adapter of a model a request is for.
type popularity struct{ cumulative []float64 }

// baseShare is the share of requests for the base model itself, where it has
// adapters.
const baseShare = 0.2

// newPopularity gives the adapters weights by Zipf's law.
func newPopularity(adapters int) popularity {
	var p popularity
	total := 0.0
	for rank := range adapters {
		total += 1 / float64(rank+1)
		p.cumulative = append(p.cumulative, total)
	}
	return p
}

func (p popularity) draw(random *rand.Rand) fleet.AdapterID {
	if len(p.cumulative) == 0 || random.Float64() < baseShare {
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
