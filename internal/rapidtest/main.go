// Package rapidtest runs the tests of packages with property tests.
package rapidtest

import (
	"flag"
	"os"
	"testing"
)

// Main runs the tests of a package and ends the process. Unless a seed is given, that of the
// property tests is fixed, so that each run gives the same verdict.
func Main(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
