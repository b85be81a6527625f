package table_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/internal/table"
)

func TestAllReadsARangePageByPage(t *testing.T) {
	c := qt.New(t)
	store := standin.NewTable()
	for i := range 7 {
		write := table.Write{Key: table.Key{Partition: "p", Sort: fmt.Sprint("k", i)}, Body: []byte("{}")}
		c.Assert(store.Transact(t.Context(), "", []table.Write{write}), qt.IsNil)
	}
	read := func(limit, most int) (keys []string, err error) {
		for record, err := range table.All(t.Context(), store, table.Range{Partition: "p", After: "k0", Limit: limit}) {
			if err != nil {
				return keys, err
			}
			if keys = append(keys, record.Key.Sort); len(keys) == most {
				break
			}
		}
		return keys, nil
	}
	for _, limit := range []int{0, 1, 2, 3, 6, 9} {
		keys, err := read(limit, 9)
		c.Assert(err, qt.IsNil)
		c.Check(keys, qt.DeepEquals, []string{"k1", "k2", "k3", "k4", "k5", "k6"})
	}
	keys, err := read(2, 3)
	c.Assert(err, qt.IsNil)
	c.Check(keys, qt.DeepEquals, []string{"k1", "k2", "k3"})
	store.SetFaults(standin.TableFaults{Down: true})
	keys, err = read(2, 9)
	c.Check(err, qt.ErrorIs, table.ErrUnavailable)
	c.Check(keys, qt.HasLen, 0)
}
