package quota

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/internal/peer/peertest"
	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// sharedFacts is a store of facts that all nodes share.
type sharedFacts struct{ published []member.Fact }

func (f *sharedFacts) Publish(fact member.Fact, _ time.Duration) bool {
	fact.Version = uint64(len(f.published) + 1)
	f.published = append(f.published, fact)
	return true
}

func (f *sharedFacts) Facts(string) []member.Fact { return f.published }

// noLease is the lease of a node that has not read who holds it.
type noLease struct{}

func (noLease) Holds() (fleet.FencingNumber, bool) { return 0, false }
func (noLease) Holder() fleet.NodeID               { return "gone" }
func (noLease) Deputy() fleet.NodeID               { return "" }
func (noLease) Suspect()                           {}
func (noLease) Suspected() bool                    { return true }
func (noLease) HolderVM() string                   { return "" }
func (noLease) Unpromised() time.Duration          { return 0 }
func (noLease) ClearSuspicion()                    {}

// TestNewOwnerIsAskedNext guards against nodes that go on asking a lost owner, or an earlier
// one, after another node has opened the accounts.
func TestNewOwnerIsAskedNext(t *testing.T) {
	c := qt.New(t)
	var network peertest.Network
	facts := &sharedFacts{}
	start := func(id fleet.NodeID) *Controller {
		node := &Controller{
			Node: id, Lease: noLease{}, Peers: peertest.Endpoint{Network: &network, Node: id}, Facts: facts,
			Manifest: func() *roster.Manifest { return nil }, Clock: wait.BootTime,
		}
		node.Register()
		return node
	}
	asker, earlier, owner := start("asker"), start("earlier"), start("owner")
	asker.failedAsks = 5
	target := func() fleet.NodeID { return asker.target([]fleet.NodeID{"a", "b"}) }
	c.Check(target(), qt.Not(qt.Equals), fleet.NodeID("owner"))
	owner.announce(7)
	asker.Receive()
	c.Check(target(), qt.Equals, fleet.NodeID("owner"))
	earlier.announce(6)
	asker.Receive()
	c.Check(asker.owner, qt.Equals, fleet.NodeID("owner"))
}
