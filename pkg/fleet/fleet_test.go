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
		var read fleet.Bytes
		if err := json.Unmarshal(text, &read); err != nil || read != size {
			t.Fatalf("%s read as %d: %v", text, read, err)
		}
	})
}

func TestUnitErrorsNameTheValue(t *testing.T) {
	c := qt.New(t)
	var size fleet.Bytes
	c.Assert(json.Unmarshal([]byte(`"12"`), &size), qt.ErrorMatches, `.*size "12": missing unit.*`)
	c.Assert(json.Unmarshal([]byte(`"xMiB"`), &size), qt.ErrorMatches, `.*size "xMiB": not a number.*`)
	c.Assert(json.Unmarshal([]byte(`"1e30GiB"`), &size), qt.ErrorMatches, `.*size "1e30GiB".*`)
	var span fleet.Duration
	c.Assert(json.Unmarshal([]byte(`"12"`), &span), qt.ErrorMatches, `duration "12": use a number.*`)
}
