package node

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/audit"
	"github.com/guavatrack/guavatrack/internal/keys"
	"github.com/guavatrack/guavatrack/internal/operator"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// newOperators returns the server of the operators' API.
func newOperators(n *Node, p components) (*operator.Server, error) {
	api := &operator.Server{
		Node: n.ID, Place: n.Settings.Node.Place,
		Config: p.Config, Audit: &audit.Log{Store: p.Store}, Members: p.Members.Members,
		Servers: p.Grants.Views, Replicas: p.Grants.Replicas,
		Explain: func(ctx context.Context, item fleet.Item) any { return p.Directory.explainAtHome(ctx, item) },
		Ready:   n.Ready, Drain: n.Drain, Level: n.Level, Metrics: p.Metrics, Docs: Metrics(), Log: n.Log,
	}
	operatorSettings := n.Settings.Operators
	if operatorSettings.Tokens != "" {
		tokens, err := keys.NewSecrets(n.Log, operatorSettings.Tokens)
		if err != nil {
			return nil, errors.Wrap(err, "operators.tokens")
		}
		api.Tokens = tokens
	}
	api.Open = n.Settings.AllowPlainText && operatorSettings.Tokens == "" && operatorSettings.ClientCA == ""
	return api, nil
}
