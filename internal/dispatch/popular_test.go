package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/poison"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

const (
	// popularReaders send one and the same read again and again, each of which takes readTime,
	// to as many nodes and servers as in the case review/12.
	popularReaders = 45
	popularNodes   = 3
	popularServers = 9
	readTime       = 100 * time.Millisecond
	// readerPause is the pause of a reader after a refusal.
	readerPause = 200 * time.Millisecond
	// settledAfter is by when a sound request must be served again after servers have crashed:
	// the pause after crashes at one moment, the trial, and the pause of a reader.
	settledAfter = 5 * time.Second
)

// readMessage is an idempotent request to a [partFleet] that has a whole answer. One that is
// poison crashes each server that begins to run it.
type readMessage struct {
	*partFleet
	call *dispatch.Call
	// isPoison reports whether the request crashes servers now.
	isPoison func() bool
}

func (m *readMessage) Resumable() bool { return false }

func (m *readMessage) Open(ctx context.Context, attempt *dispatch.Attempt) (dispatch.Answer, error) {
	attempt.MarkSent()
	m.mu.Lock()
	server := m.servers[slices.IndexFunc(m.servers, func(s *partServer) bool { return s.id == attempt.Replica.Server })]
	ended, up := server.ended, server.up && server.boot() == attempt.Replica.Boot
	isPoison := m.isPoison()
	if isPoison {
		m.sends = append(m.sends, time.Now())
	}
	m.mu.Unlock()
	if !up {
		return nil, errServerEnded
	}
	if isPoison {
		time.AfterFunc(5*time.Millisecond, func() { m.crash(server, attempt.Replica.Boot) })
	}
	answer := &readAnswer{partAnswer{ctx: ctx, ended: ended, attempt: attempt, call: m.call}}
	return answer, answer.wait(readTime)
}

// readAnswer is the answer to a [readMessage].
type readAnswer struct{ partAnswer }

func (a *readAnswer) Relay() error {
	a.call.MarkAnswerStarted()
	return nil
}

func always() bool { return true }
func never() bool  { return false }

// read sends a read with a content at a node.
func (f *partFleet) read(node int, content string, isPoison func() bool) error {
	now := time.Now()
	f.mu.Lock()
	f.requests++
	id := fleet.RequestID(fmt.Sprint(content, f.requests))
	f.mu.Unlock()
	call := &dispatch.Call{
		Context: context.Background(), ID: id, Started: now, Deadline: now.Add(3 * time.Second), Pool: "p",
		Item: fleet.Item{Model: "m"}, Idempotent: true, MaxAttempts: 2, Digest: poison.DigestOf([]byte(content)),
	}
	call.Message = &readMessage{f, call, isPoison}
	return f.nodes[node].Do(call)
}

// crashTogether has servers that are up crash, with a pause between two of them.
func (f *partFleet) crashTogether(count int, pause time.Duration) {
	for range count {
		f.mu.Lock()
		up := slices.DeleteFunc(slices.Clone(f.servers), func(server *partServer) bool { return !server.up })
		server := up[f.rand.IntN(len(up))]
		boot := server.boot()
		f.mu.Unlock()
		f.crash(server, boot)
		time.Sleep(pause)
	}
}

// popularReads are the outcomes of reads that many readers send alike.
type popularReads struct {
	mu              sync.Mutex
	served, refused int
	// refusedAt are the times of the refusals.
	refusedAt []time.Time
}

// run sends reads of some readers until a time.
func (p *popularReads) run(f *partFleet, readerCount int, until time.Time, isPoison func() bool) {
	var readers sync.WaitGroup
	for reader := range readerCount {
		readers.Go(func() {
			for time.Now().Before(until) {
				err := f.read(reader%len(f.nodes), "popular", isPoison)
				p.mu.Lock()
				if err == nil {
					p.served++
				} else {
					p.refused++
					p.refusedAt = append(p.refusedAt, time.Now())
				}
				p.mu.Unlock()
				if err != nil {
					time.Sleep(readerPause)
				}
			}
		})
	}
	readers.Wait()
}

// refusedBetween counts the refusals of a span.
func (p *popularReads) refusedBetween(from, to time.Time) (count int) {
	for _, at := range p.refusedAt {
		if at.After(from) && at.Before(to) {
			count++
		}
	}
	return count
}

// TestPopularReadIsServedAfterServersCrashTogether guards against a sound read that every node
// refuses for ten minutes, because it ran on two servers that crashed at one moment: each counted
// as a crash of its own.
func TestPopularReadIsServedAfterServersCrashTogether(t *testing.T) {
	for _, test := range []struct {
		lost  int
		pause time.Duration
		again bool // the same once more after 10 s
	}{{lost: 2}, {lost: 3}, {lost: 6}, {lost: 3, pause: 30 * time.Millisecond}, {lost: 3, again: true}} {
		t.Run(fmt.Sprintf("%d servers, %v apart, again %v", test.lost, test.pause, test.again), func(t *testing.T) {
			runInBubble(t, func(c *qt.C) {
				ctx, cancel := context.WithCancel(c.Context())
				defer cancel()
				f := newPartFleet(ctx, popularNodes)
				f.servers = f.servers[:popularServers]
				began := time.Now()
				lossAt := []time.Duration{3 * time.Second}
				if test.again {
					lossAt = append(lossAt, 13*time.Second)
				}
				for _, at := range lossAt {
					time.AfterFunc(at, func() { f.crashTogether(test.lost, test.pause) })
				}
				var reads popularReads
				reads.run(f, popularReaders, began.Add(30*time.Second), never)
				for _, at := range lossAt {
					late := reads.refusedBetween(began.Add(at+settledAfter), began.Add(at+10*time.Second))
					c.Check(late, qt.Equals, 0, qt.Commentf("refused later than %v after the loss at %v", settledAfter, at))
				}
				c.Check(reads.refusedBetween(began.Add(lossAt[len(lossAt)-1]+settledAfter), began.Add(time.Hour)), qt.Equals, 0)
				c.Logf("%d reads served, %d refused or lost", reads.served, reads.refused)
			})
		})
	}
}

// sendsAfterThird returns the number of poisonous requests that were sent later than [contact]
// after the third one.
func (f *partFleet) sendsAfterThird() int {
	if len(f.sends) < 3 {
		return 0
	}
	return f.sendsAfter(f.sends[2])
}

// TestReadThatTurnsBadIsContained has a read that was answered all the time crash each server from
// some moment on: that it was answered lately must not have it sent on.
func TestReadThatTurnsBadIsContained(t *testing.T) {
	for _, readers := range []int{1, 5, popularReaders} {
		t.Run(fmt.Sprint(readers, " readers"), func(t *testing.T) {
			runInBubble(t, func(c *qt.C) {
				ctx, cancel := context.WithCancel(c.Context())
				defer cancel()
				f := newPartFleet(ctx, popularNodes)
				f.servers = f.servers[:popularServers]
				turnsBad := time.Now().Add(5 * time.Second)
				var reads popularReads
				reads.run(f, readers, time.Now().Add(time.Minute), func() bool { return !time.Now().Before(turnsBad) })
				late := f.sendsAfterThird()
				c.Check(late <= maxSends, qt.IsTrue, qt.Commentf("%d sent late", late))
				c.Logf("sent to servers %d times, %d times late", len(f.sends), late)
			})
		})
	}
}

// TestPoisonIsContainedBesideLosses draws losses of several servers while a read that crashes each
// server that begins to run it is sent again and again, by several callers and at any node, beside
// a popular one. The poison reaches few servers, and the popular read is served soon after each
// crash. GUAVATRACK_SEEDS sets the number of histories.
func TestPoisonIsContainedBesideLosses(t *testing.T) {
	const length = 60 * time.Second
	seeds := 4
	if more, err := strconv.Atoi(os.Getenv("GUAVATRACK_SEEDS")); err == nil {
		seeds = more
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runInBubble(t, func(c *qt.C) {
				ctx, cancel := context.WithCancel(c.Context())
				defer cancel()
				f := newPartFleet(ctx, partNodes)
				random := rand.New(rand.NewPCG(uint64(seed), 68))
				began := time.Now()
				losses := 0
				for at := 3 * time.Second; at < length-settledAfter; at += time.Duration(6+random.IntN(12)) * time.Second {
					count, pause := 1+random.IntN(6), time.Duration(random.IntN(3)*random.IntN(50))*time.Millisecond
					losses++
					time.AfterFunc(at, func() { f.crashTogether(count, pause) })
				}
				var callers sync.WaitGroup
				for range 1 + seed%2 {
					start, pause := time.Duration(random.IntN(6000))*time.Millisecond, time.Duration(5+random.IntN(400))*time.Millisecond
					callers.Go(func() {
						time.Sleep(start)
						for time.Since(began) < length {
							err := f.read(f.rand.IntN(len(f.nodes)), "poison", always)
							if _, isRefusal := refusal.As(err); isRefusal {
								time.Sleep(time.Second)
							}
							time.Sleep(pause)
						}
					})
				}
				var reads popularReads
				reads.run(f, popularReaders, began.Add(length), never)
				callers.Wait()
				late := f.sendsAfterThird()
				c.Check(late <= maxSends, qt.IsTrue, qt.Commentf("the poison reached servers at %v", f.sends))
				refused := 0
				for i, crash := range f.crashes {
					until := began.Add(length)
					if i+1 < len(f.crashes) {
						until = f.crashes[i+1]
					}
					refused += reads.refusedBetween(crash.Add(settledAfter), until)
				}
				c.Check(refused, qt.Equals, 0, qt.Commentf("sound reads refused later than %v after a crash", settledAfter))
				c.Logf("%d losses; poison sent to %d servers, %d late; %d reads served, %d refused or lost, %d of them late",
					losses, len(f.sends), late, reads.served, reads.refused, refused)
			})
		})
	}
}
