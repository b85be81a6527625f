package member

import (
	"slices"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Tick returns what to send. It is to be called once per interval.
func (v *View) Tick(now time.Time) []Action {
	if gap := now.Sub(v.lastTick); !v.lastTick.IsZero() && gap > pauseIntervals*v.interval {
		v.wake(now, gap)
	}
	v.lastTick = now
	if v.firstTick.IsZero() {
		v.firstTick = now
	}
	v.expire(now)
	actions := v.tickAcross(now)
	if target, found := v.nextNeighbor(); found {
		actions = append(actions, v.exchangeWith(now, target))
	}
	return actions
}

// exchangeWith returns the message to a neighbour. A suspect is told that it
// is one, so that its answer refutes it.
func (v *View) exchangeWith(now time.Time, target fleet.NodeID) Action {
	message := v.message(now, &v.near, Message{})
	if held, found := v.entries[target]; found && held.Status == Suspect {
		message.Members = append(message.Members, held.Record)
	}
	return Action{To: target, Message: message}
}

const (
	// hurryFanout is the number of neighbours that are told of a change at
	// once.
	hurryFanout = 3
	// hurryShare of an interval is the least time between two such tellings, so
	// that many changes at once go together.
	hurryShare = 5
)

// Hurry returns messages that are not to wait for the next tick, because a
// node has come, is leaving or is gone.
func (v *View) Hurry(now time.Time) []Action {
	if !v.hurry || now.Sub(v.hurriedAt) < v.interval/hurryShare {
		return nil
	}
	v.hurry, v.hurriedAt = false, now
	neighbors := v.Neighbors()
	actions := make([]Action, 0, hurryFanout)
	for _, target := range neighbors[:min(len(neighbors), hurryFanout)] {
		actions = append(actions, v.exchangeWith(now, target))
	}
	for _, crossing := range v.across {
		if crossing.failures == 0 {
			crossing.next = now
		}
	}
	return append(actions, v.tickAcross(now)...)
}

// wake keeps a pause of this process from counting against others, and tells
// them that it is there.
func (v *View) wake(now time.Time, gap time.Duration) {
	v.wokeAt = now
	for _, held := range v.entries {
		if held.Status == Suspect {
			held.changed = held.changed.Add(gap)
		}
	}
	if v.self.Status != Left {
		v.raise(0)
	}
}

// Paused reports whether the process was paused after the given time, so that
// what failed since then says nothing about others.
func (v *View) Paused(since time.Time) bool { return since.Before(v.wokeAt) }

// nextNeighbor returns the neighbour to exchange a message with: suspects
// first, then each in turn.
func (v *View) nextNeighbor() (fleet.NodeID, bool) {
	for len(v.urgent) > 0 {
		node := v.urgent[0]
		v.urgent = v.urgent[1:]
		if held, found := v.entries[node]; found && held.Status == Suspect {
			return node, true
		}
	}
	neighbors := v.Neighbors()
	if len(neighbors) == 0 {
		return "", false
	}
	v.cursor++
	return neighbors[v.cursor%len(neighbors)], true
}

// channelTo returns what is to be told to nodes of a region.
func (v *View) channelTo(region fleet.Region) *channel {
	if region == v.self.Region {
		return &v.near
	}
	return &v.crossingTo(region).channel
}

// message returns a message with the next rumors of the channel. If it answers
// a request it does not repeat what that told.
func (v *View) message(now time.Time, channel *channel, request Message) Message {
	nodes := make([]fleet.NodeID, len(request.Members))
	for i, record := range request.Members {
		nodes[i] = record.Node
	}
	keys := make([]factKey, len(request.Facts))
	for i, fact := range request.Facts {
		keys[i] = fact.id()
	}
	message := Message{From: v.self.Node, Region: v.self.Region, Digest: v.total}
	for _, node := range channel.members.take(len(v.entries)+1, nodes) {
		if record, found := v.record(node); found {
			message.Members = append(message.Members, record)
		}
	}
	for _, key := range channel.facts.take(len(v.entries)+1, keys) {
		if fact, found := v.facts[key]; found && now.Before(fact.expires) {
			fact.TTLMillis = fact.expires.Sub(now).Milliseconds()
			message.Facts = append(message.Facts, fact)
		}
	}
	if channel.differing >= mismatches {
		channel.differing = 0
		message.Buckets = slices.Clone(v.sums[:])
	}
	return message
}

// Join returns the message by which a node asks one that it has no contact
// with for everything. If it believes that one to be dead it says so, to be
// refuted.
func (v *View) Join(target fleet.NodeID) Message {
	message := Message{
		From: v.self.Node, Region: v.self.Region, Digest: v.total,
		Buckets: slices.Clone(v.sums[:]), Members: []Record{v.self},
	}
	if held, found := v.entries[target]; found && held.Status != Alive {
		message.Members = append(message.Members, held.Record)
	}
	return message
}

// Receive takes in a message and returns the answer.
func (v *View) Receive(now time.Time, request Message) Message {
	answer := v.takeIn(now, request)
	reply := v.message(now, v.channelTo(request.Region), request)
	reply.KnownMembers, reply.KnownFacts, reply.Buckets = answer.KnownMembers, answer.KnownFacts, nil
	if len(request.Buckets) == digestBuckets {
		reply.Members = v.differingRecords(reply.Members, request.Buckets)
		reply.Buckets = slices.Clone(v.sums[:])
	}
	if held, found := v.entries[request.From]; found && !held.live() {
		// The sender is there after all and has to refute.
		reply.Members = append(reply.Members, held.Record)
	}
	return reply
}

// takeIn merges what a message tells and returns the indices of what was known.
// That another node tells what is known here is as good as its word that it
// knows it.
func (v *View) takeIn(now time.Time, message Message) (known Message) {
	channel := v.channelTo(message.Region)
	for i, record := range message.Members {
		if v.merge(now, record, message.Region) {
			known.KnownMembers = append(known.KnownMembers, i)
			channel.members.feedback(record.Node)
		}
	}
	for i, fact := range message.Facts {
		// No digest repairs facts, so only what was told counts for them.
		if v.mergeFact(now, fact) {
			known.KnownFacts = append(known.KnownFacts, i)
		}
	}
	return known
}

// differingRecords appends the records of the buckets whose digest differs.
func (v *View) differingRecords(list []Record, sums []uint64) []Record {
	listed := make(map[fleet.NodeID]bool, len(list))
	for _, record := range list {
		listed[record.Node] = true
	}
	for _, record := range v.Records() {
		bucket := bucketOf(record.Node)
		if sums[bucket] != v.sums[bucket] && !listed[record.Node] {
			list = append(list, record)
		}
	}
	return list
}

// Answered takes in the answer to a message.
func (v *View) Answered(now time.Time, to fleet.NodeID, request, answer Message) {
	channel := v.channelTo(answer.Region)
	if answer.Region != v.self.Region {
		v.crossed(now, answer.Region, true)
	}
	for _, i := range answer.KnownMembers {
		if i >= 0 && i < len(request.Members) {
			channel.members.feedback(request.Members[i].Node)
		}
	}
	for _, i := range answer.KnownFacts {
		if i >= 0 && i < len(request.Facts) {
			channel.facts.feedback(request.Facts[i].id())
		}
	}
	// What a node learns when it joins is no news to the others.
	v.quiet = len(v.entries) == 0 && len(request.Buckets) > 0
	v.takeIn(now, answer)
	v.quiet = false
	v.tellMissing(channel, answer)
	v.reached(now, to)
	switch {
	case answer.Digest == v.total:
		channel.differing = 0
	case len(request.Buckets) == 0:
		channel.differing++
	}
}

// tellMissing queues the records that the other node, which was asked for the
// differing buckets, did not have.
func (v *View) tellMissing(channel *channel, answer Message) {
	if len(answer.Buckets) != digestBuckets {
		return
	}
	has := make(map[fleet.NodeID]Record, len(answer.Members))
	for _, record := range answer.Members {
		has[record.Node] = record
	}
	for node, held := range v.entries {
		other, found := has[node]
		if bucket := bucketOf(node); answer.Buckets[bucket] != v.sums[bucket] && (!found || held.overrides(other)) {
			channel.members.add(node)
		}
	}
}

// reached ends a suspicion that this node itself raised against a node that
// has answered it since. Others are refuted by the suspect.
func (v *View) reached(now time.Time, node fleet.NodeID) {
	held, found := v.entries[node]
	if found && held.Status == Suspect {
		held.changed = now
		v.near.members.add(node)
	}
}

// Failed takes in that a node did not answer, neither on an open nor on a new
// connection.
func (v *View) Failed(now time.Time, to fleet.NodeID, began time.Time) []Action {
	held, found := v.entries[to]
	if !found || v.Paused(began) {
		return nil
	}
	if held.Region != v.self.Region {
		v.crossed(now, held.Region, false)
		return nil
	}
	via := slices.DeleteFunc(v.inRegion(v.self.Region), func(node fleet.NodeID) bool { return node == to })
	if len(via) == 0 {
		for _, region := range v.regions() {
			via = append(via, v.targetIn(region))
		}
	}
	if len(via) == 0 {
		v.suspect(now, to)
		return nil
	}
	slices.Sort(via)
	v.random.Shuffle(len(via), func(i, j int) { via[i], via[j] = via[j], via[i] })
	return []Action{{Target: to, Via: via[:min(len(via), indirectProbes)]}}
}

// Probe is the result of one indirect probe.
type Probe int

// Results of an indirect probe.
const (
	// ProbeSilent says that the node asked gave no answer, which tells nothing
	// about the target.
	ProbeSilent Probe = iota
	// ProbeReached says that it reached the target.
	ProbeReached
	// ProbeUnreachable says that it could not reach the target either.
	ProbeUnreachable
)

// Probed takes in the results of the indirect probes of a target. Without an
// answer from anyone the fault may be this node's own, and nobody is accused.
func (v *View) Probed(now time.Time, target fleet.NodeID, began time.Time, results []Probe) {
	if v.Paused(began) || slices.Contains(results, ProbeReached) || !slices.Contains(results, ProbeUnreachable) {
		return
	}
	v.suspect(now, target)
}

// suspect accuses a node of being unreachable.
func (v *View) suspect(now time.Time, node fleet.NodeID) {
	held, found := v.entries[node]
	switch {
	case !found || !held.live():
	case held.Status == Suspect:
		if v.accuse(held, v.self.Node) {
			v.near.members.add(node)
		}
	default:
		record := held.Record
		record.Status, record.Accuser = Suspect, v.self.Node
		v.put(now, record)
	}
}
