package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/guavatrack/guavatrack/platform/standin"
)

// Times of the case, counted from the start of the traffic.
const (
	crashAt = 6 * time.Second
	// engineDown is for_s of srv_crash on the sheet.
	engineDown   = 4500 * time.Millisecond
	finalFaultAt = 13 * time.Second
	finalDown    = 700 * time.Millisecond
	// recoverTime is the bound recoverS.
	recoverTime = 12 * time.Second
	trafficEnd  = 40 * time.Second
)

// Traffic of the case: a record that many requesters read, and orders.
const (
	records        = 1
	readersPerNode = 15
	enginesPerZone = 3
	readWork       = 100 * time.Millisecond
	timeLimit      = 3 * time.Second
)

func init() { cases["popular"] = playPopular }

// zones are those of the sheet.
var zones = []string{"zatec-yard", "louny-store", "brno-hall"}

// playPopular has all engines of one zone crash at once, three of nine, while requesters read a
// popular record. They are back after 4.5 s. Then comes the final fault: all processes of the
// system are killed and start again.
func playPopular(c *Case) {
	c.start(&standin.Site{Engines: 1, Models: 3}, 3)
	var apps []*App
	for i := range enginesPerZone * len(zones) {
		apps = append(apps, startAppIn(c, fmt.Sprint("i-app-", i+1), zones[i/enginesPerZone], readWork))
	}
	time.Sleep(2500 * time.Millisecond)
	began := time.Now()
	requesters := readersOf(c)
	for _, node := range c.Nodes {
		requesters = append(requesters, newRequester(node, standin.Once+"order", c.Record))
	}
	if c.Trouble {
		time.AfterFunc(crashAt, func() {
			for _, app := range apps[:enginesPerZone] {
				app.Crash(c)
			}
		})
		time.AfterFunc(crashAt+engineDown, func() {
			for i := range enginesPerZone {
				startAppIn(c, fmt.Sprint("i-app-new-", i+1), zones[0], readWork)
			}
			c.Say("new engines in place of those that crashed")
		})
	}
	back := make(chan time.Time, 1)
	go func() {
		time.Sleep(finalFaultAt)
		back <- killAll(c)
	}()
	all := askUntil(requesters, timeLimit, func() bool { return time.Since(began) > trafficEnd })
	judgeRecovery(c, all, began.Add(finalFaultAt), <-back)
}

func readersOf(c *Case) (requesters []*Requester) {
	for i := range readersPerNode {
		for _, node := range c.Nodes {
			reader := newRequester(node, fmt.Sprint(standin.Repeatable, "stock/", i%records), c.Record)
			reader.Method = http.MethodGet
			requesters = append(requesters, reader)
		}
	}
	return requesters
}

// killAll is the final fault: it kills all processes of the system and starts them again. It
// returns when the machines are back.
func killAll(c *Case) time.Time {
	if !c.Trouble {
		return time.Now()
	}
	c.Say("final fault: all processes of the system are killed")
	for _, node := range c.Nodes {
		node.Signal(syscall.SIGKILL)
	}
	for _, node := range c.Nodes {
		node.WaitExited(2 * time.Second)
	}
	time.Sleep(finalDown)
	for _, node := range c.Nodes {
		node.Start()
	}
	for _, node := range c.Nodes {
		c.awaitReady(node)
	}
	return time.Now()
}

// judgeRecovery applies RECOVER: of the requests sent later than recoverS after the machines are
// back, less than a quarter is served, though a quarter or more was before the final fault.
func judgeRecovery(c *Case, all []*Attempt, fault, back time.Time) {
	var before, after share
	perSecond := make(map[int]*share)
	start := all[0].Sent
	for _, a := range all {
		if a.Sent.Before(start) {
			start = a.Sent
		}
	}
	for _, a := range all {
		second := int(a.Sent.Sub(start).Seconds())
		if perSecond[second] == nil {
			perSecond[second] = &share{}
		}
		perSecond[second].add(a)
		switch {
		case a.Ended.Before(fault):
			before.add(a)
		case a.Sent.After(back.Add(recoverTime)):
			after.add(a)
		}
	}
	for second := range int(trafficEnd.Seconds()) {
		if found := perSecond[second]; found != nil {
			c.Say("second %2d of the traffic: %d of %d served", second, found.served, found.sent)
		}
	}
	c.Say("before the final fault: %d of %d served; later than 12 s after the machines were back: %d of %d served",
		before.served, before.sent, after.served, after.sent)
	if before.served*4 >= before.sent && after.served*4 < after.sent {
		c.Break("RECOVER: %d of %d served after the recovery, %d of %d before the final fault", after.served, after.sent, before.served, before.sent)
	}
}

// share counts attempts and those that were served.
type share struct{ sent, served int }

func (s *share) add(a *Attempt) {
	s.sent++
	if a.Err == nil && a.Status == http.StatusOK {
		s.served++
	}
}
