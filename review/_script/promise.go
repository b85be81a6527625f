package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/guavatrack/guavatrack/platform/standin"
)

// The dose of a server that fails part of its requests, which is at most that of the bench's
// srv_grey: one of seven servers (share 0.15), x = 0.4 of its requests, 6.5 s.
const (
	greyServers = 7
	greyOf      = 5
	greyFailed  = 2
	greyTime    = 6500 * time.Millisecond
)

// playPromise has a server fail part of the requests that it has run: it answers 503 without
// its seal and without saying that the request was not run. A caller that is answered 503 by
// a node repeats the booking under a new id, as the pages allow it.
func playPromise(r *rig, trouble bool) (verdict, error) {
	if err := r.start(&standin.Site{Engines: 1, Models: 1}, 3); err != nil {
		return verdict{}, err
	}
	var desks []*service
	for i := range greyServers {
		s := &service{id: fmt.Sprint("desk-", i), work: workTime}
		if err := r.startService(s); err != nil {
			return verdict{}, err
		}
		desks = append(desks, s)
	}
	time.Sleep(listTime)
	until := time.Now().Add(greyTime)
	var count atomic.Int64
	if trouble {
		desks[0].setAnswer(func(w http.ResponseWriter, _ *http.Request) bool {
			if time.Now().After(until) || count.Add(1)%greyOf >= greyFailed {
				return false
			}
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = fmt.Fprintln(w, "upstream failed")
			return true
		})
	}
	broken := r.bookAgain(bookingsPerS*secondsOfCalls, time.Second/bookingsPerS)
	ranOnce := make(map[string]bool)
	for _, s := range desks {
		for _, run := range s.ranRequests() {
			ranOnce[run.id] = true
		}
	}
	falsely, twice := 0, 0
	for id, again := range broken {
		if !ranOnce[id] {
			continue
		}
		falsely++
		r.note("%s was answered 503 without a seal, and has run", id)
		if ranOnce[again] {
			twice++
			r.note("its caller repeated it as %s, which has run too", again)
		}
	}
	text := fmt.Sprintf("%d non-idempotent requests were answered 503 and have run, %d of them ran once more when their callers repeated them", falsely, twice)
	return verdict{broken: falsely > 0, text: text}, nil
}

// bookAgain sends bookings at an interval, each to the next node, and repeats those that are
// answered 503 once. It returns the ids of the repeated requests with those of the repeats.
func (r *rig) bookAgain(count int, interval time.Duration) map[string]string {
	var group sync.WaitGroup
	var mu sync.Mutex
	repeated := make(map[string]string)
	for i := range count {
		address := r.nodes[i%len(r.nodes)].config.Callers.Listen
		group.Go(func() {
			id, again := fmt.Sprint("order-", i), fmt.Sprint("order-", i, "-again")
			answer := r.bookOnce(address, id)
			if answer.Status != http.StatusServiceUnavailable || answer.Signature != "" {
				return
			}
			after, _ := strconv.ParseFloat(answer.RetryAfter, 64)
			time.Sleep(time.Duration(min(after, 1) * float64(time.Second)))
			r.bookOnce(address, again)
			mu.Lock()
			defer mu.Unlock()
			repeated[id] = again
		})
		time.Sleep(interval)
	}
	group.Wait()
	return repeated
}

// bookOnce sends a booking with an id.
func (r *rig) bookOnce(address, id string) standin.Answer {
	request, err := standin.NewRequest(address, http.MethodPost, standin.Once+"book", "", "one wreath")
	if err != nil {
		return standin.Answer{}
	}
	request.Header.Set("Guavatrack-Attempt-Id", id)
	answer, err := standin.Send(request)
	r.note("caller of %s has status %d, seal %q, Retry-After %q, error %v", id, answer.Status, answer.Signature, answer.RetryAfter, err)
	return answer
}
