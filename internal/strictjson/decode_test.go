package strictjson_test

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/strictjson"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

type document struct {
	Name    string                     `json:"name"`
	Size    fleet.Bytes                `json:"size"`
	Max     int                        `json:"max"`
	Number  uint64                     `json:"number"`
	Share   float64                    `json:"share"`
	On      bool                       `json:"on"`
	Parts   map[fleet.PoolID]*document `json:"parts"`
	List    []document                 `json:"list"`
	Timeout *fleet.Duration            `json:"timeout"`
	fleet.Place
}

func TestDecodeReportsEveryMistakeWithItsPath(t *testing.T) {
	tests := []struct{ about, text, want string }{
		{"right", `{"name":"a","size":"2GiB","parts":{"x":null},"region":"r","share":0.5,"timeout":"3s"}`, ""},
		{"unit", `{"size":"2","timeout":7}`, `size: size "2": missing unit, use B, KiB, MiB, GiB or TiB
timeout: want a string, found 7`},
		{"nested", `{"parts":{"x":{"max":"y","list":[{},{"on":1}]}}}`, `parts.x.max: want a number, found "y"
parts.x.list[1].on: want true or false, found 1`},
		{"unknown", `{"Name":"a"}`, `Name: unknown field, known are failureDomain, list, max, name, number, on, parts, region, share, size, timeout`},
		{"twice", `{"max":1,"max":2}`, `max: key is given twice`},
		{"numbers", `{"max":1.5,"number":-1,"share":1e999}`, `max: want a whole number of 64 bits, found 1.5
number: want a whole number from 0, found -1
share: want a number, found 1e999`},
		{"behind", `{} {}`, `line 1, column 3: text behind the end of the JSON value`},
		{"cut", "{\n\"max\":", `line 2, column 7: not valid JSON: EOF`},
		{"kind", `[]`, `want an object, found an array`},
		{"empty", ``, `line 1, column 1: not valid JSON: EOF`},
	}
	for _, test := range tests {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			var into document
			err := strictjson.Decode([]byte(test.text), &into)
			if test.want == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.Not(qt.IsNil))
			c.Assert(err.Error(), qt.Equals, test.want)
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name":"a","parts":{"x":{"list":[{"max":3}]}},"size":"1GiB"}`))
	f.Add([]byte(`{"max":"1","timeout":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var strict, plain document
		if strictjson.Decode(data, &strict) != nil {
			return
		}
		if err := json.Unmarshal(data, &plain); err != nil {
			t.Fatalf("strictjson accepts what encoding/json refuses: %v", err)
		}
		qt.Assert(t, strict, qt.DeepEquals, plain)
	})
}
