package config_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/config"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/internal/strictjson"
	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// runFleet runs a test in virtual time on a fleet with one node for each given
// region.
func runFleet(t *testing.T, regions []fleet.Region, test func(c *qt.C, ctx context.Context, n *testFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := newTestFleet()
		defer n.stopAll()
		for _, region := range regions {
			n.start(t.Context(), region)
		}
		time.Sleep(25 * time.Second)
		test(qt.New(t), t.Context(), n)
	})
}

func eastRegions(count int) []fleet.Region {
	regions := make([]fleet.Region, count)
	for i := range regions {
		regions[i] = "east"
	}
	return regions
}

func maxReplicas(n *testNode, name fleet.ModelID) int {
	deployment, found := n.config.Snapshot().Deployments[name]
	if !found {
		return -1
	}
	return deployment.Replicas.Max
}

func TestApplyResolvesLostTransactionAnswers(t *testing.T) {
	for _, faults := range []standin.TableFaults{{LoseAnswers: 1}, {LoseRequests: 1}, {LoseAnswers: 2}, {LoseRequests: 3}} {
		runFleet(t, eastRegions(3), func(c *qt.C, ctx context.Context, n *testFleet) {
			n.table.SetFaults(faults)
			accepted, err := n.list[0].config.Apply(ctx, deploymentTicket(5, "a", 1), "ada")
			c.Assert(err, qt.IsNil, qt.Commentf("%+v", faults))
			c.Assert(accepted, qt.Equals, config.Accepted{Number: 5, Revision: 1})
			again, err := n.list[1].config.Apply(ctx, deploymentTicket(5, "a", 1), "ada")
			c.Assert(err, qt.IsNil)
			c.Assert(again, qt.Equals, config.Accepted{Number: 5, Revision: 1, AlreadyAccepted: true})
		})
	}
}

func TestRefusedTicketsReportTheReasonAndChangeNothing(t *testing.T) {
	runFleet(t, eastRegions(3), func(c *qt.C, ctx context.Context, n *testFleet) {
		apply := func(i int, t ticket.Ticket) error {
			_, err := n.list[i].config.Apply(ctx, t, "ada")
			return err
		}
		c.Assert(apply(0, deploymentTicket(5, "a", 1)), qt.IsNil)
		c.Assert(apply(1, deploymentTicket(5, "a", 2)), qt.ErrorIs, config.ErrNumberTaken)
		c.Assert(apply(2, deploymentTicket(4, "a", 2)), qt.ErrorIs, config.ErrStale)
		older := deploymentTicket(4, "b", 2)
		delete(older.Pools, "engines")
		c.Assert(apply(2, older), qt.IsNil)
		wrong := deploymentTicket(6, "a", 1)
		wrong.Deployments["a"].Pool = "nowhere"
		c.Assert(n.list[0].config.Check(ctx, wrong), qt.ErrorMatches, ".*no pool.*")
		c.Assert(n.list[0].config.Check(ctx, deploymentTicket(4, "a", 2)), qt.ErrorIs, config.ErrNumberTaken)
		c.Assert(n.list[0].config.Check(ctx, deploymentTicket(3, "a", 2)), qt.ErrorIs, config.ErrStale)
		c.Assert(n.list[0].config.Check(ctx, deploymentTicket(9, "a", 2)), qt.IsNil)
		err := apply(1, wrong)
		c.Assert(err, qt.ErrorMatches, `ticket 6: deployments.a.pool: there is no pool "nowhere"`)
		var problems strictjson.FieldErrors
		c.Assert(err, qt.ErrorAs, &problems)
		n.table.SetFaults(standin.TableFaults{Down: true})
		c.Assert(apply(0, deploymentTicket(7, "a", 1)), qt.ErrorIs, table.ErrUnavailable)
		n.table.SetFaults(standin.TableFaults{})
		time.Sleep(5 * time.Second)
		for _, node := range n.list {
			c.Assert(maxReplicas(node, "a"), qt.Equals, 1)
			c.Assert(node.config.Revision(), qt.Equals, config.Revision(2))
		}
		stored, err := n.list[0].config.Tickets(ctx, 4, 0)
		c.Assert(err, qt.IsNil)
		c.Assert(stored, qt.HasLen, 1)
		c.Assert(stored[0].Revision, qt.Equals, config.Revision(1))
	})
}

func TestConcurrentTicketsAreAcceptedInOneOrder(t *testing.T) {
	runFleet(t, eastRegions(6), func(c *qt.C, ctx context.Context, n *testFleet) {
		var mu sync.Mutex
		taken := make(map[fleet.TicketNumber][]int)
		var operators sync.WaitGroup
		for i := range 12 {
			number := fleet.TicketNumber(10 + i/2)
			operators.Go(func() {
				_, err := n.list[i%6].config.Apply(ctx, deploymentTicket(number, "a", 100+i), fmt.Sprint("op", i))
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					taken[number] = append(taken[number], 100+i)
				}
			})
		}
		operators.Wait()
		for number, winners := range taken {
			c.Assert(winners, qt.HasLen, 1, qt.Commentf("number %d", number))
		}
		c.Assert(taken[15], qt.HasLen, 1)
		time.Sleep(5 * time.Second)
		c.Assert(n.converged(), qt.IsTrue)
		for _, node := range n.list {
			c.Assert(maxReplicas(node, "a"), qt.Equals, taken[15][0])
		}
	})
}

func TestNodeLoadsConfigurationFromPeersWhileTableIsDown(t *testing.T) {
	runFleet(t, eastRegions(3), func(c *qt.C, ctx context.Context, n *testFleet) {
		_, err := n.list[0].config.Apply(ctx, deploymentTicket(1, "a", 3), "ada")
		c.Assert(err, qt.IsNil)
		n.table.SetFaults(standin.TableFaults{Down: true})
		late := n.start(ctx, "east")
		time.Sleep(5 * time.Second)
		c.Assert(late.config.Current(), qt.IsFalse)
		c.Assert(late.config.ReadyError(), qt.ErrorMatches, "configuration not read yet")
		late.seeds.Store(&[]string{n.list[1].address})
		time.Sleep(8 * time.Second)
		c.Assert(late.config.Current(), qt.IsTrue)
		c.Assert(maxReplicas(late, "a"), qt.Equals, 3)
		c.Assert(n.list[0].config.Current(), qt.IsTrue)
	})
}

func TestNodesStartedWithoutTableAreNotCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := newTestFleet()
		defer n.stopAll()
		n.table.SetFaults(standin.TableFaults{Down: true})
		for range 2 {
			node := n.start(t.Context(), "east")
			node.seeds.Store(&[]string{"east/n00", "east/n01"})
		}
		time.Sleep(20 * time.Second)
		c.Assert(n.list[0].members.Members(), qt.HasLen, 2)
		c.Assert(n.list[0].config.Current(), qt.IsFalse)
		n.table.SetFaults(standin.TableFaults{})
		time.Sleep(5 * time.Second)
		c.Assert(n.list[0].config.Current(), qt.IsTrue)
	})
}

func TestIsolatedNodeIsNotCurrentAndCatchesUp(t *testing.T) {
	runFleet(t, eastRegions(4), func(c *qt.C, ctx context.Context, n *testFleet) {
		_, err := n.list[0].config.Apply(ctx, deploymentTicket(1, "a", 1), "ada")
		c.Assert(err, qt.IsNil)
		time.Sleep(time.Second)
		isolated := n.list[2]
		isolated.store.down.Store(true)
		n.network.Lose(func(from, to string) bool { return from == isolated.address || to == isolated.address })
		_, err = n.list[0].config.Apply(ctx, deploymentTicket(2, "a", 2), "ada")
		c.Assert(err, qt.IsNil)
		time.Sleep(8 * time.Second)
		c.Assert(isolated.config.ReadyError(), qt.ErrorMatches, "no contact with the table or another node for .*")
		c.Assert(maxReplicas(isolated, "a"), qt.Equals, 1)
		time.Sleep(time.Minute)
		for _, state := range n.list[1].config.QueryMemberStates(ctx, 2) {
			if state.Node == "n02" {
				c.Assert(state.State, qt.Equals, config.OutOfService)
				continue
			}
			c.Assert(state.State, qt.Equals, config.Confirmed)
		}
		isolated.store.down.Store(false)
		n.network.Lose(func(string, string) bool { return false })
		time.Sleep(30 * time.Second)
		c.Assert(maxReplicas(isolated, "a"), qt.Equals, 2)
		c.Assert(isolated.config.Current(), qt.IsTrue)
		c.Assert(isolated.members.Members(), qt.HasLen, 4)
	})
}

func TestIsolatedRegionStaysCurrentAndCatchesUpThroughItsCandidates(t *testing.T) {
	regions := []fleet.Region{"east", "east", "east", "west", "west", "west"}
	runFleet(t, regions, func(c *qt.C, ctx context.Context, n *testFleet) {
		_, err := n.list[0].config.Apply(ctx, deploymentTicket(1, "a", 1), "ada")
		c.Assert(err, qt.IsNil)
		time.Sleep(3 * time.Second)
		n.network.Lose(func(from, to string) bool { return from[:4] != to[:4] })
		for _, node := range n.list[3:] {
			node.store.down.Store(true)
		}
		for number := range fleet.TicketNumber(40) {
			_, err := n.list[1].config.Apply(ctx, deploymentTicket(number+2, "a", int(number)+2), "ada")
			c.Assert(err, qt.IsNil)
		}
		time.Sleep(time.Hour)
		c.Assert(maxReplicas(n.list[4], "a"), qt.Equals, 1)
		c.Assert(n.list[4].config.Current(), qt.IsTrue)
		c.Assert(n.list[4].members.Members(), qt.HasLen, 3)
		unreachable := 0
		for _, state := range n.list[0].config.MemberStates(41) {
			if state.State == config.RegionUnreachable {
				unreachable++
			}
		}
		c.Assert(unreachable, qt.Equals, 3)
		var crossed sync.Map
		n.network.Lose(func(from, to string) bool {
			if from[:4] != to[:4] {
				crossed.Store(from+" "+to, true)
			}
			return false
		})
		time.Sleep(15 * time.Second)
		c.Assert(n.converged(), qt.IsTrue)
		c.Assert(maxReplicas(n.list[4], "a"), qt.Equals, 41)
		pairs := 0
		crossed.Range(func(any, any) bool { pairs++; return true })
		// Up to three candidates of each region try to connect while the regions
		// are partitioned.
		c.Assert(pairs <= 12, qt.IsTrue, qt.Commentf("%d directions between nodes of both regions", pairs))
	})
}

func TestOneWayLossAndSlowNodeDoNotDelayOtherNodes(t *testing.T) {
	runFleet(t, eastRegions(7), func(c *qt.C, ctx context.Context, n *testFleet) {
		slow, unreached := n.list[5].address, n.list[1].address
		n.network.Delay(func(_, to string) time.Duration {
			if to == slow {
				return 400 * time.Millisecond
			}
			return time.Millisecond
		})
		n.network.Lose(func(from, to string) bool { return from == n.list[0].address && to == unreached })
		_, err := n.list[0].config.Apply(ctx, deploymentTicket(1, "a", 4), "ada")
		c.Assert(err, qt.IsNil)
		time.Sleep(time.Second)
		for i, node := range n.list {
			if i != 1 && i != 5 {
				c.Assert(maxReplicas(node, "a"), qt.Equals, 4, qt.Commentf("n%02d", i))
			}
		}
		time.Sleep(3 * time.Second)
		c.Assert(n.converged(), qt.IsTrue)
		time.Sleep(time.Minute)
		c.Assert(n.list[2].members.Members(), qt.HasLen, 7)
	})
}

func TestTableRestoredFromOldCopyIsDetected(t *testing.T) {
	runFleet(t, eastRegions(2), func(c *qt.C, ctx context.Context, n *testFleet) {
		_, err := n.list[0].config.Apply(ctx, deploymentTicket(3, "a", 1), "ada")
		c.Assert(err, qt.IsNil)
		time.Sleep(5 * time.Second)
		empty := standin.NewTable()
		for _, node := range n.list {
			node.store.replaced.Store(empty)
		}
		time.Sleep(10 * time.Second)
		c.Assert(maxReplicas(n.list[0], "a"), qt.Equals, 1)
		_, err = n.list[0].config.Apply(ctx, deploymentTicket(4, "a", 9), "ada")
		c.Assert(err, qt.ErrorIs, config.ErrTableOutdated)
		c.Assert(maxReplicas(n.list[1], "a"), qt.Equals, 1)
	})
}

// reversionMonitor fails if the replica count on a running node ever decreases.
type reversionMonitor struct {
	highest map[*testNode]int
}

func (m *reversionMonitor) check(c *qt.C, n *testFleet) {
	for _, node := range n.list {
		now := maxReplicas(node, "a") + 1
		c.Assert(now >= m.highest[node], qt.IsTrue, qt.Commentf("%s went from %d to %d", node.address, m.highest[node], now))
		m.highest[node] = max(now, m.highest[node])
	}
}

// TestConfigurationConvergesAndNeverReverts runs random message losses, table
// outages, restarts and concurrent tickets. The replica count equals the ticket
// number, so a decrease means that an older configuration was restored.
func TestConfigurationConvergesAndNeverReverts(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			regions := []fleet.Region{"east", "east", "east", "west", "west"}
			runFleet(t, regions, func(c *qt.C, ctx context.Context, n *testFleet) {
				random := rand.New(rand.NewPCG(seed, 7))
				monitor := reversionMonitor{highest: make(map[*testNode]int)}
				next := fleet.TicketNumber(1)
				for range 40 {
					injectFault(ctx, n, random)
					for range random.IntN(4) {
						applier, number := n.list[random.IntN(len(n.list))], next
						next++
						n.done.Go(func() { _, _ = applier.config.Apply(ctx, deploymentTicket(number, "a", int(number)), "ada") })
					}
					time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
					monitor.check(c, n)
				}
				n.table.SetFaults(standin.TableFaults{})
				n.network.Lose(func(string, string) bool { return false })
				time.Sleep(time.Minute)
				monitor.check(c, n)
				c.Assert(n.converged(), qt.IsTrue)
				stored, err := n.list[0].config.Tickets(ctx, 0, 0)
				c.Assert(err, qt.IsNil)
				c.Assert(len(stored) > 0, qt.IsTrue)
				c.Assert(uint64(n.list[0].config.Revision()), qt.Equals, uint64(len(stored)))
				c.Assert(maxReplicas(n.list[0], "a"), qt.Equals, int(stored[len(stored)-1].Ticket.Number))
			})
		})
	}
}

// injectFault injects one random fault into the fleet or clears the table and
// network faults.
func injectFault(ctx context.Context, n *testFleet, random *rand.Rand) {
	target := n.list[random.IntN(len(n.list))]
	switch random.IntN(7) {
	case 0:
		n.table.SetFaults(standin.TableFaults{Down: true})
	case 1:
		n.table.SetFaults(standin.TableFaults{LoseAnswers: random.IntN(3), LoseRequests: random.IntN(3)})
	case 2:
		n.network.Lose(func(from, to string) bool { return from[:4] != to[:4] })
	case 3:
		n.network.Lose(func(_, to string) bool { return to == target.address })
	case 4:
		n.network.Lose(func(from, to string) bool { return len(from+to)*int(time.Now().UnixNano()/1000)%5 == 0 })
	case 5:
		region := fleet.Region(strings.SplitN(target.address, "/", 2)[0])
		n.stopNode(target)
		n.start(ctx, region)
	default:
		n.table.SetFaults(standin.TableFaults{})
		n.network.Lose(func(string, string) bool { return false })
	}
}

func TestOutdatedNodeCannotActOnOldDeployment(t *testing.T) {
	runFleet(t, eastRegions(3), func(c *qt.C, ctx context.Context, n *testFleet) {
		item := fleet.Item{Model: "a", Adapter: "spring"}
		_, err := n.list[0].config.DeploymentCondition(ctx, item)
		c.Assert(err, qt.ErrorIs, table.ErrConflict)
		_, err = n.list[0].config.Apply(ctx, deploymentTicket(1, "a", 3), "ada")
		c.Assert(err, qt.IsNil)
		time.Sleep(time.Second)
		old, err := n.list[2].config.DeploymentCondition(ctx, item)
		c.Assert(err, qt.IsNil)
		n.network.Lose(func(_, to string) bool { return to == n.list[2].address })
		_, err = n.list[0].config.Apply(ctx, deploymentTicket(2, "a", 1), "ada")
		c.Assert(err, qt.IsNil)
		c.Assert(maxReplicas(n.list[2], "a"), qt.Equals, 3)
		c.Assert(n.table.Transact(ctx, "late", []table.Write{old}), qt.ErrorIs, table.ErrConflict)
		_, err = n.list[2].config.DeploymentCondition(ctx, item)
		c.Assert(err, qt.ErrorIs, table.ErrConflict)
		time.Sleep(100 * time.Millisecond)
		c.Assert(maxReplicas(n.list[2], "a"), qt.Equals, 1)
	})
}
