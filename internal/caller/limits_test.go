package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/caller"
	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

// delayedLoader is a Loader whose loads complete after loadTime or fail with err.
type delayedLoader struct {
	mu       sync.Mutex
	cluster  *testCluster
	loadTime time.Duration
	err      error
	readyAt  time.Time
}

func (l *delayedLoader) RequestLoad(context.Context, fleet.Item, time.Time) (caller.Estimate, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return caller.Estimate{}, l.err
	}
	if l.readyAt.IsZero() {
		l.readyAt = time.Now().Add(l.loadTime)
		time.AfterFunc(l.loadTime, func() {
			l.cluster.mu.Lock()
			defer l.cluster.mu.Unlock()
			clear(l.cluster.hidden)
		})
	}
	return caller.Estimate{ReadyIn: time.Until(l.readyAt)}, nil
}

// coldCluster runs a test with one engine that is listed only after the load.
func coldCluster(t *testing.T, load *delayedLoader, run func(*testCluster)) {
	t.Helper()
	withCluster(t, clusterConfig{engines: 1, nodes: 1, node: func(node *caller.Server) { node.Loader = load }}, func(s *testCluster) {
		load.cluster = s
		s.mu.Lock()
		s.hidden[s.engines[0].ID()] = true
		s.mu.Unlock()
		run(s)
	})
}

func TestColdStartServesAllQueuedRequests(t *testing.T) {
	coldCluster(t, &delayedLoader{loadTime: 3 * time.Second}, func(s *testCluster) {
		var group sync.WaitGroup
		for at := range 20 {
			group.Go(func() { s.chat(0, fmt.Sprint("wreath ", at), 8) })
		}
		group.Wait()
	})
}

func TestLoadLongerThanDeadlineIsRefusedAtOnce(t *testing.T) {
	coldCluster(t, &delayedLoader{loadTime: 20 * time.Second}, func(s *testCluster) {
		body, _ := chatRequest("x", 1)
		got := s.send(0, http.MethodPost, chatPath, body)
		s.c.Assert(got.status, qt.Equals, http.StatusServiceUnavailable)
		s.c.Assert(got.body, qt.Contains, string(refusal.DeadlineUnreachable))
		s.c.Assert(got.header.Get("Retry-After"), qt.Equals, "20")
		s.c.Assert(got.took < 50*time.Millisecond, qt.IsTrue)
	})
}

func TestRequestIsRefusedSoonWhenLoadFails(t *testing.T) {
	coldCluster(t, &delayedLoader{err: errors.New("no memory")}, func(s *testCluster) {
		body, _ := chatRequest("x", 1)
		got := s.send(0, http.MethodPost, chatPath, body)
		s.c.Assert(got.body, qt.Contains, string(refusal.NoServer))
		s.c.Assert(runStatus(got), qt.Equals, refusal.NotRun)
		s.c.Assert(got.took < 2500*time.Millisecond, qt.IsTrue, qt.Commentf("%s", got.took))
	})
}

func TestDrainWaitsForRunningRequests(t *testing.T) {
	withCluster(t, clusterConfig{engines: 1, nodes: 1}, func(s *testCluster) {
		var group sync.WaitGroup
		for at := range 10 {
			group.Go(func() { s.chat(0, fmt.Sprint("wreath ", at), 60) })
		}
		time.Sleep(100 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		var cutOff int
		group.Go(func() { cutOff = s.nodes[0].Drain(ctx) })
		time.Sleep(100 * time.Millisecond)
		body, _ := chatRequest("late", 1)
		got := s.send(0, http.MethodPost, chatPath, body)
		s.c.Check(got.body, qt.Contains, string(refusal.Draining))
		s.c.Check(runStatus(got), qt.Equals, refusal.NotRun)
		group.Wait()
		s.c.Assert(cutOff, qt.Equals, 0)
	})
}

func TestDrainingServerGetsNoNewRequests(t *testing.T) {
	withCluster(t, clusterConfig{engines: 2, nodes: 1}, func(s *testCluster) {
		s.mu.Lock()
		s.draining[s.engines[0].ID()] = true
		s.mu.Unlock()
		s.engines[0].SetFaults(standin.EngineFaults{CrashOn: "wreath"})
		for at := range 20 {
			s.chat(0, fmt.Sprint("wreath ", at), 2)
		}
		s.c.Assert(s.crashes(), qt.Equals, 0)
	})
}

func TestSlowServerIsHedgedAndAvoided(t *testing.T) {
	withCluster(t, clusterConfig{engines: 10, nodes: 1}, func(s *testCluster) {
		for at := range 200 {
			s.chat(0, fmt.Sprint("warm ", at), 1)
		}
		s.engines[3].SetFaults(standin.EngineFaults{Faults: standin.Faults{Slow: fleet.Duration(2 * time.Second)}})
		slow := 0
		for at := range 200 {
			if s.chat(0, fmt.Sprint("pedal ", at), 1).took > 500*time.Millisecond {
				slow++
			}
		}
		s.c.Assert(slow <= 2, qt.IsTrue, qt.Commentf("%d slow", slow))
	})
}

func TestEventOfAnotherRequestIsNotForwarded(t *testing.T) {
	c := qt.New(t)
	mixed := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/admin/report" {
			_, _ = io.WriteString(w, "{}")
			return
		}
		id := fleet.RequestID(r.Header.Get(engine.RequestIDHeader))
		_, _ = fmt.Fprintf(w, "id: %s\ndata: {\"n\":0}\n\n", engine.EventID(id, 0))
		_, _ = fmt.Fprintf(w, "id: %s\ndata: {\"n\":\"another's\"}\n\n", engine.EventID("another", 1))
	})
	node := startNode(t, nil, mixed, mixed, streamHandler(3))
	for range 5 {
		_, answer, _ := post(t, node.URL+chatPath, chatBody)
		c.Assert(answer, qt.Not(qt.Contains), "another")
		c.Assert(strings.Count(answer, `"n":0`), qt.Equals, 1)
		c.Assert(answer, qt.Contains, "[DONE]")
	}
}

func TestRepeatedEventsAreDropped(t *testing.T) {
	c := qt.New(t)
	repeating := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := fleet.RequestID(r.Header.Get(engine.RequestIDHeader))
		for _, at := range []uint64{0, 0, 1, 0, 1, 2} {
			_, _ = fmt.Fprintf(w, "id: %s\ndata: {\"n\":%d}\n\n", engine.EventID(id, at), at)
		}
		_, _ = fmt.Fprintf(w, "id: %s\ndata: [DONE]\n\n", engine.EventID(id, 3))
	})
	node := startNode(t, nil, repeating)
	_, answer, _ := post(t, node.URL+chatPath, chatBody)
	c.Assert(strings.Count(answer, "data: {"), qt.Equals, 3)
	c.Assert(answer, qt.Contains, "[DONE]")
}

// sendRaw writes to a connection to a node and returns all that the node sends
// until it closes the connection.
func sendRaw(s *testCluster, send func(net.Conn)) string {
	connection, err := s.net.dial(context.Background(), "tcp", "node0:80")
	s.c.Assert(err, qt.IsNil)
	defer connection.Close()
	go send(connection)
	answer, _ := io.ReadAll(bufio.NewReader(connection))
	return string(answer)
}

func TestSlowSenderIsRefused(t *testing.T) {
	withCluster(t, clusterConfig{nodes: 1}, func(s *testCluster) {
		answer := sendRaw(s, func(connection net.Conn) {
			_, _ = io.WriteString(connection, "POST "+chatPath+" HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"+
				"Content-Type: application/json\r\nContent-Length: 100\r\n\r\n{")
		})
		s.c.Assert(answer, qt.Contains, string(refusal.SlowSender))
	})
}

func TestHeaderFloodIsRefused(t *testing.T) {
	withCluster(t, clusterConfig{nodes: 1}, func(s *testCluster) {
		answer := sendRaw(s, func(connection net.Conn) {
			_, _ = io.WriteString(connection, "GET /v1/models HTTP/1.1\r\nHost: x\r\n")
			for at := range 5000 {
				if _, err := fmt.Fprintf(connection, "X-%d: flood\r\n", at); err != nil {
					return
				}
			}
			_, _ = io.WriteString(connection, "\r\n")
		})
		s.c.Assert(answer, qt.Contains, "431")
	})
}

func TestSlotIsReleasedWhenCallerStopsReading(t *testing.T) {
	limited := func(config *standin.EngineConfig) { config.Concurrency = 8 }
	withCluster(t, clusterConfig{engines: 1, nodes: 1, engine: limited}, func(s *testCluster) {
		body, _ := chatRequest("wreath", 300)
		for range 8 {
			connection, err := s.net.dial(context.Background(), "tcp", "node0:80")
			s.c.Assert(err, qt.IsNil)
			defer connection.Close()
			_, _ = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"+
				"X-Deadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n%s", chatPath, len(body), body)
		}
		time.Sleep(6 * time.Second)
		s.chat(0, "another", 4)
	})
}

func TestCallerResumesStreamAtAnotherNode(t *testing.T) {
	withCluster(t, clusterConfig{engines: 2, nodes: 2}, func(s *testCluster) {
		body, want := chatRequest("which wreath", 20)
		whole := s.send(0, http.MethodPost, chatPath, body, engine.RequestIDHeader, "r1")
		id := fleet.RequestID(whole.header.Get(engine.RequestIDHeader))
		rest := s.send(1, http.MethodPost, chatPath, body,
			engine.RequestIDHeader, "r1", engine.LastEventIDHeader, engine.EventID(id, 4))
		text, done := streamText(rest.body)
		s.c.Assert(done, qt.IsTrue)
		s.c.Assert(strings.HasSuffix(want, text), qt.IsTrue, qt.Commentf("%q", text))
		s.c.Assert(len(strings.Fields(text)), qt.Equals, 15)
		foreign := s.send(1, http.MethodPost, chatPath, body,
			engine.RequestIDHeader, "r2", engine.LastEventIDHeader, engine.EventID(id, 4))
		s.c.Assert(foreign.status, qt.Equals, http.StatusBadRequest)
	})
}
