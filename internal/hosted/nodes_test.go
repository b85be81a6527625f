package hosted

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/internal/settings"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// startMembers starts the members of a fleet in memory, three in each region, those of the last
// region last. The returned function takes the power from all nodes of a region.
func startMembers(ctx context.Context, done *sync.WaitGroup, regions ...fleet.Region) (nodes []*Node, lose func(fleet.Region)) {
	network, store := standin.NewNetwork(), standin.NewTable()
	stops := make(map[fleet.Region]context.CancelFunc)
	for _, region := range regions {
		regionCtx, stop := context.WithCancel(ctx)
		stops[region] = stop
		for range 3 {
			id := fleet.NodeID(fmt.Sprintf("n%02d", len(nodes)))
			address := string(region) + "/" + string(id)
			place := fleet.Place{Region: region, FailureDomain: fleet.FailureDomain(region + "-a")}
			port := network.Port(address)
			members := &member.Controller{
				Self: member.Info{
					Node: id, Place: place, CallerAddress: address, PeerAddress: address, ForwardAddress: address, StartedAt: time.Now(),
				},
				Peers: port, Store: store, Interval: gossipInterval, Rand: rand.New(rand.NewPCG(3, uint64(len(nodes)))),
			}
			port.Resolve = members.Resolve
			members.Register()
			done.Go(func() { _ = members.Run(regionCtx) })
			node := &Node{ID: id, Settings: settings.Settings{Node: settings.Node{Place: place}}}
			node.components.Members = members
			nodes = append(nodes, node)
			time.Sleep(time.Second)
		}
	}
	return nodes, func(region fleet.Region) {
		stops[region]()
		network.Lose(func(from, to string) bool {
			return strings.HasPrefix(from, string(region)) || strings.HasPrefix(to, string(region))
		})
	}
}

// TestNothingIsAskedOfALostRegion guards against lists of nodes that differ in who is alive. If
// all nodes of a region were lost for good, the directory named only these to the callers of that
// region, they were the first claimants of the accounts' lease, the owners of the limits of
// servers there, deputies, targets of requests and holders of copies.
func TestNothingIsAskedOfALostRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var done sync.WaitGroup
		defer done.Wait()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		nodes, lose := startMembers(ctx, &done, "west", "east")
		time.Sleep(20 * time.Second)
		node, members := nodes[0], nodes[0].components.Members
		used := func() map[string]string {
			forwards := node.forwardTargets(members)
			return map[string]string{
				"addresses": fmt.Sprint(node.nearestAddresses(fleet.Place{Region: "east", FailureDomain: "east-a"})),
				"claimants": fmt.Sprint(claimants(members)), "deputies": fmt.Sprint(node.deputies(members)),
				"forwards": fmt.Sprint(forwards), "others": fmt.Sprint(node.others(members)),
				"owner": string(ownerOf("server", "east", members)),
			}
		}
		lost := []string{"n03", "n04", "n05"}
		for name, list := range used() {
			c.Check(containsAny(list, lost), qt.IsTrue, qt.Commentf("%s before the loss: %s", name, list))
		}
		lose("east")
		time.Sleep(10 * time.Second)
		for name, list := range used() {
			c.Check(containsAny(list, lost), qt.IsFalse, qt.Commentf("%s after the loss: %s", name, list))
			c.Check(containsAny(list, []string{"n00", "n01", "n02"}), qt.IsTrue, qt.Commentf("%s after the loss: %s", name, list))
		}
		// Acknowledgements of a manifest have to count a region that may only be cut off.
		c.Check(members.Records(), qt.HasLen, len(nodes))
	})
}

func containsAny(text string, parts []string) bool {
	return slices.ContainsFunc(parts, func(part string) bool { return strings.Contains(text, part) })
}
