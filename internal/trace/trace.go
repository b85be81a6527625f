// Package trace generates and reads traces of requests for rarely used models.
//
// A generated trace follows published measurements of functions as a service,
// whose applications resemble rarely used models in that most of them are idle:
// Shahrad et al., "Serverless in the Wild: Characterizing and Optimizing the
// Serverless Workload at a Large Cloud Provider", USENIX ATC 2020. The paper is
// the source of the distribution of mean rates over eight orders of magnitude,
// the classes of regularity of the gaps between requests, and the load profile
// over the day and the week. Bursts of requests and correlated requests for
// several models are not covered by the paper and have parameters of their own.
//
// A generated trace depends only on its [Config], which includes the seed.
package trace

import (
	"cmp"
	"slices"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Arrival is one request of a trace.
type Arrival struct {
	// At is the time since the start of the trace.
	At   time.Duration
	Item fleet.Item
}

// Sort orders arrivals by time, then by item.
func Sort(arrivals []Arrival) {
	slices.SortFunc(arrivals, func(a, b Arrival) int {
		if a.At != b.At {
			return cmp.Compare(a.At, b.At)
		}
		return cmp.Or(
			cmp.Compare(a.Item.Model, b.Item.Model),
			cmp.Compare(a.Item.Adapter, b.Item.Adapter),
		)
	})
}
