package roster

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/table"
)

// TestOnlyAnOutageCountsAsOne guards against a read that fails while the store answers and
// that counts as an outage: servers that leave then are used for as long as servers have to
// register themselves again.
func TestOnlyAnOutageCountsAsOne(t *testing.T) {
	reset := errors.Wrap(table.ErrOutcomeUnknown, "connection reset")
	for name, test := range map[string]struct {
		errs []error
		away bool
	}{
		"lost response":            {[]error{ErrResponseLost, ErrResponseLost, ErrResponseLost}, false},
		"compacted history":        {[]error{ErrCompacted, ErrCompacted}, false},
		"older list":               {[]error{errOldList, errOldList}, false},
		"too many calls":           {[]error{table.ErrThrottled, table.ErrThrottled}, false},
		"rejected call":            {[]error{table.ErrRejected, table.ErrRejected}, false},
		"reset connection":         {[]error{reset}, false},
		"resets with answers":      {[]error{reset, ErrResponseLost, reset}, false},
		"pause after a reset":      {[]error{reset, errPausing, errPausing}, false},
		"readers not reading":      {[]error{errNotReading, errNotReading}, false},
		"resets of all attempts":   {[]error{reset, reset}, true},
		"resets with a pause":      {[]error{reset, errPausing, reset}, true},
		"timeouts":                 {[]error{context.DeadlineExceeded, context.DeadlineExceeded}, true},
		"unavailable":              {[]error{table.ErrUnavailable}, true},
		"unanswered probe":         {[]error{errors.Join(context.DeadlineExceeded, ErrNoResponse)}, true},
		"lost in an outage":        {[]error{errors.Join(ErrResponseLost, ErrNoResponse)}, true},
		"outage, then an answer":   {[]error{table.ErrUnavailable, ErrResponseLost}, true},
		"outage, then too many":    {[]error{reset, reset, table.ErrThrottled}, true},
		"readers that lost it too": {[]error{errSourceUnreachable, errSourceUnreachable}, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var contact contact
			lost := 0
			for _, err := range test.errs {
				if contact.recordFailure(err) {
					lost++
				}
			}
			c.Check(lost == 1, qt.Equals, test.away)
			c.Check(contact.recordSuccess(), qt.Equals, test.away)
			c.Check(contact.recordSuccess(), qt.IsFalse)
		})
	}
}
