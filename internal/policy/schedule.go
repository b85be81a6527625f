package policy

import (
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// Costs are the two costs of an item that its schedule trades off.
type Costs struct {
	// Cold is the price of one cold start.
	Cold float64
	// HoldPerSecond is the price of holding the idle item for a second.
	HoldPerSecond float64
	// LoadTime is how long a load takes. An item holds its memory meanwhile.
	LoadTime time.Duration
}

// CostsOf returns the costs of an item whose cold start takes the load time, at
// the prices of its deployment. An adapter pays for its part of the memory of
// its base model.
func CostsOf(deployment *ticket.Deployment, item fleet.Item, loadTime time.Duration) Costs {
	hold := deployment.Prices.AcceleratorHour * float64(max(1, deployment.Accelerators)) / time.Hour.Seconds()
	if item.IsAdapter() && deployment.Size > 0 {
		hold *= min(1, float64(deployment.Adapters[item.Adapter].Size)/float64(deployment.Size))
	}
	return Costs{
		Cold:          deployment.Prices.ColdStartSecond * loadTime.Seconds(),
		HoldPerSecond: hold,
		LoadTime:      loadTime,
	}
}

// Window is a span in which an idle item is to be loaded, relative to the end
// of its last request.
type Window struct {
	From, To time.Duration
}

// maxWindows is the number of windows in a schedule.
const maxWindows = 4

// Schedule says when an item is to be loaded while no request arrives. The
// first window starts at 0 if the item is kept alive; a later one is a wake-up
// ahead of the requests that are expected in it.
type Schedule struct {
	Windows []Window
	// ExpectedCost is the expected price of the idle time and of the next cold
	// start.
	ExpectedCost float64
}

// At returns whether the item is to be loaded at an idle time and when that
// changes; until is 0 if it does not change any more.
func (s *Schedule) At(idle time.Duration) (loaded bool, until time.Duration) {
	for _, window := range s.Windows {
		if idle < window.From {
			return false, window.From
		}
		if idle < window.To {
			return true, window.To
		}
	}
	return false, 0
}

// Schedule returns the windows of least expected cost for an item that became
// idle at a time. It is the optimum of a Markov decision over the bins: in each
// a loaded item is held or dropped, and an absent one is left or loaded.
func (p *Pattern) Schedule(population *Population, idleSince time.Time, costs Costs) Schedule {
	costs.Cold *= max(1, p.crowd)
	histogram, edges := p.distribution(population, idleSince)
	if histogram.total == 0 {
		keep := breakEven(costs)
		return Schedule{Windows: []Window{{0, keep}}, ExpectedCost: costs.Cold}
	}
	decisions := decide(&histogram, &edges, costs)
	return Schedule{
		Windows:      decisions.windows(&edges),
		ExpectedCost: decisions.cost / float64(histogram.total),
	}
}

// DropCost returns what dropping a loaded item now is expected to cost more
// than to go on by its schedule.
func (p *Pattern) DropCost(population *Population, idleSince, now time.Time, costs Costs) float64 {
	costs.Cold *= max(1, p.crowd)
	histogram, edges := p.distribution(population, idleSince)
	if histogram.total == 0 {
		return costs.Cold
	}
	d := decide(&histogram, &edges, costs)
	idle := now.Sub(idleSince).Seconds()
	bin := 0
	for bin < binCount-1 && edges[bin+1] <= idle {
		bin++
	}
	return d.gain[bin]
}

// breakEven is how long it costs as much to hold an item as to load it again.
// Without knowledge of the gaps no other keep-alive has a better worst case.
func breakEven(costs Costs) time.Duration {
	if costs.HoldPerSecond <= 0 {
		return maxKeepAlive
	}
	return min(maxKeepAlive, time.Duration(costs.Cold/costs.HoldPerSecond*float64(time.Second)))
}

// decisions holds the choice in each bin.
type decisions struct {
	hold [binCount]bool // a loaded item stays
	load [binCount]bool // an absent item is loaded
	// gain is what holding a loaded item saves over dropping it, given that the
	// bin is reached.
	gain [binCount]float64
	cost float64 // of a loaded item at idle time 0, not normalised
}

// decide works backward from the last bin. Costs are weighted by the mass that
// reaches a bin.
func decide(histogram *Histogram, edges *[binCount + 1]float64, costs Costs) (d decisions) {
	loaded, absent, survivors := 0.0, 0.0, 0.0
	loadPrice := costs.HoldPerSecond * costs.LoadTime.Seconds()
	for bin := binCount - 1; bin >= 0; bin-- {
		mass := float64(histogram.counts[bin])
		width := edges[bin+1] - edges[bin]
		held := costs.HoldPerSecond * width * (survivors + mass/2)
		survivors += mass
		stay := held + loaded
		away := mass*costs.Cold + absent
		ahead := survivors*loadPrice + stay
		d.hold[bin] = stay <= min(away, ahead)
		d.load[bin] = ahead < away
		absent = min(away, ahead)
		if survivors > 0 {
			d.gain[bin] = max(0, absent-stay) / survivors
		}
		loaded = min(stay, absent)
	}
	d.cost = loaded
	return d
}

// windows follows the decisions forward from a loaded item.
func (d *decisions) windows(edges *[binCount + 1]float64) (windows []Window) {
	isLoaded, from := true, 0.0
	for bin := range binCount {
		switch {
		case isLoaded && !d.hold[bin]:
			if edges[bin] > from {
				windows = append(windows, window(from, edges[bin]))
			}
			isLoaded = false
			if len(windows) == maxWindows {
				return windows
			}
		case !isLoaded && d.load[bin]:
			isLoaded, from = true, edges[bin]
		}
	}
	if isLoaded {
		windows = append(windows, window(from, edges[binCount]))
	}
	return windows
}

func window(from, to float64) Window {
	return Window{seconds(from), seconds(to)}
}

// maxSchedule bounds the times in a schedule.
const maxSchedule = 365 * 24 * time.Hour

func seconds(span float64) time.Duration {
	return time.Duration(min(span, maxSchedule.Seconds()) * float64(time.Second))
}
