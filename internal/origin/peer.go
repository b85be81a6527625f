package origin

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/peer"
	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Methods of calls between nodes, made by a node that cannot reach the store.
const (
	methodFind  = "origin.find"
	methodWrite = "origin.write"
	methodEra   = "origin.era"
)

const (
	// maxPeers is the number of nodes that are asked, one after the other.
	maxPeers    = 3
	peerTimeout = 600 * time.Millisecond
	// maxCallStreams is the maximum number of streams in one call.
	maxCallStreams = 100
)

// findRequest asks which version began a stream.
type findRequest struct {
	Pool    fleet.PoolID    `json:"pool"`
	Request fleet.RequestID `json:"request"`
}

// findResponse is the answer to a findRequest.
type findResponse struct {
	Found    bool                  `json:"found"`
	Software fleet.SoftwareVersion `json:"software"`
	// Single is set if the node cannot reach the store either, and Software is the only
	// version that has served the pool for the retention time.
	Single bool `json:"single,omitempty"`
}

// writeRequest asks a node to write the records of streams.
type writeRequest struct {
	Streams []streamWrite `json:"streams"`
}

// writeResponse is the answer to a writeRequest.
type writeResponse struct {
	// Written is set if all records exist, but for Conflicts: the keys of the streams that
	// another version began before, and of those whose records the store rejects.
	Written   bool     `json:"written"`
	Conflicts []string `json:"conflicts,omitempty"`
}

// eraRequest asks for the era of the store that a node has seen last.
type eraRequest struct{}

// eraResponse is the answer to an eraRequest.
type eraResponse struct {
	Era table.Era `json:"era"`
	// Writing is set while the node writes records again that the store has lost with the
	// beginning of the era. Nodes of an older build don't say so.
	Writing bool `json:"writing,omitempty"`
}

// Handler registers the methods that nodes call on each other.
type Handler interface {
	Handle(method string, handler peer.Handler)
}

// Register registers the methods that nodes call on each other.
func (c *Controller) Register(handler Handler) {
	c.init()
	handler.Handle(methodFind, peer.Typed(c.handleFind))
	handler.Handle(methodWrite, peer.Typed(c.handleWrite))
	handler.Handle(methodEra, peer.Typed(c.handleEra))
	handler.Handle(methodKeep, peer.Typed(c.handleKeep))
}

func (c *Controller) handleEra(context.Context, eraRequest) (response eraResponse, err error) {
	c.checkEra(time.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	return eraResponse{Era: c.era, Writing: c.writesAgain()}, nil
}

func (c *Controller) handleFind(ctx context.Context, request findRequest) (response findResponse, err error) {
	key := streamKey{pool: request.Pool, request: request.Request}
	if response.Software, response.Found = c.findOwn(key); response.Found {
		return response, nil
	}
	software, _, err := c.findInStore(ctx, key)
	if err == nil {
		return findResponse{Found: true, Software: software}, nil
	}
	software, single := c.singleVersion(request.Pool)
	return findResponse{Software: software, Single: single}, nil
}

func (c *Controller) handleWrite(ctx context.Context, request writeRequest) (response writeResponse, err error) {
	if len(request.Streams) > maxCallStreams {
		return writeResponse{}, errors.Errorf("streams: must be at most %d, found %d", maxCallStreams, len(request.Streams))
	}
	response.Conflicts, err = c.transact(ctx, request.Streams)
	if errors.Is(err, table.ErrConflict) {
		response.Conflicts, err = c.writeMissing(ctx, request.Streams)
	}
	c.recordStoreCall(err)
	response.Written = err == nil
	return response, nil
}

// writeMissing writes those of the records that don't exist, such as after an earlier
// answer was lost. It returns the keys of those that name another version.
func (c *Controller) writeMissing(ctx context.Context, streams []streamWrite) (conflicts []string, err error) {
	var missing []streamWrite
	for _, stream := range streams {
		found, exists, err := c.readStream(ctx, table.Key{Partition: partition, Sort: stream.Key})
		switch {
		case err != nil:
			return nil, err
		case !exists:
			missing = append(missing, stream)
		case found.Software != stream.Software:
			conflicts = append(conflicts, stream.Key)
		}
	}
	if len(missing) == 0 {
		return conflicts, nil
	}
	rejected, err := c.transact(ctx, missing)
	return append(conflicts, rejected...), err
}

// peers returns the nodes to ask while the store is unreachable.
func (c *Controller) peers() []fleet.NodeID {
	if c.Peers == nil || c.Nodes == nil {
		return nil
	}
	nodes := c.Nodes()
	return nodes[:min(len(nodes), maxPeers)]
}

// notePeers records which other nodes are alive.
func (c *Controller) notePeers() {
	now, alive := time.Now(), c.aliveNodes()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hadPeers = c.hadPeers || len(alive) > 0
	for node := range alive {
		c.seen[node] = now
	}
	maps.DeleteFunc(c.seen, func(_ fleet.NodeID, at time.Time) bool { return now.Sub(at) > keepTime })
}

// everHadPeers reports whether there were other nodes since this one started.
func (c *Controller) everHadPeers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hadPeers
}

// call calls a method at a node.
func (c *Controller) call(ctx context.Context, node fleet.NodeID, method string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return c.Peers.Call(ctx, node, method, in, out)
}

// findByPeer asks other nodes for the version of a stream. If all of them answer, none
// reaches the store, and a single version has served the pool for this node and for all of
// them, that version has begun the stream. A node that has lost the others finds none.
func (c *Controller) findByPeer(ctx context.Context, key streamKey) (software fleet.SoftwareVersion, found bool) {
	software, single := c.singleVersion(key.pool)
	peers := c.peers()
	single = single && (len(peers) > 0 || !c.everHadPeers())
	for _, node := range peers {
		var response findResponse
		if err := c.call(ctx, node, methodFind, findRequest{Pool: key.pool, Request: key.request}, &response); err != nil {
			single = false // It may have begun streams of versions that this node does not list.
			continue
		}
		if response.Found {
			return response.Software, true
		}
		single = single && response.Single && response.Software == software
	}
	return software, single
}

// keepLearningEra calls learnEra until the context ends.
func (c *Controller) keepLearningEra(ctx context.Context) {
	for ctx.Err() == nil {
		c.learnEra(ctx)
		wait.For(ctx, checkInterval)
	}
}

// learnEra asks other nodes whether the store was restored, if this node has records to
// write again then and has not reached the store lately itself. After a restoration it asks
// them whether they still write theirs.
func (c *Controller) learnEra(ctx context.Context) {
	c.mu.Lock()
	recent := time.Since(c.reachedAt) < ownEraAge
	recorded := len(c.kept) > 0 || c.hasRecorded()
	awaits := c.era > 0 && c.completeEra != c.era
	c.mu.Unlock()
	if (recent || !recorded) && !awaits {
		return
	}
	var group sync.WaitGroup
	for _, node := range c.anyNodes(maxPeers) {
		group.Go(func() {
			var response eraResponse
			if err := c.call(ctx, node, methodEra, eraRequest{}, &response); err != nil {
				return // The node may be gone; the others are asked as well.
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			c.peerEra = max(c.peerEra, response.Era)
			if response.Writing {
				c.othersWroteAt = time.Now()
			}
		})
	}
	group.Wait()
	c.checkEra(time.Now())
}

// ownEraAge is the time since the last answer of the store from which on other nodes are
// asked for its era.
const ownEraAge = time.Second

// hasRecorded reports whether this node remembers streams with a record. The caller holds
// the lock.
func (c *Controller) hasRecorded() bool {
	for _, stream := range c.own {
		if stream.recorded {
			return true
		}
	}
	return false
}

// probePeers finds out, while no record could be written, whether another node reaches the
// store again.
func (c *Controller) probePeers(ctx context.Context) {
	c.mu.Lock()
	stuck, pools := c.stuck, slices.Sorted(maps.Keys(c.bases))
	c.mu.Unlock()
	if !stuck || len(pools) == 0 {
		return
	}
	for _, node := range c.peers() {
		var response findResponse
		if err := c.call(ctx, node, methodFind, findRequest{Pool: pools[0], Request: probeRequest}, &response); err != nil {
			continue // The node may be gone; the next one is asked.
		}
		if response.Found {
			c.setStuck(false)
			return
		}
	}
}

// probeRequest is a request that no caller sends: an ID has no spaces.
const probeRequest fleet.RequestID = "probe of records"

// writeByPeer has other nodes write records. It returns the keys of the streams that
// another version began before, and the error of this node's attempt if no node can write.
func (c *Controller) writeByPeer(ctx context.Context, streams []streamWrite, ownErr error) (conflicts []string, err error) {
	for _, node := range c.peers() {
		var response writeResponse
		if err := c.call(ctx, node, methodWrite, writeRequest{Streams: streams}, &response); err != nil {
			continue // The node may be gone as well; the next one is asked.
		}
		if response.Written {
			return response.Conflicts, nil
		}
	}
	return nil, ownErr
}
