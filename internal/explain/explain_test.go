package explain_test

import (
	"bytes"
	"flag"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/explain"
)

var update = flag.Bool("update", false, "write the golden file anew")

func TestStory(t *testing.T) {
	c := qt.New(t)
	node, err := os.Open("testdata/node.log")
	c.Assert(err, qt.IsNil)
	defer node.Close()
	scheduler, err := os.Open("testdata/scheduler.log")
	c.Assert(err, qt.IsNil)
	defer scheduler.Close()
	story, err := explain.Read("r1", scheduler, node)
	c.Assert(err, qt.IsNil)
	var out bytes.Buffer
	story.Write(&out)
	if *update {
		c.Assert(os.WriteFile("testdata/story.want", out.Bytes(), 0o600), qt.IsNil)
	}
	want, err := os.ReadFile("testdata/story.want")
	c.Assert(err, qt.IsNil)
	c.Assert(out.String(), qt.Equals, string(want))
}

func TestUnknownRequest(t *testing.T) {
	_, err := explain.Read("r9", strings.NewReader("{}\n"))
	qt.Assert(t, err, qt.ErrorMatches, `request "r9" is in none of the logs`)
}
