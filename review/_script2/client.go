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
)

// requester sends requests to nodes and remembers when each was sent.
type requester struct {
	client *http.Client
	next   atomic.Int64

	mu   sync.Mutex
	sent map[string]sentRequest
}

// sentRequest is a request with its answer.
type sentRequest struct {
	node    string
	at      time.Time
	endedAt time.Time
	status  int
	sealed  bool
	body    string
	err     error
}

func newRequester() *requester {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}
	return &requester{client: &http.Client{Transport: transport}, sent: make(map[string]sentRequest)}
}

// request is what a requester asks for.
type request struct {
	path    string
	model   string
	limit   time.Duration
	headers map[string]string
	// same is the end of the path, and the body, of a request that comes again; empty for one of its own.
	same string
}

// ask sends a request to a node and waits for the answer.
func (q *requester) ask(n *node, wanted request) (id string, got sentRequest) {
	id = fmt.Sprintf("%016x", 0x5eed000000000000+q.next.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), wanted.limit)
	defer cancel()
	end, body := id, "body of "+id
	if wanted.same != "" {
		end, body = wanted.same, wanted.same
	}
	out, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.front()+wanted.path+end, strings.NewReader(body))
	if err != nil {
		return id, sentRequest{err: err}
	}
	out.Host = host
	out.Header.Set("Guavatrack-Attempt-Id", id)
	out.Header.Set("Guavatrack-Deadline-Ms", fmt.Sprint(wanted.limit.Milliseconds()))
	if wanted.model != "" {
		out.Header.Set("Guavatrack-Model", wanted.model)
		out.Header.Set("Guavatrack-Token-Usage", "826,300")
		out.Header.Set("Guavatrack-Prompt-Prefix", "5c1e07a2:198,"+id+":628")
	}
	for name, value := range wanted.headers {
		out.Header.Set(name, value)
	}
	got = sentRequest{node: n.name, at: time.Now()}
	q.put(id, got)
	response, err := q.client.Do(out)
	if err != nil {
		got.err = err
	} else {
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		got.status, got.body, got.err = response.StatusCode, string(body), err
		got.sealed = response.Header.Get("Guavatrack-Response-Seal") != ""
	}
	got.endedAt = time.Now()
	q.put(id, got)
	return id, got
}

func (q *requester) put(id string, got sentRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sent[id] = got
}

// get returns a request by its id.
func (q *requester) get(id string) (sentRequest, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	got, found := q.sent[id]
	return got, found
}

// press sends requests to a node at a rate until stop is closed.
func (q *requester) press(n *node, wanted request, perSecond float64, stop <-chan struct{}, group *sync.WaitGroup) {
	group.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				group.Go(func() { q.ask(n, wanted) })
			}
		}
	})
}
