package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/guavatrack/guavatrack/platform/standin"
)

// endlessCase has servers of a service answer with bodies without end, until the caller closes.
func endlessCase(trouble bool) int {
	const faulty = 2
	store := standin.NewStore()
	f := newFleet(serve(store))
	var ran sync.Map
	zones := []string{"zatec-yard", "brno-hall", "louny-store"}
	entries := make(map[string]map[string]any)
	var desks []*desk
	for i, zone := range append(zones, zones[0]) {
		d := &desk{id: fmt.Sprintf("i-desk%d", i), slots: make(chan struct{}, 6), ran: &ran}
		desks = append(desks, d)
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
	go func() {
		for sequence := 1; ; sequence++ {
			for id, entry := range entries {
				entry["sequence"] = sequence
				store.Put("servers", id, entry)
			}
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	for _, zone := range zones[:2] {
		f.addNode(zone).start()
	}
	for _, n := range f.nodes {
		if !n.awaitReady(20 * time.Second) {
			cannotRun("%s is not ready", n.name)
		}
	}
	time.Sleep(time.Second)

	// The platform ends a process that exceeds its memory, and starts it again.
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
				peak[i].Store(max(peak[i].Load(), int64(rss)))
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
	if trouble {
		for _, d := range desks[:faulty] {
			d.endless.Store(true)
		}
		record("%d of %d servers answer without end from now on", faulty, len(desks))
	}
	const atOnce, playFor = 161, 95 * time.Second
	var number atomic.Int64
	var mu sync.Mutex
	outcomes := make(map[string]int)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	start := time.Now()
	for round := 0; time.Since(start) < playFor; round++ {
		n := f.nodes[round%len(f.nodes)]
		var group sync.WaitGroup
		for range atOnce {
			group.Go(func() {
				id := fmt.Sprintf("%016x", number.Add(1))
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.front+deskRoute+id, bytes.NewReader(bytes.Repeat([]byte("b"), 600)))
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
				outcome = fmt.Sprintf("%s, run %v", outcome, executed)
				mu.Lock()
				outcomes[outcome]++
				mu.Unlock()
			})
		}
		group.Wait()
		time.Sleep(50 * time.Millisecond)
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
	record("%d requests: %v", number.Load(), outcomes)
	if machines >= 2 {
		record("Fault: on %d machines processes ended three times or more for their memory", machines)
		return broken
	}
	return held
}
