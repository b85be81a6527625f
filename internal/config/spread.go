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

// Methods between nodes.
const (
	pushMethod    = "config.push"
	groupsMethod  = "config.groups"
	bucketsMethod = "config.buckets"
	entriesMethod = "config.entries"
	confirmMethod = "config.confirm"
)

const (
	// pushFanout is the number of neighbours to which a ticket is handed.
	pushFanout = 4
	// callTimeout bounds a call to another node.
	callTimeout = 2 * time.Second
	// bucketsPerCall bounds the entries in one answer.
	bucketsPerCall = 32
	// parallelFetches bounds the calls of one fetch at once.
	parallelFetches = 4
)

// push hands the entries of one ticket on.
type push struct {
	Revision Revision `json:"revision"`
	// Region is where the ticket was accepted. Only the accepting node hands
	// it to other regions, so that it crosses each link once.
	Region  fleet.Region   `json:"region"`
	Entries []ticket.Entry `json:"entries"`
}

type nothing struct{}

// announce merges an accepted ticket and hands it on.
func (c *Controller) announce(ctx context.Context, message push) {
	if !c.take(ctx, message) || c.Group == nil {
		return
	}
	c.handOn(message, c.Group.Across())
}

// receivePush takes in a ticket that another node hands on.
func (c *Controller) receivePush(ctx context.Context, message push) (nothing, error) {
	c.take(ctx, message)
	return nothing{}, nil
}

// take merges a ticket and hands it to the neighbours if it is new here.
func (c *Controller) take(ctx context.Context, message push) (fresh bool) {
	c.mu.Lock()
	fresh = message.Revision > c.revision && !c.ahead[message.Revision]
	err := c.mergeEntries(message.Entries)
	if fresh && err == nil {
		c.ahead[message.Revision] = true
		c.advance(c.revision)
	}
	c.mu.Unlock()
	switch {
	case err != nil:
		c.Log.ErrorContext(ctx, "ticket can't be merged", "revision", uint64(message.Revision), "error", err)
		return false
	case !fresh:
		c.counts.pushesKnown.Inc(1)
		return false
	}
	c.counts.pushesFresh.Inc(1)
	if c.Group != nil {
		neighbors := c.Group.Neighbors()
		c.handOn(message, neighbors[:min(len(neighbors), pushFanout)])
	}
	return true
}

func (c *Controller) handOn(message push, nodes []fleet.NodeID) {
	for _, node := range nodes {
		c.background.Go(func(ctx context.Context) {
			if err := c.call(ctx, node, pushMethod, message, &nothing{}); err != nil {
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

// groupsAnswer is the upper level of a node's digests.
type groupsAnswer struct {
	Stamp
	Groups []ticket.Digest `json:"groups"`
}

func (c *Controller) answerGroups(context.Context, nothing) (groupsAnswer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return groupsAnswer{Stamp: c.stamp(), Groups: c.state.GroupDigests()}, nil
}

type bucketsRequest struct {
	Groups []int `json:"groups"`
}

// bucketsAnswer holds the lower digests of each group asked for.
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

// entriesRequest asks for the entries of some buckets that are newer than
// those that the asking node has.
type entriesRequest struct {
	Buckets []int                         `json:"buckets"`
	Have    map[string]fleet.TicketNumber `json:"have,omitempty"`
}

type entriesAnswer struct {
	Entries packed `json:"entries"`
}

func (c *Controller) answerEntries(_ context.Context, request entriesRequest) (answer entriesAnswer, err error) {
	if len(request.Buckets) == 0 || len(request.Buckets) > bucketsPerCall {
		return entriesAnswer{}, errors.Errorf("%d buckets asked for, allowed are 1 to %d", len(request.Buckets), bucketsPerCall)
	}
	answer.Entries, err = pack(c.newerEntries(request))
	return answer, err
}

// newerEntries returns the entries that the asking node lacks.
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

// fetch merges what another node has and this one lacks. One fetch runs at a
// time; the next stamp starts another.
func (c *Controller) fetch(ctx context.Context, from fleet.NodeID) {
	if !c.syncing.CompareAndSwap(false, true) {
		return
	}
	defer c.syncing.Store(false)
	c.counts.fetches.Inc(1)
	if err := c.fetchFrom(ctx, from); err != nil && ctx.Err() == nil {
		c.counts.fetchesFailed.Inc(1)
	}
}

func (c *Controller) fetchFrom(ctx context.Context, from fleet.NodeID) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "configuration of %s", from)
		}
	}()
	began := time.Now()
	var groups groupsAnswer
	if err := c.call(ctx, from, groupsMethod, nothing{}, &groups); err != nil {
		return err
	}
	differing, err := c.differingBuckets(ctx, from, groups.Groups)
	if err != nil {
		return err
	}
	if err := c.fetchBuckets(ctx, from, differing); err != nil {
		return err
	}
	// The other node had merged everything up to its revision before it
	// answered, and all that was different since then is merged here.
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(groups.Revision)
	c.known = c.known || groups.Known
	c.touch(began)
	return nil
}

// fetchBuckets merges the newer entries of buckets, a few calls at once.
func (c *Controller) fetchBuckets(ctx context.Context, from fleet.NodeID, differing []int) error {
	calls, ctx := errgroup.WithContext(ctx)
	calls.SetLimit(parallelFetches)
	for part := range slices.Chunk(differing, bucketsPerCall) {
		calls.Go(func() error {
			var answer entriesAnswer
			if err := c.call(ctx, from, entriesMethod, c.entriesRequest(part), &answer); err != nil {
				return err
			}
			entries, err := answer.Entries.unpack()
			if err != nil {
				return err
			}
			return c.merge(entries, 0)
		})
	}
	return calls.Wait()
}

// differingBuckets returns the buckets in which the nodes' digests differ.
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
		return nil, errors.Errorf("digests of %d groups, asked for %d", len(answer.Buckets), len(request.Groups))
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

// differences returns the indices at which two lists differ.
func differences(own, other []ticket.Digest) []int {
	var list []int
	for i := range own {
		if i < len(other) && own[i] != other[i] {
			list = append(list, i)
		}
	}
	return list
}

func (c *Controller) entriesRequest(buckets []int) entriesRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	request := entriesRequest{Buckets: buckets, Have: make(map[string]fleet.TicketNumber)}
	for _, entry := range c.state.Entries(buckets...) {
		request.Have[entry.String()] = entry.Number
	}
	return request
}
