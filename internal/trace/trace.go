// Package trace makes and reads traces of requests for rarely used models.
//
// A made trace follows published measurements of functions as a service, whose
// applications are like rarely used models in that most of them are idle:
// Shahrad et al., "Serverless in the Wild: Characterizing and Optimizing the
// Serverless Workload at a Large Cloud Provider", USENIX ATC 2020. Taken from
// there are the distribution of mean rates over eight orders of magnitude, the
// classes of regularity of the gaps between requests, and the course of the
// load over the day and the week. [Config] names each parameter. What the paper
// does not give, bursts of requests and models that wake one another, has
// parameters of its own.
//
// A trace is a function of its configuration, the seed included.
package trace

import (
	"cmp"
	"slices"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Arrival is one request.
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
