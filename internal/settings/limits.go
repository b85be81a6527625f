package settings

import (
	"cmp"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Limits bound what callers and other nodes may make a node hold. A limit of 0 has a default, which
// [Platform.EffectiveLimits] derives from Memory and Descriptors.
type Limits struct {
	// CallerMemory is the memory of what callers make the node hold, of which BodyMemory is that of
	// bodies and answers. PeerMemory is the memory of messages of other nodes while they arrive,
	// and of the largest one.
	CallerMemory fleet.Bytes `json:"callerMemory,omitempty"`
	BodyMemory   fleet.Bytes `json:"bodyMemory,omitempty"`
	PeerMemory   fleet.Bytes `json:"peerMemory,omitempty"`
	// RequestConnections are those open to the listeners of callers, of the look-up and of requests
	// that other nodes pass on, all together; the others are those open to one listener.
	RequestConnections   int `json:"requestConnections,omitempty"`
	CallerConnections    int `json:"callerConnections,omitempty"`
	ForwardConnections   int `json:"forwardConnections,omitempty"`
	PeerConnections      int `json:"peerConnections,omitempty"`
	LookupConnections    int `json:"lookupConnections,omitempty"`
	ReadinessConnections int `json:"readinessConnections,omitempty"`
	MetricsConnections   int `json:"metricsConnections,omitempty"`
	// ConnectionsPerAddress are the connections from one address to one listener; 0 means as many
	// as the listener takes, since many callers may share an address.
	ConnectionsPerAddress int `json:"connectionsPerAddress,omitempty"`
	HeaderFields          int `json:"headerFields,omitempty"`
	// At least BodyRate of a body must arrive in each BodyPause, or its rest.
	BodyPause fleet.Duration `json:"bodyPause,omitempty"`
	BodyRate  fleet.Bytes    `json:"bodyRate,omitempty"`
}

// Defaults of the limits that don't depend on the machine.
const (
	// Known callers send fewer than 30 fields.
	defaultHeaderFields = 256
	// Callers have as long for a header.
	defaultBodyPause = 3 * time.Second
	defaultBodyRate  = 16 * fleet.KiB
	// minListenerConnections is the smallest default of a listener.
	minListenerConnections = 8
	// maxPeerMemory is beyond the length of any message that a node sends.
	maxPeerMemory = 64 * fleet.MiB
)

// EffectiveLimits returns the limits with their defaults. The connections of all listeners
// together are fewer than the descriptors.
func (p *Platform) EffectiveLimits() Limits {
	limits := p.Limits
	limits.CallerMemory = cmp.Or(limits.CallerMemory, p.Memory*3/8)
	limits.BodyMemory = cmp.Or(limits.BodyMemory, p.Memory/4)
	limits.PeerMemory = cmp.Or(limits.PeerMemory, min(maxPeerMemory, p.Memory/8))
	connections := func(set, dividend, divisor int) int {
		return cmp.Or(set, max(minListenerConnections, p.Descriptors*dividend/divisor))
	}
	limits.RequestConnections = connections(limits.RequestConnections, 5, 8)
	// One listener can't take the connections of the others. Callers keep idle connections to the
	// look-up as well.
	limits.CallerConnections = connections(limits.CallerConnections, 9, 16)
	limits.ForwardConnections = connections(limits.ForwardConnections, 1, 8)
	limits.LookupConnections = connections(limits.LookupConnections, 1, 4)
	limits.PeerConnections = connections(limits.PeerConnections, 1, 6)
	limits.ReadinessConnections = connections(limits.ReadinessConnections, 1, 64)
	limits.MetricsConnections = connections(limits.MetricsConnections, 1, 64)
	limits.HeaderFields = cmp.Or(limits.HeaderFields, defaultHeaderFields)
	limits.BodyPause = cmp.Or(limits.BodyPause, fleet.Duration(defaultBodyPause))
	limits.BodyRate = cmp.Or(limits.BodyRate, defaultBodyRate)
	return limits
}

// check adds the limits that are invalid.
func (l *Limits) check(c *checker) {
	for _, limit := range []struct {
		path  string
		value int64
	}{
		{"callerMemory", int64(l.CallerMemory)},
		{"bodyMemory", int64(l.BodyMemory)},
		{"peerMemory", int64(l.PeerMemory)},
		{"requestConnections", int64(l.RequestConnections)},
		{"callerConnections", int64(l.CallerConnections)},
		{"forwardConnections", int64(l.ForwardConnections)},
		{"peerConnections", int64(l.PeerConnections)},
		{"lookupConnections", int64(l.LookupConnections)},
		{"readinessConnections", int64(l.ReadinessConnections)},
		{"metricsConnections", int64(l.MetricsConnections)},
		{"connectionsPerAddress", int64(l.ConnectionsPerAddress)},
		{"headerFields", int64(l.HeaderFields)},
		{"bodyPause", int64(l.BodyPause)},
		{"bodyRate", int64(l.BodyRate)},
	} {
		if limit.value < 0 {
			c.problems.Add("platform.limits."+limit.path, "must not be below 0")
		}
	}
}
