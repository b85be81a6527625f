package route_test

import (
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/route"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// drawCandidates draws the servers of a choice, without slowdowns and windows.
func drawCandidates(random *rand.Rand, now time.Time) []route.Candidate {
	candidates := make([]route.Candidate, 1+random.IntN(8))
	for i := range candidates {
		c := route.Candidate{
			Server: fleet.ServerID(strconv.Itoa(i)), Place: fleet.Place{Region: regionOf(random.IntN(3)), FailureDomain: "d"},
			InFlight: random.IntN(14), Limit: random.IntN(13), OtherNodesInFlight: random.IntN(20), Slots: random.IntN(3) * 6,
			Ejected: random.IntN(6) == 0, PrefixCached: random.IntN(5) == 0,
			TimeToFirstByte: time.Duration(random.IntN(4)) * 90 * time.Millisecond,
		}
		if random.IntN(2) == 0 {
			c.ReportedAt = now.Add(-time.Duration(random.IntN(5000)) * time.Millisecond)
		}
		if random.IntN(3) == 0 {
			c.ReadySince = now.Add(-time.Duration(random.IntN(15000)) * time.Millisecond)
		}
		candidates[i] = c
	}
	return candidates
}

// TestChoicesWithoutPaceAreUnchanged guards against other choices where the pace of servers
// does not count. The hash is that of the choices at commit 46fd336, before there was any.
func TestChoicesWithoutPaceAreUnchanged(t *testing.T) {
	const want = 6233052994997939189
	random, now, sum := rand.New(rand.NewPCG(3, 4)), time.Unix(1000, 0), fnv.New64a()
	for range 20000 {
		candidates := drawCandidates(random, now)
		query := route.Query{
			Now: now, Place: fleet.Place{Region: regionOf(0), FailureDomain: "d"},
			AllowOverflow: random.IntN(2) == 0, AllowCrossRegion: random.IntN(2) == 0,
		}
		if random.IntN(2) == 0 {
			query.AvoidServers = []fleet.ServerID{"1", "3"}
		}
		chosen, found := route.Pick(query, candidates, random)
		_, _ = sum.Write([]byte(strconv.Itoa(chosen) + strconv.FormatBool(found)))
	}
	qt.Check(t, sum.Sum64(), qt.Equals, uint64(want))
}
