package http1_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/http1"
)

// blankLines is a body with lines that begin with blanks.
const blankLines = " a\r\n\tb\n c\r\n\r\n d"

// foldedAnswers are answers, and whether a line of their heads continues another one.
var foldedAnswers = map[string]struct {
	answer string
	folded bool
}{
	"length":                   {"HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n" + blankLines, false},
	"chunks":                   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n" + blankLines + "\r\n0\r\n\r\n", false},
	"lines without returns":    {"HTTP/1.1 200 OK\nContent-Length: 15\n\n" + blankLines, false},
	"behind interim heads":     {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n" + blankLines, false},
	"status of three words":    {"HTTP/1.1 200  All Right\r\nContent-Length: 15\r\n\r\n" + blankLines, false},
	"folded by a blank":        {"HTTP/1.1 200 OK\r\nOdd: a\r\n Content-Length: 15\r\n\r\n" + blankLines, true},
	"folded by a tab":          {"HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\tOdd: a\r\n\r\n" + blankLines, true},
	"folded, without returns":  {"HTTP/1.1 200 OK\nContent-Length: 15\n Odd: a\n\n" + blankLines, true},
	"folded in a refusal":      {"HTTP/1.1 503 Full\r\nOdd: a\r\n b\r\nContent-Length: 15\r\n\r\n" + blankLines, true},
	"folded in interim heads":  {"HTTP/1.1 103 Early Hints\r\nOdd: a\r\n b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n" + blankLines, true},
	"folded behind an interim": {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nOdd: a\r\n b\r\nContent-Length: 15\r\n\r\n" + blankLines, true},
}

// TestFoldedHeadIsNoAnswer guards against a field whose name begins with a blank, which
// net/http takes for a part of the field before it, so that it does not frame the body. It
// plays answers in pieces of several sizes, on a new connection and on one that is used again.
func TestFoldedHeadIsNoAnswer(t *testing.T) {
	for name, test := range foldedAnswers {
		for _, piece := range []int{1, 7, 1 << 10} {
			for _, before := range []int{0, 1} {
				t.Run(fmt.Sprintf("%s, pieces of %d, %d before", name, piece, before), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						c := qt.New(t)
						transport := http1.New(&http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
							node, server := net.Pipe()
							go answerInPieces(server, before, test.answer, piece)
							return node, nil
						}})
						for range before {
							body, err := get(c, transport)
							c.Check(err, qt.IsNil)
							c.Check(body, qt.Equals, blankLines)
						}
						body, err := get(c, transport)
						if test.folded {
							c.Check(err, qt.ErrorIs, http1.ErrNoResponse)
						} else {
							c.Check(err, qt.IsNil)
							c.Check(body, qt.Equals, blankLines)
						}
						transport.CloseIdleConnections()
						time.Sleep(time.Second) // until the server has ended
					})
				})
			}
		}
	}
}

// answerInPieces answers some requests with a sound answer and the next one with another
// answer, in pieces of a size in bytes, until the connection is closed.
func answerInPieces(connection net.Conn, sound int, answer string, size int) {
	reader := bufio.NewReader(connection)
	for number := 0; ; number++ {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		text := answer
		if number < sound {
			text = foldedAnswers["length"].answer
		}
		for len(text) > 0 {
			count := min(size, len(text))
			if _, err := io.WriteString(connection, text[:count]); err != nil {
				return
			}
			text = text[count:]
			time.Sleep(time.Millisecond)
		}
	}
}

// get sends a request that may not be sent again and reads the answer.
func get(c *qt.C, transport http.RoundTripper) (body string, err error) {
	ctx, cancel := context.WithTimeout(c.Context(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://192.0.2.1/", http.NoBody)
	c.Assert(err, qt.IsNil)
	return exchange(transport, request)
}
