package explain_test

import (
	"bytes"
	"flag"
	"io"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/explain"
)

var update = flag.Bool("update", false, "write the golden file anew")

func TestWriteMatchesGoldenFile(t *testing.T) {
	checkStory(t, "testdata/story.want", "testdata/scheduler.log", "testdata/node.log")
}

// checkStory compares the story of the request r1 in logs with a golden file.
func checkStory(t *testing.T, golden string, logs ...string) {
	t.Helper()
	c := qt.New(t)
	readers := make([]io.Reader, 0, len(logs))
	for _, name := range logs {
		log, err := os.Open(name)
		c.Assert(err, qt.IsNil)
		defer log.Close()
		readers = append(readers, log)
	}
	timeline, err := explain.Read("r1", readers...)
	c.Assert(err, qt.IsNil)
	var out bytes.Buffer
	timeline.Write(&out)
	if *update {
		c.Assert(os.WriteFile(golden, out.Bytes(), 0o600), qt.IsNil)
	}
	want, err := os.ReadFile(golden)
	c.Assert(err, qt.IsNil)
	c.Assert(out.String(), qt.Equals, string(want))
}

// TestCutOffMatchesGoldenFile checks the story of a request whose caller got a part of
// its answer, beside a change of the manifest.
func TestCutOffMatchesGoldenFile(t *testing.T) {
	checkStory(t, "testdata/cutoff.want", "testdata/cutoff.log")
}

// TestContinuedStreamMatchesGoldenFile checks the story of a request for the rest of a
// stream that an earlier request began, and whose last server of its version leaves.
func TestContinuedStreamMatchesGoldenFile(t *testing.T) {
	checkStory(t, "testdata/stream.want", "testdata/stream.log")
}

func TestReadFailsForUnknownRequest(t *testing.T) {
	_, err := explain.Read("r9", strings.NewReader("{}\n"))
	qt.Assert(t, err, qt.ErrorMatches, `request "r9" is in none of the logs`)
}

// TestCauses checks the summary of one kind of failure in each case.
func TestCauses(t *testing.T) {
	ended := `{"time":"2026-03-01T10:00:09Z","msg":"request ended","vm":"v1","request":"r1","took":9000000000,` +
		`"mayHaveRun":false,"outcome":"deadlineUnreachable"}`
	queued := `{"time":"2026-03-01T10:00:00Z","msg":"request queued","vm":"v1","request":"r1","item":"m7"}`
	for _, test := range []struct {
		name string
		log  []string
		want []string
	}{
		{"nothing was ordered", []string{queued, ended}, []string{
			"ended after 9s: deadlineUnreachable; it has not run", "while it waited no order about m7 was given",
		}},
		{"refused for a part of its prompt", []string{
			`{"time":"2026-03-01T10:00:08Z","msg":"request refused for crashes","vm":"v1","request":"r1","digest":"part-5c1e",` +
				`"crashes":3,"for":9500000000}`, ended,
		}, []string{
			"ended after 9s: deadlineUnreachable; it has not run",
			"it was refused for 9.5s since 3 crashes of servers are held against part-5c1e",
		}},
		{"orders were rejected", []string{
			queued, ended,
			`{"time":"2026-03-01T10:00:01Z","msg":"order sent","vm":"v2","load":false,"item":"m2","for":"m7","server":"e1"}`,
			`{"time":"2026-03-01T10:00:02Z","msg":"order answered","vm":"v2","load":true,"item":"m7","server":"e1","outcome":"conflict"}`,
		}, []string{
			"ended after 9s: deadlineUnreachable; it has not run",
			"while it waited, orders about m7: 1 sent, loads accepted 0, rejected 1, done 0",
		}},
		{"the scheduler was paused and changed", []string{
			queued, ended,
			`{"time":"2026-03-01T10:00:08Z","msg":"process was paused","vm":"v2","took":7000000000}`,
			`{"time":"2026-03-01T10:00:03Z","msg":"scheduler lost","vm":"v1","node":"n2"}`,
			`{"time":"2026-03-01T10:00:04Z","msg":"scheduler lost","vm":"v1","node":"n2"}`,
		}, []string{
			"ended after 9s: deadlineUnreachable; it has not run", "while it waited no order about m7 was given",
			"the process on v2 was paused for 7s until 8.000s", "at 3.000s by v1: its node could not reach the scheduler",
		}},
		{"it was refused before dispatch", []string{
			`{"time":"2026-03-01T10:00:00Z","msg":"request refused at the edge","vm":"v1","request":"r1","status":404,"reason":"unknownPath: no route","manifest":7}`,
			`{"time":"2026-03-01T10:00:00Z","msg":"answer not written","vm":"v1","request":"r1","status":404,"error":"broken pipe"}`,
		}, []string{
			"refused before dispatch with status 404, manifest 7: unknownPath: no route; it has not run",
			"an answer with status 404 could not be written: broken pipe",
		}},
		{"the version of its stream was not found", []string{
			`{"time":"2026-03-01T10:00:00Z","msg":"rest of a stream requested","vm":"v1","request":"r1","resumes":"r0"}`,
			`{"time":"2026-03-01T10:00:01Z","msg":"version of a stream not found","vm":"v1","resumes":"r0","error":"store away"}`, ended,
		}, []string{
			"ended after 9s: deadlineUnreachable; it has not run",
			"it asks for the rest of the stream of request r0, whose software version was not found: store away",
		}},
		{"no server had the version of its stream", []string{
			`{"time":"2026-03-01T10:00:00Z","msg":"rest of a stream requested","vm":"v1","request":"r1","resumes":""}`,
			`{"time":"2026-03-01T10:00:01Z","msg":"no server of the version of a stream","vm":"v1","request":"r1","software":"v1",` +
				`"present":"v2,v3","begun":false}`, ended,
		}, []string{
			"ended after 9s: deadlineUnreachable; it has not run",
			"it goes on with a stream of a request that the caller does not name; it was sent to no server",
			"it was refused since no server of software version v1 was in service; versions in service: v2,v3",
		}},
		{"it was sent to two versions", []string{
			`{"time":"2026-03-01T10:00:00Z","msg":"request sent","vm":"v1","request":"r1","server":"e1","software":"v1"}`,
			`{"time":"2026-03-01T10:00:01Z","msg":"request sent","vm":"v1","request":"r1","server":"e2","software":"v2"}`,
			`{"time":"2026-03-01T10:00:02Z","msg":"request sent","vm":"v1","request":"r1","server":"e1","software":"v1"}`, ended,
		}, []string{
			"ended after 9s: deadlineUnreachable; it has not run", "it was sent to servers of software versions v1, v2",
		}},
		{"the node stopped", []string{queued}, []string{
			"the end of the request is in none of the logs: its node stopped, or its log is missing",
			"while it waited no order about m7 was given",
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			timeline, err := explain.Read("r1", strings.NewReader(strings.Join(test.log, "\n")))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, timeline.Causes(), qt.DeepEquals, test.want)
		})
	}
}
