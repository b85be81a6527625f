package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// The dose of a garbling server, which is at most that of the bench's garble in the site
// file and its days: two of three servers (share 0.6), one answer of 20 (x = 0.05), 5.5 s.
const (
	garbleEvery = 20
	garbleTime  = 5500 * time.Millisecond
)

// garbler spoils each garbleEvery-th answer of a server until a time.
type garbler struct {
	until   time.Time
	answers atomic.Int64
	spoiled atomic.Int64
	// spoil answers a request in the faulty way.
	spoil func(w http.ResponseWriter, r *http.Request) bool
}

// answer answers a request in the faulty way if it is its turn.
func (g *garbler) answer(w http.ResponseWriter, r *http.Request) bool {
	if time.Now().After(g.until) || g.answers.Add(1)%garbleEvery != 0 {
		return false
	}
	g.spoiled.Add(1)
	return g.spoil(w, r)
}

// servers is the number of servers, faultyServers that of those that the garbler spoils.
const (
	servers       = 3
	faultyServers = 2
)

// startServers starts the servers and waits until the nodes list them.
func (r *rig) startServers() (started []*service, err error) {
	for i := range servers {
		s := &service{id: fmt.Sprint("desk-", i), work: workTime}
		if err := r.startService(s); err != nil {
			return nil, err
		}
		started = append(started, s)
	}
	time.Sleep(listTime)
	return started, nil
}

// workTime is the time for which a server works on a request.
const workTime = 60 * time.Millisecond

// listTime is the time within which all nodes list a new server.
const listTime = 3 * time.Second
