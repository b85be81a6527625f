package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/guavatrack/guavatrack/platform/standin"
)

// taker is a requester that takes broken streams up again, as the pages allow.
type taker struct {
	run    *run
	client *http.Client
	events int
	next   atomic.Int64

	mu      sync.Mutex
	streams []*takenStream
}

// takenStream is one stream with all tries of its requester.
type takenStream struct {
	beganAt   time.Time
	firstNode string
	// pieces are the pieces received, each with the software version that wrote it.
	pieces []string
	// broken is set once the channel broke after the first event, brokenAt is when. takenUp is set if the
	// rest was asked for, wentOn if a further piece came, whole if all came.
	broken, takenUp, wentOn, whole bool
	brokenAt                       time.Time
	lastStatus                     int
}

// versions returns the software versions that wrote the stream.
func (s *takenStream) versions() (found map[string]bool) {
	found = make(map[string]bool)
	for _, piece := range s.pieces {
		found[piece[strings.LastIndexByte(piece, ' ')+1:]] = true
	}
	return found
}

const (
	streamLimit = 20 * time.Second
	maxTries    = 4
)

// stream asks for one stream, at nodes of which the first is given, and takes it up at the others.
func (t *taker) stream(nodes []*node, first int) {
	number := t.next.Add(1)
	s := &takenStream{beganAt: time.Now(), firstNode: nodes[first].name}
	t.mu.Lock()
	t.streams = append(t.streams, s)
	t.mu.Unlock()
	deadline := time.Now().Add(streamLimit)
	firstID := ""
	for try := range maxTries {
		n := nodes[(first+try)%len(nodes)]
		if try > 0 && n == nodes[first] {
			n = nodes[(first+1)%len(nodes)]
		}
		id := fmt.Sprintf("%08x%08x", number, try+1)
		if !t.try(n, s, id, &firstID, fmt.Sprintf("%08x", 0xa0000000+number), deadline) {
			return
		}
		if time.Now().After(deadline.Add(-500 * time.Millisecond)) {
			return
		}
	}
}

// try makes one try and reports whether another one is due.
func (t *taker) try(n *node, s *takenStream, id string, firstID *string, part string, deadline time.Time) (again bool) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.front()+chatPrefix+part, strings.NewReader("prompt "+part))
	if err != nil {
		return false
	}
	request.Host = host
	request.Header.Set("Guavatrack-Attempt-Id", id)
	request.Header.Set("Guavatrack-Deadline-Ms", fmt.Sprint(time.Until(deadline).Milliseconds()))
	request.Header.Set("Guavatrack-Model", "model0")
	request.Header.Set("Guavatrack-Token-Usage", "826,300")
	request.Header.Set("Guavatrack-Prompt-Prefix", "5c1e07a2:198,"+part+":628")
	before := len(s.pieces)
	if before > 0 {
		request.Header.Set("Last-Event-Id", strconv.Itoa(before))
		request.Header.Set("Resumes", *firstID)
		s.takenUp = true
	}
	response, err := t.client.Do(request)
	if err != nil {
		t.run.note("stream %s at %s: %v", id, n.name, err)
		return true
	}
	defer func() { _ = response.Body.Close() }()
	s.lastStatus = response.StatusCode
	if response.StatusCode == http.StatusOK {
		lines := bufio.NewScanner(response.Body)
		for lines.Scan() {
			piece, found := strings.CutPrefix(lines.Text(), "data: ")
			if !found {
				continue
			}
			if len(s.pieces) == 0 {
				*firstID = id
			}
			s.pieces = append(s.pieces, piece)
			s.wentOn = s.wentOn || before > 0
		}
		err = lines.Err()
	}
	t.run.note("stream %s at %s, taken up %v: status %d, pieces %d to %d, error %v", id, n.name, before > 0, response.StatusCode, before+1, len(s.pieces), err)
	s.whole = len(s.pieces) == t.events
	if response.StatusCode == http.StatusOK && err == nil {
		return false
	}
	if len(s.pieces) > 0 && !s.broken {
		s.broken, s.brokenAt = true, time.Now()
	}
	if after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		time.Sleep(min(time.Duration(after*float64(time.Second)), time.Until(deadline)/3))
	}
	return true
}

// drill: two software versions serve side by side. The store is away for a moment and comes back from a
// copy some seconds old. Some seconds later one node is restarted as planned; the requesters of the streams
// that it cuts at the end of its grace take them up at the other nodes.
func drill(c *run) error {
	const (
		nodes     = 3
		perSecond = 4.0 // streams a second at each node
		events    = 64
		before    = 36 * time.Second
		copyAge   = 5 * time.Second
		away      = 300 * time.Millisecond
		stopAfter = 4 * time.Second
	)
	store, storeAddress, err := startLimitedStore(c, "127.0.0.1")
	if err != nil {
		return err
	}
	store.Put("op", "config", drillManifest())
	stop := make(chan struct{})
	defer close(stop)
	add := func(version string, first int) error {
		for i := range 3 {
			b := &backend{
				id: fmt.Sprint("i-engine", first+i), pool: modelsPool, slots: 32, work: 250 * time.Millisecond, events: events,
				software: version, models: []string{"model0"}, onDisk: []string{"model0"},
			}
			if err := startBackend(b, "127.0.0.1"); err != nil {
				return err
			}
			b.register(store.Store, stop)
		}
		return nil
	}
	// v1 served before v2 came beside it.
	if err := add("v1", 0); err != nil {
		return err
	}
	ips := freeIPs(nodes)
	if len(ips) < nodes {
		return fmt.Errorf("no free loopback addresses")
	}
	for _, ip := range ips {
		n, err := c.newNode(ip, storeAddress)
		if err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range c.nodes {
		if err := n.waitReady(15 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	if err := add("v2", 3); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	takers := &taker{run: c, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, events: events}
	var group sync.WaitGroup
	pressing := make([]chan struct{}, nodes)
	for i := range nodes {
		pressing[i] = make(chan struct{})
		group.Go(func() {
			ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
			defer ticker.Stop()
			for {
				select {
				case <-pressing[i]:
					return
				case <-ticker.C:
					group.Go(func() { takers.stream(c.nodes, i) })
				}
			}
		})
	}
	time.Sleep(before)
	if c.trouble {
		store.SetFaults(standin.StoreFaults{Down: true})
		time.Sleep(away)
		store.Restore(copyAge)
		store.Put("op", "config", drillManifest())
		store.SetFaults(standin.StoreFaults{})
		c.note("the store is back from a copy %s old", copyAge)
	}
	time.Sleep(stopAfter)
	stoppedAt := time.Now()
	c.note("planned stop of %s", c.nodes[0].name)
	close(pressing[0])
	if os.Getenv("KILL") == "1" {
		c.nodes[0].signal(syscall.SIGKILL)
	} else {
		c.nodes[0].signal(syscall.SIGTERM)
	}
	c.nodes[0].ended(grace + time.Second)
	c.note("%s has ended", c.nodes[0].name)
	time.Sleep(3 * time.Second)
	close(pressing[1])
	close(pressing[2])
	group.Wait()
	takenUp, wentOn, fresh, begun, joined := 0, 0, 0, 0, 0
	takers.mu.Lock()
	defer takers.mu.Unlock()
	for _, s := range takers.streams {
		if len(s.versions()) > 1 {
			joined++
		}
		switch {
		case s.takenUp && s.firstNode == c.nodes[0].name && s.brokenAt.After(stoppedAt):
			takenUp++
			if s.wentOn {
				wentOn++
			}
		case s.firstNode != c.nodes[0].name && s.beganAt.After(stoppedAt):
			fresh++
			if len(s.pieces) > 0 {
				begun++
			}
		}
	}
	store.mu.Lock()
	c.note("the store refused %d calls of more than %d entries, the largest had %d", store.refused, maxEntries, store.largest)
	store.mu.Unlock()
	c.note("%d streams in all; taken up %d, went on %d; new %d, begun %d; joined from two versions %d", len(takers.streams), takenUp, wentOn, fresh, begun, joined)
	if takenUp < 12 || fresh == 0 {
		return fmt.Errorf("the case did not come about: %d streams taken up, %d new ones", takenUp, fresh)
	}
	if joined > 2 {
		c.breakRule("ORDER: %d streams hold events from engines of two software versions", joined)
	}
	if float64(wentOn)/float64(takenUp) < 0.5*float64(begun)/float64(fresh) {
		c.breakRule("LOST: of %d streams taken up %d went on, of %d new ones %d began", takenUp, wentOn, fresh, begun)
	}
	return nil
}

// drillManifest is the manifest with a time limit of the route that lets streams last.
func drillManifest() map[string]any {
	value := manifest(7, 1)
	for _, route := range value["routes"].([]map[string]any) {
		if route["name"] == "chat" {
			route["timeoutMs"], route["latencyGoalMs"] = 20000, 2500
		}
	}
	return value
}
