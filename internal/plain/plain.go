// Package plain routes calls to plain services: backend servers that run no
// models and are reached under a path prefix.
package plain

import (
	"strings"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// defaultTimeout is the timeout of a call whose route configures none.
const defaultTimeout = 30 * time.Second

// Target is the destination of a call to a plain service and how to call it.
type Target struct {
	Service fleet.ServiceID
	Pool    fleet.PoolID
	// Path is the rest of the path after the service's prefix, with a leading
	// slash.
	Path string
	// Idempotent is set if the call may run more than once.
	Idempotent bool
	Timeout    time.Duration
}

// Match finds the service with the longest prefix of the path, and within it
// the route with the longest path for the method. A call that no route matches
// is not idempotent.
func Match(snapshot *ticket.Snapshot, method, path string) (target Target, found bool) {
	longest := -1
	var service *ticket.Service
	for id, candidate := range snapshot.Services {
		prefix := strings.TrimSuffix(candidate.Prefix, "/")
		rest, matches := strings.CutPrefix(path, prefix)
		if !matches || rest != "" && rest[0] != '/' || len(prefix) <= longest || prefix == "" {
			continue
		}
		longest, service = len(prefix), candidate
		target = Target{Service: id, Pool: candidate.Pool, Path: "/" + strings.TrimPrefix(rest, "/")}
	}
	if service == nil {
		return Target{}, false
	}
	target.applyRoute(service.Routes, method)
	return target, true
}

// applyRoute sets the timeout and idempotency from the route with the longest
// matching path.
func (t *Target) applyRoute(routes []ticket.Route, method string) {
	longest := -1
	t.Timeout = defaultTimeout
	for _, route := range routes {
		path := "/" + strings.TrimPrefix(route.Path, "/")
		if route.Method != method || !strings.HasPrefix(t.Path, path) || len(path) <= longest {
			continue
		}
		longest = len(path)
		t.Idempotent = route.Idempotent
		t.Timeout = defaultTimeout
		if route.Timeout > 0 {
			t.Timeout = route.Timeout.Std()
		}
	}
}
