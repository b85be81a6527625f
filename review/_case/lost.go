package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/guavatrack/guavatrack/platform/standin"
)

// lostCase takes the power of all nodes for a second while streams run and two software versions
// serve. Other requesters go on with other models; those of the broken streams notice the
// silence after ten seconds, as the page on requests says, and take them up again.
func lostCase(trouble bool) int {
	const models = 24
	site := &standin.Site{Engines: 4, Services: 1, Models: models, Software: []string{"v1", "v2"}, Events: 60, EventTime: 100 * time.Millisecond}
	if err := site.Start(); err != nil {
		cannotRun("%v", err)
	}
	var specs []map[string]any
	for i := range models {
		specs = append(specs, map[string]any{"name": fmt.Sprint("m", i), "weightsMb": 70.0, "loadS": 6.0, "diskS": 0.78, "warmS": 0.6, "adapters": 0, "adapterMb": 1.0})
	}
	site.Store.Put("op", "config", map[string]any{
		"version": 50,
		"routes": []map[string]any{{
			"name": "r", "host": host, "prefix": "/resumable/", "kind": "streaming", "service": standin.EnginePool, "timeoutMs": 20000,
			"latencyGoalMs": 2500, "priority": 1, "maxAttempts": 2, "resumable": true, "gapAimMs": 250,
		}},
		"services": []map[string]any{
			{"name": standin.EnginePool, "healthPath": "/health", "maxConns": 230, "engine": map[string]any{
				"slots": 8, "kvCapacityTokens": 100000, "weightsMb": 230.0, "adapterSlots": 2, "loadsPerS": 11.0, "models": specs,
			}},
			{"name": standin.ServicePool, "healthPath": "/health", "maxConns": 100},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	for _, e := range site.CurrentEngines() {
		e.LoadTime = 780 * time.Millisecond
	}
	f := newFleet(site.StoreAddress)
	f.zones = map[string]string{string(standin.Place.FailureDomain): string(standin.Place.Region)}
	for range 3 {
		f.addNode(string(standin.Place.FailureDomain)).start()
	}
	go func() {
		for {
			time.Sleep(1200 * time.Millisecond)
			for _, e := range site.CurrentEngines() {
				e.Register()
			}
		}
	}()
	for _, n := range f.nodes {
		if !n.awaitReady(20 * time.Second) {
			cannotRun("not ready")
		}
	}
	time.Sleep(6 * time.Second)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var number int
	var mu sync.Mutex
	send := func(n *node, model, last, resumes string, deadline time.Time) (id string, status, events int, lastID string, err error) {
		mu.Lock()
		number++
		id = fmt.Sprintf("%016x", number)
		mu.Unlock()
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		defer cancel()
		request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.front+"/resumable/x", strings.NewReader("body "+id))
		request.Host = host
		request.Header.Set("Guavatrack-Attempt-Id", id)
		request.Header.Set("Guavatrack-Model", model)
		request.Header.Set("Guavatrack-Token-Usage", "100,50")
		request.Header.Set("Guavatrack-Deadline-Ms", strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
		if last != "" {
			request.Header.Set("Last-Event-Id", last)
			request.Header.Set("Resumes", resumes)
		}
		answer, err := client.Do(request)
		if err != nil {
			return id, 0, 0, last, err
		}
		defer answer.Body.Close()
		lines := bufio.NewScanner(answer.Body)
		lastID = last
		for lines.Scan() {
			if text, found := strings.CutPrefix(lines.Text(), "id: "); found && answer.StatusCode == 200 {
				events, lastID = events+1, text
			}
		}
		return id, answer.StatusCode, events, lastID, lines.Err()
	}
	start := time.Now()
	var group sync.WaitGroup
	taken, went := 0, 0
	for i := range 24 {
		group.Go(func() {
			model := fmt.Sprint("m", []int{0, 1, 2, 6, 7, 8}[i%6])
			deadline := start.Add(20 * time.Second)
			id, status, events, last, err := send(f.nodes[i%3], model, "", "", deadline)
			record("victim %d %s try 1: %d, %d events, %v", i, model, status, events, err)
			if err == nil || events == 0 {
				return
			}
			time.Sleep(10 * time.Second) // power was lost: nothing tells the requester but the silence
			for try := 2; try <= 2; try++ {
				_, status, events2, last2, err := send(f.nodes[(i+try)%3], model, last, id, deadline)
				record("victim %d %s try %d at %v: %d, %d events, %v", i, model, try, time.Since(start), status, events2, err)
				mu.Lock()
				if try == 2 {
					taken++
				}
				if events2 > 0 {
					went++
				}
				mu.Unlock()
				if events2 > 0 || time.Now().After(deadline) {
					return
				}
				last = last2
				time.Sleep(500 * time.Millisecond)
			}
		})
	}
	time.Sleep(5 * time.Second)
	if trouble {
		for _, n := range f.nodes {
			n.signal(syscall.SIGKILL)
		}
		time.Sleep(time.Second)
		for _, n := range f.nodes {
			<-n.exited
			n.start()
		}
		record("nodes lost power and are back")
	}
	asked, begun := 0, 0 // new streams sent when all nodes are in touch again
	for time.Since(start) < 19*time.Second {
		time.Sleep(160 * time.Millisecond)
		sent := time.Since(start)
		group.Go(func() {
			model := fmt.Sprint("m", 12+rand.IntN(12))
			_, status, events, _, err := send(f.nodes[rand.IntN(3)], model, "", "", time.Now().Add(20*time.Second))
			record("new %s sent at %v: %d, %d events, %v", model, sent, status, events, err)
			mu.Lock()
			defer mu.Unlock()
			if sent > 9*time.Second {
				asked++
				if events > 0 {
					begun++
				}
			}
		})
	}
	group.Wait()
	record("taken up %d, went on %d; new %d, begun %d", taken, went, asked, begun)
	if taken >= 12 && float64(went)/float64(taken) < 0.5*float64(begun)/float64(asked) {
		record("LOST: the share of streams that go on is under half of the share of new ones that begin")
		return broken
	}
	return held
}
