package quota

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/guavatrack/guavatrack/internal/rapidtest"
	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

// sent is what reached servers at a time.
type sent struct {
	at     time.Duration
	tokens float64
}

// change is a quota and when it came into force.
type change struct {
	at    time.Duration
	quota roster.Quota
}

// mostOver returns by how much the sends of some window exceed the largest quota that was in
// force from a credit's lifetime before the window to its end.
func mostOver(sends []sent, changes []change) (over float64) {
	slices.SortFunc(sends, func(a, b sent) int { return int(a.at - b.at) })
	sum, end := 0.0, 0
	for _, first := range sends {
		for ; end < len(sends) && sends[end].at < first.at+DefaultWindow; end++ {
			sum += sends[end].tokens
		}
		allowed := 0.0
		for j, c := range changes {
			if c.at < first.at+DefaultWindow && (j+1 == len(changes) || changes[j+1].at >= first.at-CreditLifetime) {
				allowed = max(allowed, c.quota.PerSecond*DefaultWindow.Seconds()+c.quota.Burst)
			}
		}
		over = max(over, sum-allowed)
		sum -= first.tokens
	}
	return over
}

// message is a request or an answer that arrives at a time.
type message struct {
	node   int
	at     time.Duration
	asked  time.Duration
	entry  askEntry
	answer bool
	credit credit
}

// accounts is nodes that want all of one organisation's quota, with owners that follow each
// other and a network that delays and loses messages.
type accounts struct {
	*rand.Rand
	now     time.Duration
	ledger  Ledger
	quota   roster.Quota
	changes []change
	nodes   []wallet
	// asleep is until when each node is suspended.
	asleep []time.Duration
	under  []message
	// held are spends of which the request is not sent yet, since the node was suspended after.
	held  [][]credit
	sends []sent
	// loss and lateness are the shares of messages that are lost, or very late; pauses that
	// of the spends after which the node is suspended.
	loss, lateness, pauses float64
	// hoards has nodes spend their credits as late as they may, and give nothing back.
	hoards bool
}

func (a *accounts) delay() time.Duration {
	if a.Float64() < a.lateness {
		return time.Duration(a.Int64N(int64(3 * time.Second)))
	}
	return time.Duration(a.Int64N(int64(20 * time.Millisecond)))
}

// post has a message arrive later, or not.
func (a *accounts) post(m message) {
	if a.Float64() >= a.loss {
		m.at = a.now + a.delay()
		a.under = append(a.under, m)
	}
}

// ask has a node ask for tokens, and give back what lapses soon.
func (a *accounts) ask(i int) {
	entry := askEntry{Need: 200 + Tokens(a.IntN(3800))}
	entry.Want = entry.Need * Tokens(1+a.IntN(4000))
	if a.hoards {
		a.post(message{node: i, asked: a.now, entry: entry})
		return
	}
	for _, c := range a.nodes[i].lapsing(a.now) {
		entry.GiveBack = append(entry.GiveBack, givenCredit{GrantedAt: c.grantedAt, Tokens: c.tokens})
	}
	a.post(message{node: i, asked: a.now, entry: entry})
}

// arrive delivers the messages that are due.
func (a *accounts) arrive() {
	due := a.under
	a.under = nil
	for _, m := range due {
		switch node := fleet.NodeID(rune('a' + m.node)); {
		case m.at > a.now || m.answer && a.asleep[m.node] > a.now:
			a.under = append(a.under, m)
		case m.answer:
			a.nodes[m.node].add(m.credit)
		default:
			for _, given := range m.entry.GiveBack {
				_ = a.ledger.GiveBack(a.now, node, "o", &a.quota, given.GrantedAt, given.Tokens)
			}
			grant, _ := a.ledger.Take(a.now, node, "o", &a.quota, m.entry.Need, m.entry.Want)
			m.answer, m.credit = true, credit{tokens: grant.Tokens, expires: m.asked + CreditLifetime, grantedAt: a.now}
			a.post(m)
		}
	}
}

// spend has a node spend what it holds. It may be suspended before it sends the requests: then
// what has lapsed is not sent.
func (a *accounts) spend(i int) {
	for _, c := range a.held[i] {
		if a.now < c.expires {
			a.sends = append(a.sends, sent{a.now, float64(c.tokens)})
		}
	}
	a.held[i] = nil
	held := a.nodes[i].available(a.now)
	if a.hoards && held > 0 && a.nodes[i].credits[0].expires-a.now > 2*maxStep {
		return
	}
	spent, _ := a.nodes[i].take(a.now, held)
	if a.Float64() < a.pauses {
		a.held[i], a.asleep[i] = spent, a.now+time.Duration(a.Int64N(int64(2*time.Second)))
		return
	}
	for _, c := range spent {
		a.sends = append(a.sends, sent{a.now, float64(c.tokens)})
	}
}

func (a *accounts) changeQuota() {
	a.quota.PerSecond = 4_200 + a.Float64()*376_000
	a.quota.Burst = a.quota.PerSecond * 3 * a.Float64() * a.Float64()
	a.changes = append(a.changes, change{a.now, a.quota})
}

// maxStep is the most time between two steps of run.
const maxStep = 20 * time.Millisecond

// run plays a time in which nodes want all that they can get.
func (a *accounts) run(span time.Duration) {
	for end := a.now + span; a.now < end; a.now += time.Duration(1 + a.Int64N(int64(maxStep))) {
		a.arrive()
		for i := range a.nodes {
			if a.asleep[i] <= a.now {
				a.spend(i)
				a.ask(i)
			}
		}
	}
}

// events happen between times in which nodes want all tokens.
var events = map[string]func(*accounts){
	"another owner":       func(a *accounts) { a.ledger.Open(a.now) },
	"a node is replaced":  func(a *accounts) { a.nodes[a.IntN(len(a.nodes))] = wallet{} },
	"the quota changes":   (*accounts).changeQuota,
	"nobody wants tokens": func(a *accounts) { a.now += time.Duration(a.Int64N(int64(12 * time.Second))) },
	"no node is reached": func(a *accounts) {
		a.under = nil
		a.now += time.Duration(a.Int64N(int64(time.Second)))
	},
}

// TestNeverOverTheQuota guards against a window in which servers get more than a quota allows:
// messages late, lost or out of order, nodes suspended before they send or lost, owners that
// follow each other at any time, quotas that change.
func TestNeverOverTheQuota(t *testing.T) {
	// Of 300 plays at least one finds each of these faults: a new owner that counts too little
	// of what the one before granted, no window, credits that do not lapse.
	const playsPerCheck = 3
	rapid.Check(t, func(rt *rapid.T) {
		for range playsPerCheck {
			play(rt)
		}
	})
}

func play(rt *rapid.T) {
	names := slices.Sorted(maps.Keys(events))
	nodes := rapid.IntRange(1, 5).Draw(rt, "nodes")
	a := &accounts{
		Rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1)), now: time.Hour,
		nodes: make([]wallet, nodes), asleep: make([]time.Duration, nodes), held: make([][]credit, nodes),
		loss: rapid.SampledFrom([]float64{0, 0.1}).Draw(rt, "loss"), lateness: rapid.SampledFrom([]float64{0, 0.1}).Draw(rt, "lateness"),
		pauses: rapid.SampledFrom([]float64{0, 0, 0.02}).Draw(rt, "pauses"),
		hoards: rapid.Bool().Draw(rt, "hoards"),
	}
	a.ledger.Open(a.now - time.Duration(rapid.IntRange(0, 30).Draw(rt, "opened"))*time.Second)
	a.changeQuota()
	for range rapid.IntRange(1, 12).Draw(rt, "events") {
		a.run(time.Duration(rapid.IntRange(0, 9000).Draw(rt, "ms")) * time.Millisecond)
		events[rapid.SampledFrom(names).Draw(rt, "event")](a)
	}
	a.run(time.Second)
	if over := mostOver(a.sends, a.changes); over > 0.001 {
		rt.Fatalf("%.0f tokens over the quota of %+v in a window", over, a.changes)
	}
}

// TestLateReturnIsNotCounted guards against a request that comes after a long pause and has the
// owner forget grants which nodes have spent.
func TestLateReturnIsNotCounted(t *testing.T) {
	c := qt.New(t)
	var l Ledger
	quota := &roster.Quota{PerSecond: 10_000, Burst: 20_000}
	l.Open(0)
	now := time.Minute
	_, err := l.Take(now, "a", "o", quota, 1000, 1000)
	c.Assert(err, qt.IsNil)
	c.Check(l.GiveBack(now, "b", "o", quota, now, 1000), qt.ErrorIs, ErrNotGranted)
	c.Check(l.GiveBack(now, "a", "o", quota, now+1, 1000), qt.ErrorIs, ErrNotGranted)
	c.Check(l.GiveBack(now, "a", "o", quota, now, 1001), qt.ErrorIs, ErrNotGranted)
	c.Check(l.GiveBack(now, "a", "o", quota, now, -1), qt.ErrorIs, ErrInvalidAmount)
	c.Check(l.GiveBack(now, "a", "o", quota, now, 600), qt.IsNil)
	c.Check(l.GiveBack(now, "a", "o", quota, now, 600), qt.ErrorIs, ErrNotGranted)
	c.Check(l.GiveBack(now+returnTime+1, "a", "o", quota, now, 400), qt.ErrorIs, ErrNotGranted)
	for _, amounts := range [][2]Tokens{{-1, 1}, {1, -1}, {2, 1}, {0, maxAmount + 1}} {
		_, err := l.Take(now, "a", "o", quota, amounts[0], amounts[1])
		c.Check(err, qt.ErrorIs, ErrInvalidAmount)
	}
	c.Check(l.Refused(now, "o", quota, -1), qt.ErrorIs, ErrInvalidAmount)
}

// TestReturnDoesNotFillTheBucket guards against an owner that grants more at once than the next
// owner counts for it: the bucket was filled again since the grant that is given back.
func TestReturnDoesNotFillTheBucket(t *testing.T) {
	c := qt.New(t)
	var l Ledger
	quota := &roster.Quota{PerSecond: 100_000, Burst: 100_000}
	l.Open(0)
	take := func(now time.Duration) Tokens {
		grant, err := l.Take(now, "a", "o", quota, 1, 1_000_000)
		c.Assert(err, qt.IsNil)
		return grant.Tokens
	}
	first, second := time.Minute, time.Minute+900*time.Millisecond
	early := take(first)
	late := take(second)
	c.Assert(l.GiveBack(second, "a", "o", quota, first, early), qt.IsNil)
	late += take(second)
	c.Check(late <= Tokens(quota.Burst), qt.IsTrue, qt.Commentf("%d at once", late))
}

// TestLowerLimitIsUsedAtOnce guards against an organisation that gets nothing for a window after
// its limit was lowered, since what it had used under the higher one counts.
func TestLowerLimitIsUsedAtOnce(t *testing.T) {
	c := qt.New(t)
	var l Ledger
	high, low := &roster.Quota{PerSecond: 100_000, Burst: 100_000}, &roster.Quota{PerSecond: 10_000, Burst: 10_000}
	l.Open(0)
	used := func(from time.Duration, span time.Duration, quota *roster.Quota) (sum Tokens) {
		for now := from; now < from+span; now += 10 * time.Millisecond {
			grant, err := l.Take(now, "a", "o", quota, 1, 1_000_000)
			c.Assert(err, qt.IsNil)
			sum += grant.Tokens
		}
		return sum
	}
	used(0, 30*time.Second, high)
	granted := used(30*time.Second, 4*time.Second, low)
	c.Check(float64(granted) >= 0.8*4*low.PerSecond, qt.IsTrue, qt.Commentf("%d", granted))
	c.Check(float64(granted) <= 4*low.PerSecond+low.Burst, qt.IsTrue, qt.Commentf("%d", granted))
}

// TestIdleAccountsAreForgotten guards against an owner whose memory grows with each organisation
// that was ever used, and against a forgotten account that a new one does not equal.
func TestIdleAccountsAreForgotten(t *testing.T) {
	c := qt.New(t)
	var l Ledger
	quota := &roster.Quota{PerSecond: 1000, Burst: 20_000}
	l.Open(0)
	for i := range 1000 {
		_, err := l.Take(time.Minute, "a", fleet.OrganisationID(rune('a'+i)), quota, 10, 10)
		c.Assert(err, qt.IsNil)
	}
	grant, err := l.Take(2*time.Minute, "a", "o", quota, 10, 1_000_000)
	c.Assert(err, qt.IsNil)
	c.Check(grant.Tokens, qt.Equals, Tokens(20_000))
	c.Check(l.accounts, qt.HasLen, 1)
}
