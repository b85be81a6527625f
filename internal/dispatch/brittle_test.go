package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/retry"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// brittleServers are servers that turn calls away for want of room, and count that.
type brittleServers struct {
	*fakeServers
	room      int
	perSecond float64
	began     time.Time
	random    *rand.Rand

	mu      sync.Mutex
	running map[fleet.ServerID]int
	// turnedAway counts the calls that each server turned away in each second.
	turnedAway map[string]int
}

// brittleMessage is a call to brittleServers.
type brittleMessage struct{ servers *brittleServers }

func (brittleMessage) Resumable() bool { return false }

func (m brittleMessage) Open(ctx context.Context, attempt *dispatch.Attempt) (dispatch.Answer, error) {
	s, server := m.servers, attempt.Replica.Server
	attempt.MarkSent()
	s.mu.Lock()
	delay := time.Duration(s.random.Int64N(int64(4 * time.Millisecond)))
	s.mu.Unlock()
	time.Sleep(delay)
	s.mu.Lock()
	full := s.running[server] >= s.room
	if full {
		s.turnedAway[fmt.Sprint(server, " in second ", int(time.Since(s.began).Seconds()))]++
	} else {
		s.running[server]++
	}
	load := s.running[server]
	s.mu.Unlock()
	attempt.RecordLoad(load, 0)
	if s.perSecond > 0 {
		attempt.RecordBrittle(s.perSecond)
	}
	if full {
		return nil, failureError(retry.Declined, true)
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.running[server]--
	}()
	select {
	case <-time.After(s.serviceTime):
		return emptyAnswer{}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// TestBrittleServersTurnFewCallsAway guards against servers that fall over since all nodes
// together have them turn away more calls than they bear: seven nodes send twice what three
// servers can run. After the first seconds at most two servers and a tenth of them may have
// to turn away more than they bear, each in one second.
func TestBrittleServersTurnFewCallsAway(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		const (
			nodes, servers = 7, 3
			perSecond      = 5.0
			learningTime   = 3
		)
		s := &brittleServers{
			fakeServers: newFakeServers(servers), room: 6, perSecond: perSecond, began: time.Now(), random: rand.New(rand.NewPCG(1, 2)),
			running: make(map[fleet.ServerID]int), turnedAway: make(map[string]int),
		}
		s.serviceTime = 60 * time.Millisecond
		for i := range s.replicas {
			s.replicas[i].Slots = 6
		}
		var group sync.WaitGroup
		answered := 0
		for node := range nodes {
			d := s.dispatcher()
			d.Nodes = func() int { return nodes }
			group.Go(func() {
				for i := range 10 * 90 {
					group.Go(func() {
						err := d.Do(s.call(fmt.Sprint("c", node, "-", i), func(call *dispatch.Call) {
							call.Message = brittleMessage{servers: s}
							call.Deadline = time.Now().Add(time.Second)
						}))
						s.mu.Lock()
						defer s.mu.Unlock()
						if err == nil {
							answered++
						}
					})
					time.Sleep(time.Second / 90)
				}
			})
		}
		group.Wait()
		falls := 0
		for key, count := range s.turnedAway {
			var server string
			var second int
			_, err := fmt.Sscanf(key, "%s in second %d", &server, &second)
			c.Assert(err, qt.IsNil)
			if second >= learningTime && float64(count) > perSecond {
				falls++
			}
		}
		c.Check(falls <= 2+servers/10, qt.IsTrue, qt.Commentf("%v", s.turnedAway))
		c.Check(answered > 1500, qt.IsTrue, qt.Commentf("%d answered", answered))
	})
}

// TestHugeNumberOfABrittleServerBindsNothing guards against a bound that depends on the kind of
// machine: a number of calls beyond all integers became the smallest one on x86-64, and each
// server was sent one call at a time.
func TestHugeNumberOfABrittleServerBindsNothing(t *testing.T) {
	for _, perSecond := range []float64{1e10, 1e19, 1e300} {
		runInBubble(t, func(c *qt.C) {
			s := &brittleServers{
				fakeServers: newFakeServers(1), room: 6, perSecond: perSecond, began: time.Now(), random: rand.New(rand.NewPCG(1, 2)),
				running: make(map[fleet.ServerID]int), turnedAway: make(map[string]int),
			}
			s.serviceTime = time.Second
			s.replicas[0].Slots = 6
			d := s.dispatcher()
			do := func(id fleet.RequestID) error {
				return d.Do(s.call(string(id), func(call *dispatch.Call) {
					call.Message, call.Deadline = brittleMessage{servers: s}, time.Now().Add(10*time.Second)
				}))
			}
			c.Assert(do("first"), qt.IsNil)
			began := time.Now()
			var group sync.WaitGroup
			for i := range 6 {
				group.Go(func() { c.Check(do(fleet.RequestID(fmt.Sprint("c", i))), qt.IsNil) })
			}
			group.Wait()
			c.Check(time.Since(began) < 2*s.serviceTime, qt.IsTrue, qt.Commentf("%v for %v", time.Since(began), perSecond))
		})
	}
}
