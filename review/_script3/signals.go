package main

import (
	"sync"
	"syscall"
	"time"

	"github.com/guavatrack/guavatrack/platform/standin"
)

func init() { cases["signals"] = playSignals }

const (
	// rollGap is the pause of roll_term on the sheet.
	rollGap = 1300 * time.Millisecond
	// Of rollOf machines rollShare are stopped in turn: a share of 0.6.
	rollOf, rollShare = 10, 6
	slowOrder         = 700 * time.Millisecond
	rollTraffic       = 22 * time.Second
	// changes is the number of changes of the settings of a machine before it is stopped.
	changes = 3
	// settingsGap is the time between two changes of the settings, and to the stop.
	settingsGap = 80 * time.Microsecond
)

// playSignals stops six of ten machines in turn. The settings of each are changed three times right
// before, each time with SIGHUP.
func playSignals(c *Case) {
	c.start(&standin.Site{Engines: 1, Models: 3}, rollOf)
	apps := []*App{startApp(c, "i-app-1", slowOrder), startApp(c, "i-app-2", slowOrder)}
	time.Sleep(2500 * time.Millisecond)
	var requesters []*Requester
	for range 3 {
		for _, node := range c.Nodes {
			requesters = append(requesters, newRequester(node, standin.Once+"order", c.Record))
		}
	}
	began := time.Now()
	var group sync.WaitGroup
	stopped := make([]time.Time, rollShare)
	for i := range rollShare {
		group.Go(func() {
			time.Sleep(2*time.Second + time.Duration(i)*rollGap)
			stopped[i] = c.roll(c.Nodes[i])
		})
	}
	all := askUntil(requesters, timeLimit, func() bool { return time.Since(began) > rollTraffic })
	group.Wait()
	for i, at := range stopped {
		judgeStop(c, c.Nodes[i], at, all, apps)
	}
}

// roll stops a machine and starts it again. It returns when SIGTERM was sent.
func (c *Case) roll(node *Node) time.Time {
	if c.Trouble {
		for range changes {
			node.Signal(syscall.SIGHUP)
			for began := time.Now(); time.Since(began) < settingsGap; {
			}
		}
	}
	at := time.Now()
	node.Signal(syscall.SIGTERM)
	c.Say("%s: SIGHUP sent three times (%v), then SIGTERM", node.Name, c.Trouble)
	if !node.WaitExited(time.Until(at.Add(grace))) {
		c.Say("%s: still running after the grace time: SIGKILL", node.Name)
		node.Signal(syscall.SIGKILL)
		node.WaitExited(2 * time.Second)
	}
	node.Start()
	return at
}

// judgeStop applies LOST: around the SIGTERM of the machine that took it, a request was read whole
// and its channel ended without an answer once it had been passed on to an engine.
func judgeStop(c *Case, node *Node, term time.Time, all []*Attempt, apps []*App) {
	for _, a := range all {
		if a.Err == nil || a.Node != node || a.Ended.Before(term) || a.Sent.After(term.Add(grace+time.Second)) {
			continue
		}
		for _, app := range apps {
			began, ended := app.Ran(a.ID)
			// Not counted: the engine was at work in the last sixth of the grace time on a
			// request that was sent early.
			early := a.Sent.Before(term.Add(3*time.Second)) && ended.After(term.Add(grace*5/6))
			if began.IsZero() || early {
				continue
			}
			c.Break("LOST: %s was sent to %s %.3f s after SIGTERM, has run at %s, and its channel ended without an answer %.3f s after SIGTERM: %v",
				a.ID, node.Name, a.Sent.Sub(term).Seconds(), app.ID, a.Ended.Sub(term).Seconds(), a.Err)
		}
	}
}
