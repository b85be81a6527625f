package settings

import (
	"net"
	"net/netip"
	"net/url"
	"slices"

	"github.com/guavatrack/guavatrack/internal/strictjson"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Check returns all invalid settings, in the order of the file.
func (s *Settings) Check() strictjson.FieldErrors {
	if s.Platform != nil {
		return s.checkOnPlatform()
	}
	c := checker{plainText: s.AllowPlainText}
	c.required("node.region", string(s.Node.Region))
	c.required("node.failureDomain", string(s.Node.FailureDomain))
	c.size("node.regionLink", s.Node.RegionLink)
	c.endpoint("callers", s.Callers.Endpoint)
	c.requiredUnlessPlainText("callers.keys", s.Callers.Keys)
	c.size("callers.maxBody", s.Callers.MaxBody)
	c.endpoint("operators", s.Operators.Endpoint)
	c.requiredUnlessPlainText("operators.tokens", s.Operators.Tokens+s.Operators.ClientCA)
	c.endpoint("peers", s.Peers.Endpoint)
	c.requiredUnlessPlainText("peers.ca", s.Peers.CA)
	c.distinctAddresses(s)
	c.table(s.Table)
	c.url("vmList.url", s.VMList.URL)
	c.duration("vmList.every", s.VMList.Every)
	c.weightStore(s.WeightStore)
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", s.Log.Format, "json", "text")
	c.duration("drain.keepFor", s.Drain.KeepFor)
	c.duration("drain.limit", s.Drain.Limit)
	if s.Drain.Limit <= s.Drain.KeepFor {
		c.problems.Add("drain.limit", "must be longer than drain.keepFor (%s)", s.Drain.KeepFor)
	}
	return c.problems
}

type checker struct {
	plainText bool
	problems  strictjson.FieldErrors
}

func (c *checker) required(path, value string) {
	if value == "" {
		c.problems.Add(path, "must be given")
	}
}

func (c *checker) size(path string, size fleet.Bytes) {
	if size <= 0 {
		c.problems.Add(path, "must be above 0B")
	}
}

func (c *checker) duration(path string, span fleet.Duration) {
	if span <= 0 {
		c.problems.Add(path, "must be above 0s")
	}
}

func (c *checker) oneOf(path, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.problems.Add(path, "must be one of %v, found %q", allowed, value)
	}
}

func (c *checker) url(path, value string) {
	parsed, err := url.Parse(value)
	if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
		c.problems.Add(path, "must be an http or https URL, found %q", value)
		return
	}
	if parsed.Scheme == "http" && !isLoopback(parsed.Host) {
		c.problems.Add(path, "must be https unless it is a loopback address, found %q", value)
	}
}

// endpoint checks that an endpoint has an IP address, and either a certificate
// with its key or, on loopback addresses only, permission for plain text.
func (c *checker) endpoint(path string, endpoint Endpoint) {
	c.address(path+".listen", endpoint.Listen)
	if endpoint.Advertise != "" {
		c.address(path+".advertise", endpoint.Advertise)
	}
	hasCertificate, hasKey := endpoint.Certificate != "", endpoint.Key != ""
	switch {
	case hasCertificate != hasKey:
		c.problems.Add(path, "certificate and key go together")
	case hasCertificate:
	case !c.plainText:
		c.problems.Add(path+".certificate", "must be given unless allowPlainText is true")
	case !isLoopback(endpoint.Listen):
		c.problems.Add(path+".listen", "allowPlainText is for loopback addresses only, found %q", endpoint.Listen)
	}
}

// requiredUnlessPlainText checks that a setting for the authentication of callers,
// operators or peers is given, unless plain text is allowed.
func (c *checker) requiredUnlessPlainText(path, value string) {
	if value == "" && !c.plainText {
		c.problems.Add(path, "must be given unless allowPlainText is true")
	}
}

func (c *checker) address(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.problems.Add(path, "must be an IP address and a port, found %q", value)
	}
}

// distinctAddresses checks that no two endpoints listen on the same address. Port
// 0 is exempt, since each listener then gets a free port.
func (c *checker) distinctAddresses(s *Settings) {
	seen := make(map[string]string)
	for _, endpoint := range []struct{ path, listen string }{
		{"callers.listen", s.Callers.Listen},
		{"operators.listen", s.Operators.Listen},
		{"peers.listen", s.Peers.Listen},
	} {
		if _, port, _ := net.SplitHostPort(endpoint.listen); port == "0" {
			continue
		}
		if other, taken := seen[endpoint.listen]; taken {
			c.problems.Add(endpoint.path, "is the same address as %s", other)
		}
		seen[endpoint.listen] = endpoint.path
	}
}

func (c *checker) table(t Table) {
	c.url("table.endpoint", t.Endpoint)
	c.required("table.name", t.Name)
	c.required("table.signingRegion", t.SigningRegion)
	c.duration("table.timeout", t.Timeout)
	if t.WritesPerSecond <= 0 {
		c.problems.Add("table.writesPerSecond", "must be above 0")
	}
	if t.ReadsPerSecond <= 0 {
		c.problems.Add("table.readsPerSecond", "must be above 0")
	}
}

func (c *checker) weightStore(w WeightStore) {
	if w.LoadsPerSecond <= 0 {
		c.problems.Add("weightStore.loadsPerSecond", "must be above 0")
	}
	if w.Concurrent <= 0 {
		c.problems.Add("weightStore.concurrent", "must be above 0")
	}
	if w.AdaptersInFlight <= 0 {
		c.problems.Add("weightStore.adaptersInFlight", "must be above 0")
	}
	c.size("weightStore.bandwidth", w.Bandwidth)
}

func isLoopback(hostPort string) bool {
	host, _, err := net.SplitHostPort(hostPort)
	if err != nil {
		host = hostPort
	}
	address, err := netip.ParseAddr(host)
	return err == nil && address.IsLoopback()
}
