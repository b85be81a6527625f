// Package route chooses the backend server for a request.
//
// It does no I/O: the state of the servers, the time and the random source are
// arguments.
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
	// InFlight is the number of the node's own requests at the server, Limit
	// their maximum.
	InFlight int
	Limit    int
	// OtherNodesInFlight is the number of requests of other nodes in the last
	// report, which describes the server at ReportedAt.
	OtherNodesInFlight int
	ReportedAt         time.Time
	// TimeToFirstByte is the recent average time to the first byte; 0 if
	// unknown.
	TimeToFirstByte time.Duration
	// ReadySince is when the server became able to serve; zero if long ago.
	ReadySince time.Time
	// Ejected reports whether the server is ejected because it failed.
	Ejected bool
	// PrefixCached reports whether the server is likely to have the request's
	// prefix in its cache.
	PrefixCached bool
}

// Query describes what a request requires of a server.
type Query struct {
	Now time.Time
	// Place is the location of the node.
	Place fleet.Place
	// AvoidServers lists servers that failed the request, AvoidDomains their
	// failure domains. Both are used again only if there is no alternative.
	AvoidServers []fleet.ServerID
	AvoidDomains []fleet.FailureDomain
	// AllowCrossRegion reports whether the request may leave the region.
	AllowCrossRegion bool
}

// Parameters of the choice.
const (
	// sampleSize is the number of random servers of which the least loaded is
	// chosen.
	sampleSize = 3
	// reportDecay is the age at which the weight of a report has decayed to
	// about a third.
	reportDecay = 2 * time.Second
	// slowStart is the time after which a new server gets its full load.
	slowStart = 10 * time.Second
	// minShare is the share of the full load that a new server starts with.
	minShare = 0.2
	// prefixDiscount multiplies the load of a server that has the prefix in its
	// cache.
	prefixDiscount = 0.5
	// domainPenalty multiplies the load of a server in another failure domain
	// than the node's.
	domainPenalty = 1.1
)

// Pick returns the index of the server chosen for the request, and false if no
// eligible server has room.
func Pick(query Query, candidates []Candidate, random *rand.Rand) (index int, found bool) {
	for _, matches := range query.tiers() {
		eligible := make([]int, 0, len(candidates))
		for i := range candidates {
			if candidates[i].hasRoom(query.Now) && matches(&candidates[i]) {
				eligible = append(eligible, i)
			}
		}
		if len(eligible) > 0 {
			return query.leastLoaded(candidates, eligible, random), true
		}
	}
	return 0, false
}

// tiers returns the filters of the servers to choose from, most preferred
// first.
func (q *Query) tiers() []func(*Candidate) bool {
	local := func(c *Candidate) bool { return c.Region == q.Place.Region }
	notFailed := func(c *Candidate) bool { return !slices.Contains(q.AvoidServers, c.Server) }
	otherDomain := func(c *Candidate) bool { return notFailed(c) && !slices.Contains(q.AvoidDomains, c.FailureDomain) }
	healthy := func(c *Candidate) bool { return !c.Ejected }
	tiers := []func(*Candidate) bool{
		func(c *Candidate) bool { return healthy(c) && local(c) && otherDomain(c) },
		func(c *Candidate) bool { return healthy(c) && local(c) && notFailed(c) },
	}
	if q.AllowCrossRegion {
		tiers = append(tiers, func(c *Candidate) bool { return healthy(c) && notFailed(c) })
	}
	return append(tiers,
		func(c *Candidate) bool { return local(c) && notFailed(c) },
		func(c *Candidate) bool { return local(c) || q.AllowCrossRegion },
	)
}

// hasRoom reports whether the node may send the server another request.
func (c *Candidate) hasRoom(now time.Time) bool {
	limit := int(math.Ceil(float64(c.Limit) * c.share(now)))
	return c.InFlight < max(1, limit)
}

// share returns the share of its full load that a server gets, from minShare
// for a new one to 1.
func (c *Candidate) share(now time.Time) float64 {
	if c.ReadySince.IsZero() {
		return 1
	}
	age := now.Sub(c.ReadySince)
	return min(1, max(minShare, float64(age)/float64(slowStart)))
}

// leastLoaded returns the least loaded server of a random sample of the
// eligible ones. Servers that have the prefix in their cache are always in the
// sample.
func (q *Query) leastLoaded(candidates []Candidate, eligible []int, random *rand.Rand) int {
	best, lowest := eligible[0], math.Inf(1)
	consider := func(i int) {
		if load := q.load(&candidates[i]); load < lowest {
			best, lowest = i, load
		}
	}
	random.Shuffle(len(eligible), func(i, j int) { eligible[i], eligible[j] = eligible[j], eligible[i] })
	for rank, i := range eligible {
		if rank < sampleSize || candidates[i].PrefixCached {
			consider(i)
		}
	}
	return best
}

// load returns the expected waiting time at a server in arbitrary units.
func (q *Query) load(c *Candidate) float64 {
	weight := 0.0
	if !c.ReportedAt.IsZero() {
		weight = math.Exp(-float64(max(0, q.Now.Sub(c.ReportedAt))) / float64(reportDecay))
	}
	load := (float64(c.InFlight) + weight*float64(c.OtherNodesInFlight) + 1) / (float64(max(1, c.Limit)) * c.share(q.Now))
	if c.TimeToFirstByte > 0 {
		load *= c.TimeToFirstByte.Seconds()
	}
	if c.PrefixCached {
		load *= prefixDiscount
	}
	if c.FailureDomain != q.Place.FailureDomain {
		load *= domainPenalty
	}
	return load
}
