package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/platform/standin"
)

// requestBody is the body of each request but long uploads.
const requestBody = "hello"

// longUpload is the body of a long upload.
var longUpload = strings.Repeat("u", uploadSize)

// drawBody returns the body of the next request to a service.
func (r *Run) drawBody() string {
	if r.BrokenFaults > 0 && r.uploads.Add(1)%2 == 0 {
		return longUpload
	}
	return requestBody
}

// sendRequest sends a randomly drawn request to a random node and checks its
// answer.
func (r *Run) sendRequest(random *rand.Rand) {
	n := r.nodes[random.IntN(len(r.nodes))]
	method, path, model, body := http.MethodPost, standin.Once, "", requestBody
	switch random.IntN(4) {
	case 0:
		r.sendResumable(random)
		return
	case 1:
		path, model = standin.Streaming, fmt.Sprint("m", random.IntN(r.site.Models))
	case 2:
		method, path = http.MethodGet, standin.Repeatable
	}
	if model == "" {
		body = r.drawBody()
	}
	request, err := standin.NewRequest(n.config.Callers.Listen, method, path+"x", model, body)
	r.recordError(err)
	r.authorize(request, r.drawKey(random))
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	answer, err := standin.Send(request.WithContext(ctx))
	r.count(answer.Status == http.StatusOK && err == nil)
	r.checkAnswer(answer, err, path, model != "", body)
}

// count counts a request or stream, and pauses if it was not served.
func (r *Run) count(served bool) {
	r.asked.Add(1)
	if served {
		r.served.Add(1)
		return
	}
	time.Sleep(unservedPause)
}

// streamTries is the number of requests that a caller sends for a stream.
const streamTries = 4

// sendResumable requests a stream at a random node, and the rest of it at others if it
// breaks off.
func (r *Run) sendResumable(random *rand.Rand) {
	key := r.drawKey(random)
	caller := standin.StreamCaller{
		Prepare: func(request *http.Request) { r.authorize(request, key) },
		Model:   fmt.Sprint("m", random.IntN(r.site.Models)), Tries: streamTries,
		Node: func(int) string { return r.nodes[random.IntN(len(r.nodes))].config.Callers.Listen },
	}
	stream, err := caller.Do(context.Background())
	r.recordError(err)
	r.count(stream.IsWhole())
	if stream.TakenUp() {
		r.takenUp.Add(1)
		if stream.IsWhole() {
			r.wentOn.Add(1)
		}
	}
	for _, try := range stream.Tries {
		r.checkOrigin(try.Answer)
	}
	for _, err := range []error{stream.Gap(streamEvents), stream.Joined()} {
		if err != nil {
			r.recordBreach("%v", err)
		}
	}
}

// checkOrigin records a violation if an answer breaks a guarantee: a request reported as
// not run did run, the answer belongs to another request, or no server signed it.
func (r *Run) checkOrigin(answer standin.Answer) {
	runs := r.site.Ledger.Runs(answer.ID)
	if answer.NotRun && runs > 0 {
		r.recordBreach("%s was said not to have run (%d), and ran", answer.ID, answer.Status)
	}
	if answer.AnswerID != "" && answer.AnswerID != answer.ID {
		r.recordBreach("%s got the answer to %s", answer.ID, answer.AnswerID)
	}
	if answer.Signature == standin.BrokenSignature {
		r.recordBreach("%s: an answer with a broken head (%d)", answer.ID, answer.Status)
	}
	if answer.Status == http.StatusOK && answer.Signature == "" {
		r.recordBreach("%s: an answer that no server signed", answer.ID)
	}
}

// checkAnswer records a violation if the answer breaks a guarantee: those of checkOrigin,
// or a request that must run at most once ran again, the stream has a gap, or a part of the
// answer looks like all.
func (r *Run) checkAnswer(answer standin.Answer, err error, path string, stream bool, body string) {
	r.checkOrigin(answer)
	if runs := r.site.Ledger.Runs(answer.ID); path == standin.Once && runs > 1 {
		r.recordBreach("%s ran %d times", answer.ID, runs)
	}
	if answer.Status != http.StatusOK {
		return
	}
	if stream {
		r.checkPieces(answer, err == nil)
		return
	}
	// A service ends its answer with the body of the request.
	if err == nil && !strings.HasSuffix(answer.Body, ": "+body) {
		r.recordBreach("%s: ended as whole with %.100q", answer.ID, answer.Body)
	}
}

// checkPieces records a violation if the pieces of a stream are not consecutive up
// to its end or, if whole is set, are fewer or more than those of a complete
// stream.
func (r *Run) checkPieces(answer standin.Answer, whole bool) {
	pieces := answer.Pieces()
	for at, piece := range pieces {
		if want := strconv.Itoa(at + 1); piece != want {
			r.recordBreach("%s: piece %s where %s belongs", answer.ID, piece, want)
			return
		}
	}
	if count := len(pieces); whole && count != streamEvents {
		r.recordBreach("%s: ended as whole after %d pieces", answer.ID, count)
	}
}

// waitAllServed waits until every node serves every model. After the limit it
// returns the last failure.
func (r *Run) waitAllServed(limit time.Duration) error {
	return poll(limit, r.allServed)
}

// poll calls check until it succeeds. After the limit it returns the last failure.
func poll(limit time.Duration, check func() error) (last error) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if last = check(); last == nil {
			return nil
		}
	}
	return last
}

// allServed requests every model at every node and returns the first failure.
func (r *Run) allServed() error {
	for _, n := range r.nodes {
		for at := range r.site.Models {
			request, err := standin.NewRequest(n.config.Callers.Listen, http.MethodPost, standin.Resumable+"x", fmt.Sprint("m", at), requestBody)
			if err != nil {
				return err
			}
			r.authorize(request, keyOf(0))
			answer, err := standin.Send(request)
			if err != nil || answer.Status != http.StatusOK {
				return errors.Errorf("%s, m%d: status %d, error %v", n.name, at, answer.Status, err)
			}
		}
	}
	return nil
}
