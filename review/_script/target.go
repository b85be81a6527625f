package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/guavatrack/guavatrack/platform/standin"
)

// requestCount is the number of requests of a case.
const requestCount = 20

// playTarget sends bookings whose path has a character that clients don't escape, and
// whose query names the order. Each must be run as it was sent.
func playTarget(r *rig, trouble bool) (verdict, error) {
	if err := r.start(&standin.Site{Engines: 1, Models: 1}, 3); err != nil {
		return verdict{}, err
	}
	desk := &service{id: "desk-0"}
	if err := r.startService(desk); err != nil {
		return verdict{}, err
	}
	time.Sleep(listTime)
	separator := "-"
	if trouble {
		separator = "|"
	}
	sent := make(map[string]ran)
	for i := range requestCount {
		n := r.nodes[i%len(r.nodes)]
		request := ran{
			id: fmt.Sprint("order-", i), method: http.MethodPost, body: "one wreath",
			target: fmt.Sprintf("%sbook/bine%swreath?order=%d&amount=1", standin.Once, separator, i),
		}
		sent[request.id] = request
		r.note("caller sends %s to node %d: POST %s %q", request.id, i%len(r.nodes), request.target, request.body)
		status, err := sendRaw(n.config.Callers.Listen, request)
		r.note("caller gets %d, error %v, for %s", status, err, request.id)
	}
	changed := 0
	for _, run := range desk.ranRequests() {
		if run != sent[run.id] {
			changed++
			r.note("%s was run as %q, and sent as %q", run.id, run.target, sent[run.id].target)
		}
	}
	runs := len(desk.ranRequests())
	if runs < requestCount {
		return verdict{}, fmt.Errorf("only %d of %d requests were run", runs, requestCount)
	}
	return verdict{broken: changed > 0, text: fmt.Sprintf("%d of %d requests were run with another query than sent", changed, runs)}, nil
}

// callerTimeout is when a caller gives up reading an answer.
const callerTimeout = 8 * time.Second

// sendRaw sends a request over a new connection with its target as it stands, and returns
// the status of the answer.
func sendRaw(address string, request ran) (status int, err error) {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(callerTimeout))
	_, err = fmt.Fprintf(connection, "%s %s HTTP/1.1\r\nHost: %s\r\nGuavatrack-Attempt-Id: %s\r\nGuavatrack-Deadline-Ms: 8000\r\n"+
		"Content-Length: %d\r\n\r\n%s", request.method, request.target, standin.Host, request.id, len(request.body), request.body)
	if err != nil {
		return 0, err
	}
	answer, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0, err
	}
	return answer.StatusCode, answer.Body.Close()
}
