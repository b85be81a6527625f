package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/guavatrack/guavatrack/platform/standin"
)

const (
	host      = "ficu95.example"
	deskRoute = "/puxa403/"
	deskPool  = "wuno96b"
	bodyLimit = 4 << 20
)

// desk is a plain backend server: slots requests at once, a few more wait, the others are
// refused as not executed.
type desk struct {
	id     string
	slots  chan struct{}
	queued atomic.Int64
	ran    *sync.Map
}

func (d *desk) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Guavatrack-Attempt-Id")
	w.Header().Set("Guavatrack-Attempt-Id", id)
	w.Header().Set("Guavatrack-Instance-Id", d.id)
	if expect := r.Header.Get("Guavatrack-Expect-Instance"); expect != "" && expect != d.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		w.WriteHeader(http.StatusOK)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if d.queued.Add(1) > 24+6 {
		d.queued.Add(-1)
		w.Header().Set("Guavatrack-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer d.queued.Add(-1)
	d.slots <- struct{}{}
	defer func() { <-d.slots }()
	d.ran.Store(id, d.id)
	time.Sleep(60 * time.Millisecond)
	body := bytes.Repeat([]byte("x"), 800)
	w.Header().Set("Guavatrack-Response-Seal", "seal."+id)
	w.Header().Set("Guavatrack-Instance-Load", fmt.Sprintf("%d,%d,6", len(d.slots), max(0, int(d.queued.Load())-len(d.slots))))
	_, _ = w.Write(body)
}

// serve serves a handler on a free loopback port and returns the address.
func serve(handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("%v", err)
	}
	go func() { _ = (&http.Server{Handler: handler}).Serve(listener) }()
	return listener.Addr().String()
}

// memoryCase sends requests with bodies of the size that the manifest allows, in chunks, from
// as many requesters at once as the sheet's traffic has in a burst.
func memoryCase(trouble bool) int {
	store := standin.NewStore()
	f := newFleet(serve(store))
	var ran sync.Map
	zones := []string{"zatec-yard", "brno-hall", "louny-store"}
	entries := make(map[string]map[string]any)
	for i, zone := range zones {
		d := &desk{id: fmt.Sprintf("i-desk%d", i), slots: make(chan struct{}, 6), ran: &ran}
		entries[d.id] = map[string]any{
			"service": deskPool, "address": serve(d), "zone": zone, "version": "v1", "slots": 6, "state": "ready",
			"coldLeftMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		}
	}
	store.Put("op", "config", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-desk", "host": host, "prefix": deskRoute, "kind": "non_idempotent", "service": deskPool, "timeoutMs": 1500,
			"latencyGoalMs": 300, "priority": 2, "maxAttempts": 1, "resumable": false,
		}},
		"services": []map[string]any{{"name": deskPool, "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": bodyLimit, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	for id, entry := range entries {
		store.Put("servers", id, entry)
	}
	// The servers check in.
	go func() {
		for sequence := 2; ; sequence++ {
			time.Sleep(1200 * time.Millisecond)
			for id, entry := range entries {
				entry["sequence"] = sequence
				store.Put("servers", id, entry)
			}
		}
	}()
	for _, zone := range zones {
		f.addNode(zone).start()
	}
	for _, n := range f.nodes {
		if !n.awaitReady(20 * time.Second) {
			cannotRun("%s is not ready", n.name)
		}
	}
	time.Sleep(2 * time.Second)

	// The platform ends a process that exceeds its memory.
	kills := make([]atomic.Int64, len(f.nodes))
	peak := make([]atomic.Int64, len(f.nodes))
	stopped := make(chan struct{})
	var watchers sync.WaitGroup
	for i, n := range f.nodes {
		watchers.Go(func() {
			for {
				select {
				case <-stopped:
					return
				case <-time.After(5 * time.Millisecond):
				}
				rss := n.rssMb()
				if int64(rss) > peak[i].Load() {
					peak[i].Store(int64(rss))
				}
				if rss > float64(f.memoryMb) {
					record("%s uses %.0f MB, more than the %d MB of its machine: killed", n.name, rss, f.memoryMb)
					kills[i].Add(1)
					n.signal(syscall.SIGKILL)
					<-n.exited
					time.Sleep(500 * time.Millisecond)
					n.start()
				}
			}
		})
	}

	const rounds, requesters = 5, 161 // 95 clients of the site file, in a burst of 1.7 times the traffic
	atOnce := 6                       // without the burst
	if trouble {
		atOnce = requesters
	}
	body := bytes.Repeat([]byte("b"), bodyLimit)
	var number atomic.Int64
	var mu sync.Mutex
	outcomes := make(map[string]int)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for round := range rounds {
		gate := make(chan struct{}, atOnce)
		var group sync.WaitGroup
		for range requesters {
			gate <- struct{}{}
			group.Go(func() {
				defer func() { <-gate }()
				id := fmt.Sprintf("%016x", number.Add(1))
				n := f.nodes[rand.IntN(len(f.nodes))]
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				// A reader of unknown length: the body goes out in chunks.
				request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.front+deskRoute+"2f", io.MultiReader(bytes.NewReader(body)))
				request.Host = host
				request.Header.Set("Guavatrack-Attempt-Id", id)
				request.Header.Set("Guavatrack-Deadline-Ms", "3000")
				outcome := ""
				answer, err := client.Do(request)
				if err == nil {
					_, err = io.Copy(io.Discard, answer.Body)
					answer.Body.Close()
				}
				switch {
				case err != nil && ctx.Err() != nil:
					outcome = "time limit"
				case err != nil:
					outcome = "channel closed without an answer"
				default:
					outcome = fmt.Sprint(answer.StatusCode)
				}
				_, executed := ran.Load(id)
				record("request %s to %s: %s, run %v", id, n.name, outcome, executed)
				mu.Lock()
				outcomes[outcome]++
				mu.Unlock()
			})
		}
		group.Wait()
		record("round %d ends", round)
		time.Sleep(4 * time.Second)
	}
	close(stopped)
	watchers.Wait()
	machines := 0
	for i, n := range f.nodes {
		record("%s: peak %d MB, killed for its memory %d times", n.name, peak[i].Load(), kills[i].Load())
		if kills[i].Load() >= 3 {
			machines++
		}
	}
	record("outcomes: %v", outcomes)
	if machines >= 2 {
		record("Fault: on %d machines processes ended three times or more for their memory", machines)
		return broken
	}
	return held
}
