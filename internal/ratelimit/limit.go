package ratelimit

import (
	"math"
	"time"

	"github.com/guavatrack/guavatrack/internal/tokenbucket"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Rate is a number of requests a second.
type Rate float64

const (
	// minRate bounds the rate from below: a server that takes nothing is still asked once in
	// a while, since only an answer can say that the limit no longer holds.
	minRate Rate = 0.1
	// maxRate bounds the rate from above. A higher limit never binds.
	maxRate Rate = 1e6
	// sameRate is the ratio up to which two rates count as the same, so that a limit that
	// changes a little with each answer is not announced each time.
	sameRate = 1.05
)

// bounded returns a rate that can be handed out.
func bounded(limit Rate) Rate { return min(max(limit, minRate), maxRate) }

// about reports whether two rates are the same but for a small difference.
func about(a, b Rate) bool { return a == b || max(a, b) <= sameRate*min(a, b) }

// notice is what a node knows of the limit of a server. Of two notices about one run the
// one with the higher sequence number is later.
type notice struct {
	Boot fleet.BootID `json:"boot"`
	// Sequence counts the changes of the limit, over all nodes.
	Sequence uint64 `json:"sequence"`
	// Limit is the limit in requests a second if Named is set.
	Limit Rate `json:"limit,omitempty"`
	Named bool `json:"named,omitempty"`
}

// laterThan reports whether a notice replaces another one. If two nodes have written notices
// at the same time the one that allows less holds.
func (n *notice) laterThan(other *notice) bool {
	switch {
	case n.Boot != other.Boot:
		return n.Sequence >= other.Sequence
	case n.Sequence != other.Sequence:
		return n.Sequence > other.Sequence
	case n.Named != other.Named:
		return n.Named
	default:
		return n.Limit < other.Limit
	}
}

// bucket hands out tokens at a rate.
type bucket struct {
	tokenbucket.Bucket
	asOf time.Time
}

// burstTime is the time whose tokens a bucket holds at most, in addition to one.
const burstTime = 250 * time.Millisecond

// fill adds the tokens of the time since the last call.
func (b *bucket) fill(now time.Time, rate Rate) {
	if elapsed := now.Sub(b.asOf); elapsed > 0 {
		b.Fill(elapsed, float64(rate), 1+float64(rate)*burstTime.Seconds())
		b.asOf = now
	}
}

// whole returns the number of whole tokens in the bucket.
func (b *bucket) whole() int { return int(min(max(b.Bucket, 0), math.MaxInt32)) }

// readyIn returns the time until the bucket has a whole token.
func (b *bucket) readyIn(rate Rate) time.Duration {
	return tokenbucket.FillTime(b.Missing(1), float64(rate))
}
