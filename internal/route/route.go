// Package route chooses the backend server for a request.
//
// It does no I/O: the state of the servers, the time and the random source are
// arguments.
package route

import (
	"cmp"
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
	// Window is the maximum of the node's own requests while the server has just started
	// or recovered; 0 if there is none. It does not change the server's load.
	Window int
	// OtherNodesInFlight is the number of requests of other nodes in the last
	// report, which describes the server at ReportedAt.
	OtherNodesInFlight int
	ReportedAt         time.Time
	// Slots is the number of requests of all nodes that the server runs at once; 0 if
	// unknown.
	Slots int
	// TimeToFirstByte is the recent average time to the first byte; 0 if
	// unknown.
	TimeToFirstByte time.Duration
	// Slowdown is the time that work takes at the server relative to the usual; 0 if
	// unknown.
	Slowdown float64
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
	// AllowCrossRegion reports whether the request may leave the region, AllowOverflow
	// whether it may if all servers of the region are full.
	AllowCrossRegion, AllowOverflow bool
}

// Parameters of the choice.
const (
	// maxSampleSize is the number of random servers of which the least loaded is
	// chosen.
	maxSampleSize = 3
	// minOwnShare is the share of the node's own requests at the servers below which
	// their reports are mostly about requests of other nodes.
	minOwnShare = 1.0 / 16
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
	healthy := func(c *Candidate) bool { return !c.Ejected }
	free := func(c *Candidate) bool { return healthy(c) && !q.full(c) }
	tiers := q.tiersAmong(free, q.AllowOverflow)
	tiers = append(tiers, q.tiersAmong(healthy, q.AllowCrossRegion)...)
	return append(tiers,
		func(c *Candidate) bool { return q.local(c) && q.notFailed(c) },
		func(c *Candidate) bool { return q.local(c) || q.AllowCrossRegion },
	)
}

// tiersAmong returns the filters of the servers to choose from among those that match:
// in failure domains where the request has not failed, others of the region, and those
// of other regions if they are allowed.
func (q *Query) tiersAmong(matches func(*Candidate) bool, otherRegions bool) []func(*Candidate) bool {
	tiers := []func(*Candidate) bool{
		func(c *Candidate) bool {
			return matches(c) && q.local(c) && q.notFailed(c) && !slices.Contains(q.AvoidDomains, c.FailureDomain)
		},
		func(c *Candidate) bool { return matches(c) && q.local(c) && q.notFailed(c) },
	}
	if otherRegions {
		tiers = append(tiers, func(c *Candidate) bool { return matches(c) && q.notFailed(c) })
	}
	return tiers
}

// local reports whether the server is in the node's region.
func (q *Query) local(c *Candidate) bool { return c.Region == q.Place.Region }

// notFailed reports whether the server has not failed the request.
func (q *Query) notFailed(c *Candidate) bool { return !slices.Contains(q.AvoidServers, c.Server) }

// hasRoom reports whether the node may send the server another request.
func (c *Candidate) hasRoom(now time.Time) bool {
	limit := int(math.Ceil(float64(c.MaxInFlight()) * c.share(now)))
	return c.InFlight < max(1, limit)
}

// MaxInFlight returns the maximum of the node's own requests at the server.
func (c *Candidate) MaxInFlight() int {
	if c.Window > 0 {
		return min(c.Limit, c.Window)
	}
	return c.Limit
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
	unmeasured := shortestFirstByte(candidates, eligible)
	consider := func(i int) {
		if load := q.load(&candidates[i], unmeasured); load < lowest {
			best, lowest = i, load
		}
	}
	q.shuffleByRoom(candidates, eligible, random)
	size := q.sampleSize(candidates, eligible)
	for rank, i := range eligible {
		if rank < size || candidates[i].PrefixCached {
			consider(i)
		}
	}
	return best
}

// sampleSize returns the size of the sample. If nearly all requests at the servers are
// those of other nodes, the choice is left to the order: the least loaded server of a
// larger sample is the same one for many nodes.
func (q *Query) sampleSize(candidates []Candidate, eligible []int) int {
	own, all := 0.0, 0.0
	for _, i := range eligible {
		own += float64(candidates[i].InFlight)
		all += q.running(&candidates[i])
	}
	if all > 0 && own < minOwnShare*all {
		return 1
	}
	return maxSampleSize
}

// minRoom is the number of free slots that a full server counts as having.
const minRoom = 0.25

// shuffleByRoom puts the eligible servers into a random order in which those with more
// free slots tend to come first. Many nodes choose by the same reports, which are some
// time old: if all chose the least loaded server, its slots would be taken several times
// over before the next report.
func (q *Query) shuffleByRoom(candidates []Candidate, eligible []int, random *rand.Rand) {
	keys := make([]float64, len(candidates))
	for _, i := range eligible {
		// The first of the order is each server with a probability in proportion to the
		// square of its room.
		room := q.room(&candidates[i])
		keys[i] = random.ExpFloat64() / (room * room)
	}
	slices.SortFunc(eligible, func(a, b int) int { return cmp.Compare(keys[a], keys[b]) })
}

// room returns the expected number of free slots of a server; 1 if its slots are unknown.
func (q *Query) room(c *Candidate) float64 {
	if c.Slots == 0 {
		return 1
	}
	return max(minRoom, float64(c.Slots)-q.running(c))
}

const (
	// fullShare is the share of the slots from which a server counts as full: calls of
	// other nodes are on the way to it.
	fullShare = 0.75
	// maxLoadAge is the age up to which a report counts as if it were new.
	maxLoadAge = time.Second
)

// full reports whether a request would probably find no free slot at a server.
func (q *Query) full(c *Candidate) bool {
	return c.Slots > 0 && q.running(c) >= fullShare*float64(c.Slots)
}

// running returns the expected number of requests of all nodes on a server.
func (q *Query) running(c *Candidate) float64 {
	others := float64(c.OtherNodesInFlight)
	if q.Now.Sub(c.ReportedAt) > maxLoadAge {
		others *= q.reportWeight(c)
	}
	return float64(c.InFlight) + others
}

// reportWeight returns the weight of the last report of a server by its age.
func (q *Query) reportWeight(c *Candidate) float64 {
	if c.ReportedAt.IsZero() {
		return 0
	}
	return math.Exp(-float64(max(0, q.Now.Sub(c.ReportedAt))) / float64(reportDecay))
}

// shortestFirstByte returns the shortest measured time to the first byte of the eligible
// servers; 0 if none was measured.
func shortestFirstByte(candidates []Candidate, eligible []int) (shortest time.Duration) {
	for _, i := range eligible {
		if measured := candidates[i].TimeToFirstByte; measured > 0 && (shortest == 0 || measured < shortest) {
			shortest = measured
		}
	}
	return shortest
}

// load returns the expected waiting time at a server in arbitrary units. A server whose
// time to the first byte was not measured is expected to take the given time.
func (q *Query) load(c *Candidate, unmeasured time.Duration) float64 {
	load := (float64(c.InFlight) + q.reportWeight(c)*float64(c.OtherNodesInFlight) + 1) / (float64(max(1, c.Limit)) * c.share(q.Now))
	if firstByte := cmp.Or(c.TimeToFirstByte, unmeasured); firstByte > 0 {
		load *= firstByte.Seconds()
	}
	if c.Slowdown > 0 {
		load *= c.Slowdown
	}
	if c.PrefixCached {
		load *= prefixDiscount
	}
	if c.FailureDomain != q.Place.FailureDomain {
		load *= domainPenalty
	}
	return load
}
