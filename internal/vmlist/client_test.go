package vmlist_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

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
