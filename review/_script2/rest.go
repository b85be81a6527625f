package main

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// restingEngine: an engine that has accepted no order yet turns every request of a machine away with 503
// and Retry-After. The machine may send it two requests at most between half a second after that and the
// end of the time.
func restingEngine(c *run) error {
	const (
		restTime = 10 * time.Second
		allowed  = 2
		after    = 500 * time.Millisecond
	)
	store, storeAddress, err := startStore("127.0.0.1")
	if err != nil {
		return err
	}
	store.Put("op", "config", manifest(7, 7))
	stop := make(chan struct{})
	defer close(stop)
	all := []string{"model0", "model1", "model2", "model3", "model4", "model5", "model6"}
	busy := &backend{id: "i-engine0", pool: modelsPool, slots: 32, work: 50 * time.Millisecond, events: 8, models: all[:3], onDisk: all}
	resting := &backend{id: "i-engine1", pool: modelsPool, slots: 32, work: 50 * time.Millisecond, events: 8, models: all[3:6], onDisk: all}
	var mu sync.Mutex
	var restFrom time.Time
	var refused []string
	armed := false
	resting.hook = func(w http.ResponseWriter, r *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		now := time.Now()
		if !armed || !restFrom.IsZero() && now.After(restFrom.Add(restTime)) {
			return false
		}
		if restFrom.IsZero() {
			restFrom = now
		}
		left := math.Ceil(restFrom.Add(restTime).Sub(now).Seconds())
		refused = append(refused, fmt.Sprintf("%s %s", r.Method, r.URL.Path))
		c.note("%s %s reaches %s, %.3f s after its first 503: 503, Retry-After %v", r.Method, r.URL.Path, resting.id, now.Sub(restFrom).Seconds(), left)
		w.Header().Set("Guavatrack-Attempt-Id", r.Header.Get("Guavatrack-Attempt-Id"))
		w.Header().Set("Guavatrack-Not-Executed", "1")
		w.Header().Set("Retry-After", strconv.Itoa(int(left)))
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	for _, b := range []*backend{busy, resting} {
		if err := startBackend(b, "127.0.0.1"); err != nil {
			return err
		}
		b.register(store, stop)
	}
	n, err := c.newNode(freeIPs(1)[0], storeAddress)
	if err != nil {
		return err
	}
	if err := n.start(); err != nil {
		return err
	}
	if err := n.waitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	mu.Lock()
	armed = c.trouble
	mu.Unlock()
	requests := newRequester()
	pressing := make(chan struct{})
	var group sync.WaitGroup
	requests.press(n, request{path: chatPrefix, model: "model0", limit: 12 * time.Second}, 5, pressing, &group)
	requests.press(n, request{path: chatPrefix, model: "model1", limit: 12 * time.Second}, 5, pressing, &group)
	requests.press(n, request{path: chatPrefix, model: "model2", limit: 12 * time.Second}, 5, pressing, &group)
	requests.press(n, request{path: chatPrefix, model: "model6", limit: 12 * time.Second}, 2, pressing, &group)
	time.Sleep(15 * time.Second)
	close(pressing)
	group.Wait()
	counts := map[int]int{}
	for _, got := range requests.sent {
		counts[got.status]++
	}
	c.note("answers by status: %v", counts)
	resting.mu.Lock()
	defer resting.mu.Unlock()
	late := 0
	for _, a := range resting.arrivals {
		if c.trouble && a.at.After(restFrom.Add(after)) && a.at.Before(restFrom.Add(restTime)) {
			late++
		}
	}
	if counts[200] == 0 || c.trouble && restFrom.IsZero() {
		return fmt.Errorf("the case did not come about")
	}
	if late > allowed {
		c.breakRule("BUDGET: %d requests reached %s between half a second after its 503 with Retry-After and the end of that time", late, resting.id)
	}
	return nil
}

// longRest: an engine asks one machine for a longer rest than half a minute. Requests for the models that
// only this engine holds go on coming to the machine.
func longRest(c *run) error {
	const (
		restTime = 45 * time.Second
		allowed  = 2
		after    = 500 * time.Millisecond
	)
	store, storeAddress, err := startStore("127.0.0.1")
	if err != nil {
		return err
	}
	store.Put("op", "config", manifest(7, 6))
	stop := make(chan struct{})
	defer close(stop)
	models := []string{"model0", "model1", "model2", "model3", "model4", "model5"}
	var engines []*backend
	for i := range 2 {
		engines = append(engines, &backend{
			id: fmt.Sprint("i-engine", i), pool: modelsPool, slots: 32, work: 50 * time.Millisecond, events: 8,
			models: models[3*i : 3*i+3], onDisk: models[3*i : 3*i+3],
		})
	}
	resting := engines[1]
	var mu sync.Mutex
	var restFrom time.Time
	armed := false
	resting.hook = func(w http.ResponseWriter, r *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		now := time.Now()
		if !armed || !restFrom.IsZero() && now.After(restFrom.Add(restTime)) {
			return false
		}
		if restFrom.IsZero() {
			restFrom = now
		}
		left := math.Ceil(restFrom.Add(restTime).Sub(now).Seconds())
		c.note("%s %s reaches %s, %.3f s after its first 503: 503, Retry-After %v", r.Method, r.URL.Path, resting.id, now.Sub(restFrom).Seconds(), left)
		w.Header().Set("Guavatrack-Attempt-Id", r.Header.Get("Guavatrack-Attempt-Id"))
		w.Header().Set("Guavatrack-Not-Executed", "1")
		w.Header().Set("Retry-After", strconv.Itoa(int(left)))
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	for _, b := range engines {
		if err := startBackend(b, "127.0.0.1"); err != nil {
			return err
		}
		b.register(store, stop)
	}
	ips := freeIPs(1)
	if len(ips) < 1 {
		return fmt.Errorf("no free loopback address")
	}
	n, err := c.newNode(ips[0], storeAddress)
	if err != nil {
		return err
	}
	if err := n.start(); err != nil {
		return err
	}
	if err := n.waitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	requests := newRequester()
	pressing := make(chan struct{})
	var group sync.WaitGroup
	for _, model := range models {
		requests.press(n, request{path: chatPrefix, model: model, limit: 12 * time.Second}, 4, pressing, &group)
	}
	time.Sleep(3 * time.Second)
	mu.Lock()
	armed = c.trouble
	mu.Unlock()
	time.Sleep(restTime + 5*time.Second)
	close(pressing)
	group.Wait()
	counts := map[int]int{}
	for _, got := range requests.sent {
		counts[got.status]++
	}
	c.note("answers by status: %v", counts)
	resting.mu.Lock()
	defer resting.mu.Unlock()
	late := 0
	for _, a := range resting.arrivals {
		if c.trouble && a.at.After(restFrom.Add(after)) && a.at.Before(restFrom.Add(restTime)) {
			late++
		}
	}
	if counts[200] == 0 || c.trouble && restFrom.IsZero() {
		return fmt.Errorf("the case did not come about")
	}
	if late > allowed {
		c.breakRule("BUDGET: %d requests reached %s between half a second after its 503 with Retry-After and the end of that time", late, resting.id)
	}
	return nil
}
