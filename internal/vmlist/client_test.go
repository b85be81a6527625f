package vmlist_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/internal/vmlist"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

func TestCacheKeepsNewestListOnOlderOrFailedRead(t *testing.T) {
	c := qt.New(t)
	answer, status := vmlist.List{}, http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.Check(r.URL.Path, qt.Equals, "/vms")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(answer)
	}))
	defer server.Close()
	cache := vmlist.Cache{Source: &vmlist.Client{URL: server.URL + "/"}}
	at := time.Now()
	answer = vmlist.List{AsOf: at, VMs: []vmlist.VM{
		{ID: "a", Pool: "engines", Memory: fleet.GiB, State: vmlist.Live}, {ID: "b", Pool: "counter", State: vmlist.Leaving, ReclaimAt: at},
	}}
	c.Assert(cache.Poll(t.Context()), qt.IsNil)
	c.Assert(cache.VMs(), qt.HasLen, 2)
	c.Assert(cache.InPool("engines")[0].Memory, qt.Equals, fleet.GiB)
	answer = vmlist.List{AsOf: at.Add(-time.Minute)}
	c.Assert(cache.Poll(t.Context()), qt.IsNil)
	c.Assert(cache.VMs(), qt.HasLen, 2)
	status = http.StatusServiceUnavailable
	c.Assert(cache.Poll(t.Context()), qt.ErrorMatches, "VM list of .*: status 503.*")
	c.Assert(cache.VMs(), qt.HasLen, 2)
}

// TestOddVMLeavesTheOthersListed guards against a list that is not followed any more
// because the description of one VM can't be decoded or names no server.
func TestOddVMLeavesTheOthersListed(t *testing.T) {
	const good = `{"id":"a","pool":"engines","address":"10.0.0.1:80","memory":"16GiB","state":"live"}`
	for _, odd := range []string{
		`{"id":"b","memory":"-5GiB"}`, `{"id":"b","memory":16}`, `{"id":"b","accelerators":1e30}`, `{"id":"b","accelerators":-1}`,
		`{"id":7}`, `{}`, `{"id":""}`, `null`, `[]`, `"b"`, `{"id":"b","address":"10.0.0.1:99999"}`, `{"id":"b","address":"10.0.0.1:0"}`,
		`{"id":"b","address":"0.0.0.0:80"}`, `{"id":"b","address":"[::]:80"}`, `{"id":"b","address":"224.0.0.1:80"}`, `{"id":"b","reclaimAt":"soon"}`,
	} {
		c := qt.New(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"asOf":"2026-12-05T02:00:00Z","vms":[`+odd+","+good+"]}")
		}))
		cache := vmlist.Cache{Source: &vmlist.Client{URL: server.URL}, Metrics: metrics.NewRegistry()}
		c.Check(cache.Poll(t.Context()), qt.IsNil, qt.Commentf("%s", odd))
		server.Close()
		c.Assert(cache.VMs(), qt.HasLen, 1, qt.Commentf("%s", odd))
		c.Check(cache.VMs()[0].ID, qt.Equals, fleet.ServerID("a"))
		c.Check(metrics.GetOrRegisterCounter("vmList.unreadableVMs", cache.Metrics).Count(), qt.Equals, int64(1))
	}
}

// fixedList is a list that a test sets.
type fixedList struct{ list vmlist.List }

func (f *fixedList) List(context.Context) (vmlist.List, error) { return f.list, nil }

// TestListOfTheFutureIsNotKept guards against a list that is not followed any more because
// one answer had a time far in the future, so that all later ones count as older.
func TestListOfTheFutureIsNotKept(t *testing.T) {
	c := qt.New(t)
	source := &fixedList{}
	cache := vmlist.Cache{Source: source, Metrics: metrics.NewRegistry()}
	poll := func(asOf time.Time, id fleet.ServerID) error {
		source.list = vmlist.List{AsOf: asOf, VMs: []vmlist.VM{{ID: id}}}
		return cache.Poll(t.Context())
	}
	c.Assert(poll(time.Now(), "a"), qt.IsNil)
	c.Check(poll(time.Now().AddDate(1000, 0, 0), "odd"), qt.IsNotNil)
	c.Check(cache.VMs()[0].ID, qt.Equals, fleet.ServerID("a"))
	c.Assert(poll(time.Now(), "b"), qt.IsNil)
	c.Check(cache.VMs()[0].ID, qt.Equals, fleet.ServerID("b"))
}
