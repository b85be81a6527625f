package settings

import (
	"github.com/guavatrack/guavatrack/internal/strictjson"
)

// minDescriptors is the minimum number of file descriptors that a node needs.
const minDescriptors = 512

// checkOnPlatform returns all invalid settings of a node on a platform.
func (s *Settings) checkOnPlatform() strictjson.FieldErrors {
	c := checker{}
	p := s.Platform
	c.required("node.name", s.Node.Name)
	c.required("node.region", string(s.Node.Region))
	c.required("node.failureDomain", string(s.Node.FailureDomain))
	c.address("callers.listen", s.Callers.Listen)
	c.address("peers.listen", s.Peers.Listen)
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", s.Log.Format, "json", "text")
	c.address("platform.store", p.Store)
	c.address("platform.readiness", p.Readiness)
	c.address("platform.lookup", p.Lookup)
	c.address("platform.metrics", p.Metrics)
	if p.Forward != "" {
		c.address("platform.forward", p.Forward)
	}
	c.duration("platform.keepFor", p.KeepFor)
	c.duration("platform.grace", p.Grace)
	c.duration("platform.handOver", p.HandOver)
	c.size("platform.memory", p.Memory)
	if p.Descriptors < minDescriptors {
		c.problems.Add("platform.descriptors", "must be at least %d", minDescriptors)
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
	if p.ServerPace != "" {
		c.oneOf("platform.serverPace", p.ServerPace, ServerPaceAdaptive, ServerPaceOff)
	}
	p.Limits.check(&c)
	return c.problems
}
