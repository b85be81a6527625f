package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/guavatrack/guavatrack/platform/standin"
)

// service is a stand-in of a plain service's server, which records the requests that it
// runs. It is sound but for what answer does.
type service struct {
	rig *rig
	id  string
	// work is the time for which it works on a request.
	work time.Duration
	// answer, if set, answers a request in place of the sound answer and reports whether it
	// did.
	answer func(w http.ResponseWriter, r *http.Request) bool

	address string
	mu      sync.Mutex
	runs    []ran
}

// ran is a request that a server ran.
type ran struct{ id, method, target, body string }

// startService starts a service's server and writes its entry to the store. An entry of the
// stand-in's store does not expire.
func (r *rig) startService(s *service) error {
	s.rig = r
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address = listener.Addr().String()
	go func() { _ = (&http.Server{Handler: s, ReadHeaderTimeout: time.Minute}).Serve(listener) }()
	r.site.Store.Put("servers", s.id, map[string]any{
		"service": standin.ServicePool, "address": s.address, "zone": "east-a", "version": "v1", "slots": 8,
		"state": "ready", "sequence": 1, "coldLeftMs": 0, "born": time.Now().UnixMilli(),
	})
	return nil
}

// ServeHTTP implements [http.Handler].
func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Guavatrack-Attempt-Id")
	w.Header().Set("Guavatrack-Attempt-Id", id)
	if expected := r.Header.Get("Guavatrack-Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, ran{id: id, method: r.Method, target: r.RequestURI, body: string(body)})
	s.mu.Unlock()
	s.rig.note("%s runs %s: %s %s %q", s.id, id, r.Method, r.RequestURI, body)
	time.Sleep(s.work)
	if answer := s.currentAnswer(); answer != nil && answer(w, r) {
		return
	}
	w.Header().Set("Guavatrack-Response-Seal", "seal-"+s.id)
	_, _ = fmt.Fprintf(w, "done by %s", s.id)
}

// setAnswer sets the function that may answer in place of the sound answer.
func (s *service) setAnswer(answer func(w http.ResponseWriter, r *http.Request) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = answer
}

func (s *service) currentAnswer() func(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answer
}

// ranRequests returns the requests that the server ran.
func (s *service) ranRequests() []ran {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ran(nil), s.runs...)
}
