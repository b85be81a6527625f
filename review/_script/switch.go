package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/guavatrack/guavatrack/platform/standin"
)

// Bounds of the case: the route's timeout as the stand-in's manifest has it, and the time
// after it within which the rule wants an answer. The callers wait longer.
const (
	routeTimeout   = 5 * time.Second
	answerSlack    = 500 * time.Millisecond
	bookingsPerS   = 120
	minUnanswered  = 8
	soundBookings  = 30
	secondsOfCalls = 6
)

// playSwitch has a faulty server send bytes that are no response to the request: the head of
// a change of protocol that nobody asked for, and nothing more on that channel. Each booking
// must have a final answer by its route's timeout.
func playSwitch(r *rig, trouble bool) (verdict, error) {
	if err := r.start(&standin.Site{Engines: 1, Models: 1}, 3); err != nil {
		return verdict{}, err
	}
	started, err := r.startServers()
	if err != nil {
		return verdict{}, err
	}
	g := &garbler{until: time.Now().Add(garbleTime), spoil: answerWithSwitch}
	faulty := started[:faultyServers]
	for _, s := range faulty {
		if trouble {
			s.setAnswer(g.answer)
		}
	}
	long, unanswered := r.book("order", bookingsPerS*secondsOfCalls, time.Second/bookingsPerS)
	before := runsOf(faulty)
	_, _ = r.book("later", soundBookings, time.Second/10)
	text := fmt.Sprintf("%d requests lasted longer than their route's timeout, %d of them had no answer %v later; "+
		"%d answers were spoiled; of %d requests after that, %d reached the servers that were sound again",
		long, unanswered, answerSlack, g.spoiled.Load(), soundBookings, runsOf(faulty)-before)
	return verdict{broken: unanswered >= minUnanswered && 4*unanswered > long, text: text}, nil
}

// book sends bookings at an interval, each to the next node. It returns the number of those
// that lasted longer than their route's timeout and of those that had no answer after it.
func (r *rig) book(name string, count int, interval time.Duration) (long, unanswered int) {
	var group sync.WaitGroup
	var mu sync.Mutex
	for i := range count {
		n := r.nodes[i%len(r.nodes)]
		request := ran{id: fmt.Sprint(name, "-", i), method: http.MethodPost, body: "one wreath", target: standin.Once + "book"}
		group.Go(func() {
			began := time.Now()
			status, err := sendRaw(n.config.Callers.Listen, request)
			took := time.Since(began)
			r.note("caller of %s at node %d has status %d, error %v, after %v", request.id, i%len(r.nodes), status, err, took.Round(time.Millisecond))
			mu.Lock()
			defer mu.Unlock()
			if took > routeTimeout {
				long++
			}
			if took > routeTimeout+answerSlack {
				unanswered++
			}
		})
		time.Sleep(interval)
	}
	group.Wait()
	return long, unanswered
}

// answerWithSwitch answers with the head of a change of protocol and goes silent.
func answerWithSwitch(w http.ResponseWriter, _ *http.Request) bool {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	_, _ = fmt.Fprint(connection, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: stream\r\n\r\n")
	// The reference keeps the connection open.
	time.AfterFunc(time.Minute, func() { _ = connection.Close() })
	return true
}

// runsOf returns the number of requests that servers ran.
func runsOf(servers []*service) (count int) {
	for _, s := range servers {
		count += len(s.ranRequests())
	}
	return count
}
