package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/guavatrack/guavatrack/platform/standin"
)

// Times of the case, from the start of the traffic.
const (
	flapFor   = 10 * time.Second
	flapEvery = 250 * time.Millisecond
	flapCut   = 200 * time.Millisecond
	quietFor  = 40 * time.Second
)

const (
	statusRoute = "/cufi504/"
	statusPool  = "stat77"
)

// flapCase cuts the path to one server of a service at a time for a moment, and then leaves
// all alone.
func flapCase(trouble bool) int {
	store := standin.NewStore()
	f := newFleet(serve(store))
	var ran sync.Map
	zones := []string{"zatec-yard", "brno-hall", "louny-store"}
	entries := make(map[string]map[string]any)
	var links []*link
	for i, zone := range zones {
		for _, pool := range []string{deskPool, statusPool} {
			d := &desk{id: fmt.Sprintf("i-%s-%d", pool, i), slots: make(chan struct{}, 6), ran: &ran}
			l := newLink(serve(d))
			if pool == deskPool {
				links = append(links, l)
			}
			entries[d.id] = map[string]any{
				"service": pool, "address": l.address, "zone": zone, "version": "v1", "slots": 6, "state": "ready",
				"coldLeftMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
			}
		}
	}
	route := func(name, prefix, kind, pool string) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": prefix, "kind": kind, "service": pool, "timeoutMs": 1500,
			"latencyGoalMs": 300, "priority": 2, "maxAttempts": 1, "resumable": false,
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": false}
	}
	store.Put("op", "config", map[string]any{
		"version": 7,
		"routes": []map[string]any{
			route("r-desk", deskRoute, "non_idempotent", deskPool), route("r-status", statusRoute, "idempotent", statusPool),
		},
		"services": []map[string]any{service(deskPool), service(statusPool)},
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
	for _, zone := range zones {
		f.addNode(zone).start()
	}
	for _, n := range f.nodes {
		if !n.awaitReady(20 * time.Second) {
			cannotRun("%s is not ready", n.name)
		}
	}
	time.Sleep(time.Second)

	ctx, cancel := context.WithTimeout(context.Background(), flapFor+quietFor)
	defer cancel()
	var mu sync.Mutex
	asked, served := make(map[string]int), make(map[string]int)
	lateAsked, lateServed := make(map[string]int), make(map[string]int)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	start := time.Now()
	var group sync.WaitGroup
	number := 0
	send := func(kind, method, prefix string, perSecond int) {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			mu.Lock()
			number++
			id := fmt.Sprintf("%016x", number)
			mu.Unlock()
			group.Go(func() {
				n := f.nodes[rand.IntN(len(f.nodes))]
				limit, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				// Each request has a content of its own.
				request, _ := http.NewRequestWithContext(limit, method, "http://"+n.front+prefix+id, http.NoBody)
				request.Host = host
				request.Header.Set("Guavatrack-Attempt-Id", id)
				request.Header.Set("Guavatrack-Deadline-Ms", "3000")
				sent := time.Since(start)
				outcome := "none"
				answer, err := client.Do(request)
				if err == nil {
					_, err = io.Copy(io.Discard, answer.Body)
					answer.Body.Close()
					outcome = fmt.Sprint(answer.StatusCode)
				}
				if err != nil {
					outcome = "failed: " + err.Error()
				}
				_, executed := ran.Load(id)
				record("%s %s sent at %.3f s to %s: %s, run %v", kind, id, sent.Seconds(), n.name, outcome, executed)
				mu.Lock()
				defer mu.Unlock()
				asked[kind]++
				late := sent > flapFor+2*time.Second
				if late {
					lateAsked[kind]++
				}
				if outcome == "200" {
					served[kind]++
					if late {
						lateServed[kind]++
					}
				}
			})
		}
	}
	var senders sync.WaitGroup
	senders.Go(func() { send("order-confirm", http.MethodPost, deskRoute, 20) })
	senders.Go(func() { send("status-read", http.MethodGet, statusRoute, 40) })
	if trouble {
		for i := 0; time.Since(start) < flapFor; i++ {
			l := links[i%len(links)]
			record("path to %s cut for %v", l.address, flapCut)
			l.cut(flapCut)
			time.Sleep(flapEvery - flapCut)
		}
		record("last cut has ended")
	}
	senders.Wait()
	group.Wait()
	total, totalServed := 0, 0
	for kind := range asked {
		total, totalServed = total+asked[kind], totalServed+served[kind]
	}
	record("later than 2 s after the last cut, all servers sound: served of asked")
	for kind := range asked {
		record("  %s: %d of %d", kind, lateServed[kind], lateAsked[kind])
	}
	all := float64(totalServed) / float64(total)
	for kind := range asked {
		share := float64(served[kind]) / float64(asked[kind])
		record("whole run, %s: %d of %d, %.3f; all %.3f", kind, served[kind], asked[kind], share, all)
		if share < all/4 {
			record("Starved: %s is served less than a quarter as often as all requests", kind)
			return broken
		}
	}
	return held
}
