package hostile_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/platform/standin"
)

// TestLargeRequestsWithinTheLimitsAreServed guards against limits that callers within the documented
// ones meet on a calm node: a header of 16,000 bytes in 200 fields, with a body of the largest
// size, of known and of unknown length, and many requests on one connection.
func TestLargeRequestsWithinTheLimitsAreServed(t *testing.T) {
	n := startNode(t)
	client := &http.Client{Timeout: serviceTimeout}
	for i := range 40 {
		body := filler
		if i >= 4 {
			body = "small"
		}
		request, err := standin.NewRequest(n.config.Callers.Listen, http.MethodPost, standin.Repeatable+"x", "", body)
		n.Assert(err, qt.IsNil)
		if i%2 == 1 {
			request.Body, request.ContentLength = io.NopCloser(strings.NewReader(body)), -1
		}
		for field := range 195 {
			request.Header.Set("X-Field-"+strconv.Itoa(field), strings.Repeat("v", 66))
		}
		response, err := client.Do(request)
		n.Assert(err, qt.IsNil)
		n.Check(response.StatusCode, qt.Equals, http.StatusOK)
		answer, err := io.ReadAll(response.Body)
		n.Check(err, qt.IsNil)
		n.Check(strings.HasSuffix(string(answer), body), qt.IsTrue)
		_ = response.Body.Close()
	}
	n.Check(n.peakMemory() <= int64(memoryLimit), qt.IsTrue, qt.Commentf("memory: %d", n.peakMemory()))
}
