package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/guavatrack/guavatrack/platform/standin"
)

func init() { cases["region"] = playRegion }

// Traffic and times of the case, counted from the start of the traffic.
const (
	regionLostAt = 4 * time.Second
	// Sessions begin after sessionsFrom and are asked for each sessionPause until sessionsEnd.
	sessionsFrom = 6 * time.Second
	sessionPause = 2 * time.Second
	sessionsEnd  = 50 * time.Second
	// A session counts if it was asked for minAsked times or more, over minSpan.
	minAsked = 4
	minSpan  = 8 * time.Second
	// longOff is the time for which a machine has been off that must not be named any more: the
	// longest time for which callers keep an answer, three times as long as ttl_max_s, and more.
	longOff = 20 * time.Second
)

// sessionsOf is the number of sessions in each zone, as its share of the traffic on the sheet.
var sessionsOf = map[string]int{"zatec-yard": 8, "brno-hall": 11, "louny-store": 10}

var regionOf = map[string]string{"zatec-yard": region, "louny-store": region, "brno-hall": "moravia-south"}

// playRegion has all machines of one region, two of six, lose power for good. The requesters of all
// zones ask the directory where to connect, as our pages tell.
func playRegion(c *Case) {
	c.start(&standin.Site{Models: 3}, 0)
	for i := range 2 {
		startEngine(c, fmt.Sprint("i-llm-", i+1), []string{"m0", "m1", "m2"})
	}
	for i, place := range []string{"brno-hall", "brno-hall", "zatec-yard", "zatec-yard", "louny-store", "louny-store"} {
		node := NewNode(c.Root, c.Dir, fmt.Sprint("front-", i+1), c.Site.StoreAddress, c.Record)
		node.MoveTo(place, regionOf[place])
		c.Nodes = append(c.Nodes, node)
	}
	c.startNodes()
	time.Sleep(4 * time.Second)
	began := time.Now()
	if c.Trouble {
		time.AfterFunc(regionLostAt, func() {
			c.Nodes[0].Signal(syscall.SIGKILL)
			c.Nodes[1].Signal(syscall.SIGKILL)
			c.Say("%s and %s, all machines of moravia-south, are gone for good", c.Nodes[0].Name, c.Nodes[1].Name)
		})
	}
	var group sync.WaitGroup
	var sessions []*session
	for place, count := range sessionsOf {
		for i := range count {
			s := &session{Case: c, zone: place, id: fmt.Sprintf("%x%04x", len(place), i+1), failed: make(map[string]bool)}
			sessions = append(sessions, s)
			group.Go(func() { s.run(began) })
		}
	}
	group.Wait()
	judgeSessions(c, sessions, began.Add(regionLostAt))
}

// session is the conversation of one requester of a zone.
type session struct {
	*Case
	zone, id string

	addresses []string
	until     time.Time
	failed    map[string]bool

	first, last   time.Time
	asked, served int
	// wrongAt is when an answer of the directory last named machines that are off, and only such.
	wrongAt time.Time
}

func (s *session) run(began time.Time) {
	time.Sleep(time.Until(began.Add(sessionsFrom + time.Duration(rand.Int64N(int64(sessionPause))))))
	for time.Since(began) < sessionsEnd {
		s.ask()
		time.Sleep(sessionPause)
	}
}

// ask makes one request, with one retry on a new channel.
func (s *session) ask() {
	if s.asked++; s.asked == 1 {
		s.first = time.Now()
	}
	s.last = time.Now()
	for range 2 {
		if time.Now().After(s.until) {
			s.resolve()
		}
		if address := s.pick(); address != "" && s.try(address) {
			s.served++
			return
		}
	}
}

// pick returns one of the addresses at random, but for those that have failed.
func (s *session) pick() string {
	var left []string
	for _, address := range s.addresses {
		if !s.failed[address] {
			left = append(left, address)
		}
	}
	if len(left) == 0 {
		// There is no other one to try.
		clear(s.failed)
		left = s.addresses
	}
	if len(left) == 0 {
		return ""
	}
	return left[rand.IntN(len(left))]
}

// directories returns three nodes that serve the directory, nearest first, but one at least of
// those that still run.
func (s *session) directories() []*Node {
	var near, far []*Node
	for _, node := range s.Nodes {
		if node.fields["region"] == regionOf[s.zone] {
			near = append(near, node)
		} else {
			far = append(far, node)
		}
	}
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	return append(near[:2:2], far...)[:3]
}

func (s *session) resolve() {
	for _, node := range s.directories() {
		addresses, ttl, err := standin.LookUp(node.Directory, regionOf[s.zone], s.zone)
		if err != nil || len(addresses) == 0 {
			continue
		}
		s.addresses, s.until = addresses, time.Now().Add(ttl)
		off := 0
		for _, address := range addresses {
			for _, other := range s.Nodes {
				if other.Front == address && !other.Running() {
					off++
				}
			}
		}
		s.Say("session %s of %s: %s answers %v, %d of %d are off", s.id, s.zone, node.Name, addresses, off, len(addresses))
		if off == len(addresses) {
			s.wrongAt = time.Now()
		}
		return
	}
	s.Say("session %s of %s: no directory answers", s.id, s.zone)
}

// try sends the request to a node and reports whether the stream came whole.
func (s *session) try(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
	defer cancel()
	id := fmt.Sprintf("a%06d", attempts.Add(1))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+standin.Resumable+"chat", strings.NewReader("hello "+s.id))
	check(err)
	request.GetBody = nil
	request.Host = standin.Host
	for name, value := range map[string]string{
		"Guavatrack-Attempt-Id": id, "Guavatrack-Deadline-Ms": fmt.Sprint(timeLimit.Milliseconds()), "Guavatrack-Model": "m0",
		"Guavatrack-Token-Usage": "826,50", "Guavatrack-Prompt-Prefix": "5c1e07a2:198," + s.id + ":628",
	} {
		request.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		s.failed[address] = true
		s.Say("%s of session %s of %s to %s: %v", id, s.id, s.zone, address, err)
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	s.Say("%s of session %s of %s to %s: status %d, error %v", id, s.id, s.zone, address, response.StatusCode, err)
	return err == nil && response.StatusCode == http.StatusOK
}

// judgeSessions applies Starved: more than 2 + 4 in 100 of the sessions that are asked for four
// times or more, over 8 s, are never served. By chance none is missed: no engine is short of room.
func judgeSessions(c *Case, sessions []*session, lost time.Time) {
	counted, never := 0, 0
	byZone := make(map[string]int)
	for _, s := range sessions {
		if s.asked < minAsked || s.last.Sub(s.first) < minSpan {
			continue
		}
		counted++
		if s.served == 0 {
			never++
			byZone[s.zone]++
		}
	}
	c.Say("%d sessions, %d never served: %v", counted, never, byZone)
	if float64(never) > 2+0.04*float64(counted) {
		c.Break("Starved: %d of %d sessions were never served: %v", never, counted, byZone)
	}
	for _, s := range sessions {
		if s.wrongAt.Sub(lost) > longOff {
			c.Break("DRAIN: the directory named only machines that were off to session %s of %s, %.0f s after they had gone", s.id, s.zone, s.wrongAt.Sub(lost).Seconds())
		}
	}
}
