package packed_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/packed"
)

func Example() {
	list, err := packed.Encode([]string{"a", "b"})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Printf("%s\n", list.Plain)
	entries, err := packed.Decode[string](list)
	fmt.Println(entries, err)
	// Output:
	// ["a","b"]
	// [a b] <nil>
}

func TestListsKeepTheirEntries(t *testing.T) {
	c := qt.New(t)
	for _, entries := range [][]string{nil, {"one"}, {strings.Repeat("long", 2000), "two"}, {strings.Repeat("x", 1<<20)}} {
		list, err := packed.Encode(entries)
		c.Assert(err, qt.IsNil)
		c.Assert(len(list.Plain) == 0 || len(list.Zipped) == 0, qt.IsTrue)
		decoded, err := packed.Decode[string](list)
		c.Assert(err, qt.IsNil)
		c.Assert(decoded, qt.DeepEquals, entries)
	}
}

func TestDamagedListIsAnError(t *testing.T) {
	c := qt.New(t)
	list, err := packed.Encode([]string{strings.Repeat("long", 2000)})
	c.Assert(err, qt.IsNil)
	for _, damaged := range []packed.List{
		{Plain: []byte("{")}, {Zipped: []byte("no gzip")}, {Zipped: list.Zipped[:len(list.Zipped)/2]},
	} {
		_, err := packed.Decode[string](damaged)
		c.Check(err, qt.ErrorMatches, "decode list: .*")
	}
}
