// Package route chooses the backend server of a request.
//
// All of it is pure: what is known of the servers, the time and the random
// source are arguments.
package route

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Candidate is a backend server that could run a request.
type Candidate struct {
	Server fleet.ServerID
	fleet.Place
	// InFlight is the number of the node's own requests, Limit their bound.
	InFlight int
	Limit    int
	// Others is the number of requests of other nodes in the last report,
	// which describes the server at AsOf.
	Others int
	AsOf   time.Time
	// FirstByte is the recent average time to the first byte; 0 if not known.
	FirstByte time.Duration
	// ReadySince is when the server became able to serve; zero if long ago.
	ReadySince time.Time
	// Ejected says that the server gets no work because it failed.
	Ejected bool
	// Prefix says that the server is believed to hold the request's prefix in
	// its cache.
	Prefix bool
}

// Query is what a request needs of a server.
type Query struct {
	Now time.Time
	// Place is where the node stands.
	Place fleet.Place
	// Avoid lists servers that failed the request, AvoidDomains their failure
	// domains. Both are used again when there is nothing else.
	Avoid        []fleet.ServerID
	AvoidDomains []fleet.FailureDomain
	// Cross says that the request may leave the region.
	Cross bool
}

// Weights and times of a choice.
const (
	// sample is the number of servers among which the least loaded is taken.
	sample = 3
	// reportLife is the age after which a report weighs a third.
	reportLife = 2 * time.Second
	// slowStart is the time in which a fresh server comes to its full share.
	slowStart = 10 * time.Second
	// leastShare is the share of a fresh server.
	leastShare = 0.2
	// prefixDiscount is the factor on the load of a server that holds the
	// prefix.
	prefixDiscount = 0.5
	// domainPenalty is the factor on the load of a server in another failure
	// domain than the node's.
	domainPenalty = 1.1
)

// Pick returns the index of the server that is to run the request, and false
// if none has room.
func Pick(query Query, candidates []Candidate, random *rand.Rand) (index int, found bool) {
	for _, accept := range query.tiers() {
		open := make([]int, 0, len(candidates))
		for at := range candidates {
			if candidates[at].hasRoom(query.Now) && accept(&candidates[at]) {
				open = append(open, at)
			}
		}
		if len(open) > 0 {
			return query.least(candidates, open, random), true
		}
	}
	return 0, false
}

// tiers returns the sets of servers to choose from, best first.
func (q *Query) tiers() []func(*Candidate) bool {
	local := func(c *Candidate) bool { return c.Region == q.Place.Region }
	fresh := func(c *Candidate) bool { return !slices.Contains(q.Avoid, c.Server) }
	apart := func(c *Candidate) bool { return fresh(c) && !slices.Contains(q.AvoidDomains, c.FailureDomain) }
	sound := func(c *Candidate) bool { return !c.Ejected }
	tiers := []func(*Candidate) bool{
		func(c *Candidate) bool { return sound(c) && local(c) && apart(c) },
		func(c *Candidate) bool { return sound(c) && local(c) && fresh(c) },
	}
	if q.Cross {
		tiers = append(tiers, func(c *Candidate) bool { return sound(c) && fresh(c) })
	}
	return append(tiers,
		func(c *Candidate) bool { return local(c) && fresh(c) },
		func(c *Candidate) bool { return local(c) || q.Cross },
	)
}

func (c *Candidate) hasRoom(now time.Time) bool {
	limit := int(math.Ceil(float64(c.Limit) * c.share(now)))
	return c.InFlight < max(1, limit)
}

// share returns the share of its full load that a fresh server gets, from
// leastShare to 1.
func (c *Candidate) share(now time.Time) float64 {
	if c.ReadySince.IsZero() {
		return 1
	}
	age := now.Sub(c.ReadySince)
	return min(1, max(leastShare, float64(age)/float64(slowStart)))
}

// least returns the least loaded of a few of the open servers. Servers that
// hold the prefix are always among the few.
func (q *Query) least(candidates []Candidate, open []int, random *rand.Rand) int {
	best, lowest := open[0], math.Inf(1)
	consider := func(at int) {
		if load := q.load(&candidates[at]); load < lowest {
			best, lowest = at, load
		}
	}
	random.Shuffle(len(open), func(i, j int) { open[i], open[j] = open[j], open[i] })
	for order, at := range open {
		if order < sample || candidates[at].Prefix {
			consider(at)
		}
	}
	return best
}

// load returns the expected wait at a server in arbitrary units.
func (q *Query) load(c *Candidate) float64 {
	weight := 0.0
	if !c.AsOf.IsZero() {
		weight = math.Exp(-float64(max(0, q.Now.Sub(c.AsOf))) / float64(reportLife))
	}
	load := (float64(c.InFlight) + weight*float64(c.Others) + 1) / (float64(max(1, c.Limit)) * c.share(q.Now))
	if c.FirstByte > 0 {
		load *= c.FirstByte.Seconds()
	}
	if c.Prefix {
		load *= prefixDiscount
	}
	if c.FailureDomain != q.Place.FailureDomain {
		load *= domainPenalty
	}
	return load
}
