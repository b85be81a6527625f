package config

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// DeploymentCondition returns a transaction condition that holds while this
// node's deployment of the item is the newest accepted one. It prevents a node
// that has not yet merged a ticket from acting on the previous deployment. If
// the node's deployment is outdated, it fails with table.ErrConflict and polls
// the table in the background.
func (c *Controller) DeploymentCondition(ctx context.Context, item fleet.Item) (condition table.Write, err error) {
	c.init()
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "decision on %s", item.Model)
		}
	}()
	key := ticket.Key{Kind: ticket.DeploymentObject, Name: string(item.Model)}
	record, err := c.Store.Get(ctx, objectKey(key))
	if errors.Is(err, table.ErrNotFound) {
		return table.Write{}, errors.Wrap(table.ErrConflict, "no deployment in the table")
	}
	if err != nil {
		return table.Write{}, err
	}
	var newest ticket.Entry
	if err := json.Unmarshal(record.Body, &newest); err != nil {
		return table.Write{}, err
	}
	c.mu.Lock()
	local, _ := c.state.Entry(key)
	c.mu.Unlock()
	if local.Number != newest.Number {
		c.background.Go(func(ctx context.Context) { _ = c.poll(ctx) })
		return table.Write{}, errors.Wrapf(table.ErrConflict, "number %d here, %d in the table", local.Number, newest.Number)
	}
	return table.Write{Key: record.Key, Expect: record.Version, CheckOnly: true}, nil
}
