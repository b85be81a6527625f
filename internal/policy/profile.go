package policy

import "time"

const (
	hoursPerDay  = 24
	daysPerWeek  = 7
	hoursPerWeek = hoursPerDay * daysPerWeek
	// mondayOffset is the hour of the week, from Monday 00:00, of the Unix epoch.
	mondayOffset = 3 * hoursPerDay
	hourSeconds  = 3600
)

// Parameters of a profile.
const (
	profileFloor    = 0.02 // least weight of an hour
	profilePrior    = 0.5  // hours of mean load that each slot starts with
	profileMemory   = 4 * hoursPerWeek
	maxContribution = 6 * hourSeconds // of one arrival, in seconds of mean gap
)

// Profile is the course of the load over the day and the week, learned from all
// items together. It converts time into operational time, which passes as fast
// as requests arrive: slowly at night, faster in the morning. The mean speed
// over a week is 1. Hours are those of UTC.
type Profile struct {
	hours    [hoursPerDay]slot
	days     [daysPerWeek]slot
	lastHour int64
	// cumulative holds the operational time at the start of each hour of the
	// week, in seconds, with the whole week at the end.
	cumulative [hoursPerWeek + 1]float64
}

// slot sums what arrived in hours of one kind.
type slot struct {
	load     float64
	exposure float64 // hours
}

func newProfile() Profile {
	var p Profile
	p.rebuild()
	return p
}

// add counts an arrival of an item. Each item has the same weight in total, so
// an arrival counts for the item's mean gap.
func (p *Profile) add(at time.Time, meanGap float64) {
	p.advance(at)
	hour := hourOfWeek(at.Unix())
	load := min(meanGap, maxContribution)
	p.hours[hour%hoursPerDay].load += load
	p.days[hour/hoursPerDay].load += load
}

// advance accounts for the hours that have passed and forgets slowly.
func (p *Profile) advance(at time.Time) {
	hour := at.Unix() / hourSeconds
	switch {
	case p.lastHour == 0:
		p.lastHour = hour
	case hour-p.lastHour > profileMemory:
		p.lastHour = hour // nothing was observed meanwhile
	}
	changed := p.lastHour < hour
	for ; p.lastHour < hour; p.lastHour++ {
		index := hourOfWeek(p.lastHour * hourSeconds)
		p.hours[index%hoursPerDay].pass()
		p.days[index/hoursPerDay].pass()
	}
	if changed {
		p.rebuild()
	}
}

// pass adds an hour of exposure and lets the slot keep a bounded memory.
func (s *slot) pass() {
	s.exposure++
	if s.exposure > profileMemory/hoursPerDay {
		s.load *= 0.5
		s.exposure *= 0.5
	}
}

// rebuild computes the cumulative operational time of the week.
func (p *Profile) rebuild() {
	hours := relative(p.hours[:])
	days := relative(p.days[:])
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

// relative returns the load per hour of each slot relative to the mean of all.
func relative(slots []slot) []float64 {
	load, exposure := 0.0, 0.0
	for _, s := range slots {
		load += s.load
		exposure += s.exposure
	}
	rates := make([]float64, len(slots))
	for i, s := range slots {
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

// speed returns how fast operational time passes.
func (p *Profile) speed(unix float64) float64 {
	hour := hourOfWeek(int64(unix))
	return (p.cumulative[hour+1] - p.cumulative[hour]) / hourSeconds
}

// wallEdges fills the wall time, in seconds after start, at which operational
// time has advanced to each edge of the bins.
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
