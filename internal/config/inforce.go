package config

import (
	"context"
	"sync"

	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Confirmation says whether a node has a ticket in force.
type Confirmation string

// Confirmations of a node.
const (
	// Confirmed says that the node has merged the ticket.
	Confirmed Confirmation = "confirmed"
	// Waiting says that the node is live and has not confirmed yet.
	Waiting Confirmation = "waiting"
	// CutOff says that the node's region can't be reached. It serves what it
	// had, and the ticket is not in force there.
	CutOff Confirmation = "cutOff"
	// OutOfService says that the node is gone or can't be reached by any
	// other node of its region, so that it takes no new work.
	OutOfService Confirmation = "outOfService"
)

// Recorder is a [Group] that also knows the nodes that are not live.
type Recorder interface {
	Records() []member.Record
}

var _ Recorder = (*member.Controller)(nil)

// MemberState is one node's confirmation of a revision.
type MemberState struct {
	Node     fleet.NodeID `json:"node"`
	Region   fleet.Region `json:"region"`
	State    Confirmation `json:"state"`
	Revision Revision     `json:"revision"`
}

// Settled reports whether the node has the ticket in force or takes no new
// work.
func (s MemberState) Settled() bool { return s.State == Confirmed || s.State == OutOfService }

const (
	// confirmGroup is the number of nodes that are asked directly. Beyond it
	// nodes are asked in groups of that size through one of each group, so
	// that no node makes more than about the square root of the members' calls.
	confirmGroup = 24
	// confirmParallel bounds the calls at once.
	confirmParallel = 12
)

// InForce returns what is known of each live member's confirmation. The
// revision is in force everywhere once each of them is settled.
func (c *Controller) InForce(revision Revision) []MemberState {
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
		state := MemberState{Node: info.Node, Region: info.Region, State: Waiting, Revision: c.confirmed[info.Node]}
		if info.Node == c.Node {
			state.Revision = c.revision
		}
		if state.Revision >= revision {
			state.State = Confirmed
		}
		list = append(list, state)
	}
	for _, state := range others {
		state.Revision = c.confirmed[state.Node]
		list = append(list, state)
	}
	return list
}

// notLive returns the states of the nodes that are known and not live, without
// those that left.
func (c *Controller) notLive(members []member.Info) []MemberState {
	recorder, ok := c.Group.(Recorder)
	if !ok {
		return nil
	}
	live := make(map[fleet.NodeID]bool, len(members))
	for _, info := range members {
		live[info.Node] = true
	}
	var list []MemberState
	for _, record := range recorder.Records() {
		state := MemberState{Node: record.Node, Region: record.Region, State: CutOff}
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

// Watch asks the live members that have not confirmed the revision and returns
// the states of all.
func (c *Controller) Watch(ctx context.Context, revision Revision) []MemberState {
	var waiting []fleet.NodeID
	for _, state := range c.InForce(revision) {
		if state.State == Waiting && state.Node != c.Node {
			waiting = append(waiting, state.Node)
		}
	}
	if c.Peers != nil {
		c.ask(ctx, waiting)
	}
	return c.InForce(revision)
}

// confirmRequest asks a node for its revision and those of other nodes.
type confirmRequest struct {
	Nodes []fleet.NodeID `json:"nodes,omitempty"`
}

type confirmAnswer struct {
	Revisions map[fleet.NodeID]Revision `json:"revisions"`
}

// answerConfirm returns the node's own revision and those of the nodes that it
// was told to ask.
func (c *Controller) answerConfirm(ctx context.Context, request confirmRequest) (confirmAnswer, error) {
	if len(request.Nodes) > confirmGroup {
		request.Nodes = request.Nodes[:confirmGroup]
	}
	c.ask(ctx, request.Nodes)
	answer := confirmAnswer{Revisions: map[fleet.NodeID]Revision{c.Node: c.Revision()}}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, node := range request.Nodes {
		if revision, found := c.confirmed[node]; found {
			answer.Revisions[node] = revision
		}
	}
	return answer, nil
}

// ask learns the revisions of nodes.
func (c *Controller) ask(ctx context.Context, nodes []fleet.NodeID) {
	size := 1
	if len(nodes) > confirmGroup {
		size = confirmGroup
	}
	var asked sync.WaitGroup
	slots := make(chan struct{}, confirmParallel)
	for len(nodes) > 0 {
		part := nodes[:min(size, len(nodes))]
		nodes = nodes[len(part):]
		slots <- struct{}{}
		asked.Go(func() {
			defer func() { <-slots }()
			c.askOne(ctx, part[0], part[1:])
		})
	}
	asked.Wait()
}

func (c *Controller) askOne(ctx context.Context, node fleet.NodeID, others []fleet.NodeID) {
	var answer confirmAnswer
	if err := c.call(ctx, node, confirmMethod, confirmRequest{Nodes: others}, &answer); err != nil {
		c.counts.asksFailed.Inc(1)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for asked, revision := range answer.Revisions {
		c.confirmed[asked] = max(c.confirmed[asked], revision)
	}
}
