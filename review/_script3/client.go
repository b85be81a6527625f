package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/guavatrack/guavatrack/platform/standin"
)

var attempts atomic.Int64

// Attempt is one attempt of a requester.
type Attempt struct {
	ID          string
	Node        *Node
	Sent, Ended time.Time
	Status      int
	Body        string
	// Err is the error of a channel that ended without a complete answer.
	Err error
}

// Requester sends requests one after the other on a kept channel to one node.
type Requester struct {
	Node *Node
	// Method is POST unless it is set.
	Method, Path string
	// Model is the model that is asked for; empty for an application.
	Model  string
	Record *Record
	client *http.Client
}

func newRequester(node *Node, path string, record *Record) *Requester {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	return &Requester{Node: node, Path: path, Record: record, client: &http.Client{Transport: transport}}
}

// Ask makes one attempt.
func (q *Requester) Ask(limit time.Duration) *Attempt {
	a := &Attempt{ID: fmt.Sprintf("a%06d", attempts.Add(1)), Node: q.Node}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	method, body := http.MethodPost, io.Reader(strings.NewReader("one "+a.ID))
	if q.Method == http.MethodGet {
		method, body = http.MethodGet, http.NoBody
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+q.Node.Front+q.Path, body)
	check(err)
	// Without GetBody net/http sends nothing twice.
	request.GetBody = nil
	request.Host = standin.Host
	request.Header.Set("Guavatrack-Attempt-Id", a.ID)
	request.Header.Set("Guavatrack-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	if q.Model != "" {
		request.Header.Set("Guavatrack-Model", q.Model)
		request.Header.Set("Guavatrack-Token-Usage", "100,50")
	}
	a.Sent = time.Now()
	response, err := q.client.Do(request)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.Status, a.Body = response.StatusCode, string(body)
	}
	a.Ended, a.Err = time.Now(), err
	q.Record.Say("%s sent to %s %.4f s ago: status %d, error %v", a.ID, q.Node.Name, a.Ended.Sub(a.Sent).Seconds(), a.Status, err)
	return a
}

// askUntil has requesters ask nodes until a time and returns all attempts.
func askUntil(requesters []*Requester, limit time.Duration, until func() bool) []*Attempt {
	var mu sync.Mutex
	var all []*Attempt
	var group sync.WaitGroup
	for _, requester := range requesters {
		group.Go(func() {
			for !until() {
				a := requester.Ask(limit)
				mu.Lock()
				all = append(all, a)
				mu.Unlock()
				if a.Err != nil || a.Status != http.StatusOK {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	group.Wait()
	return all
}
