package caller_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/drain"
	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

// Times of the drain of a node, after its beginning.
const (
	// stopTakesUntil is when the node takes no more requests, stopCutOffAt when it cuts off.
	stopTakesUntil = 3 * time.Second
	stopCutOffAt   = 8 * time.Second
	// stopKeepFor makes the node take requests until stopTakesUntil.
	stopKeepFor = time.Second
	// usualService is the service time that the node has seen.
	usualService = 3 * time.Second
)

// slowBody is a body that ends after a time.
type slowBody struct{ time.Duration }

func (b *slowBody) Read([]byte) (int, error) {
	time.Sleep(b.Duration)
	return 0, io.EOF
}

// stoppedService adds a service whose calls take a time, and returns how a request is sent
// whose body takes a time.
func (s *testCluster) stoppedService(serviceTime time.Duration) (send func(node int, kind stopKind, bodyTime time.Duration) result) {
	s.plain = append(s.plain, standin.NewService(standin.ServiceConfig{
		ID: "service0", Delay: serviceTime, Runs: s.runs, Ledger: s.ledger,
	}))
	s.serve("service0", s.plain[0])
	return func(node int, kind stopKind, bodyTime time.Duration) (got result) {
		body := io.MultiReader(strings.NewReader(kind.body), &slowBody{bodyTime})
		address := fmt.Sprintf("http://node%d%s", node, kind.path)
		request, err := http.NewRequestWithContext(context.Background(), kind.method, address, body)
		s.c.Assert(err, qt.IsNil)
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set(engine.DeadlineHeader, "50000")
		if kind.key != "" {
			request.Header.Set("Idempotency-Key", kind.key)
		}
		began := time.Now()
		response, err := s.client.Do(request)
		if err != nil {
			return result{err: err}
		}
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		return result{status: response.StatusCode, header: response.Header, body: string(text), err: err, took: time.Since(began)}
	}
}

// stopKind is a kind of requests. answered is the status of their answers.
type stopKind struct {
	name, method, path, key, body string
	answered                      int
}

// TestEachRequestEndsWithItsPromiseBesideADrain lets a drain begin at several moments in
// the life of a request of each kind at our own interface. It guards against requests that
// are taken so late that they are cut off, and against keys that a refusal uses up.
func TestEachRequestEndsWithItsPromiseBesideADrain(t *testing.T) {
	const second = time.Second
	chat, _ := chatRequest("late", 1)
	kinds := []stopKind{
		{"idempotent", http.MethodGet, "/orders/stock", "", "", http.StatusOK},
		{"not idempotent", http.MethodPost, "/orders/book", "", `{"a":1}`, http.StatusCreated},
		{"keyed", http.MethodPost, "/orders/book", "k1", `{"a":1}`, http.StatusCreated},
		{"stream", http.MethodPost, chatPath, "", chat, http.StatusOK},
	}
	const answered, refused = true, false
	for _, cell := range []struct {
		moment       string
		at, bodyTime time.Duration
		// want says whether a request of a kind that can't be taken up elsewhere is answered,
		// and not refused; wantStream says it of a stream.
		want, wantStream bool
	}{
		{"arrives early", second, 0, answered, answered},
		{"arrives late", stopTakesUntil - 100*time.Millisecond, 0, refused, answered},
		{"arrives when none are taken", stopTakesUntil + second, 0, refused, refused},
		{"body ends late", -second, 3900 * time.Millisecond, refused, answered},
		{"body ends when none are taken", -second, 5 * second, refused, refused},
		{"body does not end", -second, 60 * second, refused, refused},
		{"was sent", -second, 0, answered, answered},
	} {
		for _, kind := range kinds {
			t.Run(strings.ReplaceAll(cell.moment+"/"+kind.name, " ", "_"), func(t *testing.T) {
				withCluster(t, clusterConfig{engines: 1, nodes: 2}, func(s *testCluster) {
					send := s.stoppedService(usualService)
					usual := stopKind{method: http.MethodGet, path: "/orders/stock"}
					s.c.Assert(send(0, usual, 0).status, qt.Equals, http.StatusOK)
					began := time.Now().Add(10 * second)
					go s.drain(began)
					time.Sleep(time.Until(began.Add(cell.at)))
					got := send(0, kind, cell.bodyTime)
					s.c.Assert(got.err, qt.IsNil)
					s.c.Check(time.Since(began) <= stopCutOffAt, qt.IsTrue)
					if kind.path != chatPath && cell.want || kind.path == chatPath && cell.wantStream {
						s.c.Check(got.status, qt.Equals, kind.answered, qt.Commentf("%s", got.body))
						return
					}
					s.c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
					s.c.Check(got.body, qt.Contains, string(refusal.Draining))
					s.c.Check(runStatus(got), qt.Equals, refusal.NotRun)
					s.c.Check(send(1, kind, 0).status, qt.Equals, kind.answered)
				})
			})
		}
	}
}

// drain drains the first node as its process does.
func (s *testCluster) drain(at time.Time) {
	time.Sleep(time.Until(at))
	ctx, cancel := context.WithDeadline(context.Background(), at.Add(stopCutOffAt))
	defer cancel()
	sequence := drain.Sequence{
		StopAt: s.nodes[0].StopAt, AnnounceLeaving: func() {}, KeepFor: stopKeepFor, Finish: s.nodes[0].Drain,
	}
	_, _ = sequence.Run(ctx)
}
