package settings_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/settings"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// TestDefaultLimitsOfNodes guards against defaults that callers within the documented limits meet, and
// against more connections than there are descriptors.
func TestDefaultLimitsOfNodes(t *testing.T) {
	c := qt.New(t)
	for _, node := range []settings.Platform{
		{Memory: 136 * fleet.MiB, Descriptors: 2870},
		{Memory: 184 * fleet.MiB, Descriptors: 4100},
		{Memory: 536 * fleet.MiB, Descriptors: 8192},
	} {
		limits := node.EffectiveLimits()
		c.Check(limits.CallerConnections >= 1600, qt.IsTrue)
		c.Check(limits.LookupConnections >= 700, qt.IsTrue)
		c.Check(limits.CallerConnections < limits.RequestConnections, qt.IsTrue)
		// As many nodes as the largest deployment has.
		c.Check(limits.PeerConnections >= 410, qt.IsTrue)
		sum := limits.RequestConnections + limits.PeerConnections + limits.ReadinessConnections + limits.MetricsConnections
		c.Check(sum < node.Descriptors, qt.IsTrue, qt.Commentf("%d connections", sum))
		c.Check(limits.CallerMemory+limits.PeerMemory <= node.Memory/2, qt.IsTrue)
		// Some bodies of the largest size fit beside all connections of callers.
		connections := fleet.Bytes(limits.CallerConnections) * 16 * fleet.KiB
		c.Check(limits.CallerMemory-connections >= 20*fleet.MiB, qt.IsTrue, qt.Commentf("%d", limits.CallerMemory-connections))
	}
}

// TestLimitsInTheSettingsReplaceDefaults guards against settings without effect.
func TestLimitsInTheSettingsReplaceDefaults(t *testing.T) {
	c := qt.New(t)
	node := settings.Platform{
		Memory: 136 * fleet.MiB, Descriptors: 2870, Limits: settings.Limits{CallerConnections: 7, BodyMemory: fleet.MiB, HeaderFields: 9},
	}
	limits := node.EffectiveLimits()
	c.Check(limits.CallerConnections, qt.Equals, 7)
	c.Check(limits.BodyMemory, qt.Equals, fleet.MiB)
	c.Check(limits.HeaderFields, qt.Equals, 9)
}
