package standin_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/internal/table"
)

func TestTableAppliesAllWritesOrNone(t *testing.T) {
	c := qt.New(t)
	ctx := t.Context()
	store := standin.NewTable()
	a, b := table.Key{Partition: "p", Sort: "a"}, table.Key{Partition: "p", Sort: "b"}
	c.Assert(store.Transact(ctx, "1", []table.Write{{Key: a, Body: []byte("1")}}), qt.IsNil)
	err := store.Transact(ctx, "2", []table.Write{{Key: b, Body: []byte("1")}, {Key: a, Body: []byte("2")}})
	c.Assert(err, qt.ErrorIs, table.ErrConflict)
	_, err = store.Get(ctx, b)
	c.Assert(err, qt.ErrorIs, table.ErrNotFound)
}

func TestTableLosesAnswersAfterTheEffect(t *testing.T) {
	c := qt.New(t)
	ctx := t.Context()
	store := standin.NewTable()
	key := table.Key{Partition: "p", Sort: "a"}
	store.SetFaults(standin.TableFaults{LoseAnswers: 1})
	write := []table.Write{{Key: key, Body: []byte("1")}}
	c.Assert(store.Transact(ctx, "1", write), qt.ErrorIs, table.ErrOutcomeUnknown)
	c.Assert(store.Transact(ctx, "1", write), qt.IsNil)
	record, err := store.Get(ctx, key)
	c.Assert(err, qt.IsNil)
	c.Assert(record.Version, qt.Equals, table.Version(1))
	store.SetFaults(standin.TableFaults{Down: true})
	_, err = store.Query(ctx, table.Range{Partition: "p"})
	c.Assert(err, qt.ErrorIs, table.ErrUnavailable)
}

func TestTableQueriesARangeInOrder(t *testing.T) {
	c := qt.New(t)
	ctx := t.Context()
	store := standin.NewTable()
	for _, sort := range []string{"b/2", "a/1", "b/1", "b/3", "c/1"} {
		write := table.Write{Key: table.Key{Partition: "p", Sort: sort}, Body: []byte("1")}
		c.Assert(store.Transact(ctx, "", []table.Write{write}), qt.IsNil)
	}
	deleted := table.Write{Key: table.Key{Partition: "p", Sort: "c/1"}, Expect: 1}
	c.Assert(store.Transact(ctx, "", []table.Write{deleted}), qt.IsNil)
	for _, test := range []struct {
		span table.Range
		want []string
	}{
		{table.Range{Partition: "p"}, []string{"a/1", "b/1", "b/2", "b/3"}},
		{table.Range{Partition: "p", Prefix: "b/"}, []string{"b/1", "b/2", "b/3"}},
		{table.Range{Partition: "p", Prefix: "b/", After: "b/1"}, []string{"b/2", "b/3"}},
		{table.Range{Partition: "p", Prefix: "b/", After: "a/1", Limit: 1}, []string{"b/1"}},
		{table.Range{Partition: "p", After: "b/3"}, []string{}},
		{table.Range{Partition: "q"}, []string{}},
	} {
		records, err := store.Query(ctx, test.span)
		c.Assert(err, qt.IsNil)
		got := make([]string, 0, len(records))
		for _, record := range records {
			got = append(got, record.Key.Sort)
		}
		c.Assert(got, qt.DeepEquals, test.want)
	}
}
