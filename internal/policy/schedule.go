package policy

import (
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// Costs are the two costs of an item that its schedule balances.
type Costs struct {
	// ColdStart is the cost of one cold start.
	ColdStart float64
	// HoldPerSecond is the cost of keeping the idle item loaded for a second.
	HoldPerSecond float64
	// LoadTime is the duration of a load, during which the item already
	// occupies its memory.
	LoadTime time.Duration
}

// CostsOf returns the costs of an item at the prices of its deployment, with
// the load time as duration of a cold start. The cost of holding an adapter is
// its fraction of the memory of its base model.
func CostsOf(deployment *ticket.Deployment, item fleet.Item, loadTime time.Duration) Costs {
	hold := deployment.Prices.AcceleratorHour * float64(max(1, deployment.Accelerators)) / time.Hour.Seconds()
	if item.IsAdapter() && deployment.Size > 0 {
		hold *= min(1, float64(deployment.Adapters[item.Adapter].Size)/float64(deployment.Size))
	}
	return Costs{
		ColdStart:     deployment.Prices.ColdStartSecond * loadTime.Seconds(),
		HoldPerSecond: hold,
		LoadTime:      loadTime,
	}
}

// Window is a period in which an idle item is to be loaded, relative to the end
// of its last request.
type Window struct {
	From, To time.Duration
}

// maxWindows is the maximum number of windows in a schedule.
const maxWindows = 4

// Schedule tells when an item is to be loaded while no request arrives. The
// first window starts at 0 if the item is kept alive. A later window is a
// prewarm for requests that are expected in it.
type Schedule struct {
	Windows []Window
	// ExpectedCost is the expected cost of the idle time and of the next cold
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

// Schedule returns the windows with the lowest expected cost for an item that
// became idle at the given time. They are the optimum of a Markov decision
// process over the bins: in each bin a loaded item is kept or unloaded, and an
// absent one is left or loaded.
func (p *Pattern) Schedule(population *Population, idleSince time.Time, costs Costs) Schedule {
	costs.ColdStart *= max(1, p.meanWaitRatio)
	histogram, edges := p.distribution(population, idleSince)
	if histogram.total == 0 {
		keep := breakEvenKeepAlive(costs)
		return Schedule{Windows: []Window{{0, keep}}, ExpectedCost: costs.ColdStart}
	}
	decisions := optimise(&histogram, &edges, costs)
	return Schedule{
		Windows:      decisions.windows(&edges),
		ExpectedCost: decisions.cost / float64(histogram.total),
	}
}

// DropCost returns the expected additional cost of unloading a loaded item now
// instead of following its schedule.
func (p *Pattern) DropCost(population *Population, idleSince, now time.Time, costs Costs) float64 {
	costs.ColdStart *= max(1, p.meanWaitRatio)
	histogram, edges := p.distribution(population, idleSince)
	if histogram.total == 0 {
		return costs.ColdStart
	}
	d := optimise(&histogram, &edges, costs)
	idle := now.Sub(idleSince).Seconds()
	bin := 0
	for bin < binCount-1 && edges[bin+1] <= idle {
		bin++
	}
	return d.holdGain[bin]
}

// breakEvenKeepAlive returns the time for which holding an item costs as much
// as one cold start. Without observed gaps, no other keep-alive time has a
// better worst case.
func breakEvenKeepAlive(costs Costs) time.Duration {
	if costs.HoldPerSecond <= 0 {
		return maxKeepAlive
	}
	return min(maxKeepAlive, time.Duration(costs.ColdStart/costs.HoldPerSecond*float64(time.Second)))
}

// decisions contains the choice in each bin.
type decisions struct {
	hold [binCount]bool // a loaded item is kept
	load [binCount]bool // an absent item is loaded
	// holdGain is the expected saving of holding a loaded item over unloading
	// it, given that the bin is reached.
	holdGain [binCount]float64
	cost     float64 // expected cost of a loaded item at idle time 0, not normalised
}

// optimise computes the decisions backward from the last bin. Costs are
// weighted by the probability mass that reaches a bin.
func optimise(histogram *Histogram, edges *[binCount + 1]float64, costs Costs) (d decisions) {
	loadedCost, absentCost, survivors := 0.0, 0.0, 0.0
	loadHoldCost := costs.HoldPerSecond * costs.LoadTime.Seconds()
	for bin := binCount - 1; bin >= 0; bin-- {
		mass := float64(histogram.counts[bin])
		width := edges[bin+1] - edges[bin]
		binCost := costs.HoldPerSecond * width * (survivors + mass/2)
		survivors += mass
		holdCost := binCost + loadedCost
		leaveCost := mass*costs.ColdStart + absentCost
		loadCost := survivors*loadHoldCost + holdCost
		d.hold[bin] = holdCost <= min(leaveCost, loadCost)
		d.load[bin] = loadCost < leaveCost
		absentCost = min(leaveCost, loadCost)
		if survivors > 0 {
			d.holdGain[bin] = max(0, absentCost-holdCost) / survivors
		}
		loadedCost = min(holdCost, absentCost)
	}
	d.cost = loadedCost
	return d
}

// windows follows the decisions forward, starting with a loaded item.
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

// maxScheduleTime bounds the times in a schedule.
const maxScheduleTime = 365 * 24 * time.Hour

// seconds converts seconds to a duration of at most maxScheduleTime.
func seconds(span float64) time.Duration {
	return time.Duration(min(span, maxScheduleTime.Seconds()) * float64(time.Second))
}
