package quota_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/lease"
	"github.com/guavatrack/guavatrack/internal/peer/peertest"
	"github.com/guavatrack/guavatrack/internal/quota"
	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

// leasedFleet is a fleet whose owner holds a lease in a table.
type leasedFleet struct {
	*testFleet
	store  *standin.Table
	leases []*lease.Controller
	stops  []context.CancelFunc
	logs   lockedBuilder
	// lost holds when each node was lost, by its index.
	lost sync.Map
}

// lockedBuilder is a builder of several goroutines.
type lockedBuilder struct {
	sync.Mutex
	strings.Builder
}

func (b *lockedBuilder) Write(text []byte) (int, error) {
	b.Lock()
	defer b.Unlock()
	return b.Builder.Write(text)
}

func (b *lockedBuilder) text() string {
	b.Lock()
	defer b.Unlock()
	return b.String()
}

// inLeasedFleet runs a test in virtual time with nodes that have had the first owner for 20 s.
func inLeasedFleet(t *testing.T, nodes int, limit *roster.Quota, test func(f *leasedFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &leasedFleet{store: standin.NewTable(), testFleet: &testFleet{
			C: qt.New(t), network: peertest.Network{Delay: 4 * time.Millisecond}, began: time.Now(),
			sent: make(map[fleet.OrganisationID][]spent), refused: make(map[refusal.Reason]int), asked: make(map[fleet.OrganisationID]int),
		}}
		f.setQuotas(map[fleet.OrganisationID]*roster.Quota{"o": limit})
		var group sync.WaitGroup
		for i := range nodes {
			f.add(i)
		}
		for i := range nodes {
			f.start(i, &group)
		}
		time.Sleep(20 * time.Second)
		test(f)
		f.requests.Wait()
		for _, stop := range f.stops {
			stop()
		}
		group.Wait()
	})
}

// members returns the nodes that live, in the order of their start. A loss is known after 1 s.
func (f *leasedFleet) members() (nodes []fleet.NodeID) {
	for i := range len(f.nodes) {
		if lost, found := f.lost.Load(i); !found || time.Since(lost.(time.Time)) < time.Second {
			nodes = append(nodes, f.nodes[i].Node)
		}
	}
	return nodes
}

// add adds a node on a VM of its own.
func (f *leasedFleet) add(i int) { f.addOn(i, fmt.Sprint("n", i)) }

// addOn adds a node on a VM.
func (f *leasedFleet) addOn(i int, vm string) {
	id := fleet.NodeID(fmt.Sprint("n", i))
	clock := func() time.Duration { return time.Since(f.began) }
	controller := &lease.Controller{
		Name: "quota", State: lease.State{VM: vm, Node: id, LeaseDuration: 8 * time.Second, ShortLeaseDuration: time.Second},
		Store: f.store, Key: table.Key{Partition: "quota", Sort: "lease"}, Peers: peertest.Endpoint{Network: &f.network, Node: id},
		Clock: clock, ClaimDelay: func() time.Duration { return min(2*time.Second, time.Duration(i)*150*time.Millisecond) },
		Deputies: func() (others []fleet.NodeID) {
			for _, node := range f.members() {
				if node != id {
					others = append(others, node)
				}
			}
			return others
		},
	}
	node := &quota.Controller{
		Node: id, VM: vm, Lease: controller, Peers: countedPeers{peertest.Endpoint{Network: &f.network, Node: id}, f.testFleet},
		Manifest: f.manifest.Load, Clock: clock, Claimants: f.members, Log: slog.New(slog.NewTextHandler(&f.logs, nil)),
	}
	controller.Register()
	node.Register()
	f.nodes, f.leases = append(f.nodes, node), append(f.leases, controller)
}

// start runs a node until lose or the end of the test.
func (f *leasedFleet) start(i int, group *sync.WaitGroup) {
	ctx, cancel := context.WithCancel(context.Background())
	f.stops = append(f.stops, cancel)
	group.Go(func() { _ = f.nodes[i].Run(ctx) })
	group.Go(func() { _ = f.nodes[i].RunLease(ctx, f.leases[i].Run) })
}

// lose ends a node.
func (f *leasedFleet) lose(i int) {
	f.network.SetUnresponsive(f.nodes[i].Node, true)
	f.stops[i]()
	f.lost.Store(i, time.Now())
}

// holder returns the index of the node that may grant now; -1 if none may.
func (f *leasedFleet) holder() int {
	found := -1
	for i, controller := range f.leases {
		if _, lost := f.lost.Load(i); lost {
			continue
		}
		if _, holds := controller.Holds(); holds {
			f.Assert(found, qt.Equals, -1)
			found = i
		}
	}
	return found
}

// gap returns the longest time without a sent request in a span up to now.
func (f *leasedFleet) gap(span time.Duration) (longest time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := time.Now().Add(-span)
	for _, s := range f.sent["o"] {
		if s.at.After(last) {
			longest, last = max(longest, s.at.Sub(last)), s.at
		}
	}
	return max(longest, time.Since(last))
}

// from spreads requests over the nodes from an index on.
func (f *leasedFleet) from(first int) func(time.Duration) *quota.Controller {
	next := 0
	return func(time.Duration) *quota.Controller {
		next++
		return f.nodes[first+next%(len(f.nodes)-first)]
	}
}

var leasedQuota = &roster.Quota{PerSecond: 100_000, Burst: 100_000}

// TestLostOwnerIsReplaced guards against an organisation that is refused for long after the owner
// of the accounts is lost, that is told that its quota is used, or gets more than its quota since
// two owners granted tokens.
func TestLostOwnerIsReplaced(t *testing.T) {
	for _, loss := range []struct {
		name string
		lost int
		most time.Duration
	}{{"the owner", 1, 3500 * time.Millisecond}, {"owner and deputy", 2, 12 * time.Second}} {
		inLeasedFleet(t, 7, leasedQuota, func(f *leasedFleet) {
			f.Assert(f.holder(), qt.Equals, 0)
			f.load("o", 2*leasedQuota.PerSecond, 40*time.Second, f.from(2))
			time.Sleep(10 * time.Second)
			for i := range loss.lost {
				f.lose(i)
			}
			for range 250 {
				time.Sleep(100 * time.Millisecond)
				f.holder()
			}
			gap := f.gap(30 * time.Second)
			f.requests.Wait()
			f.Logf("%s lost: no request sent for %v, %d refused as without owner", loss.name, gap, f.refused[refusal.NoServer])
			f.Check(gap <= loss.most, qt.IsTrue)
			f.Check(f.refused[refusal.NoServer] > 0, qt.IsTrue)
			f.Check(strings.Contains(f.logs.text(), "owner of the accounts answers"), qt.IsTrue)
			f.checkNeverOver("o", leasedQuota)
		})
	}
}

// TestOwnerFollowsARestartOfAllNodes guards against organisations that are refused until the lease
// has expired: after a restart of all nodes only the one on the last owner's VM may claim it
// sooner, and that need not be among the first claimants.
func TestOwnerFollowsARestartOfAllNodes(t *testing.T) {
	inLeasedFleet(t, 7, leasedQuota, func(f *leasedFleet) {
		f.Assert(f.holder(), qt.Equals, 0)
		for i := range 7 {
			f.lose(i)
		}
		time.Sleep(time.Second)
		var group sync.WaitGroup
		for i := range 7 {
			f.addOn(7+i, fmt.Sprint("n", 6-i))
		}
		for i := range 7 {
			f.start(7+i, &group)
		}
		f.load("o", leasedQuota.PerSecond, 6*time.Second, f.from(7))
		time.Sleep(4 * time.Second)
		f.Check(f.holder(), qt.Equals, 13)
		f.Check(f.gap(time.Second) <= time.Second/2, qt.IsTrue)
		f.requests.Wait()
		for i := range 7 {
			f.stops[7+i]()
		}
		group.Wait()
	})
}

// TestOwnerCutOffGrantsNoMore guards against two owners: one that is cut off from all nodes but
// not from the store goes on while its deputy has taken the lease.
func TestOwnerCutOffGrantsNoMore(t *testing.T) {
	inLeasedFleet(t, 7, leasedQuota, func(f *leasedFleet) {
		f.load("o", 2*leasedQuota.PerSecond, 40*time.Second, f.from(0))
		time.Sleep(10 * time.Second)
		f.network.SetUnresponsive("n0", true)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			f.holder()
		}
		f.network.SetUnresponsive("n0", false)
		f.requests.Wait()
		// Another owner grants tokens 5 s after the cut at the latest.
		f.Check(f.used("o", f.began.Add(35*time.Second), f.began.Add(40*time.Second)) > 0.9*5*leasedQuota.PerSecond, qt.IsTrue)
		f.checkNeverOver("o", leasedQuota)
	})
}

// TestOwnerThatLeavesIsReplaced guards against a planned stop of the owner that stops an
// organisation for as long as its loss.
func TestOwnerThatLeavesIsReplaced(t *testing.T) {
	inLeasedFleet(t, 7, leasedQuota, func(f *leasedFleet) {
		f.load("o", 2*leasedQuota.PerSecond, 20*time.Second, f.from(1))
		time.Sleep(10 * time.Second)
		f.leases[0].Release(context.Background())
		time.Sleep(8 * time.Second)
		gap := f.gap(9 * time.Second)
		f.Logf("no request sent for %v", gap)
		f.Check(gap <= 2*time.Second, qt.IsTrue)
		f.requests.Wait()
		f.checkNeverOver("o", leasedQuota)
	})
}

// TestStoreIsCalledForRenewalsOnly guards against nodes that read the store in calm, or each of
// them while an owner is replaced, and against renewals without a quota.
func TestStoreIsCalledForRenewalsOnly(t *testing.T) {
	inLeasedFleet(t, 84, leasedQuota, func(f *leasedFleet) {
		calls := func(span time.Duration) (reads, writes int) {
			before := f.store.Counts()
			time.Sleep(span)
			after := f.store.Counts()
			return after.Gets - before.Gets, after.Transactions - before.Transactions
		}
		started := f.store.Counts()
		f.Logf("start: %+v", started)
		f.Check(started.Gets <= 30, qt.IsTrue)
		f.load("o", leasedQuota.PerSecond/2, 50*time.Second, f.from(2))
		reads, writes := calls(20 * time.Second)
		f.Check(reads, qt.Equals, 0)
		f.Check(writes <= 21, qt.IsTrue, qt.Commentf("%d", writes))
		f.lose(0)
		reads, _ = calls(10 * time.Second)
		f.Logf("owner lost: %d reads", reads)
		f.Check(reads <= 30, qt.IsTrue)
		f.lose(f.holder())
		f.lose(2)
		reads, _ = calls(20 * time.Second)
		f.Logf("two nodes lost: %d reads", reads)
		f.Check(reads <= 150, qt.IsTrue)
		f.requests.Wait()
		f.setQuotas(nil)
		time.Sleep(3 * time.Second)
		reads, writes = calls(20 * time.Second)
		f.Check(reads+writes, qt.Equals, 0)
		f.setQuotas(map[fleet.OrganisationID]*roster.Quota{"o": leasedQuota})
		time.Sleep(15 * time.Second)
		f.Check(f.request(f.nodes[9], "o", 1000), qt.IsNil)
	})
}

// TestRefusalsTellWhenToReturn guards against refused callers that all return at once, or long
// before or after their turn.
func TestRefusalsTellWhenToReturn(t *testing.T) {
	limit := &roster.Quota{PerSecond: 10_000, Burst: 10_000}
	inFleet(t, 7, map[fleet.OrganisationID]*roster.Quota{"o": limit}, func(f *testFleet) {
		time.Sleep(20 * time.Second)
		var last atomic.Pointer[refusal.Refusal]
		for i := range 60 {
			time.Sleep(20 * time.Millisecond)
			f.requests.Go(func() {
				if refused, ok := refusal.As(f.request(f.nodes[i%7], "o", 1000)); ok {
					f.Check(refused.Reason, qt.Equals, refusal.QuotaExceeded)
					last.Store(refused)
				}
			})
		}
		f.requests.Wait()
		// 60,000 tokens were wanted in 1.2 s, of which the quota has 22,000: the turn of the
		// last request would be 3.8 s later, less what was granted after its refusal.
		f.Assert(last.Load(), qt.Not(qt.IsNil))
		f.Logf("%v after %d refusals", last.Load().RetryAfter, f.refused[refusal.QuotaExceeded])
		f.Check(last.Load().RetryAfter > 1500*time.Millisecond && last.Load().RetryAfter < 6*time.Second, qt.IsTrue)
	})
}

// TestOddRequestsForTokens guards against an owner that grants what no node can want, or that
// takes back what was not granted, or grants tokens of an organisation without a quota.
func TestOddRequestsForTokens(t *testing.T) {
	inFleet(t, 3, map[fleet.OrganisationID]*roster.Quota{"o": leasedQuota}, func(f *testFleet) {
		time.Sleep(20 * time.Second)
		peer := peertest.Endpoint{Network: &f.network, Node: "odd"}
		for request, want := range map[string]string{
			`{"node":"odd","entries":[{"organisation":"o","need":1,"want":1000000001}]}`:                         "amount of tokens",
			`{"node":"odd","entries":[{"organisation":"o","need":-1,"want":1}]}`:                                 "amount of tokens",
			`{"node":"odd","entries":[{"organisation":"o","need":1,"want":-1}]}`:                                 "amount of tokens",
			`{"node":"odd","entries":[{"organisation":"o","refused":-5}]}`:                                       "amount of tokens",
			`{"node":"odd","entries":[{"organisation":"o","giveBack":[{"grantedAt":20000000000,"tokens":-7}]}]}`: "amount of tokens",
		} {
			err := peer.Call(context.Background(), "n0", "quota.ask", json.RawMessage(request), new(any))
			f.Check(err, qt.ErrorMatches, ".*"+want+".*")
		}
		var answer struct {
			Entries []struct {
				Tokens  int
				Unknown bool
			}
		}
		f.Assert(peer.Call(context.Background(), "n0", "quota.ask", json.RawMessage(
			`{"node":"odd","entries":[{"organisation":"o","giveBack":[{"grantedAt":20000000000,"tokens":900000000}]},
			{"organisation":"o","need":1,"want":100000000},{"organisation":"other","need":1,"want":1}]}`), &answer), qt.IsNil)
		f.Assert(answer.Entries, qt.HasLen, 2)
		f.Check(answer.Entries[0].Tokens, qt.Equals, int(leasedQuota.Burst))
		f.Check(answer.Entries[1].Unknown && answer.Entries[1].Tokens == 0, qt.IsTrue)
		// An organisation of which the owner does not know the quota yet has not used it.
		refused, ok := refusal.As(f.request(f.nodes[1], "other", 100))
		f.Check(ok && refused.Reason == refusal.NoServer, qt.IsTrue)
	})
}

// TestChargeLapses guards against a node that was suspended after it took tokens and sends its
// request a window later, and against tokens of an attempt that has not run being lost or given
// back twice.
func TestChargeLapses(t *testing.T) {
	inFleet(t, 2, map[fleet.OrganisationID]*roster.Quota{"o": leasedQuota}, func(f *testFleet) {
		time.Sleep(20 * time.Second)
		account := f.nodes[1].Account("o")
		spend := func() dispatch.Charge {
			charge, err := account.Spend(context.Background(), 1000)
			f.Assert(err, qt.IsNil)
			return charge
		}
		charge := spend()
		asked := f.messages.Load()
		f.Check(charge.Renew(), qt.IsTrue)
		charge.Refund()
		charge.Refund()
		charge = spend()
		f.Check(f.messages.Load(), qt.Equals, asked)
		time.Sleep(600 * time.Millisecond)
		f.Check(charge.Renew(), qt.IsFalse)
		other := spend()
		f.Check(f.messages.Load() > asked, qt.IsTrue)
		other.Refund()
		f.Check(charge.Renew(), qt.IsTrue)
	})
}
