package pace

import (
	"math"
	"time"
)

// Parameters of a [Factor].
const (
	// readingDecay is the time constant with which the difference of the last reading from
	// the mean decays: machines change their pace many times a second.
	readingDecay = 100 * time.Millisecond
	// meanTime is the time constant of the mean and the deviation, maxWeight the largest
	// weight of a reading, so that a reading after a long time is not the mean.
	meanTime  = 5 * time.Second
	maxWeight = 0.2
	// The mean returns to 1 with silenceDecay after there was no reading for silence.
	silence      = 5 * time.Second
	silenceDecay = 30 * time.Second
	// maxRatio bounds a reading relative to the mean.
	maxRatio = 4
)

// Factor is the time that work takes at a server relative to the usual. The zero value is
// that of a server without readings.
type Factor struct {
	// excess is the mean minus 1.
	excess, deviation float64
	last              float64
	// at is the time of the last reading; zero if there is none.
	at time.Time
}

// Record records a reading, which must be above 0.
func (f *Factor) Record(now time.Time, reading float64) {
	mean, deviation := f.Mean(now), f.Deviation(now)
	bounded := min(max(reading, mean/maxRatio), maxRatio*(mean+deviation))
	weight := maxWeight
	if !f.at.IsZero() {
		weight = min(weight, 1-decay(now.Sub(f.at), meanTime))
	}
	f.excess = mean - 1 + weight*(bounded-mean)
	f.deviation = deviation + weight*(math.Abs(bounded-mean)-deviation)
	f.last, f.at = bounded, now
}

// Mean returns the mean.
func (f *Factor) Mean(now time.Time) float64 {
	return 1 + f.excess*decay(now.Sub(f.at)-silence, silenceDecay)
}

// Deviation returns the mean absolute deviation.
func (f *Factor) Deviation(now time.Time) float64 {
	return f.deviation * decay(now.Sub(f.at)-silence, silenceDecay)
}

// Last returns the last reading, as bounded, and its age.
func (f *Factor) Last(now time.Time) (reading float64, age time.Duration, found bool) {
	return f.last, now.Sub(f.at), !f.at.IsZero()
}

// Estimate returns the expected factor at a time; 1 without readings.
func (f *Factor) Estimate(at time.Time) float64 {
	if f.at.IsZero() {
		return 1
	}
	return f.Mean(at) + (f.last-1-f.excess)*decay(at.Sub(f.at), readingDecay)
}

// decay returns what is left of 1 after a time.
func decay(age, constant time.Duration) float64 {
	return math.Exp(-float64(max(0, age)) / float64(constant))
}
