package policy

import "time"

const (
	hoursPerDay  = 24
	daysPerWeek  = 7
	hoursPerWeek = hoursPerDay * daysPerWeek
	// mondayOffset is the hour of the week, counted from Monday 00:00, at the
	// Unix epoch.
	mondayOffset = 3 * hoursPerDay
	hourSeconds  = 3600
)

// Parameters of a profile.
const (
	profileFloor    = 0.02             // minimum weight of an hour
	profilePrior    = 0.5              // hours of mean load that are added to each bucket
	profileHorizon  = 4 * hoursPerWeek // hours
	maxContribution = 6 * hourSeconds  // of one arrival, in seconds of mean gap
)

// Profile is the request rate over the day and the week, learned from all items
// together. It maps time to operational time, which advances in proportion to
// the request rate: slowly at night, faster in the morning. Its mean speed over
// a week is 1. Hours are in UTC.
type Profile struct {
	hours    [hoursPerDay]rateBucket
	days     [daysPerWeek]rateBucket
	lastHour int64
	// cumulative contains the operational time at the start of each hour of the
	// week, in seconds. The last element is that of the whole week.
	cumulative [hoursPerWeek + 1]float64
}

// rateBucket accumulates the arrivals in hours of one kind.
type rateBucket struct {
	load     float64
	exposure float64 // hours
}

// newProfile returns a profile of constant speed.
func newProfile() Profile {
	var p Profile
	p.rebuild()
	return p
}

// add counts an arrival of an item. It is weighted by the item's mean gap, so
// that each item has the same total weight.
func (p *Profile) add(at time.Time, meanGap float64) {
	p.advance(at)
	hour := hourOfWeek(at.Unix())
	load := min(meanGap, maxContribution)
	p.hours[hour%hoursPerDay].load += load
	p.days[hour/hoursPerDay].load += load
}

// advance adds the hours that have passed, with gradual decay of older ones.
func (p *Profile) advance(at time.Time) {
	hour := at.Unix() / hourSeconds
	switch {
	case p.lastHour == 0:
		p.lastHour = hour
	case hour-p.lastHour > profileHorizon:
		p.lastHour = hour // no observations in between
	}
	changed := p.lastHour < hour
	for ; p.lastHour < hour; p.lastHour++ {
		index := hourOfWeek(p.lastHour * hourSeconds)
		p.hours[index%hoursPerDay].addHour()
		p.days[index/hoursPerDay].addHour()
	}
	if changed {
		p.rebuild()
	}
}

// addHour adds an hour of exposure. It halves the sums when the exposure
// exceeds its limit, so that older arrivals decay.
func (b *rateBucket) addHour() {
	b.exposure++
	if b.exposure > profileHorizon/hoursPerDay {
		b.load *= 0.5
		b.exposure *= 0.5
	}
}

// rebuild recomputes the cumulative operational time of the week.
func (p *Profile) rebuild() {
	hours := relativeRates(p.hours[:])
	days := relativeRates(p.days[:])
	total := 0.0
	var weights [hoursPerWeek]float64
	for i := range weights {
		weights[i] = max(profileFloor, hours[i%hoursPerDay]*days[i/hoursPerDay])
		total += weights[i]
	}
	sum := 0.0
	for i, weight := range weights {
		p.cumulative[i] = sum
		sum += weight / total * hoursPerWeek * hourSeconds
	}
	p.cumulative[hoursPerWeek] = hoursPerWeek * hourSeconds
}

// relativeRates returns the load per hour of each bucket relative to the mean
// of all.
func relativeRates(buckets []rateBucket) []float64 {
	load, exposure := 0.0, 0.0
	for _, s := range buckets {
		load += s.load
		exposure += s.exposure
	}
	rates := make([]float64, len(buckets))
	for i, s := range buckets {
		rates[i] = 1
		if load > 0 && exposure > 0 {
			mean := load / exposure
			rates[i] = (s.load + profilePrior*mean) / ((s.exposure + profilePrior) * mean)
		}
	}
	return rates
}

// hourOfWeek returns the hour since Monday 00:00 of a Unix time in seconds.
func hourOfWeek(unix int64) int {
	return int((unix/hourSeconds + mondayOffset) % hoursPerWeek)
}

// operational returns the operational time at a Unix time, both in seconds.
func (p *Profile) operational(unix float64) float64 {
	shifted := unix + mondayOffset*hourSeconds
	week := int64(shifted / (hoursPerWeek * hourSeconds))
	rest := shifted - float64(week)*hoursPerWeek*hourSeconds
	hour := min(hoursPerWeek-1, int(rest/hourSeconds))
	fraction := rest/hourSeconds - float64(hour)
	return float64(week)*hoursPerWeek*hourSeconds + p.cumulative[hour] +
		fraction*(p.cumulative[hour+1]-p.cumulative[hour])
}

// speed returns the rate at which operational time advances at a Unix time in
// seconds.
func (p *Profile) speed(unix float64) float64 {
	hour := hourOfWeek(int64(unix))
	return (p.cumulative[hour+1] - p.cumulative[hour]) / hourSeconds
}

// wallEdges sets edges to the wall time, in seconds after start, at which
// operational time reaches each edge of the bins.
func (p *Profile) wallEdges(start float64, edges *[binCount + 1]float64) {
	hour := hourOfWeek(int64(start))
	intoHour := start - float64(int64(start)/hourSeconds*hourSeconds)
	speed := p.speed(start)
	wall, passed := 0.0, 0.0
	left := hourSeconds - intoHour
	for i, edge := range binEdges {
		for passed+left*speed < edge {
			wall += left
			passed += left * speed
			left = hourSeconds
			hour = (hour + 1) % hoursPerWeek
			speed = (p.cumulative[hour+1] - p.cumulative[hour]) / hourSeconds
		}
		step := (edge - passed) / speed
		wall += step
		passed = edge
		left -= step
		edges[i] = wall
	}
}
