package policy

import (
	"math"
	"time"
)

// Bins of a histogram of gaps. They are spaced by the logarithm of the gap,
// from one second to more than a week.
const (
	binsPerOctave = 4
	binCount      = 80
	firstEdge     = time.Second
)

// binEdges contains the lower edges of the bins, in seconds. Bin 0 starts at 0
// and the last bin has no upper edge.
var binEdges = func() (edges [binCount + 1]float64) {
	for i := 1; i <= binCount; i++ {
		edges[i] = firstEdge.Seconds() * math.Exp2(float64(i-1)/binsPerOctave)
	}
	return edges
}()

// binOf returns the bin of a gap in seconds.
func binOf(gap float64) int {
	if gap < firstEdge.Seconds() {
		return 0
	}
	return min(binCount-1, 1+int(binsPerOctave*math.Log2(gap/firstEdge.Seconds())))
}

// binWidth returns the width of a bin in seconds.
func binWidth(bin int) float64 { return binEdges[bin+1] - binEdges[bin] }

// Weights of an observation in its own bin and in each neighbouring bin.
const (
	centreWeight    = 0.5
	neighbourWeight = 0.25
)

// gapDecay is the factor by which the weight of older gaps decreases with each
// new one.
const gapDecay = 0.995

// Histogram counts gaps in logarithmically spaced bins. Older gaps have less
// weight.
type Histogram struct {
	counts [binCount]float32
	total  float32
}

// add counts a gap, in seconds, after scaling the earlier counts by decay.
func (h *Histogram) add(gap float64, decay float32) {
	if decay != 1 {
		for i := range h.counts {
			h.counts[i] *= decay
		}
	}
	bin := binOf(gap)
	h.counts[bin] += centreWeight
	h.counts[max(0, bin-1)] += neighbourWeight
	h.counts[min(binCount-1, bin+1)] += neighbourWeight
	h.total = h.total*decay + 1
}

// addShifted adds the distribution of another histogram, shifted by a number of
// bins and scaled to a total of weight.
func (h *Histogram) addShifted(other *Histogram, shift int, weight float32) {
	if other.total == 0 {
		return
	}
	scale := weight / other.total
	for i, count := range other.counts {
		h.counts[min(binCount-1, max(0, i+shift))] += scale * count
	}
	h.total += weight
}
