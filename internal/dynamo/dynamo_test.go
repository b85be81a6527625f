package dynamo_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/aws/aws-sdk-go-v2/credentials"
	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/dynamo"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/internal/table"
)

func newStore(url string) *dynamo.Store {
	return dynamo.New(dynamo.Store{
		Endpoint: url, Region: "local", Table: "t",
		Credentials: credentials.NewStaticCredentialsProvider("id", "secret", ""),
	})
}

func TestTransactMapsEachOutcome(t *testing.T) {
	tests := map[string]struct {
		status int
		body   string
		want   error
	}{
		"condition":   {400, `{"__type":"x#TransactionCanceledException","CancellationReasons":[{"Code":"None"},{"Code":"ConditionalCheckFailed"}]}`, table.ErrConflict},
		"concurrent":  {400, `{"__type":"x#TransactionCanceledException","CancellationReasons":[{"Code":"TransactionConflict"}]}`, table.ErrConflict},
		"capacity":    {400, `{"__type":"x#TransactionCanceledException","CancellationReasons":[{"Code":"ThrottlingError"}]}`, table.ErrUnavailable},
		"throttled":   {400, `{"__type":"x#ProvisionedThroughputExceededException"}`, table.ErrUnavailable},
		"in progress": {400, `{"__type":"x#TransactionInProgressException"}`, table.ErrOutcomeUnknown},
		"server":      {500, `{"__type":"x#InternalServerError"}`, table.ErrOutcomeUnknown},
		"aborted":     {0, "", table.ErrOutcomeUnknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var calls atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				_, _ = io.Copy(io.Discard, r.Body)
				if test.status == 0 {
					panic(http.ErrAbortHandler)
				}
				w.Header().Set("Content-Type", "application/x-amz-json-1.0")
				w.WriteHeader(test.status)
				_, _ = io.WriteString(w, test.body)
			}))
			defer server.Close()
			write := table.Write{Key: table.Key{Partition: "p", Sort: "s"}, Body: []byte("x")}
			err := newStore(server.URL).Transact(t.Context(), "token", []table.Write{write})
			c.Assert(err, qt.ErrorIs, test.want)
			c.Assert(err, qt.ErrorMatches, `table transact p/s: .*`)
			c.Assert(calls.Load(), qt.Equals, int32(1))
		})
	}
}

func TestRefusedConnectionIsUnavailable(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	store := newStore(server.URL)
	err := store.Transact(t.Context(), "token", []table.Write{{Body: []byte("x")}})
	c.Assert(err, qt.ErrorIs, table.ErrUnavailable)
	_, err = store.Get(t.Context(), table.Key{Partition: "p", Sort: "s"})
	c.Assert(err, qt.ErrorIs, table.ErrUnavailable)
}

func TestStoreAgainstStandInTable(t *testing.T) {
	c := qt.New(t)
	ctx := t.Context()
	backing := standin.NewTable()
	server := httptest.NewServer(standin.NewTableServer(backing))
	defer server.Close()
	store := dynamo.New(dynamo.Store{
		Endpoint: server.URL, Region: "local", Table: standin.TableName,
		Credentials: credentials.NewStaticCredentialsProvider("id", "secret", ""),
	})
	key := func(sort string) table.Key { return table.Key{Partition: "p", Sort: sort} }
	put := []table.Write{{Key: key("a#1"), Body: []byte("1")}, {Key: key("a#2"), Body: []byte("2")}, {Key: key("b"), Body: []byte("3")}}
	c.Assert(store.Transact(ctx, "1", put), qt.IsNil)
	c.Assert(store.Transact(ctx, "1", put), qt.IsNil)
	c.Assert(store.Transact(ctx, "2", put[:1]), qt.ErrorIs, table.ErrConflict)
	record, err := store.Get(ctx, key("a#1"))
	c.Assert(err, qt.IsNil)
	c.Assert(record, qt.DeepEquals, table.Record{Key: key("a#1"), Version: 1, Body: []byte("1")})
	_, err = store.Get(ctx, key("c"))
	c.Assert(err, qt.ErrorIs, table.ErrNotFound)
	records, err := store.Query(ctx, table.Range{Partition: "p", Prefix: "a#", After: "a#1"})
	c.Assert(err, qt.IsNil)
	c.Assert(records, qt.HasLen, 1)
	c.Assert(records[0].Key.Sort, qt.Equals, "a#2")
	changes := []table.Write{{Key: key("a#1"), Expect: 1, CheckOnly: true}, {Key: key("b"), Expect: 1}}
	c.Assert(store.Transact(ctx, "3", changes), qt.IsNil)
	_, err = store.Get(ctx, key("b"))
	c.Assert(err, qt.ErrorIs, table.ErrNotFound)
	backing.SetFaults(standin.TableFaults{LoseAnswers: 1})
	err = store.Transact(ctx, "4", []table.Write{{Key: key("d"), Body: []byte("4")}})
	c.Assert(err, qt.ErrorIs, table.ErrOutcomeUnknown)
	backing.SetFaults(standin.TableFaults{Down: true})
	err = store.Transact(ctx, "5", []table.Write{{Key: key("e"), Body: []byte("5")}})
	c.Assert(err, qt.Not(qt.ErrorIs), table.ErrConflict)
	_, err = store.Get(ctx, key("d"))
	c.Assert(err, qt.ErrorIs, table.ErrUnavailable)
}
