package operator_test

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/examples"
	"github.com/guavatrack/guavatrack/internal/audit"
	"github.com/guavatrack/guavatrack/internal/config"
	"github.com/guavatrack/guavatrack/internal/operator"
	"github.com/guavatrack/guavatrack/internal/standin"
)

// fixedToken accepts the token "right" as that of the operator "ana".
type fixedToken struct{}

func (fixedToken) Bearer(request *http.Request) (string, bool) {
	return "ana", request.Header.Get("Authorization") == "Bearer right"
}

// newTestClient returns a client of an operators' API whose table is in memory, and the table.
func newTestClient(t *testing.T) (*operator.Client, *standin.Table) {
	store := standin.NewTable()
	log, registry := slog.New(slog.DiscardHandler), metrics.NewRegistry()
	server := &operator.Server{
		Node:   "n1",
		Config: &config.Controller{Store: store, Node: "n1", Region: "r", Log: log, Metrics: registry},
		Audit:  &audit.Log{Store: store}, Tokens: fixedToken{}, Metrics: registry, Log: log,
		Ready: func() error { return nil },
	}
	httpServer := httptest.NewServer(server.Handler())
	t.Cleanup(httpServer.Close)
	return &operator.Client{URL: httpServer.URL, Token: "right", HTTP: httpServer.Client()}, store
}

// Guards against an API that lists no entries after an accepted ticket because its
// query has an empty period.
func TestAuditListsAcceptedAndRefusedTickets(t *testing.T) {
	c := qt.New(t)
	client, _ := newTestClient(t)
	_, err := client.Apply(t.Context(), examples.WreathsTicket, false)
	c.Assert(err, qt.IsNil)
	conflicting := []byte(`{"number":1,"operator":"jon","pools":{"x":{"kind":"engine","checksFencing":false}}}`)
	_, err = client.Apply(t.Context(), conflicting, false)
	c.Assert(err, qt.ErrorMatches, `.*another ticket has this number`)

	entries, err := client.Audit(t.Context(), "", 10)
	c.Assert(err, qt.IsNil)
	c.Assert(entries, qt.HasLen, 2)
	accepted, refused := entries[0], entries[1]
	c.Assert(accepted.Action, qt.Equals, audit.TicketAccepted)
	c.Assert(accepted.Actor, qt.Equals, "ana")
	c.Assert(accepted.Changes, qt.HasLen, 5)
	c.Assert(refused.Action, qt.Equals, audit.TicketRefused)
	c.Assert(refused.Detail, qt.Matches, `.*another ticket has this number`)
}

// A failed request must be answered with the status of its cause and store no ticket.
func TestFailedTicketReturnsStatusAndIsNotStored(t *testing.T) {
	c := qt.New(t)
	client, store := newTestClient(t)
	tests := []struct {
		about  string
		text   string
		faults standin.TableFaults
		token  string
		status int
	}{
		{"wrong values", `{"number":0}`, standin.TableFaults{}, "right", http.StatusBadRequest},
		{"no JSON", `{`, standin.TableFaults{}, "right", http.StatusBadRequest},
		{"unknown token", string(examples.WreathsTicket), standin.TableFaults{}, "wrong", http.StatusUnauthorized},
		{"table down", string(examples.WreathsTicket), standin.TableFaults{Down: true}, "right", http.StatusServiceUnavailable},
	}
	for _, test := range tests {
		store.SetFaults(test.faults)
		testClient := *client
		testClient.Token = test.token
		_, err := testClient.Apply(t.Context(), []byte(test.text), false)
		var status *operator.StatusError
		c.Assert(err, qt.ErrorAs, &status, qt.Commentf(test.about))
		c.Assert(status.Status, qt.Equals, test.status, qt.Commentf(test.about))
	}
	store.SetFaults(standin.TableFaults{})
	listed, err := client.Tickets(t.Context(), 0, 10)
	c.Assert(err, qt.IsNil)
	c.Assert(listed, qt.HasLen, 0)
}
