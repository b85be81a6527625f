package trace_test

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/trace"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

func ExampleRead() {
	arrivals, err := trace.Read(strings.NewReader("atSeconds,model,adapter\n2.5,hop,\n1,hop,spring\n"))
	fmt.Println(arrivals, err)
	// Output: [{1s hop:spring} {2.5s hop}] <nil>
}

func TestReadErrorNamesTheLine(t *testing.T) {
	for _, test := range []struct{ name, text, message string }{
		{"empty", "", `read trace: line 1: EOF`},
		{"header", "at,model,adapter\n", `read trace: line 1: header .*`},
		{"number", "atSeconds,model,adapter\n1,m,\nx,m,\n", `read trace: line 3: atSeconds "x".*`},
		{"negative", "atSeconds,model,adapter\n-1,m,\n", `read trace: line 2: atSeconds "-1".*`},
		{"notANumber", "atSeconds,model,adapter\nNaN,m,\n", `read trace: line 2: atSeconds "NaN".*`},
		{"noModel", "atSeconds,model,adapter\n1,,a\n", `read trace: line 2: model is empty`},
		{"fields", "atSeconds,model,adapter\n1,m\n", `read trace: record on line 2: wrong number of fields`},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := trace.Read(strings.NewReader(test.text))
			qt.Assert(t, err, qt.ErrorMatches, test.message)
		})
	}
}

func testConfig(seed uint64) trace.Config {
	return trace.Config{
		Seed: seed, Models: 400, Adapters: 400, Span: 14 * 24 * time.Hour,
		MaxPerHour: 10, Night: 0.3, Weekend: 0.5,
	}
}

func TestGenerateDependsOnlyOnConfig(t *testing.T) {
	c := qt.New(t)
	first := trace.Generate(testConfig(1))
	c.Assert(slices.Equal(first, trace.Generate(testConfig(1))), qt.IsTrue)
	c.Assert(slices.Equal(first, trace.Generate(testConfig(2))), qt.IsFalse)
}

func TestGeneratedRatesFollowPublishedDistribution(t *testing.T) {
	c := qt.New(t)
	config := testConfig(1)
	counts := make(map[fleet.ModelID]int)
	night, day := 0, 0
	for _, arrival := range trace.Generate(config) {
		counts[arrival.Item.Model]++
		switch hour := int(arrival.At.Hours()) % 24; {
		case hour < 4:
			night++
		case hour >= 12 && hour < 16:
			day++
		}
	}
	perHour := 0
	for _, count := range counts {
		if float64(count) > config.Span.Hours() {
			perHour++
		}
	}
	// Models with at most 10 requests an hour are a share of
	// 0.45 + 0.36·log(10)/log(60) = 0.652 of all models; 0.202/0.652 = 31% of them
	// are requested more than once an hour. The tolerance is 8 percentage points,
	// for the sample of 400 models and for the requests that follow those for
	// correlated models.
	c.Assert(math.Abs(float64(perHour)/float64(config.Models)-0.31) < 0.08, qt.IsTrue, qt.Commentf("%d", perHour))
	c.Assert(night < day*3/4, qt.IsTrue, qt.Commentf("night %d, day %d", night, day))
}
