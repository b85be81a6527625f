package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/guavatrack/guavatrack/platform/standin"
)

// strayBytes are what a faulty server sends behind a complete answer: they look like an
// answer, and belong to no request.
const strayBytes = "HTTP/1.1 404 Not Found\r\nContent-Type: text/plain\r\nContent-Length: 9\r\n\r\nnot found"

const (
	readsPerS = 100
	// deniedSlack and requestsPerDenied are the bound of the rule.
	deniedSlack       = 5
	requestsPerDenied = 500
)

// playStrayed has a faulty server send additional bytes after a complete answer, late: at
// the point where the next response is expected, which it sends soundly behind them.
func playStrayed(r *rig, trouble bool) (verdict, error) {
	if err := r.start(&standin.Site{Engines: 1, Models: 1}, 3); err != nil {
		return verdict{}, err
	}
	started, err := r.startServers()
	if err != nil {
		return verdict{}, err
	}
	var kept, stray sync.Map
	g := &garbler{until: time.Now().Add(garbleTime), spoil: func(_ http.ResponseWriter, request *http.Request) bool {
		stray.Store(request.RemoteAddr, true)
		return false
	}}
	for _, s := range started[:faultyServers] {
		if !trouble {
			continue
		}
		s.setAnswer(func(w http.ResponseWriter, request *http.Request) bool {
			_, again := kept.LoadOrStore(request.RemoteAddr, true)
			if _, due := stray.LoadAndDelete(request.RemoteAddr); due && again {
				return s.answerBehindStrayBytes(w, request)
			}
			return g.answer(w, request)
		})
	}
	wrong, count := r.read(readsPerS*secondsOfCalls, time.Second/readsPerS)
	text := fmt.Sprintf("%d of %d reads were answered 404 without a server's seal; stray bytes followed %d answers", wrong, count, g.spoiled.Load())
	return verdict{broken: wrong > deniedSlack+count/requestsPerDenied, text: text}, nil
}

// read sends idempotent requests at an interval, each to the next node, and returns the
// number of those that were answered 404 without a server's seal.
func (r *rig) read(count int, interval time.Duration) (wrong, sent int) {
	var group sync.WaitGroup
	var mu sync.Mutex
	for i := range count {
		id := fmt.Sprint("read-", i)
		request, err := http.NewRequest(http.MethodGet, "http://"+r.nodes[i%len(r.nodes)].config.Callers.Listen+standin.Repeatable+"stock", http.NoBody)
		if err != nil {
			continue
		}
		request.Host = standin.Host
		request.Header.Set("Guavatrack-Attempt-Id", id)
		request.Header.Set("Guavatrack-Deadline-Ms", "4000")
		group.Go(func() {
			answer, err := standin.Send(request)
			r.note("caller of %s has status %d, seal %q, body %q, error %v", id, answer.Status, answer.Signature, answer.Body, err)
			mu.Lock()
			defer mu.Unlock()
			if answer.Status == http.StatusNotFound && answer.Signature == "" {
				wrong++
			}
		})
		time.Sleep(interval)
	}
	group.Wait()
	return wrong, count
}

// answerBehindStrayBytes sends the stray bytes and then the sound answer.
func (s *service) answerBehindStrayBytes(w http.ResponseWriter, request *http.Request) bool {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	_, _ = fmt.Fprintf(connection, "%sHTTP/1.1 200 OK\r\nGuavatrack-Attempt-Id: %s\r\nGuavatrack-Response-Seal: seal-%s\r\n"+
		"Connection: close\r\nContent-Length: 14\r\n\r\ndone by %s", strayBytes, request.Header.Get("Guavatrack-Attempt-Id"), s.id, s.id)
	return connection.Close() == nil
}
