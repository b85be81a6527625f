package quota_test

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/peer/peertest"
	"github.com/guavatrack/guavatrack/internal/quota"
	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

const window = quota.DefaultWindow

// oneLease is a lease without a store that one node holds.
type oneLease struct {
	fleet     *testFleet
	node      fleet.NodeID
	suspected atomic.Bool
}

func (l *oneLease) Holds() (fleet.FencingNumber, bool) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	return l.fleet.term, l.fleet.owner == l.node
}

func (l *oneLease) Holder() fleet.NodeID {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	return l.fleet.owner
}
func (l *oneLease) Deputy() fleet.NodeID      { return "" }
func (l *oneLease) Unpromised() time.Duration { return 0 }
func (l *oneLease) HolderVM() string          { return "" }
func (l *oneLease) Suspect()                  { l.suspected.Store(true) }
func (l *oneLease) Suspected() bool           { return l.suspected.Load() }
func (l *oneLease) ClearSuspicion()           { l.suspected.Store(false) }

// countedPeers counts the requests for tokens and their bytes.
type countedPeers struct {
	peertest.Endpoint
	fleet *testFleet
}

func (p countedPeers) Call(ctx context.Context, node fleet.NodeID, method string, in, out any) error {
	err := p.Endpoint.Call(ctx, node, method, in, out)
	request, _ := json.Marshal(in)
	answer, _ := json.Marshal(out)
	p.fleet.messages.Add(1)
	p.fleet.bytes.Add(int64(len(request) + len(answer)))
	return err
}

// spent is a request that was sent to a server.
type spent struct {
	at     time.Time
	tokens int
}

// testFleet is nodes without servers: a request that gets its tokens counts as sent.
type testFleet struct {
	*qt.C
	network         peertest.Network
	messages, bytes atomic.Int64
	manifest        atomic.Pointer[roster.Manifest]
	nodes           []*quota.Controller
	began           time.Time
	requests        sync.WaitGroup

	mu      sync.Mutex
	owner   fleet.NodeID
	term    fleet.FencingNumber
	sent    map[fleet.OrganisationID][]spent
	refused map[refusal.Reason]int
	asked   map[fleet.OrganisationID]int
}

// inFleet runs a test in virtual time with nodes of which the first is the owner.
func inFleet(t *testing.T, nodes int, quotas map[fleet.OrganisationID]*roster.Quota, test func(f *testFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &testFleet{
			C: qt.New(t), network: peertest.Network{Delay: 4 * time.Millisecond}, owner: "n0", term: 1, began: time.Now(),
			sent: make(map[fleet.OrganisationID][]spent), refused: make(map[refusal.Reason]int), asked: make(map[fleet.OrganisationID]int),
		}
		f.setQuotas(quotas)
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		for i := range nodes {
			id := fleet.NodeID(fmt.Sprint("n", i))
			node := &quota.Controller{
				Node: id, Lease: &oneLease{fleet: f, node: id}, Peers: countedPeers{peertest.Endpoint{Network: &f.network, Node: id}, f},
				Manifest: f.manifest.Load, Clock: func() time.Duration { return time.Since(f.began) },
			}
			node.Register()
			f.nodes = append(f.nodes, node)
			group.Go(func() { _ = node.Run(ctx) })
		}
		test(f)
		f.requests.Wait()
		cancel()
		group.Wait()
	})
}

func (f *testFleet) setQuotas(quotas map[fleet.OrganisationID]*roster.Quota) {
	manifest := &roster.Manifest{Organisations: make(map[fleet.OrganisationID]*roster.Organisation)}
	for id, quota := range quotas {
		manifest.Organisations[id] = &roster.Organisation{ID: id, Quota: quota}
	}
	f.manifest.Store(manifest)
}

// request has a node serve a request, and returns its refusal.
func (f *testFleet) request(node *quota.Controller, id fleet.OrganisationID, tokens int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	account := node.Account(id)
	err := account.Admit(tokens)
	if err == nil {
		_, err = account.Spend(ctx, tokens)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked[id] += tokens
	if refused, ok := refusal.As(err); ok {
		f.refused[refused.Reason]++
		return err
	}
	if err == nil {
		f.sent[id] = append(f.sent[id], spent{time.Now(), tokens})
	}
	return err
}

// load sends requests of 200 to 4,000 tokens for a time, at random moments, to nodes that at
// returns for each moment.
func (f *testFleet) load(id fleet.OrganisationID, perSecond float64, span time.Duration, at func(since time.Duration) *quota.Controller) {
	const mean = 2100
	began := time.Now()
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, string(id))
	random := rand.New(rand.NewPCG(1, hash.Sum64()))
	f.requests.Go(func() {
		for time.Since(began) < span {
			time.Sleep(time.Duration(random.ExpFloat64() * mean / perSecond * float64(time.Second)))
			node, tokens := at(time.Since(began)), 200+random.IntN(3801)
			f.requests.Go(func() { _ = f.request(node, id, tokens) })
		}
	})
}

// anyNode spreads requests over all nodes.
func (f *testFleet) anyNode(time.Duration) *quota.Controller { return f.nodes[rand.N(len(f.nodes))] }

// movingGroup sends all requests to one sixth of the nodes, to another one every 1.5 s.
func (f *testFleet) movingGroup(since time.Duration) *quota.Controller {
	size := max(1, len(f.nodes)/6)
	group := int(since/(1500*time.Millisecond)) % (len(f.nodes) / size)
	return f.nodes[group*size+rand.N(size)]
}

// used returns the tokens sent in a span.
func (f *testFleet) used(id fleet.OrganisationID, from, to time.Time) (sum float64) {
	for _, s := range f.sent[id] {
		if !s.at.Before(from) && s.at.Before(to) {
			sum += float64(s.tokens)
		}
	}
	return sum
}

// checkNeverOver checks each window.
func (f *testFleet) checkNeverOver(id fleet.OrganisationID, quota *roster.Quota) {
	f.Helper()
	sends := f.sent[id]
	slices.SortFunc(sends, func(a, b spent) int { return a.at.Compare(b.at) })
	most, sum, end := quota.PerSecond*window.Seconds()+quota.Burst, 0.0, 0
	for _, first := range sends {
		for ; end < len(sends) && sends[end].at.Before(first.at.Add(window)); end++ {
			sum += float64(sends[end].tokens)
		}
		f.Assert(sum <= most, qt.IsTrue)
		sum -= float64(first.tokens)
	}
}

// TestQuotaIsUsedWhileDemandMoves guards against tokens that lie with nodes which need them no
// more, and against the loss of more than a twentieth by any other cause.
func TestQuotaIsUsedWhileDemandMoves(t *testing.T) {
	for _, size := range []struct {
		nodes            int
		perSecond, burst float64
	}{{7, 4_200, 8_400}, {7, 380_000, 380_000}, {84, 4_200, 8_400}, {84, 38_000, 19_000}, {84, 380_000, 380_000}, {410, 38_000, 38_000}, {410, 380_000, 380_000}} {
		limit := &roster.Quota{PerSecond: size.perSecond, Burst: size.burst}
		inFleet(t, size.nodes, map[fleet.OrganisationID]*roster.Quota{"o": limit}, func(f *testFleet) {
			const warmUp, span = 10 * time.Second, 20 * time.Second
			f.load("o", 2*size.perSecond, warmUp+span, f.movingGroup)
			f.requests.Wait()
			share := f.used("o", f.began.Add(warmUp), f.began.Add(warmUp+span)) / (span.Seconds() * size.perSecond)
			f.Logf("%d nodes, %.0f tokens a second: %.3f used, %d messages", size.nodes, size.perSecond, share, f.messages.Load())
			f.Check(share >= 0.95, qt.IsTrue)
			f.Check(f.refused[refusal.NoServer], qt.Equals, 0)
			f.checkNeverOver("o", limit)
		})
	}
}

// TestSmallOrganisationIsServed guards against an organisation of one or two requests a second
// that gets nothing on 84 nodes beside large ones.
func TestSmallOrganisationIsServed(t *testing.T) {
	small, large := &roster.Quota{PerSecond: 4_200, Burst: 12_600}, &roster.Quota{PerSecond: 200_000, Burst: 200_000}
	inFleet(t, 84, map[fleet.OrganisationID]*roster.Quota{"small": small, "large": large}, func(f *testFleet) {
		time.Sleep(10 * time.Second)
		f.load("small", 0.6*small.PerSecond, 60*time.Second, f.anyNode)
		f.load("large", 3*large.PerSecond, 60*time.Second, f.anyNode)
		f.requests.Wait()
		served := f.used("small", f.began, time.Now()) / float64(f.asked["small"])
		f.Logf("%.3f of the small one's tokens", served)
		f.Check(served >= 0.95, qt.IsTrue)
	})
}

// TestMessagesPerRequestAreBounded guards against an owner whose work grows faster than the
// requests, and against messages for organisations without requests.
func TestMessagesPerRequestAreBounded(t *testing.T) {
	const organisations = 16
	for _, size := range []struct {
		nodes     int
		perSecond float64
		messages  float64
		bytes     float64
	}{{84, 350, 1.1, 200}, {410, 13_000, 0.6, 150}} {
		quotas := make(map[fleet.OrganisationID]*roster.Quota)
		for i := range organisations {
			quotas[fleet.OrganisationID(fmt.Sprint("organisation-", i))] = &roster.Quota{PerSecond: 5000 * size.perSecond / organisations, Burst: 10_000 * size.perSecond / organisations}
		}
		inFleet(t, size.nodes, quotas, func(f *testFleet) {
			time.Sleep(time.Minute)
			f.Check(f.messages.Load(), qt.Equals, int64(0))
			for id := range quotas {
				f.load(id, 2100*size.perSecond/organisations, 1500*time.Millisecond, f.anyNode)
			}
			f.requests.Wait()
			requests := 1.5 * size.perSecond
			messages, bytes := float64(f.messages.Load())/requests, float64(f.bytes.Load())/requests
			f.Logf("%d nodes, %.0f requests a second: %.2f messages and %.0f bytes for each", size.nodes, size.perSecond, messages, bytes)
			f.Check(messages <= size.messages, qt.IsTrue)
			f.Check(bytes <= size.bytes, qt.IsTrue)
			f.Check(f.refused, qt.HasLen, 0)
			time.Sleep(2 * time.Second)
			calm := f.messages.Load()
			time.Sleep(time.Minute)
			f.Check(f.messages.Load(), qt.Equals, calm)
		})
	}
}

// BenchmarkAsk is one request for tokens, with the encoding of both messages.
func BenchmarkAsk(b *testing.B) {
	f := &testFleet{owner: "n0", term: 1, began: time.Now().Add(-time.Minute)}
	f.setQuotas(map[fleet.OrganisationID]*roster.Quota{"o": {PerSecond: 1e9, Burst: 1e9}})
	peers := peertest.Endpoint{Network: &f.network, Node: "n0"}
	node := &quota.Controller{
		Node: "n0", Lease: &oneLease{fleet: f, node: "n0"}, Peers: peers, Manifest: f.manifest.Load,
		Clock: func() time.Duration { return time.Since(f.began) },
	}
	node.Register()
	request := json.RawMessage(`{"node":"n1","entries":[{"organisation":"o","need":2000,"want":2000}]}`)
	for b.Loop() {
		var answer json.RawMessage
		if err := peers.Call(context.Background(), "n0", "quota.ask", request, &answer); err != nil {
			b.Fatal(err)
		}
	}
}
