package caller_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

const quotation = `{"model":"hop","messages":[{"role":"user","content":"quote a pedal"}]}`

type job struct {
	ID, State, Answer string
}

func submit(s *site, node int, key string) (made job) {
	got := s.send(node, http.MethodPost, "/v1/batch/chat/completions", quotation, "Idempotency-Key", key)
	s.c.Assert(got.status, qt.Equals, http.StatusAccepted, qt.Commentf("%s", got.body))
	s.c.Assert(json.Unmarshal([]byte(got.body), &made), qt.IsNil)
	return made
}

// await polls a job until it is done and returns its answer.
func await(s *site, node int, id string) result {
	for range 600 {
		got := s.send(node, http.MethodGet, "/v1/batch/"+id+"/answer", "")
		if got.status != http.StatusAccepted && got.status != http.StatusServiceUnavailable {
			return got
		}
		time.Sleep(time.Second)
	}
	s.t.Fatalf("job %s: no answer", id)
	return result{}
}

func quoted() string {
	message := standin.Message{Role: "user", Content: "quote a pedal"}
	return standin.Answer(fleet.Item{Model: hop}, standin.ChatPrompt(message), 0)
}

func TestQuotationIsAnsweredAtAnotherNode(t *testing.T) {
	bubble(t, siteConfig{engines: 1, nodes: 2}, func(s *site) {
		made := submit(s, 0, "q1")
		s.c.Assert(submit(s, 1, "q1").ID, qt.Equals, made.ID)
		got := await(s, 1, made.ID)
		s.c.Assert(got.status, qt.Equals, http.StatusOK)
		s.c.Assert(got.body, qt.Contains, quoted())
	})
}

func TestQuotationsSurviveTheEndOfEveryNodeAndServer(t *testing.T) {
	bubble(t, siteConfig{engines: 1, nodes: 2}, func(s *site) {
		s.engines[0].Stop()
		ids := make([]string, 0, 20)
		for at := range 20 {
			ids = append(ids, submit(s, at%2, fmt.Sprint(at)).ID)
		}
		time.Sleep(5 * time.Second)
		// Both nodes end; the table is down for a while; a new node and the
		// engine come back.
		for range 2 {
			s.stop[len(s.stop)-1]()
			s.stop = s.stop[:len(s.stop)-1]
		}
		s.table.SetFaults(standin.TableFaults{Down: true})
		s.addNode(2, nil)
		time.Sleep(time.Minute)
		s.table.SetFaults(standin.TableFaults{LoseAnswers: 5})
		s.engines[0].Start()
		for _, id := range ids {
			got := await(s, 2, id)
			s.c.Assert(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
			s.c.Assert(got.body, qt.Contains, quoted())
		}
	})
}

func TestQuotationPastItsDeadlineEndsWithARefusal(t *testing.T) {
	bubble(t, siteConfig{engines: 0, nodes: 1}, func(s *site) {
		got := s.send(0, http.MethodPost, "/v1/batch/chat/completions", quotation, "X-Deadline-Ms", "30000")
		var made job
		s.c.Assert(json.Unmarshal([]byte(got.body), &made), qt.IsNil)
		s.c.Assert(await(s, 0, made.ID).status, qt.Equals, http.StatusGatewayTimeout)
	})
}

func TestQuotationWithTheTableDownIsRefusedUnrun(t *testing.T) {
	bubble(t, siteConfig{engines: 1, nodes: 1}, func(s *site) {
		s.table.SetFaults(standin.TableFaults{Down: true})
		got := s.send(0, http.MethodPost, "/v1/batch/chat/completions", quotation)
		s.c.Assert(got.status, qt.Equals, http.StatusServiceUnavailable)
		s.c.Assert(string(runOf(got)), qt.Equals, "notRun")
	})
}
