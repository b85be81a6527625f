package fleet_test

import (
	"encoding/json"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

func ExampleParseItem() {
	item := fleet.ParseItem("hop-advisor:spring")
	fmt.Println(item.Model, item.Adapter, item.Base())
	// Output: hop-advisor spring hop-advisor
}

func ExampleBytes() {
	size, err := fleet.ParseBytes("1.5GiB")
	fmt.Println(size, err)
	// Output: 1536MiB <nil>
}

func TestBytesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := fleet.Bytes(rapid.Int64Range(0, 1<<52).Draw(t, "size"))
		text, err := json.Marshal(size)
		if err != nil {
			t.Fatal(err)
		}
		var decoded fleet.Bytes
		if err := json.Unmarshal(text, &decoded); err != nil || decoded != size {
			t.Fatalf("%s read as %d: %v", text, decoded, err)
		}
	})
}

func TestUnitErrorsContainTheValue(t *testing.T) {
	c := qt.New(t)
	var size fleet.Bytes
	c.Assert(json.Unmarshal([]byte(`"12"`), &size), qt.ErrorMatches, `.*size "12": missing unit.*`)
	c.Assert(json.Unmarshal([]byte(`"xMiB"`), &size), qt.ErrorMatches, `.*size "xMiB": not a number.*`)
	c.Assert(json.Unmarshal([]byte(`"1e30GiB"`), &size), qt.ErrorMatches, `.*size "1e30GiB".*`)
	var duration fleet.Duration
	c.Assert(json.Unmarshal([]byte(`"12"`), &duration), qt.ErrorMatches, `duration "12": use a number.*`)
}
