package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/platform/standin"
)

// call sends one request that is drawn and checks its answer.
func (r *Run) call(random *rand.Rand) {
	n := r.nodes[random.IntN(len(r.nodes))]
	method, path, model := http.MethodPost, standin.Once, ""
	switch random.IntN(4) {
	case 0:
		path, model = standin.Resumable, fmt.Sprint("m", random.IntN(r.site.Models))
	case 1:
		path, model = standin.Streaming, fmt.Sprint("m", random.IntN(r.site.Models))
	case 2:
		method, path = http.MethodGet, standin.Repeatable
	}
	request, err := standin.NewRequest(n.given.Callers.Listen, method, path+"x", model, "hello")
	r.must(err)
	ctx, cancel := context.WithTimeout(context.Background(), callerPatience)
	defer cancel()
	answer, err := standin.Send(request.WithContext(ctx))
	r.asked.Add(1)
	if answer.Status == http.StatusOK && err == nil {
		r.served.Add(1)
	} else {
		time.Sleep(callerPause)
	}
	r.check(answer, err, path, model != "")
}

// check notes an answer that breaks a promise.
func (r *Run) check(answer standin.Answer, err error, path string, stream bool) {
	runs := r.site.Ledger.Runs(answer.ID)
	if path == standin.Once && runs > 1 {
		r.breach("%s ran %d times", answer.ID, runs)
	}
	if answer.NotRun && runs > 0 {
		r.breach("%s was said not to have run, and ran", answer.ID)
	}
	if answer.AnswerID != "" && answer.AnswerID != answer.ID {
		r.breach("%s got the answer to %s", answer.ID, answer.AnswerID)
	}
	if answer.Status != http.StatusOK {
		return
	}
	if answer.Signature == "" {
		r.breach("%s: an answer that no server signed", answer.ID)
	}
	if stream {
		r.checkPieces(answer, err == nil)
	}
}

// checkPieces notes a stream whose pieces are not all there in order, up to where
// it broke off.
func (r *Run) checkPieces(answer standin.Answer, whole bool) {
	pieces := answer.Pieces()
	for at, piece := range pieces {
		if want := strconv.Itoa(at + 1); piece != want {
			r.breach("%s: piece %s where %s belongs", answer.ID, piece, want)
			return
		}
	}
	if count := len(pieces); whole && count != events {
		r.breach("%s: ended as whole after %d pieces", answer.ID, count)
	}
}

// recovered waits until every node serves every model, and reports what does not
// after the limit.
func (r *Run) recovered(limit time.Duration) error {
	var last error
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if last = r.allServed(); last == nil {
			return nil
		}
	}
	return last
}

func (r *Run) allServed() error {
	for _, n := range r.nodes {
		for at := range r.site.Models {
			answer, err := standin.Ask(n.given.Callers.Listen, http.MethodPost, standin.Resumable+"x", fmt.Sprint("m", at), "hello")
			if err != nil || answer.Status != http.StatusOK {
				return errors.Errorf("%s, m%d: status %d, error %v", n.name, at, answer.Status, err)
			}
		}
	}
	return nil
}
