package node

import (
	"slices"

	"github.com/guavatrack/guavatrack/internal/batch"
	"github.com/guavatrack/guavatrack/internal/caller"
	"github.com/guavatrack/guavatrack/internal/claim"
	"github.com/guavatrack/guavatrack/internal/config"
	"github.com/guavatrack/guavatrack/internal/connlimit"
	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/edgelog"
	"github.com/guavatrack/guavatrack/internal/grant"
	"github.com/guavatrack/guavatrack/internal/lookup"
	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/internal/metric"
	"github.com/guavatrack/guavatrack/internal/origin"
	"github.com/guavatrack/guavatrack/internal/peer"
	"github.com/guavatrack/guavatrack/internal/placement"
	"github.com/guavatrack/guavatrack/internal/poison"
	"github.com/guavatrack/guavatrack/internal/policy"
	"github.com/guavatrack/guavatrack/internal/quota"
	"github.com/guavatrack/guavatrack/internal/ratelimit"
	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/internal/vmlist"
	"github.com/guavatrack/guavatrack/platform"
)

// Metrics returns the documentation of every metric that a node registers.
func Metrics() []metric.Doc {
	return slices.Concat(
		batch.Metrics, caller.Metrics, claim.Metrics, config.Metrics, connlimit.Metrics, dispatch.Metrics, edgelog.Metrics, grant.Metrics, lookup.Metrics,
		member.Metrics, origin.Metrics, peer.Metrics, placement.Metrics, platform.Metrics, poison.Metrics, policy.Metrics, quota.Metrics, ratelimit.Metrics,
		roster.Metrics,
		vmlist.Metrics,
	)
}
