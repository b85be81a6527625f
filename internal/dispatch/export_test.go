package dispatch

import "github.com/guavatrack/guavatrack/pkg/fleet"

// Restrict has a call run only at servers of a software version, as one that goes on with
// the stream of an earlier request.
func (c *Call) Restrict(software fleet.SoftwareVersion) { c.restrict(software) }
