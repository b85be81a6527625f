package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/guavatrack/guavatrack/platform/standin"
)

func init() { cases["refusal"] = playRefusal }

// Doses of srv_grey on the sheet and in its kinds.
const (
	// greyOf is the number of engines of which one fails: a share of 0.143.
	greyOf   = 7
	greyFrom = 2 * time.Second
	greyFor  = 6500 * time.Millisecond
	// Of greyCycle requests that it runs, greyFails fail: x is 0.4.
	greyCycle, greyFails = 5, 2
	greyTraffic          = 12 * time.Second
	orderWork            = 60 * time.Millisecond
)

// playRefusal has one of seven engines of the application fail a part of the orders that it runs:
// it answers 503, sealed and without Guavatrack-Not-Executed, since it has run them.
func playRefusal(c *Case) {
	c.start(&standin.Site{Engines: 1, Models: 3}, 3)
	var apps []*App
	for i := range greyOf {
		apps = append(apps, startApp(c, fmt.Sprint("i-app-", i+1), orderWork))
	}
	time.Sleep(2500 * time.Millisecond)
	began := time.Now()
	if c.Trouble {
		apps[0].Answer = greyAnswer(c, apps[0], began)
	}
	var requesters []*Requester
	for _, node := range c.Nodes {
		for range 3 {
			requesters = append(requesters, newRequester(node, standin.Once+"order", c.Record))
		}
	}
	all := askUntil(requesters, timeLimit, func() bool { return time.Since(began) > greyTraffic })
	refused := 0
	for _, a := range all {
		if a.Err != nil || !promises(a.Status) {
			continue
		}
		refused++
		for _, app := range apps {
			if ran, _ := app.Ran(a.ID); !ran.IsZero() {
				c.Break("REFUSED: order %s was answered %d and has run at %s", a.ID, a.Status, app.ID)
			}
		}
	}
	c.Say("%d orders, %d answered with a promise that they have not run, %d of these have", len(all), refused, len(c.Broken))
}

// greyAnswer returns the answers of an engine that fails a part of its requests for a time. It has
// run each of them.
func greyAnswer(c *Case, app *App, began time.Time) func(http.ResponseWriter, *http.Request, string) {
	var mu sync.Mutex
	count := 0
	return func(w http.ResponseWriter, _ *http.Request, id string) {
		mu.Lock()
		count++
		fails := count%greyCycle < greyFails
		mu.Unlock()
		if since := time.Since(began); !fails || since < greyFrom || since > greyFrom+greyFor {
			_, _ = fmt.Fprintf(w, "done %s", id)
			return
		}
		c.Say("%s has run %s and fails it with 503, without Guavatrack-Not-Executed", app.ID, id)
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = fmt.Fprintf(w, "the ledger did not answer in time %s", id)
	}
}

// promises reports whether a status says that the request has not run and never will.
func promises(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}
