package dispatch

import (
	"slices"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// restrict has the call run only at servers of a software version from now on.
func (c *Call) restrict(software fleet.SoftwareVersion) { c.software.Store(&software) }

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
