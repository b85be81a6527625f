package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/guavatrack/guavatrack/platform/standin"
)

// restoreCase has the store come back from a copy that is some seconds old, and all nodes
// killed, while streams of two software versions run that their requesters take up again.
// WHAT=restore or WHAT=kill leaves out the other one of the two.
func restoreCase(trouble bool) int {
	site := &standin.Site{
		Engines: 4, Services: 1, Models: 3, Software: []string{"v1", "v2"}, Events: 60, EventTime: 100 * time.Millisecond,
	}
	if err := site.Start(); err != nil {
		cannotRun("%v", err)
	}
	f := newFleet(site.StoreAddress)
	f.zones = map[string]string{string(standin.Place.FailureDomain): string(standin.Place.Region)}
	for range 3 {
		f.addNode(string(standin.Place.FailureDomain)).start()
	}
	go func() {
		for {
			time.Sleep(1200 * time.Millisecond)
			for _, engine := range site.CurrentEngines() {
				engine.Register()
			}
		}
	}()
	for _, n := range f.nodes {
		if !n.awaitReady(20 * time.Second) {
			cannotRun("%s is not ready", n.name)
		}
	}
	time.Sleep(8 * time.Second)

	const requesters = 24
	what := os.Getenv("WHAT")
	var mu sync.Mutex
	var streams []standin.Stream
	var group sync.WaitGroup
	for i := range requesters {
		group.Go(func() {
			caller := standin.StreamCaller{Model: fmt.Sprint("m", i%3), Tries: 4, Node: func(try int) string {
				// The requester asks where to connect until a node answers.
				for {
					for at := range f.nodes {
						n := f.nodes[(i+try+at)%len(f.nodes)]
						client := http.Client{Timeout: time.Second}
						if answer, err := client.Get("http://" + n.ready + "/readiness"); err == nil {
							answer.Body.Close()
							if answer.StatusCode == http.StatusOK {
								return n.front
							}
						}
					}
					time.Sleep(100 * time.Millisecond)
				}
			}}
			stream, err := caller.Do(context.Background())
			if err != nil {
				cannotRun("%v", err)
			}
			mu.Lock()
			defer mu.Unlock()
			streams = append(streams, stream)
		})
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		if what != "kill" {
			site.Store.SetFaults(standin.StoreFaults{Down: true})
			record("store away")
		}
		if what != "restore" {
			for _, n := range f.nodes {
				n.signal(syscall.SIGKILL)
			}
			record("all nodes killed")
		}
		time.Sleep(500 * time.Millisecond)
		if what != "kill" {
			site.Store.Restore(3 * time.Second)
			site.Store.SetFaults(standin.StoreFaults{})
			for _, engine := range site.CurrentEngines() {
				engine.Register() // What the engines wrote is written again.
			}
			record("store back from a copy 3 s old")
		}
		if what != "restore" {
			for _, n := range f.nodes {
				<-n.exited
				n.start()
			}
			record("nodes started")
		}
	}
	group.Wait()
	joined, takenUp := 0, 0
	for i := range streams {
		s := &streams[i]
		for at := range s.Tries {
			t := &s.Tries[at]
			events := t.Events()
			first, last, software := 0, 0, ""
			if len(events) > 0 {
				first, last, software = events[0].Piece, events[len(events)-1].Piece, events[0].Software
			}
			record("stream %d try %d, %s: takes up %v, status %d, events %d to %d of %s, error %v", i, at+1, t.ID, t.TakesUp, t.Status, first, last, software, t.Err)
		}
		if s.TakenUp() {
			takenUp++
		}
		if err := s.Joined(); err != nil {
			joined++
			record("joined of two versions: %v", err)
		}
	}
	record("%d streams, %d taken up again, %d hold events of two software versions", len(streams), takenUp, joined)
	if joined > 2 {
		record("ORDER: more than two streams hold events from engines of two software versions")
		return broken
	}
	return held
}
