package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/guavatrack/guavatrack/platform/standin"
)

func init() { cases["late"] = playLate }

const (
	lateTraffic = 20 * time.Second
	askInterval = 150 * time.Millisecond
	// rareFrom is when callers ask for other models than the three usual ones.
	rareFrom    = 3 * time.Second
	rareLimit   = 700 * time.Millisecond
	rareCallers = 4
)

// playLate has an engine keep an order unanswered for seconds. Right then the process that gave it
// is killed, and the engine crashes and starts again under its id. Callers ask for three models all
// the time, which fit, and for two others until then.
func playLate(c *Case) {
	c.start(&standin.Site{Engines: 0, Models: 5}, 3)
	engine := startEngine(c, "i-llm-1", []string{"m0", "m1", "m2", "m3", "m4"})
	var restarted atomic.Bool
	engine.OnLate = func(holder string) {
		restarted.Store(true)
		for _, node := range c.Nodes {
			if strings.HasPrefix(holder, node.Name+"@") {
				c.Say("%s gave it: SIGKILL", node.Name)
				node.Signal(syscall.SIGKILL)
				time.AfterFunc(500*time.Millisecond, node.Start)
			}
		}
		engine.Restart()
	}
	time.Sleep(6 * time.Second)
	began := time.Now()
	ask := func(at, model int, limit time.Duration) {
		requester := newRequester(c.Nodes[(at+model)%len(c.Nodes)], standin.Streaming+"chat", c.Record)
		requester.Model = fmt.Sprint("m", model)
		go requester.Ask(limit)
	}
	for at := 0; time.Since(began) < lateTraffic; at++ {
		for model := range 3 {
			ask(at, model, timeLimit)
		}
		if since := time.Since(began); !restarted.Load() && since > rareFrom && since < rareFrom+2*time.Second {
			for range rareCallers {
				ask(at, 3, rareLimit)
				ask(at, 4, rareLimit)
			}
		}
		time.Sleep(askInterval)
	}
}
