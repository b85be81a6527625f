package connlimit_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/guavatrack/guavatrack/internal/connlimit"
)

// TestHeaderOfManyShortFields guards against headers of legal size that take many times their size
// once they are parsed.
func TestHeaderOfManyShortFields(t *testing.T) {
	c := qt.New(t)
	var header connlimit.Header
	header.Add([]byte("GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 4000)))
	c.Assert(header.Lines, qt.Equals, 4001)
	c.Assert(header.Ended, qt.IsFalse)
	c.Assert(header.Memory() > 600_000, qt.IsTrue)
}

// TestBodyBehindAHeaderIsNotCounted guards against requests that are refused because of the lines
// of their body.
func TestBodyBehindAHeaderIsNotCounted(t *testing.T) {
	c := qt.New(t)
	for _, end := range []string{"\r\n", "\n"} {
		var header connlimit.Header
		header.Add([]byte("POST / HTTP/1.1" + end + "Host: a" + end + end + strings.Repeat("line\n", 1000)))
		c.Check(header.Lines, qt.Equals, 2)
		c.Check(header.Ended, qt.IsTrue)
	}
}

// TestHeaderInPieces guards against counts that depend on how the bytes arrive.
func TestHeaderInPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := []byte("GET / HTTP/1.1\r\n" + strings.Join(rapid.SliceOf(rapid.SampledFrom([]string{"a: b\r\n", "c:\n", "\r", "x", "\n"})).Draw(t, "text"), ""))
		var whole, pieces connlimit.Header
		whole.Add(text)
		for rest := text; len(rest) > 0; {
			size := rapid.IntRange(1, len(rest)).Draw(t, "size")
			pieces.Add(rest[:size])
			rest = rest[size:]
		}
		if whole != pieces {
			t.Fatalf("%+v whole, %+v in pieces", whole, pieces)
		}
	})
}

// fails returns after what time a body that arrives in pieces is given up; 0 if it is not.
func fails(pace connlimit.Pace, pieces, size int, interval time.Duration) time.Duration {
	now := start
	for range pieces {
		deadline := pace.Deadline(now)
		if now = now.Add(interval); now.After(deadline) {
			return deadline.Sub(start)
		}
		pace.Add(now, size)
	}
	return 0
}

// TestPaceOfBodies guards against bodies that arrive byte by byte and hold a connection, and
// against a limit that callers on a slow link meet.
func TestPaceOfBodies(t *testing.T) {
	c := qt.New(t)
	pace := connlimit.Pace{Window: 3 * time.Second, MinBytes: 16 << 10}
	c.Check(fails(pace, 1000, 1, 50*time.Millisecond), qt.Equals, 3*time.Second)
	c.Check(fails(pace, 1000, 1<<10, 200*time.Millisecond), qt.Equals, 3*time.Second)
	// 4 MiB at 56 kbit/s.
	c.Check(fails(pace, 4<<20/1400, 1400, 200*time.Millisecond), qt.Equals, time.Duration(0))
	// A stop after many bytes.
	c.Check(fails(pace, 10, 1<<20, 4*time.Second), qt.Equals, 3*time.Second)
}
