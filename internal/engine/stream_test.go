package engine_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/engine"
)

// decode returns the raw events and the error that ended the stream.
func decode(source io.Reader) (events []string, err error) {
	decoder := engine.NewStreamDecoder(source)
	for {
		event, err := decoder.Next()
		if err != nil {
			return events, err
		}
		events = append(events, string(event.Raw))
		decoder.Buffered()
	}
}

func TestStreamDecoderSplitsEvents(t *testing.T) {
	c := qt.New(t)
	input := "id: a/0\ndata: x\n\nid: a/1\r\ndata: y\r\n\r\ndata: [DONE]\n\n"
	for _, source := range []io.Reader{strings.NewReader(input), iotest.OneByteReader(strings.NewReader(input))} {
		events, err := decode(source)
		c.Assert(err, qt.Equals, io.EOF)
		c.Assert(events, qt.DeepEquals, []string{
			"id: a/0\ndata: x\n\n", "id: a/1\r\ndata: y\r\n\r\n", "data: [DONE]\n\n",
		})
	}
}

func TestStreamDecoderReportsTruncatedAndOversizedEvents(t *testing.T) {
	c := qt.New(t)
	_, err := decode(strings.NewReader("data: x\n"))
	c.Assert(err, qt.ErrorIs, engine.ErrCutOff)
	_, err = decode(strings.NewReader(strings.Repeat("x", 2*engine.MaxEventSize)))
	c.Assert(err, qt.ErrorIs, engine.ErrEventTooLarge)
}

func TestEventPosition(t *testing.T) {
	c := qt.New(t)
	request, offset, valid := engine.ParseEventID("a/b/12")
	c.Assert(valid, qt.IsTrue)
	c.Assert(string(request), qt.Equals, "a/b")
	c.Assert(offset, qt.Equals, uint64(12))
	for _, id := range []string{"", "a", "/1", "a/", "a/-1", "a/9999999999999999999"} {
		_, _, valid := engine.ParseEventID(id)
		c.Assert(valid, qt.IsFalse, qt.Commentf("%q", id))
	}
}

// FuzzStreamDecoder checks that the events do not depend on how the input is
// split into reads and that their concatenation is a prefix of the input.
func FuzzStreamDecoder(f *testing.F) {
	f.Add([]byte("id: a/0\ndata: x\n\ndata: [DONE]\n\n"))
	f.Add([]byte("\r\n\n\r\n\ndata:\n\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		c := qt.New(t)
		whole, wholeErr := decode(bytes.NewReader(input))
		pieces, piecesErr := decode(iotest.OneByteReader(bytes.NewReader(input)))
		c.Assert(pieces, qt.DeepEquals, whole)
		c.Assert(piecesErr, qt.Equals, wholeErr)
		c.Assert(strings.HasPrefix(string(input), strings.Join(whole, "")), qt.IsTrue)
	})
}
