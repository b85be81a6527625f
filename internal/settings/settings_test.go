package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/settings"
)

// TestParse checks each JSON file in testdata against the problems listed in the
// .want file of the same name; an empty .want file means that the settings are
// valid.
func TestParse(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, files, qt.Not(qt.HasLen), 0)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			c := qt.New(t)
			text, err := os.ReadFile(file)
			c.Assert(err, qt.IsNil)
			want, err := os.ReadFile(strings.TrimSuffix(file, ".json") + ".want")
			c.Assert(err, qt.IsNil)
			got := ""
			if _, err := settings.Parse(text); err != nil {
				got = err.Error() + "\n"
			}
			c.Assert(got, qt.Equals, string(want))
		})
	}
}

func TestFormatParseRoundTrip(t *testing.T) {
	c := qt.New(t)
	given := settings.Defaults()
	given.AllowPlainText = true
	given.Node.Region, given.Node.FailureDomain = "bizkaia", "bizkaia-1"
	text, err := given.Format()
	c.Assert(err, qt.IsNil)
	read, err := settings.Parse(text)
	c.Assert(err, qt.IsNil)
	c.Assert(read, qt.DeepEquals, given)
}

func TestReadErrorNamesFile(t *testing.T) {
	_, err := settings.Read("testdata/missing.json")
	qt.Assert(t, err, qt.ErrorMatches, `settings testdata/missing.json: .*no such file.*`)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"allowPlainText":true,"node":{"region":"a","failureDomain":"b"}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		read, err := settings.Parse(text)
		if err != nil {
			return
		}
		again, err := read.Format()
		qt.Assert(t, err, qt.IsNil)
		reread, err := settings.Parse(again)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, reread, qt.DeepEquals, read)
	})
}
