package policy

import (
	"math"
	"time"
)

// Parameters of learning, selected on the tuning traces.
const (
	priorWeight   = 2.0  // weight of the prior, in gaps
	scoreDecay    = 0.97 // factor of the score per gap
	meanDecay     = 0.95
	minMeanWeight = 3 // gaps from which an item's mean scales the prior
	populationCap = 1 << 20
)

// Pattern models the gaps between the requests of one item by two histograms,
// one in wall time and one in operational time (see [Profile]). Predictions use
// the one that has predicted the item's gaps better so far.
type Pattern struct {
	wall, operational Histogram
	// score is the decayed log likelihood ratio in favour of operational time.
	score float64
	// logMean is the decayed mean of the base-2 logarithm of the gap in seconds
	// of operational time, and logWeight the number of gaps that it represents.
	logMean, logWeight float64
	// mean is the decayed mean gap in seconds.
	mean float64
	// meanWaitRatio is the decayed mean of the time that all requests together
	// waited for a load, in multiples of the load time. It is 0 before the
	// first observation.
	meanWaitRatio float64
}

// waitRatioDecay is the weight of the earlier mean when a cold start is added.
const waitRatioDecay = 0.8

// ObserveColdStart records how long all requests together waited for a load.
func (p *Pattern) ObserveColdStart(waited, loadTime time.Duration) {
	ratio := waited.Seconds() / max(loadTime, minLoadTime).Seconds()
	if p.meanWaitRatio == 0 {
		p.meanWaitRatio = ratio
		return
	}
	p.meanWaitRatio = waitRatioDecay*p.meanWaitRatio + (1-waitRatioDecay)*ratio
}

// Population is the model of all items together: the profile of the load over
// the week and the usual gaps, which serve as prior for items with few
// requests.
type Population struct {
	Profile Profile
	// gaps contains the first gaps of items. shape contains gaps relative to
	// the item's own mean, which is placed at shapeCentre in the middle of the
	// range.
	gaps, shape Histogram
}

// NewPopulation returns a population without observations.
func NewPopulation() *Population { return &Population{Profile: newProfile()} }

// shapeCentre is the bin of shape that represents a gap of the item's mean.
var shapeCentre = binOf(binEdges[binCount/2])

// Observe records one gap: the time from the end of the item's last request
// until the arrival of the next, during which it was idle.
func (p *Pattern) Observe(population *Population, idleSince, arrived time.Time) {
	from, until := unixSeconds(idleSince), unixSeconds(arrived)
	gap := max(0, until-from)
	profile := &population.Profile
	operationalGap := max(0, profile.operational(until)-profile.operational(from))
	p.updateScore(population, gap, operationalGap, profile.speed(until))

	p.updatePopulation(population, arrived, gap, operationalGap)
	p.wall.add(gap, gapDecay)
	p.operational.add(operationalGap, gapDecay)
	weight := 1 / (p.logWeight + 1)
	p.logMean += weight * (math.Log2(max(1, operationalGap)) - p.logMean)
	p.mean += weight * (gap - p.mean)
	p.logWeight = min(p.logWeight+1, 1/(1-meanDecay))
}

// updateScore adds the log likelihood ratio of the gap under the two histograms
// to the score.
func (p *Pattern) updateScore(population *Population, gap, operationalGap, speed float64) {
	if p.wall.total == 0 {
		return
	}
	wall, operational := p.wall, p.operational
	p.addPrior(population, &wall)
	p.addPrior(population, &operational)
	bin, opBin := binOf(gap), binOf(operationalGap)
	wallDensity := float64(wall.counts[bin]/wall.total) / binWidth(bin)
	opDensity := float64(operational.counts[opBin]/operational.total) / binWidth(opBin) * speed
	ratio := math.Log(max(opDensity, math.SmallestNonzeroFloat32) / max(wallDensity, math.SmallestNonzeroFloat32))
	p.score = scoreDecay*p.score + min(3, max(-3, ratio))
}

// updatePopulation adds the gap to the model of all items.
func (p *Pattern) updatePopulation(population *Population, arrived time.Time, gap, operationalGap float64) {
	if p.logWeight < minMeanWeight {
		population.gaps.add(operationalGap, 1)
	} else {
		shift := int(math.Round(binsPerOctave * p.logMean))
		centred := min(binCount-1, max(0, binOf(operationalGap)-shift-1+shapeCentre))
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

// halveAbove halves all counts once the total has reached the limit, so that
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

// addPrior adds the population's distribution to a histogram. It is scaled to
// the item's own mean once enough gaps have been observed.
func (p *Pattern) addPrior(population *Population, histogram *Histogram) {
	if p.logWeight >= minMeanWeight && population.shape.total > 0 {
		shift := int(math.Round(binsPerOctave*p.logMean)) + 1 - shapeCentre
		histogram.addShifted(&population.shape, shift, priorWeight)
		return
	}
	histogram.addShifted(&population.gaps, 0, priorWeight)
}

// distribution returns the weight of each bin and the wall time of the bins'
// edges, in seconds after the item became idle.
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
