package policy

import (
	"math"
	"time"
)

// Parameters of learning, chosen on the traces for tuning.
const (
	priorWeight   = 2.0  // gaps that the prior counts for
	scoreDecay    = 0.97 // of the evidence for operational time
	meanDecay     = 0.95
	minMeanWeight = 3 // gaps before an item's mean scales the prior
	populationCap = 1 << 20
)

// Pattern is what is known of the gaps between the requests of one item: a
// histogram in wall time and one in operational time. The one that predicted
// the item's gaps better so far is used.
type Pattern struct {
	wall, operational Histogram
	// score is the decayed log likelihood ratio in favour of operational time.
	score float64
	// logMean is the decayed mean of the logarithm of the gap in seconds, and
	// logWeight the number of gaps that it stands for.
	logMean, logWeight float64
	// mean is the decayed mean gap in seconds.
	mean float64
	// crowd is the decayed mean of the time that all requests together waited
	// for a load, in load times; 0 before the first.
	crowd float64
}

// crowdDecay is the weight of older cold starts in the mean of their waiting.
const crowdDecay = 0.8

// ObserveColdStart learns how long all requests together waited for a load.
func (p *Pattern) ObserveColdStart(waited, loadTime time.Duration) {
	crowd := waited.Seconds() / max(loadTime, minLoad).Seconds()
	if p.crowd == 0 {
		p.crowd = crowd
		return
	}
	p.crowd = crowdDecay*p.crowd + (1-crowdDecay)*crowd
}

// Population is what is known of all items together: the course of the load
// over the week and the usual gaps, as priors of items seen rarely.
type Population struct {
	Profile Profile
	// gaps counts the first gaps of items, and shape gaps relative to the
	// item's own mean, in the middle of the range.
	gaps, shape Histogram
}

// NewPopulation returns a population that knows nothing.
func NewPopulation() *Population { return &Population{Profile: newProfile()} }

// shapeCentre is the gap that stands for an item's mean in the shape.
var shapeCentre = binOf(binEdges[binCount/2])

// Observe learns from one gap: the item was idle from the end of its last
// request until the arrival of the next.
func (p *Pattern) Observe(population *Population, idleSince, arrived time.Time) {
	from, until := unixSeconds(idleSince), unixSeconds(arrived)
	gap := max(0, until-from)
	profile := &population.Profile
	passed := max(0, profile.operational(until)-profile.operational(from))
	p.compare(population, gap, passed, profile.speed(until))

	p.learnPopulation(population, arrived, gap, passed)
	p.wall.add(gap, gapDecay)
	p.operational.add(passed, gapDecay)
	weight := 1 / (p.logWeight + 1)
	p.logMean += weight * (math.Log2(max(1, passed)) - p.logMean)
	p.mean += weight * (gap - p.mean)
	p.logWeight = min(p.logWeight+1, 1/(1-meanDecay))
}

// compare updates the score by how likely each histogram made the gap.
func (p *Pattern) compare(population *Population, gap, passed, speed float64) {
	if p.wall.total == 0 {
		return
	}
	wall, operational := p.wall, p.operational
	p.addPrior(population, &wall)
	p.addPrior(population, &operational)
	bin, opBin := binOf(gap), binOf(passed)
	wallDensity := float64(wall.counts[bin]/wall.total) / binWidth(bin)
	opDensity := float64(operational.counts[opBin]/operational.total) / binWidth(opBin) * speed
	ratio := math.Log(max(opDensity, math.SmallestNonzeroFloat32) / max(wallDensity, math.SmallestNonzeroFloat32))
	p.score = scoreDecay*p.score + min(3, max(-3, ratio))
}

// learnPopulation adds the gap to what is known of all items.
func (p *Pattern) learnPopulation(population *Population, arrived time.Time, gap, passed float64) {
	if p.logWeight < minMeanWeight {
		population.gaps.add(passed, 1)
	} else {
		shift := int(math.Round(binsPerOctave * p.logMean))
		centred := min(binCount-1, max(0, binOf(passed)-shift-1+shapeCentre))
		population.shape.add(binEdges[centred], 1)
	}
	mean := p.mean
	if p.logWeight == 0 {
		mean = gap
	}
	if p.score >= 0 {
		population.Profile.add(arrived, mean)
	} else {
		population.Profile.advance(arrived)
	}
	population.gaps.halveAbove(populationCap)
	population.shape.halveAbove(populationCap)
}

// halveAbove halves all counts once the total has reached a limit, so that
// newer gaps keep their weight.
func (h *Histogram) halveAbove(limit float32) {
	if h.total < limit {
		return
	}
	for i := range h.counts {
		h.counts[i] /= 2
	}
	h.total /= 2
}

// addPrior adds the population's distribution, scaled to the item's own mean
// once that is known.
func (p *Pattern) addPrior(population *Population, histogram *Histogram) {
	if p.logWeight >= minMeanWeight && population.shape.total > 0 {
		shift := int(math.Round(binsPerOctave*p.logMean)) + 1 - shapeCentre
		histogram.addShifted(&population.shape, shift, priorWeight)
		return
	}
	histogram.addShifted(&population.gaps, 0, priorWeight)
}

// distribution returns the probability of each bin and the wall time of its
// edges in seconds after the item became idle.
func (p *Pattern) distribution(population *Population, idleSince time.Time) (histogram Histogram, edges [binCount + 1]float64) {
	if p.score >= 0 {
		histogram = p.operational
		population.Profile.wallEdges(unixSeconds(idleSince), &edges)
	} else {
		histogram = p.wall
		edges = binEdges
	}
	p.addPrior(population, &histogram)
	return histogram, edges
}

func unixSeconds(at time.Time) float64 {
	return float64(at.Unix()) + float64(at.Nanosecond())/float64(time.Second)
}
