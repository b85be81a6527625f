package roster

import (
	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/table"
)

// errPausing reports that a feed was not read, since it failed too recently.
var errPausing = errors.New("reading pauses after a failure")

// contact tells the failure of a read from an outage of the store. Only an outage keeps
// running servers from renewing their entries; a response that is lost, a connection that
// is reset, a reader that failed or history that is no longer kept says nothing of the sort.
type contact struct {
	// unanswered is the number of reads in a row that failed without a sign of the store.
	unanswered int
	// away is set once the store was away, until a read succeeds.
	away bool
}

// outageFailures is the number of reads in a row that fail without a sign of the store, from
// which on it counts as away. One alone may have been broken off by its connection.
const outageFailures = 2

// recordFailure records the error of a read and reports whether the store counts as away
// for the first time since a read succeeded.
func (c *contact) recordFailure(err error) (lost bool) {
	before := c.away
	switch {
	case errors.Is(err, errPausing), errors.Is(err, errNotReading):
	case errors.Is(err, ErrNoResponse):
		c.away = true
	case errors.Is(err, ErrResponseLost), errors.Is(err, ErrCompacted), errors.Is(err, errOldList), table.Answered(err):
		c.unanswered = 0
	case errors.Is(err, table.ErrUnavailable):
		c.away = true // The store says so, or accepts no connection.
	default:
		c.unanswered++
		c.away = c.away || c.unanswered >= outageFailures
	}
	return c.away && !before
}

// recordSuccess records a read that succeeded and reports whether the store was away before.
func (c *contact) recordSuccess() (returned bool) {
	returned = c.away
	*c = contact{}
	return returned
}
