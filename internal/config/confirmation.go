package config

import (
	"context"
	"sync"

	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Confirmation is the state of a ticket on one node.
type Confirmation string

// Values of Confirmation.
const (
	// Confirmed means that the node has merged the ticket.
	Confirmed Confirmation = "confirmed"
	// Waiting means that the node is live and has not confirmed the ticket yet.
	Waiting Confirmation = "waiting"
	// RegionUnreachable means that the node's region is unreachable. The region
	// continues to serve with its previous configuration, without the ticket.
	RegionUnreachable Confirmation = "cutOff"
	// OutOfService means that the node has ended or is unreachable from every
	// other node of its region, and therefore accepts no new work.
	OutOfService Confirmation = "outOfService"
)

// RecordLister is implemented by a [Membership] that also lists nodes that are
// not live.
type RecordLister interface {
	Records() []member.Record
}

var _ RecordLister = (*member.Controller)(nil)

// MemberState is the state of a revision on one node.
type MemberState struct {
	Node     fleet.NodeID `json:"node"`
	Region   fleet.Region `json:"region"`
	State    Confirmation `json:"state"`
	Revision Revision     `json:"revision"`
}

// Settled reports whether the node has merged the ticket or accepts no new work,
// so that it no longer acts on the previous configuration.
func (s MemberState) Settled() bool { return s.State == Confirmed || s.State == OutOfService }

const (
	// confirmGroupSize is the maximum number of nodes that are queried directly.
	// More nodes are queried in groups of that size through one node of each
	// group, so that the number of calls that one node makes stays at about the
	// square root of the number of members.
	confirmGroupSize = 24
	// maxParallelConfirms is the maximum number of concurrent calls.
	maxParallelConfirms = 12
)

// MemberStates returns the state of a revision on each member and on other nodes
// that have not left, as far as this node has received it. The revision is in
// force everywhere once all of them are settled.
func (c *Controller) MemberStates(revision Revision) []MemberState {
	c.init()
	members := c.members()
	others := c.notLive(members)
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]MemberState, 0, len(members)+len(others)+1)
	if len(members) == 0 {
		members = []member.Info{{Node: c.Node, Place: fleet.Place{Region: c.Region}}}
	}
	for _, info := range members {
		state := MemberState{Node: info.Node, Region: info.Region, State: Waiting, Revision: c.confirmedRevisions[info.Node]}
		if info.Node == c.Node {
			state.Revision = c.revision
		}
		if state.Revision >= revision {
			state.State = Confirmed
		}
		list = append(list, state)
	}
	for _, state := range others {
		state.Revision = c.confirmedRevisions[state.Node]
		list = append(list, state)
	}
	return list
}

// notLive returns the states of the recorded nodes that are not live, except
// those that have left.
func (c *Controller) notLive(members []member.Info) []MemberState {
	lister, ok := c.Membership.(RecordLister)
	if !ok {
		return nil
	}
	live := make(map[fleet.NodeID]bool, len(members))
	for _, info := range members {
		live[info.Node] = true
	}
	var list []MemberState
	for _, record := range lister.Records() {
		state := MemberState{Node: record.Node, Region: record.Region, State: RegionUnreachable}
		switch {
		case live[record.Node] || record.Status == member.Left:
			continue
		case record.Status == member.Dead:
			state.State = OutOfService
		}
		list = append(list, state)
	}
	return list
}

// QueryMemberStates queries the live members that have not confirmed the
// revision, and returns the states of all nodes as MemberStates does.
func (c *Controller) QueryMemberStates(ctx context.Context, revision Revision) []MemberState {
	var waiting []fleet.NodeID
	for _, state := range c.MemberStates(revision) {
		if state.State == Waiting && state.Node != c.Node {
			waiting = append(waiting, state.Node)
		}
	}
	if c.Peers != nil {
		c.queryRevisions(ctx, waiting)
	}
	return c.MemberStates(revision)
}

// confirmRequest requests a node's revision and, through it, those of other
// nodes.
type confirmRequest struct {
	Nodes []fleet.NodeID `json:"nodes,omitempty"`
}

type confirmAnswer struct {
	Revisions map[fleet.NodeID]Revision `json:"revisions"`
}

// answerConfirm returns this node's revision and those of the requested nodes,
// which it queries first.
func (c *Controller) answerConfirm(ctx context.Context, request confirmRequest) (confirmAnswer, error) {
	if len(request.Nodes) > confirmGroupSize {
		request.Nodes = request.Nodes[:confirmGroupSize]
	}
	c.queryRevisions(ctx, request.Nodes)
	answer := confirmAnswer{Revisions: map[fleet.NodeID]Revision{c.Node: c.Revision()}}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, node := range request.Nodes {
		if revision, found := c.confirmedRevisions[node]; found {
			answer.Revisions[node] = revision
		}
	}
	return answer, nil
}

// queryRevisions queries nodes for their revisions and stores them.
func (c *Controller) queryRevisions(ctx context.Context, nodes []fleet.NodeID) {
	size := 1
	if len(nodes) > confirmGroupSize {
		size = confirmGroupSize
	}
	var queries sync.WaitGroup
	slots := make(chan struct{}, maxParallelConfirms)
	for len(nodes) > 0 {
		part := nodes[:min(size, len(nodes))]
		nodes = nodes[len(part):]
		slots <- struct{}{}
		queries.Go(func() {
			defer func() { <-slots }()
			c.queryNode(ctx, part[0], part[1:])
		})
	}
	queries.Wait()
}

func (c *Controller) queryNode(ctx context.Context, node fleet.NodeID, others []fleet.NodeID) {
	var answer confirmAnswer
	if err := c.call(ctx, node, confirmMethod, confirmRequest{Nodes: others}, &answer); err != nil {
		c.counts.asksFailed.Inc(1)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for node, revision := range answer.Revisions {
		c.confirmedRevisions[node] = max(c.confirmedRevisions[node], revision)
	}
}
