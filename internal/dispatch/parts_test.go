package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/poison"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

// Timing and numbers of a [partFleet].
const (
	partNodes      = 7
	partServers    = 30
	gossipDelay    = time.Second
	firstEventTime = 50 * time.Millisecond
	answerTime     = 800 * time.Millisecond
	restartTime    = 4 * time.Second
	soundInterval  = time.Second / 13
	crashInterval  = time.Second * 2 / 3
	otherParts     = 187
	// contact is the time in which nodes in touch have heard of each other's crashes.
	contact = 3 * time.Second
)

var errServerEnded = errors.New("server ended")

// partFleet is a fleet of nodes that share a table and send each other notices, with
// servers that crash as they begin to answer a request with the part crashing.
type partFleet struct {
	table *standin.Table
	nodes []*dispatch.Dispatcher
	rand  *rand.Rand

	mu       sync.Mutex
	crashing poison.Digest
	servers  []*partServer
	requests int
	// crashes and sends are the times at which servers crashed and requests with the
	// part were sent.
	crashes, sends []time.Time
	// sound is the outcome of each sound request, by its arrival.
	sound []soundRequest
}

// soundRequest is a request without the crashing part, and whether its first attempt
// began to be answered.
type soundRequest struct {
	arrived time.Time
	began   bool
}

// partServer is a server that restarts under a new boot after a crash.
type partServer struct {
	id    fleet.ServerID
	boots int
	up    bool
	// ended is closed when the server crashes.
	ended chan struct{}
}

func (s *partServer) boot() fleet.BootID { return fleet.BootID(fmt.Sprint(s.id, "-", s.boots)) }

func newPartFleet(ctx context.Context, nodes int) *partFleet {
	f := &partFleet{table: standin.NewTable(), rand: dispatch.SharedRand(rand.New(rand.NewPCG(1, 2)))}
	for i := range partServers {
		f.servers = append(f.servers, &partServer{id: fleet.ServerID(fmt.Sprint("s", i)), up: true, ended: make(chan struct{})})
	}
	f.nodes = make([]*dispatch.Dispatcher, nodes)
	for i := range f.nodes {
		f.nodes[i] = f.newNode(ctx, i)
	}
	return f
}

// newNode returns a node whose notices reach the others after [gossipDelay].
func (f *partFleet) newNode(ctx context.Context, index int) *dispatch.Dispatcher {
	node := &dispatch.Dispatcher{
		Directory: f, Prober: f, Store: f.table, Node: fleet.NodeID(fmt.Sprint("n", index)),
		Rand: rand.New(rand.NewPCG(uint64(index), 2)), PoisonPollInterval: time.Minute,
	}
	node.PublishPoisonNotice = func(notice poison.Notice) {
		time.AfterFunc(gossipDelay, func() {
			f.mu.Lock()
			others := slices.Clone(f.nodes)
			f.mu.Unlock()
			for _, other := range others {
				if other != node {
					other.MergePoisonNotice(notice)
				}
			}
		})
	}
	go func() { _ = node.Run(ctx) }()
	return node
}

func (f *partFleet) Replicas(item fleet.Item, _ fleet.PoolID) (replicas []dispatch.Replica) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, server := range f.servers {
		if server.up {
			replicas = append(replicas, dispatch.Replica{
				Server: server.id, Boot: server.boot(), Item: item, Ready: true, Slots: 4, FixedSlots: true,
			})
		}
	}
	return replicas
}

func (f *partFleet) Alive(context.Context, dispatch.Replica) bool { return true }

func (f *partFleet) Crashed(_ context.Context, replica dispatch.Replica) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !slices.ContainsFunc(f.servers, func(server *partServer) bool {
		return server.up && server.id == replica.Server && server.boot() == replica.Boot
	})
}

// crash ends a run of a server, which is back after [restartTime].
func (f *partFleet) crash(server *partServer, boot fleet.BootID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !server.up || server.boot() != boot {
		return
	}
	server.up = false
	close(server.ended)
	f.crashes = append(f.crashes, time.Now())
	time.AfterFunc(restartTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		server.boots++
		server.up, server.ended = true, make(chan struct{})
	})
}

// fifthCrash returns the time of the fifth crash, or a time after all requests.
func (f *partFleet) fifthCrash() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < 5 {
		return time.Now().Add(time.Hour)
	}
	return f.crashes[4]
}

// partMessage is a streamed request to a [partFleet].
type partMessage struct {
	*partFleet
	call *dispatch.Call
	// attempts counts the attempts, firstBegan is set if the first one began.
	attempts   int
	firstBegan bool
}

func (m *partMessage) Resumable() bool { return false }

func (m *partMessage) Open(ctx context.Context, attempt *dispatch.Attempt) (dispatch.Answer, error) {
	attempt.MarkSent()
	m.attempts++
	m.mu.Lock()
	server := m.servers[slices.IndexFunc(m.servers, func(s *partServer) bool { return s.id == attempt.Replica.Server })]
	ended, up := server.ended, server.up && server.boot() == attempt.Replica.Boot
	crashes := slices.Contains(m.call.Parts, m.crashing)
	if crashes {
		m.sends = append(m.sends, time.Now())
	}
	m.mu.Unlock()
	if !up {
		return nil, errServerEnded
	}
	if crashes {
		time.AfterFunc(firstEventTime, func() { m.crash(server, attempt.Replica.Boot) })
	}
	answer := &partAnswer{ctx: ctx, ended: ended, attempt: attempt, call: m.call}
	wait := firstEventTime
	if crashes {
		wait *= 2
	}
	if err := answer.wait(wait); err != nil {
		return nil, err
	}
	m.firstBegan = m.firstBegan || m.attempts == 1
	attempt.AddEvent()
	return answer, nil
}

// partAnswer is the rest of an answer.
type partAnswer struct {
	ctx     context.Context //nolint:containedctx // an answer lives as long as its attempt
	ended   <-chan struct{}
	attempt *dispatch.Attempt
	call    *dispatch.Call
}

func (a *partAnswer) wait(duration time.Duration) error {
	select {
	case <-time.After(duration):
		return nil
	case <-a.ended:
		return errServerEnded
	case <-a.ctx.Done():
		return a.ctx.Err()
	}
}

func (a *partAnswer) Relay() error {
	a.call.MarkAnswerStarted()
	return a.wait(answerTime)
}

func (a *partAnswer) Close() {}

// do runs a request with the given parts at any node and returns its error.
func (f *partFleet) do(parts ...poison.Digest) (*partMessage, error) {
	f.mu.Lock()
	f.requests++
	id := fmt.Sprint("r", f.requests)
	f.mu.Unlock()
	now := time.Now()
	call := &dispatch.Call{
		Context: context.Background(), ID: fleet.RequestID(id), Started: now, Deadline: now.Add(10 * time.Second),
		StartBy: now.Add(2 * time.Second), Pool: "p", Item: fleet.Item{Model: "m"}, Stream: true, MaxAttempts: 1,
		Digest: poison.DigestOf([]byte(id)), Parts: parts,
	}
	message := &partMessage{partFleet: f, call: call}
	call.Message = message
	f.mu.Lock()
	node := f.nodes[f.rand.IntN(len(f.nodes))]
	f.mu.Unlock()
	return message, node.Do(call)
}

// firstPart is the part with which all prompts of the route begin.
var firstPart = poison.PartDigest("f1")

// otherPart returns one of the parts that requests of the route share.
func (f *partFleet) otherPart() poison.Digest {
	return poison.PartDigest(fmt.Sprintf("%04x", f.rand.IntN(otherParts)))
}

// play sends requests for a time: sound ones, and those with the crashing part, of which
// those that are refused are repeated once.
func (f *partFleet) play(crashing poison.Digest, duration time.Duration) {
	f.mu.Lock()
	f.crashing = crashing
	f.mu.Unlock()
	var requests sync.WaitGroup
	began := time.Now()
	nextSound, nextCrash := began, began
	for time.Since(began) < duration {
		now := time.Now()
		if !now.Before(nextSound) {
			nextSound = nextSound.Add(soundInterval)
			requests.Go(func() {
				message, _ := f.do(firstPart, f.otherPart(), f.otherPart())
				f.mu.Lock()
				defer f.mu.Unlock()
				f.sound = append(f.sound, soundRequest{arrived: now, began: message.firstBegan})
			})
		}
		if crashing != "" && !now.Before(nextCrash) {
			nextCrash = nextCrash.Add(crashInterval)
			requests.Go(func() {
				_, err := f.do(firstPart, crashing, f.otherPart())
				if refused, found := refusal.As(err); found {
					time.Sleep(refused.RetryAfter)
					_, _ = f.do(firstPart, crashing, f.otherPart())
				}
			})
		}
		time.Sleep(5 * time.Millisecond)
	}
	requests.Wait()
}

// began returns the share of the sound requests of a span whose first attempt began.
func (f *partFleet) began(from, to time.Time) float64 {
	began, all := 0, 0
	for _, request := range f.sound {
		if !request.arrived.Before(from) && request.arrived.Before(to) {
			all++
			if request.began {
				began++
			}
		}
	}
	return float64(began) / float64(max(1, all))
}

// sendsAfter returns the number of requests that crash servers that were sent later than
// [contact] after a crash.
func (f *partFleet) sendsAfter(crash time.Time) (count int) {
	for _, sent := range f.sends {
		if sent.After(crash.Add(contact)) {
			count++
		}
	}
	return count
}

// maxSends is the number of requests that crash servers that may be sent after the last
// crash that is allowed for has become known: the fifth one of a part, the third of a request.
const maxSends = 3

// TestPartThatCrashesServersIsRefused guards against server after server being lost to
// requests that share a part of their prompts and nothing else, and against sound
// requests being refused because they share the first part with those.
func TestPartThatCrashesServersIsRefused(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		ctx, cancel := context.WithCancel(c.Context())
		defer cancel()
		f := newPartFleet(ctx, partNodes)
		start := time.Now()
		f.play("", 20*time.Second)
		calm := f.began(start, time.Now())
		f.play(poison.PartDigest("bad"), time.Minute)
		fifth := f.fifthCrash()
		c.Logf("%d crashes, %d sends, %d of them after the fifth crash", len(f.crashes), len(f.sends), f.sendsAfter(fifth))
		c.Check(f.sendsAfter(fifth) <= maxSends, qt.IsTrue, qt.Commentf("%d", f.sendsAfter(fifth)))
		troubled := f.began(f.crashes[0].Add(2*contact), time.Now())
		c.Logf("sound requests that began at the first attempt: %.3f before, %.3f beside the part", calm, troubled)
		c.Check(troubled >= calm/2, qt.IsTrue, qt.Commentf("%.3f of %.3f", troubled, calm))
	})
}

// TestPartIsRefusedInOtherFleets has the part crash servers in fleets and at times that
// make it harder to recognise. The case "sound before" guards against a part that goes
// unblamed since it was answered shortly before it first crashed a server.
func TestPartIsRefusedInOtherFleets(t *testing.T) {
	for _, test := range []struct {
		name  string
		nodes int
		bad   poison.Digest
		// disturb is called as the part begins to crash servers.
		disturb func(ctx context.Context, f *partFleet)
	}{
		{"table away", partNodes, poison.PartDigest("bad"), func(_ context.Context, f *partFleet) {
			f.table.SetFaults(standin.TableFaults{Down: true})
		}},
		{"slow table", partNodes, poison.PartDigest("bad"), func(_ context.Context, f *partFleet) {
			f.table.SetFaults(standin.TableFaults{Delay: 700 * time.Millisecond})
		}},
		{"nodes restarted", partNodes, poison.PartDigest("bad"), func(ctx context.Context, f *partFleet) {
			for i := range f.nodes {
				time.AfterFunc(time.Duration(3+4*i)*time.Second, func() {
					node := f.newNode(ctx, i)
					f.mu.Lock()
					defer f.mu.Unlock()
					f.nodes[i] = node
				})
			}
		}},
		{"many nodes", 100, poison.PartDigest("bad"), func(context.Context, *partFleet) {}},
		{"sound before", partNodes, poison.PartDigest("0007"), func(context.Context, *partFleet) {}},
		{"first part", partNodes, poison.PartDigest("f2"), func(context.Context, *partFleet) {}},
	} {
		t.Run(test.name, func(t *testing.T) {
			runInBubble(t, func(c *qt.C) {
				ctx, cancel := context.WithCancel(c.Context())
				defer cancel()
				f := newPartFleet(ctx, test.nodes)
				start := time.Now()
				f.play("", 20*time.Second)
				calm := f.began(start, time.Now())
				test.disturb(ctx, f)
				f.play(test.bad, time.Minute)
				fifth := f.fifthCrash()
				troubled := f.began(f.crashes[0].Add(2*contact), time.Now())
				c.Logf("%d crashes, %d sends, %d of them after the fifth crash; sound requests that began: %.3f before, %.3f beside",
					len(f.crashes), len(f.sends), f.sendsAfter(fifth), calm, troubled)
				c.Check(f.sendsAfter(fifth) <= maxSends, qt.IsTrue, qt.Commentf("%d", f.sendsAfter(fifth)))
				c.Check(troubled >= calm/2, qt.IsTrue, qt.Commentf("%.3f of %.3f", troubled, calm))
			})
		})
	}
}

// TestMendedPartIsFreeAgain guards against a part that stays refused after it no longer
// crashes servers.
func TestMendedPartIsFreeAgain(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		ctx, cancel := context.WithCancel(c.Context())
		defer cancel()
		f := newPartFleet(ctx, partNodes)
		bad := poison.PartDigest("bad")
		f.play(bad, 10*time.Second)
		_, err := f.do(firstPart, bad)
		c.Assert(err, qt.ErrorMatches, ".*crashed backend servers.*")
		f.crashing = ""
		for range 300 {
			time.Sleep(time.Second)
			_, _ = f.do(firstPart, bad)
		}
		_, err = f.do(firstPart, bad)
		c.Check(err, qt.IsNil)
	})
}

// TestWaitingCallOfARefusedPartIsNotSent guards against a request that was admitted before
// a part of its prompt was found to crash servers, and sent afterwards.
func TestWaitingCallOfARefusedPartIsNotSent(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		s := newFakeServers(1)
		s.serviceTime = time.Second
		d := s.dispatcher()
		var group sync.WaitGroup
		for i := range 4 {
			group.Go(func() { c.Check(d.Do(s.call(fmt.Sprint(i), nil)), qt.IsNil) })
		}
		time.Sleep(100 * time.Millisecond)
		bad := poison.PartDigest("bad")
		waiting := s.call("waiting", func(call *dispatch.Call) { call.Parts = []poison.Digest{bad} })
		group.Go(func() {
			err := d.Do(waiting)
			refused, found := refusal.As(err)
			c.Check(found, qt.IsTrue, qt.Commentf("%v", err))
			c.Check(refused.Reason, qt.Equals, refusal.Poisonous)
			c.Check(refused.RetryAfter > time.Second, qt.IsTrue)
		})
		time.Sleep(100 * time.Millisecond)
		var notices poison.NoticeSet
		for i := range poison.MaxPartCrashes {
			d.MergePoisonNotice(notices.RecordCrash(bad, poison.Crash{Server: fleet.ServerID(fmt.Sprint("x", i)), Boot: "b", At: time.Now()}))
		}
		group.Wait()
		// The queue is served until its next tick.
		time.Sleep(time.Second)
		c.Check(s.runs["waiting"], qt.HasLen, 0)
		c.Check(waiting.Sent(), qt.IsFalse)
	})
}
