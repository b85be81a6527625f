package http1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/http1"
)

// TestOnlyFinalResponsesAreAnswers guards against exchanges that never end because a server
// answered with a change of protocol that nobody asked for. After any head that is no final
// response the exchange fails and its connection is closed; others are answers.
func TestOnlyFinalResponsesAreAnswers(t *testing.T) {
	// withoutBody is a broken field of an answer that nothing follows, so that net/http
	// would use its connection again.
	const withoutBody = "\r\nOdd Name: a"
	for head, final := range map[string]bool{
		"101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: stream": false,
		"101 Switching Protocols\r\nContent-Length: 2":                      false,
		"000 Nothing\r\nContent-Length: 2":                                  false,
		"099 Nothing\r\nContent-Length: 2":                                  false,
		"099 Nothing\r\nContent-Length: 0":                                  false,
		"200 OK\r\nContent-Length : 2":                                      false,
		"201 OK\r\nContent-Length: 2\r\nOdd : a":                            false,
		"202 OK\r\nContent-Length: 0" + withoutBody:                         false,
		"204 No Content" + withoutBody:                                      false,
		"200 OK\r\nContent-Length: 2":                                       true,
		"503 Full\r\nContent-Length: 2":                                     true,
		"777 What\r\nContent-Length: 2":                                     true,
	} {
		t.Run(head[:3], func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				closed, body := false, "no"
				if strings.HasSuffix(head, withoutBody) {
					body = ""
				}
				transport := http1.New(&http.Transport{
					DialContext: func(context.Context, string, string) (net.Conn, error) {
						node, server := net.Pipe()
						go func() {
							reader := bufio.NewReader(server)
							_, _ = http.ReadRequest(reader)
							_, _ = io.WriteString(server, "HTTP/1.1 "+head+"\r\n\r\n"+body)
							_, _ = io.Copy(io.Discard, reader)
							closed = true
						}()
						return node, nil
					},
				})
				ctx, cancel := context.WithTimeout(c.Context(), time.Second)
				defer cancel()
				request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://192.0.2.1/", http.NoBody)
				c.Assert(err, qt.IsNil)
				response, err := transport.RoundTrip(request)
				if final {
					c.Assert(err, qt.IsNil)
					body, err := io.ReadAll(response.Body)
					c.Check(string(body), qt.Equals, "no")
					c.Check(err, qt.IsNil)
					c.Check(response.Body.Close(), qt.IsNil)
					transport.CloseIdleConnections()
					return
				}
				c.Check(err, qt.ErrorIs, http1.ErrNoResponse)
				synctest.Wait()
				c.Check(closed, qt.IsTrue)
			})
		})
	}
}
