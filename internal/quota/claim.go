package quota

import (
	"slices"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// firstClaimants returns the nodes that read the lease if no owner answers.
func (c *Controller) firstClaimants() []fleet.NodeID {
	if c.Claimants == nil {
		return []fleet.NodeID{c.Node}
	}
	claimants := c.Claimants()
	return claimants[:min(firstClaimants, len(claimants))]
}

// isFirstClaimant reports whether this node reads the lease if no owner answers.
func (c *Controller) isFirstClaimant() bool {
	claimants := c.firstClaimants()
	return len(claimants) < firstClaimants || slices.Contains(claimants, c.Node)
}

// claimsFirst reports whether this node reads the lease if no owner answers: also on the VM of
// the last owner, since only a node there may claim the lease at once after a restart of all.
func (c *Controller) claimsFirst() bool {
	c.mu.Lock()
	onHolderVM := c.onHolderVM
	c.mu.Unlock()
	return onHolderVM || c.isFirstClaimant()
}
