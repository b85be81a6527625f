package settings

import (
	"github.com/guavatrack/guavatrack/internal/strictjson"
)

// leastDescriptors is the least number of descriptors with which a node runs.
const leastDescriptors = 512

// checkOnPlatform returns every mistake in the settings of a node on a platform.
func (s *Settings) checkOnPlatform() strictjson.FieldErrors {
	c := checker{}
	p := s.Platform
	c.given("node.name", s.Node.Name)
	c.given("node.region", string(s.Node.Region))
	c.given("node.failureDomain", string(s.Node.FailureDomain))
	c.address("callers.listen", s.Callers.Listen)
	c.address("peers.listen", s.Peers.Listen)
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", s.Log.Format, "json", "text")
	c.address("platform.store", p.Store)
	c.address("platform.readiness", p.Readiness)
	c.address("platform.lookup", p.Lookup)
	c.address("platform.metrics", p.Metrics)
	c.span("platform.keepFor", p.KeepFor)
	c.span("platform.grace", p.Grace)
	c.span("platform.handOver", p.HandOver)
	c.size("platform.memory", p.Memory)
	if p.Descriptors < leastDescriptors {
		c.problems.Add("platform.descriptors", "must be at least %d", leastDescriptors)
	}
	if p.Cores < 0 {
		c.problems.Add("platform.cores", "must not be below 0")
	}
	if p.Regions[s.Node.FailureDomain] != s.Node.Region {
		c.problems.Add("platform.regions", "must have the node's failure domain %q in its region %q",
			s.Node.FailureDomain, s.Node.Region)
	}
	if p.Retries.Ratio < 0 {
		c.problems.Add("platform.retries.ratio", "must not be below 0")
	}
	if p.Retries.Slack < 0 {
		c.problems.Add("platform.retries.slack", "must not be below 0")
	}
	return c.problems
}
