package tokenbucket_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/tokenbucket"
)

// TestBucket guards against a bucket that holds more than its capacity, or gives more than its
// rate after a debt.
func TestBucket(t *testing.T) {
	c := qt.New(t)
	var b tokenbucket.Bucket
	c.Check(b.Fill(-time.Second, 10, 5), qt.Equals, 0.0)
	c.Check(b.Fill(time.Second, 10, 5), qt.Equals, 10.0)
	c.Check(b, qt.Equals, tokenbucket.Bucket(5))
	b.Take(8)
	c.Check(b.Missing(1), qt.Equals, 4.0)
	c.Check(tokenbucket.FillTime(b.Missing(1), 10), qt.Equals, 400*time.Millisecond)
	b.Fill(400*time.Millisecond, 10, 5)
	c.Check(b.Missing(1), qt.Equals, 0.0)
}
