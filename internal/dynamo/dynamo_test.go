package dynamo_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/aws/aws-sdk-go-v2/credentials"
	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/dynamo"
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
		"in progress": {400, `{"__type":"x#TransactionInProgressException"}`, table.ErrUnknown},
		"server":      {500, `{"__type":"x#InternalServerError"}`, table.ErrUnknown},
		"aborted":     {0, "", table.ErrUnknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			calls := 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls++
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
			c.Assert(calls, qt.Equals, 1)
		})
	}
}

func TestTransactRefusedDialIsUnavailable(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	store := newStore(server.URL)
	err := store.Transact(t.Context(), "token", []table.Write{{Body: []byte("x")}})
	c.Assert(err, qt.ErrorIs, table.ErrUnavailable)
	_, err = store.Get(t.Context(), table.Key{Partition: "p", Sort: "s"})
	c.Assert(err, qt.ErrorIs, table.ErrUnavailable)
}
