package operator

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"

	"github.com/guavatrack/guavatrack/internal/audit"
	"github.com/guavatrack/guavatrack/internal/config"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

const (
	maxTicketBytes = 1 << 20
	defaultLimit   = 100
	maxLimit       = 1000
)

func (s *Server) applyTicket(r *http.Request) (any, error) {
	text, err := io.ReadAll(io.LimitReader(r.Body, maxTicketBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read ticket")
	}
	if len(text) > maxTicketBytes {
		return nil, badRequestError{"ticket is larger than 1MiB"}
	}
	submitted, err := ticket.Parse(text)
	if err != nil {
		return nil, err
	}
	if r.URL.Query().Get("check") == "true" {
		if err := s.Config.Check(r.Context(), submitted); err != nil {
			return nil, err
		}
		return Applied{Accepted: config.Accepted{Number: submitted.Number}, CheckedOnly: true}, nil
	}
	accepted, err := s.Config.Apply(r.Context(), submitted, actorFromContext(r))
	if err != nil {
		s.auditRefusal(r, &submitted, err)
		return nil, err
	}
	return Applied{Accepted: accepted}, nil
}

// auditRefusal writes a refused ticket to the audit trail. A failure because the table
// did not answer is no refusal, and it could not be written to the trail either.
func (s *Server) auditRefusal(r *http.Request, submitted *ticket.Ticket, refusal error) {
	switch httpStatus(refusal) {
	case http.StatusBadRequest, http.StatusConflict:
	default:
		return
	}
	err := s.Audit.Append(r.Context(), audit.Entry{
		Node: s.Node, Actor: actorFromContext(r), Action: audit.TicketRefused, Ticket: submitted.Number,
		Subject: fmt.Sprintf("ticket %d", submitted.Number), Detail: refusal.Error(),
	})
	if err != nil {
		s.Log.WarnContext(r.Context(), "failed to write the refused ticket to the audit trail", slog.Any("error", err))
	}
}

func (s *Server) listTickets(r *http.Request) (any, error) {
	query := r.URL.Query()
	after, err := parseUint("after", query.Get("after"), 0)
	if err != nil {
		return nil, err
	}
	limit, err := parseUint("limit", query.Get("limit"), defaultLimit)
	if err != nil {
		return nil, err
	}
	return s.Config.Tickets(r.Context(), fleet.TicketNumber(after), int(min(limit, maxLimit)))
}

func (s *Server) showTicket(r *http.Request) (any, error) {
	ticketNumber, err := parseUint("number", mux.Vars(r)["number"], 0)
	if err != nil {
		return nil, err
	}
	return s.Config.Ticket(r.Context(), fleet.TicketNumber(ticketNumber))
}

func (s *Server) inForce(r *http.Request) (any, error) {
	revision, err := parseUint("revision", mux.Vars(r)["revision"], 0)
	if err != nil {
		return nil, err
	}
	return s.Config.QueryMemberStates(r.Context(), config.Revision(revision)), nil
}

func (s *Server) configuration(*http.Request) (any, error) {
	return ConfigurationView{
		Node: s.Node, Revision: s.Config.Revision(), Digest: s.Config.Digest().String(),
		Snapshot: s.Config.Snapshot(),
	}, nil
}
