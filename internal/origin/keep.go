package origin

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Each record of a stream is kept by a few other nodes for a while. They write it again
// after the store was restored from an older copy, when the node that wrote it may be gone.

const (
	methodKeep = "origin.keep"
	// keepers is the number of other nodes that keep a record.
	keepers = 2
	// keepTime is how long a record is kept, maxKept how many are.
	keepTime = 30 * time.Second
	maxKept  = 5000
)

// keptRecord is the record of a stream that another node began.
type keptRecord struct {
	software fleet.SoftwareVersion
	since    time.Time
}

// keepRequest asks a node to keep records that were written.
type keepRequest struct {
	Streams []streamWrite `json:"streams"`
}

// handOver has other nodes keep records that this node has written, in the background.
func (c *Controller) handOver(written []*pendingRecord) {
	if len(written) == 0 || written[0].again {
		return
	}
	request := keepRequest{Streams: make([]streamWrite, len(written))}
	for i, record := range written {
		request.Streams[i] = streamWrite{Key: record.key.Sort, Software: record.software}
	}
	for _, node := range c.anyNodes(keepers) {
		c.writers.Go(func() {
			// A node that does not answer keeps nothing; the record is in the store.
			_ = c.call(context.Background(), node, methodKeep, request, &struct{}{})
		})
	}
}

// anyNodes returns a number of other nodes at random, so that no few are called by all.
func (c *Controller) anyNodes(count int) []fleet.NodeID {
	if c.Peers == nil || c.Nodes == nil {
		return nil
	}
	nodes := slices.Clone(c.Nodes())
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	return nodes[:min(len(nodes), count)]
}

func (c *Controller) handleKeep(_ context.Context, request keepRequest) (response struct{}, err error) {
	if len(request.Streams) > maxCallStreams {
		return struct{}{}, errors.Errorf("streams: must be at most %d, found %d", maxCallStreams, len(request.Streams))
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, stream := range request.Streams {
		if len(c.kept) < maxKept {
			c.kept[stream.Key] = keptRecord{software: stream.Software, since: now}
		}
	}
	return struct{}{}, nil
}

// forgetKept removes the records that were kept for long enough. The caller holds the lock.
func (c *Controller) forgetKept(now time.Time) {
	for key, record := range c.kept {
		if now.Sub(record.since) > keepTime {
			delete(c.kept, key)
		}
	}
}

// keptAgain returns the kept records, which the restoration of the store may have taken, to
// be written again. The caller holds the lock.
func (c *Controller) keptAgain(now time.Time) (again []*pendingRecord) {
	for sort, record := range c.kept {
		again = append(again, &pendingRecord{
			key: table.Key{Partition: partition, Sort: sort}, software: record.software, done: make(chan error, 1),
			expires: now.Add(keepTime), again: true,
		})
	}
	return again
}
