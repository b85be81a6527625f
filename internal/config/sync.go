package config

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// Methods of the peer protocol.
const (
	pushMethod    = "config.push"
	groupsMethod  = "config.groups"
	bucketsMethod = "config.buckets"
	entriesMethod = "config.entries"
	confirmMethod = "config.confirm"
)

const (
	// pushFanout is the maximum number of neighbours to which a node pushes a
	// new ticket.
	pushFanout = 4
	// callTimeout is the timeout of a call to another node.
	callTimeout = 2 * time.Second
	// bucketsPerCall is the maximum number of buckets in one request, which
	// limits the size of the answer.
	bucketsPerCall = 32
	// parallelFetches is the maximum number of concurrent calls of one fetch.
	parallelFetches = 4
)

// ticketPush carries the entries of one accepted ticket to another node.
type ticketPush struct {
	Revision Revision `json:"revision"`
	// Region is the region in which the ticket was accepted. Only the accepting
	// node pushes the ticket to other regions, so that it crosses each link
	// between regions once.
	Region  fleet.Region   `json:"region"`
	Entries []ticket.Entry `json:"entries"`
}

type empty struct{}

// publish merges a ticket that this node accepted and pushes it to neighbours
// and to one node of each other region.
func (c *Controller) publish(ctx context.Context, message ticketPush) {
	if !c.mergePush(ctx, message) || c.Membership == nil {
		return
	}
	c.forward(message, c.Membership.LinkTargets())
}

// receivePush handles a ticket pushed by another node.
func (c *Controller) receivePush(ctx context.Context, message ticketPush) (empty, error) {
	c.mergePush(ctx, message)
	return empty{}, nil
}

// mergePush merges a pushed ticket. If the ticket is new to this node, it
// forwards it to neighbours and returns true.
func (c *Controller) mergePush(ctx context.Context, message ticketPush) (isNew bool) {
	c.mu.Lock()
	isNew = message.Revision > c.revision && !c.mergedAhead[message.Revision]
	err := c.mergeEntries(message.Entries)
	if isNew && err == nil {
		c.mergedAhead[message.Revision] = true
		c.advance(c.revision)
	}
	c.mu.Unlock()
	switch {
	case err != nil:
		c.Log.ErrorContext(ctx, "failed to merge pushed ticket", "revision", uint64(message.Revision), "error", err)
		return false
	case !isNew:
		c.counts.pushesKnown.Inc(1)
		return false
	}
	c.counts.pushesFresh.Inc(1)
	if c.Membership != nil {
		neighbors := c.Membership.Neighbors()
		c.forward(message, neighbors[:min(len(neighbors), pushFanout)])
	}
	return true
}

func (c *Controller) forward(message ticketPush, nodes []fleet.NodeID) {
	for _, node := range nodes {
		c.background.Go(func(ctx context.Context) {
			if err := c.call(ctx, node, pushMethod, message, &empty{}); err != nil {
				c.counts.pushesFailed.Inc(1)
			}
		})
	}
}

func (c *Controller) call(ctx context.Context, node fleet.NodeID, method string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.Peers.Call(ctx, node, method, in, out)
}

// groupsAnswer holds the upper level of a node's two-level digest tree and the
// node's stamp.
type groupsAnswer struct {
	Stamp
	Groups []ticket.Digest `json:"groups"`
}

func (c *Controller) answerGroups(context.Context, empty) (groupsAnswer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return groupsAnswer{Stamp: c.currentStamp(), Groups: c.state.GroupDigests()}, nil
}

type bucketsRequest struct {
	Groups []int `json:"groups"`
}

// bucketsAnswer holds the bucket digests of each requested group.
type bucketsAnswer struct {
	Buckets [][]ticket.Digest `json:"buckets"`
}

func (c *Controller) answerBuckets(_ context.Context, request bucketsRequest) (answer bucketsAnswer, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, group := range request.Groups {
		if group < 0 || group >= ticket.Groups {
			return bucketsAnswer{}, errors.Errorf("no digest group %d", group)
		}
		answer.Buckets = append(answer.Buckets, c.state.BucketDigests(group))
	}
	return answer, nil
}

// entriesRequest requests the entries of some buckets that are newer than those
// of the requesting node, whose numbers are in Have.
type entriesRequest struct {
	Buckets []int                         `json:"buckets"`
	Have    map[string]fleet.TicketNumber `json:"have,omitempty"`
}

type entriesAnswer struct {
	Entries compressedEntries `json:"entries"`
}

func (c *Controller) answerEntries(_ context.Context, request entriesRequest) (answer entriesAnswer, err error) {
	if len(request.Buckets) == 0 || len(request.Buckets) > bucketsPerCall {
		return entriesAnswer{}, errors.Errorf("%d buckets asked for, allowed are 1 to %d", len(request.Buckets), bucketsPerCall)
	}
	answer.Entries, err = compressEntries(c.newerEntries(request))
	return answer, err
}

// newerEntries returns the entries that the requesting node lacks.
func (c *Controller) newerEntries(request entriesRequest) []ticket.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []ticket.Entry
	for _, entry := range c.state.Entries(request.Buckets...) {
		if entry.Number > request.Have[entry.String()] {
			list = append(list, entry)
		}
	}
	return list
}

// fetch merges the entries that another node has and this one lacks. Only one
// fetch runs at a time; while one is running the call does nothing, and a later
// stamp triggers the next.
func (c *Controller) fetch(ctx context.Context, from fleet.NodeID) {
	if !c.fetching.CompareAndSwap(false, true) {
		return
	}
	defer c.fetching.Store(false)
	c.counts.fetches.Inc(1)
	if err := c.fetchFrom(ctx, from); err != nil && ctx.Err() == nil {
		c.counts.fetchesFailed.Inc(1)
	}
}

func (c *Controller) fetchFrom(ctx context.Context, from fleet.NodeID) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "fetch the configuration from %s", from)
		}
	}()
	began := time.Now()
	var groups groupsAnswer
	if err := c.call(ctx, from, groupsMethod, empty{}, &groups); err != nil {
		return err
	}
	differing, err := c.differingBuckets(ctx, from, groups.Groups)
	if err != nil {
		return err
	}
	if err := c.fetchBuckets(ctx, from, differing); err != nil {
		return err
	}
	// The other node had merged every ticket up to its revision before it
	// answered, and all entries that differed are merged here now.
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(groups.Revision)
	c.loaded = c.loaded || groups.Loaded
	c.recordContact(began)
	return nil
}

// fetchBuckets fetches and merges the newer entries of buckets in concurrent
// calls.
func (c *Controller) fetchBuckets(ctx context.Context, from fleet.NodeID, differing []int) error {
	calls, ctx := errgroup.WithContext(ctx)
	calls.SetLimit(parallelFetches)
	for part := range slices.Chunk(differing, bucketsPerCall) {
		calls.Go(func() error {
			var answer entriesAnswer
			if err := c.call(ctx, from, entriesMethod, c.newEntriesRequest(part), &answer); err != nil {
				return err
			}
			entries, err := answer.Entries.decompress()
			if err != nil {
				return err
			}
			return c.merge(entries, 0)
		})
	}
	return calls.Wait()
}

// differingBuckets returns the indices of the buckets whose digests differ
// between the two nodes.
func (c *Controller) differingBuckets(
	ctx context.Context, from fleet.NodeID, groups []ticket.Digest,
) (differing []int, err error) {
	c.mu.Lock()
	request := bucketsRequest{Groups: differences(c.state.GroupDigests(), groups)}
	c.mu.Unlock()
	if len(request.Groups) == 0 {
		return nil, nil
	}
	var answer bucketsAnswer
	if err := c.call(ctx, from, bucketsMethod, request, &answer); err != nil {
		return nil, err
	}
	if len(answer.Buckets) != len(request.Groups) {
		return nil, errors.Errorf("received digests of %d groups, requested %d", len(answer.Buckets), len(request.Groups))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, group := range request.Groups {
		for _, bucket := range differences(c.state.BucketDigests(group), answer.Buckets[i]) {
			differing = append(differing, group*ticket.BucketsPerGroup+bucket)
		}
	}
	return differing, nil
}

// differences returns the indices at which two lists of digests differ.
func differences(own, other []ticket.Digest) []int {
	var list []int
	for i := range own {
		if i < len(other) && own[i] != other[i] {
			list = append(list, i)
		}
	}
	return list
}

func (c *Controller) newEntriesRequest(buckets []int) entriesRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	request := entriesRequest{Buckets: buckets, Have: make(map[string]fleet.TicketNumber)}
	for _, entry := range c.state.Entries(buckets...) {
		request.Have[entry.String()] = entry.Number
	}
	return request
}
