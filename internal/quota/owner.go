package quota

import (
	"context"
	"log/slog"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// unknownRetry is the time after which tokens of an organisation may be asked for again that
// the manifest of the owner does not have, or without a quota.
const unknownRetry = 200 * time.Millisecond

// errTooMany reports a message with more organisations than a manifest can have.
var errTooMany = errors.New("too many organisations in one request")

// handleAsk handles a node's request for tokens.
func (c *Controller) handleAsk(_ context.Context, request askRequest) (response askResponse, err error) {
	if len(request.Entries) > maxEntries {
		return askResponse{}, errTooMany
	}
	c.ledgerMu.Lock()
	defer c.ledgerMu.Unlock()
	if request.Node != c.Node {
		c.askedAt = c.Clock()
		response.PauseMs = c.load.pauseAfter(c.askedAt, request.Node).Milliseconds()
	}
	// The right to grant is checked here, right before: the process may have been suspended.
	now, holds := c.open()
	if !holds {
		return c.notOwner(now), nil
	}
	response.Owner, response.Deputy, response.At = c.Node, c.Lease.Deputy(), now
	for _, entry := range request.Entries {
		granted, err := c.grant(now, request.Node, entry)
		if err != nil {
			c.Log.Warn("request for tokens rejected", slog.String("node", string(request.Node)), slog.Any("error", err))
			return askResponse{}, err
		}
		if entry.Want > 0 {
			response.Entries = append(response.Entries, granted)
		}
	}
	return response, nil
}

// open opens the ledger if this node has become the owner, and reports whether it is. The caller
// holds the lock of the ledger.
func (c *Controller) open() (now time.Duration, holds bool) {
	term, holds := c.Lease.Holds()
	now = c.Clock()
	if holds && term != c.term {
		c.ledger.Open(now)
		c.term = term
		c.Log.Info("accounts of organisations opened", slog.Uint64("term", uint64(term)))
		c.announce(term)
	}
	return now, holds
}

// notOwner answers a request that reached a node other than the owner. Unless that one has
// answered lately it is gone or has given up the lease, and this node may follow it.
func (c *Controller) notOwner(now time.Duration) askResponse {
	c.mu.Lock()
	owner, fresh := c.owner, c.failedAsks == 0 && c.answeredAt > 0 && now-c.answeredAt < answerFreshness
	c.mu.Unlock()
	if fresh && owner != c.Node {
		return askResponse{NotOwner: true, Owner: owner}
	}
	c.Lease.Suspect()
	return askResponse{NotOwner: true, Owner: c.Lease.Holder(), Deputy: c.Lease.Deputy(), HolderVM: c.Lease.HolderVM()}
}

// grant handles the request of a node for one organisation. The caller holds the lock of the
// ledger.
func (c *Controller) grant(now time.Duration, node fleet.NodeID, entry askEntry) (granted grantEntry, err error) {
	granted.Organisation = entry.Organisation
	quota := c.quotaOf(entry.Organisation)
	if quota == nil {
		granted.Unknown, granted.RetryInMs = true, unknownRetry.Milliseconds()
		return granted, nil
	}
	if err := c.takeBack(now, node, entry, quota); err != nil {
		return grantEntry{}, err
	}
	if err := c.ledger.Refused(now, entry.Organisation, quota, entry.Refused); err != nil {
		return grantEntry{}, err
	}
	if entry.Want == 0 {
		return granted, nil
	}
	grant, err := c.ledger.Take(now, node, entry.Organisation, quota, entry.Need, entry.Want)
	if err != nil {
		return grantEntry{}, err
	}
	c.meters.granted.Inc(int64(grant.Tokens))
	if grant.Began || grant.Ended {
		c.Log.Info("use of a quota", slog.String("organisation", string(entry.Organisation)), slog.Bool("over", grant.Began),
			slog.Float64("perSecond", quota.PerSecond), slog.Float64("burst", quota.Burst))
	}
	granted.Tokens, granted.RetryInMs = grant.Tokens, grant.RetryIn.Milliseconds()
	return granted, nil
}

// takeBack takes back what a node gives back. Tokens that are not known to be granted, since
// another node was the owner then, are not counted.
func (c *Controller) takeBack(now time.Duration, node fleet.NodeID, entry askEntry, quota *roster.Quota) error {
	for _, given := range entry.GiveBack {
		err := c.ledger.GiveBack(now, node, entry.Organisation, quota, given.GrantedAt, given.Tokens)
		switch {
		case err == nil:
			c.meters.givenBack.Inc(int64(given.Tokens))
		case errors.Is(err, ErrNotGranted):
			c.Log.Info("tokens given back are not known", slog.String("node", string(node)), slog.Any("error", err))
		default:
			return err
		}
	}
	return nil
}
