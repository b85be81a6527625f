package lookup

import (
	"math/rand/v2"

	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// minAddresses is the minimum number of addresses in an answer, if there are so many
// nodes. If a node has just failed, the caller can use another one.
const minAddresses = 2

// maxDistance is the distance of places in different regions.
const maxDistance = 2

// Distance ranks how far apart two places are: 0 in one failure domain, 1 in one region,
// otherwise 2.
func Distance(a, b fleet.Place) int {
	switch {
	case a == b:
		return 0
	case a.Region == b.Region:
		return 1
	default:
		return maxDistance
	}
}

// NearestAddresses returns the addresses of members for a caller at a place: those
// in its failure domain and, while they are fewer than minAddresses, also those in
// its region and then all others. Starting and leaving members are left out, and
// each address is returned once.
func NearestAddresses(place fleet.Place, members []member.Info, random *rand.Rand) []string {
	tiers := [maxDistance + 1][]string{}
	seen := make(map[string]bool, len(members))
	for i := range members {
		info := &members[i]
		if info.Starting || info.Leaving || seen[info.CallerAddress] {
			continue
		}
		seen[info.CallerAddress] = true
		tier := Distance(place, info.Place)
		tiers[tier] = append(tiers[tier], info.CallerAddress)
	}
	var near []string
	for _, addresses := range tiers {
		if len(near) >= minAddresses {
			break
		}
		random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		near = append(near, addresses...)
	}
	return near
}
