package operator

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/guavatrack/guavatrack/internal/audit"
	"github.com/guavatrack/guavatrack/internal/grant"
	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

func (s *Server) status(*http.Request) (any, error) {
	status := Status{
		Node: s.Node, Place: s.Place, Revision: s.Config.Revision(),
		Digest: s.Config.Digest().String(), Members: s.Members(), Servers: []ServerStatus{},
	}
	if err := s.Ready(); err != nil {
		status.NotReady = err.Error()
	}
	views := s.Servers()
	for i := range views {
		status.Servers = append(status.Servers, serverStatus(&views[i]))
	}
	return status, nil
}

func serverStatus(view *grant.ServerView) ServerStatus {
	status := ServerStatus{
		Server: view.VM.ID, Pool: view.VM.Pool, Place: view.VM.Place, Memory: view.VM.Memory,
		Reserved: view.Reserved, Leaving: view.Leaving(), Held: []GrantStatus{},
		ReportAge: fleet.Duration(time.Since(view.PolledAt).Round(time.Millisecond)),
	}
	for _, held := range view.Grants {
		status.Held = append(status.Held, GrantStatus{
			Item: held.Item.String(), Grant: held.Grant, Size: held.Size, State: held.State,
			Progress: held.Progress, Running: held.Running, Queued: held.Queued,
			Draining: held.Draining, Quarantined: held.Quarantined,
		})
	}
	return status
}

func (s *Server) itemStatus(r *http.Request) (any, error) {
	item := fleet.ParseItem(mux.Vars(r)["item"])
	snapshot := s.Config.Snapshot()
	if !snapshot.Serves(item) {
		return nil, table.ErrNotFound
	}
	return ItemStatus{
		Item: item.String(), Deployment: snapshot.Deployments[item.Model],
		Replicas: s.Replicas(item), Policy: s.Explain(r.Context(), item),
	}, nil
}

// defaultAuditPeriod is the period for which audit entries are listed if the request gives
// no start.
const defaultAuditPeriod = 7 * 24 * time.Hour

func (s *Server) listAudit(r *http.Request) (any, error) {
	// The end is ahead of this node's clock: entries are stamped by the clocks of
	// the nodes that wrote them, which may be ahead.
	query := audit.Query{From: time.Now().Add(-defaultAuditPeriod), To: time.Now().Add(time.Minute)}
	limit, err := parseUint("limit", r.URL.Query().Get("limit"), defaultLimit)
	if err != nil {
		return nil, err
	}
	query.Limit = int(min(limit, maxLimit))
	if since := r.URL.Query().Get("since"); since != "" {
		if query.From, err = time.Parse(time.RFC3339, since); err != nil {
			return nil, badRequestError{"since: want a time such as 2026-12-04T06:00:00Z"}
		}
	}
	entries, err := s.Audit.List(r.Context(), query)
	if entries == nil {
		entries = []audit.Entry{}
	}
	return entries, err
}

// drain starts the drain and responds without waiting for its end, since the drain
// closes the endpoint over which the response is sent.
func (s *Server) drain(r *http.Request) (any, error) {
	err := s.Audit.Append(r.Context(), audit.Entry{
		Node: s.Node, Actor: actorFromContext(r), Action: audit.NodeDrained, Subject: "node " + string(s.Node),
	})
	if err != nil {
		s.Log.Warn("failed to write the drain to the audit trail", slog.Any("error", err))
	}
	go func() { _, _ = s.Drain(context.WithoutCancel(r.Context())) }()
	return DrainStarted{Node: s.Node, Draining: true}, nil
}

func (s *Server) logLevel(*http.Request) (any, error) {
	if s.Level == nil {
		return LogLevel{}, nil
	}
	return LogLevel{Level: s.Level.Level().String()}, nil
}

func (s *Server) setLogLevel(r *http.Request) (any, error) {
	var requested LogLevel
	if err := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxTicketBytes)).Decode(&requested); err != nil {
		return nil, badRequestError{"body: " + err.Error()}
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(requested.Level)); err != nil || s.Level == nil {
		return nil, badRequestError{"level: want debug, info, warn or error"}
	}
	s.Level.Set(level)
	return LogLevel{Level: level.String()}, nil
}
