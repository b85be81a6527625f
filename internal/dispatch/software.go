package dispatch

import (
	"slices"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// restrict has the call run only at servers of a software version from now on.
func (c *Call) restrict(software fleet.SoftwareVersion) { c.software.Store(&software) }

// restrictStream restricts a stream that begins at a server of a software version to that
// version: what two versions write does not fit together. It precedes the first event
// that is passed on, when the other attempts of the race have ended and those at which
// the stream goes on have not yet been sought.
func (c *Call) restrictStream(software fleet.SoftwareVersion) {
	if _, restricted := c.restriction(); c.Stream && !restricted {
		c.restrict(software)
	}
}

// restriction returns the only software version at which the call may run; restricted is
// false if any may.
func (c *Call) restriction() (software fleet.SoftwareVersion, restricted bool) {
	if only := c.software.Load(); only != nil {
		return *only, true
	}
	return "", false
}

// permitted returns the replicas at which the call may run. It returns the slice itself
// if that is all of them.
func (c *Call) permitted(replicas []Replica) []Replica {
	software, restricted := c.restriction()
	foreign := func(replica Replica) bool { return replica.Software != software }
	if !restricted || !slices.ContainsFunc(replicas, foreign) {
		return replicas
	}
	return slices.DeleteFunc(slices.Clone(replicas), foreign)
}

// eligibility identifies the replicas that may run a call: those of an item, or only those
// at servers of a software version.
type eligibility struct {
	item       fleet.Item
	software   fleet.SoftwareVersion
	restricted bool
}

// eligibility returns which replicas may run the call. A restriction to the only version
// in the pool is none.
func (d *Dispatcher) eligibility(call *Call) eligibility {
	software, restricted := call.restriction()
	if !restricted || !d.hasOtherVersions(call.Pool, software) {
		return eligibility{item: call.Item}
	}
	return eligibility{item: call.Item, software: software, restricted: true}
}

// hasOtherVersions reports whether a pool has usable servers of other versions.
func (d *Dispatcher) hasOtherVersions(pool fleet.PoolID, software fleet.SoftwareVersion) bool {
	return slices.ContainsFunc(d.Directory.Replicas(fleet.Item{}, pool), func(server Replica) bool {
		return server.Software != software && server.Ready && !server.Draining
	})
}
