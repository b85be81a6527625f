package lookup

import (
	"math/rand/v2"

	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// leastNear is the number of nodes that an answer names if there are so many,
// so that one that has just died leaves the caller another.
const leastNear = 2

// Near returns the callers' addresses of members for a caller at a place: those
// in its failure domain, and as long as they are too few those of its region
// and of all others. A member that starts
// or leaves is not named, and no address twice.
func Near(place fleet.Place, members []member.Info, random *rand.Rand) []string {
	rings := [3][]string{}
	seen := make(map[string]bool, len(members))
	for at := range members {
		info := &members[at]
		if info.Starting || info.Leaving || seen[info.CallerAddress] {
			continue
		}
		seen[info.CallerAddress] = true
		ring := 2
		if info.Region == place.Region {
			ring = 1
		}
		if info.Place == place {
			ring = 0
		}
		rings[ring] = append(rings[ring], info.CallerAddress)
	}
	var near []string
	for _, ring := range rings {
		if len(near) >= leastNear {
			break
		}
		random.Shuffle(len(ring), func(i, j int) { ring[i], ring[j] = ring[j], ring[i] })
		near = append(near, ring...)
	}
	return near
}
