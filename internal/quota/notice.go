package quota

import (
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// ownerNotice tells the other nodes of a new owner of the accounts. Without it they would ask
// one node after the other: after a restart of all of 84 nodes the last one found the owner
// 2 s after the accounts were open.
type ownerNotice struct {
	Owner fleet.NodeID `json:"owner"`
	// Term is the fencing number of the owner's lease: the latest one holds.
	Term fleet.FencingNumber `json:"term"`
}

const (
	// noticeKind is the kind of the facts that name the owner.
	noticeKind = "quotaOwner"
	// noticeLifetime is how long nodes pass such a fact on.
	noticeLifetime = time.Minute
)

// announce tells the other nodes that this node has become the owner.
func (c *Controller) announce(term fleet.FencingNumber) {
	if c.Facts != nil {
		c.notices.PublishUrgent(noticeKind, ownerNotice{Owner: c.Node, Term: term}, noticeLifetime)
	}
}

// Receive records the owner that other nodes have been told of. It must not be called
// concurrently.
func (c *Controller) Receive() {
	if c.Facts == nil {
		return
	}
	c.notices.ReceiveNew(func(_ string, notice ownerNotice) { c.recordNotice(notice) })
}

// recordNotice has the owner of a later term asked next.
func (c *Controller) recordNotice(notice ownerNotice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if notice.Term <= c.namedTerm {
		return
	}
	c.namedTerm, c.owner = notice.Term, notice.Owner
	if c.failedAsks > 0 {
		c.named, c.failedAsks = true, 1
		c.ownerNamed.Notify()
	}
}
