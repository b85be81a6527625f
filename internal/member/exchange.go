package member

import (
	"slices"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Tick expires old state and returns the exchanges that are due. It is to be
// called once per interval.
func (v *View) Tick(now time.Time) []Action {
	if gap := now.Sub(v.lastTick); !v.lastTick.IsZero() && gap > pauseIntervals*v.interval {
		v.handlePause(now, gap)
	}
	v.lastTick = now
	if v.firstTick.IsZero() {
		v.firstTick = now
	}
	v.expire(now)
	actions := v.dueLinkExchanges(now)
	for _, target := range v.dueNeighbors() {
		actions = append(actions, v.exchangeWith(now, target))
	}
	return actions
}

// exchangeWith returns an exchange with a neighbour. The message to a suspect
// includes its own record, so that its answer refutes the suspicion.
func (v *View) exchangeWith(now time.Time, target fleet.NodeID) Action {
	message := v.newMessage(now, &v.localQueues, Message{})
	if e, found := v.entries[target]; found && e.Status == Suspect {
		message.Members = append(message.Members, e.Record)
	}
	return Action{To: target, Message: message}
}

const (
	// immediateFanout is the number of neighbours to which an urgent change is
	// sent before the next tick.
	immediateFanout = 3
	// immediateIntervalDivisor bounds the rate of such sends: they are at least
	// 1/immediateIntervalDivisor of an interval apart, so that changes at about the
	// same time are sent together.
	immediateIntervalDivisor = 5
)

// ImmediateActions returns exchanges that are due before the next tick because a node was
// added, its liveness, Leaving or Starting changed, or an urgent fact is new. It returns nil if there is
// no such change or the previous such exchanges are too recent.
func (v *View) ImmediateActions(now time.Time) []Action {
	if !v.immediateDue || now.Sub(v.immediateAt) < v.interval/immediateIntervalDivisor {
		return nil
	}
	v.immediateDue, v.immediateAt = false, now
	neighbors := v.Neighbors()
	actions := make([]Action, 0, immediateFanout)
	for _, target := range neighbors[:min(len(neighbors), immediateFanout)] {
		actions = append(actions, v.exchangeWith(now, target))
	}
	for _, link := range v.links {
		if link.failures == 0 {
			link.next = now
		}
	}
	return append(actions, v.dueLinkExchanges(now)...)
}

// handlePause extends the running suspicions by the length of a pause of this
// process, in which no refutation could be received, and raises the incarnation
// so that the other nodes see that this one is alive.
func (v *View) handlePause(now time.Time, gap time.Duration) {
	v.resumedAt = now
	for _, e := range v.entries {
		if e.Status == Suspect {
			e.changed = e.changed.Add(gap)
		}
	}
	if v.self.Status != Left {
		v.raiseIncarnation(0)
	}
}

// PausedSince reports whether a pause of the process was detected after the given
// time. Failures since then are no evidence against other nodes.
func (v *View) PausedSince(since time.Time) bool { return since.Before(v.resumedAt) }

// nextNeighbor returns the neighbour to exchange a message with: suspects
// first, then the neighbours in turn.
func (v *View) nextNeighbor() (fleet.NodeID, bool) {
	for len(v.suspectsToProbe) > 0 {
		node := v.suspectsToProbe[0]
		v.suspectsToProbe = v.suspectsToProbe[1:]
		if e, found := v.entries[node]; found && e.Status == Suspect {
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

// queuesFor returns the queues of updates for nodes of a region.
func (v *View) queuesFor(region fleet.Region) *updateQueues {
	if region == v.self.Region {
		return &v.localQueues
	}
	return &v.linkTo(region).updateQueues
}

// newMessage returns a message with the next updates of the queues. If it
// answers a request, it omits the updates that the request contained.
func (v *View) newMessage(now time.Time, queues *updateQueues, request Message) Message {
	nodes := make([]fleet.NodeID, len(request.Members))
	for i, record := range request.Members {
		nodes[i] = record.Node
	}
	keys := make([]factKey, len(request.Facts))
	for i, fact := range request.Facts {
		keys[i] = fact.id()
	}
	message := Message{From: v.self.Node, Region: v.self.Region, Digest: v.digest}
	for _, node := range queues.members.take(len(v.entries)+1, nodes) {
		if record, found := v.record(node); found {
			message.Members = append(message.Members, record)
		}
	}
	for _, key := range queues.facts.take(len(v.entries)+1, keys) {
		if fact, found := v.facts[key]; found && now.Before(fact.expires) {
			message.Facts = append(message.Facts, fact.toSend(now))
		}
	}
	if queues.mismatches >= mismatchLimit {
		queues.mismatches = 0
		message.Buckets = slices.Clone(v.bucketDigests[:])
	}
	return message
}

// JoinRequest returns the request by which a node fetches all records from a node
// that it is not in contact with. If the view has the target as suspect, dead or left,
// the request includes that record, so that the target refutes it.
func (v *View) JoinRequest(target fleet.NodeID) Message {
	message := Message{
		From: v.self.Node, Region: v.self.Region, Digest: v.digest,
		Buckets: slices.Clone(v.bucketDigests[:]), Members: []Record{v.self},
	}
	if e, found := v.entries[target]; found && e.Status != Alive {
		message.Members = append(message.Members, e.Record)
	}
	return message
}

// Receive merges a request and returns the answer.
func (v *View) Receive(now time.Time, request Message) Message {
	v.recordMessage(now, request.Region)
	known := v.mergeMessage(now, request)
	reply := v.newMessage(now, v.queuesFor(request.Region), request)
	reply.KnownMembers, reply.KnownFacts, reply.Buckets = known.KnownMembers, known.KnownFacts, nil
	if len(request.Buckets) == digestBuckets {
		reply.Members = v.differingRecords(reply.Members, request.Buckets)
		reply.Buckets = slices.Clone(v.bucketDigests[:])
		if request.Region == v.self.Region {
			reply.Facts = append(reply.Facts, v.unreachableReports(now)...)
		}
	}
	if e, found := v.entries[request.From]; found && !e.live() {
		// The sender is alive despite its record and has to refute it.
		reply.Members = append(reply.Members, e.Record)
	}
	return reply
}

// mergeMessage merges the records and facts of a message and returns the indices
// of those that were known already. A known record in a message counts as
// feedback for that record, since the sender has it too.
func (v *View) mergeMessage(now time.Time, message Message) (known Message) {
	queues := v.queuesFor(message.Region)
	for i, record := range message.Members {
		if v.merge(now, record, message.Region) {
			known.KnownMembers = append(known.KnownMembers, i)
			queues.members.feedback(record.Node)
		}
	}
	for i, fact := range message.Facts {
		// Digests do not cover facts, so only the answers to facts that were sent
		// count as feedback for them.
		if v.mergeFact(now, fact) {
			known.KnownFacts = append(known.KnownFacts, i)
		}
	}
	return known
}

// differingRecords appends the records of the buckets whose digests differ from
// the given ones, except those that are in the list already.
func (v *View) differingRecords(list []Record, sums []uint64) []Record {
	listed := make(map[fleet.NodeID]bool, len(list))
	for _, record := range list {
		listed[record.Node] = true
	}
	for _, record := range v.Records() {
		bucket := bucketOf(record.Node)
		if sums[bucket] != v.bucketDigests[bucket] && !listed[record.Node] {
			list = append(list, record)
		}
	}
	return list
}

// MergeAnswer merges the answer to a message.
func (v *View) MergeAnswer(now time.Time, to fleet.NodeID, request, answer Message) {
	queues := v.queuesFor(answer.Region)
	v.recordMessage(now, answer.Region)
	for _, i := range answer.KnownMembers {
		if i >= 0 && i < len(request.Members) {
			queues.members.feedback(request.Members[i].Node)
		}
	}
	for _, i := range answer.KnownFacts {
		if i >= 0 && i < len(request.Facts) {
			queues.facts.feedback(request.Facts[i].id())
		}
	}
	// The other nodes already have what a node receives when it joins.
	v.suppressSpread = len(v.entries) == 0 && len(request.Buckets) > 0
	v.mergeMessage(now, answer)
	v.suppressSpread = false
	v.queueMissing(queues, answer)
	v.extendSuspicion(now, to)
	switch {
	case answer.Digest == v.digest:
		queues.mismatches = 0
	case len(request.Buckets) == 0:
		queues.mismatches++
	}
}

// recordMessage records that a message of a node of a region was received: the region can be
// reached.
func (v *View) recordMessage(now time.Time, region fleet.Region) {
	if region == v.self.Region {
		v.unanswered = 0
		return
	}
	v.recordLinkResult(now, region, true)
}

// queueMissing queues the records of differing buckets that the answer, which was
// to contain them, lacks or has in an older version.
func (v *View) queueMissing(queues *updateQueues, answer Message) {
	if len(answer.Buckets) != digestBuckets {
		return
	}
	received := make(map[fleet.NodeID]Record, len(answer.Members))
	for _, record := range answer.Members {
		received[record.Node] = record
	}
	for node, e := range v.entries {
		other, found := received[node]
		if bucket := bucketOf(node); answer.Buckets[bucket] != v.bucketDigests[bucket] && (!found || e.overrides(other)) {
			queues.members.add(node)
		}
	}
}

// extendSuspicion restarts the suspicion period of a suspect that has just
// answered this node and queues its record again. The suspicion itself is ended
// only by the suspect's refutation.
func (v *View) extendSuspicion(now time.Time, node fleet.NodeID) {
	e, found := v.entries[node]
	if found && e.Status == Suspect {
		e.changed = now
		v.localQueues.members.add(node)
	}
}

// HandleFailure handles an exchange in which a node answered neither on an open nor on
// a new connection. For a node of another region it returns the next exchanges with that
// region that are due, for one of this region the indirect probes to make. If there is no node
// to probe through, the target becomes a suspect at once.
func (v *View) HandleFailure(now time.Time, to fleet.NodeID, began time.Time) []Action {
	e, found := v.entries[to]
	if !found || v.PausedSince(began) {
		return nil
	}
	if e.Region != v.self.Region {
		v.recordLinkResult(now, e.Region, false)
		return v.dueLinkExchanges(now)
	}
	v.unanswered++
	via := v.intermediates(to)
	if len(via) == 0 {
		v.suspect(now, to)
		return nil
	}
	slices.Sort(via)
	v.random.Shuffle(len(via), func(i, j int) { via[i], via[j] = via[j], via[i] })
	return []Action{{Target: to, Via: via[:min(len(via), indirectProbes)]}}
}

// ProbeResult is the result of one indirect probe.
type ProbeResult int

// Results of an indirect probe.
const (
	// ProbeNoAnswer means that the intermediate node did not answer, which is no
	// evidence about the target.
	ProbeNoAnswer ProbeResult = iota
	// ProbeReached means that the intermediate node reached the target.
	ProbeReached
	// ProbeUnreachable means that it could not reach the target either.
	ProbeUnreachable
)

// HandleProbeResults handles the results of the indirect probes of a target. If no
// intermediate node answered, the fault may be this node's own, and the target is
// not suspected.
func (v *View) HandleProbeResults(now time.Time, target fleet.NodeID, began time.Time, results []ProbeResult) {
	if !v.Isolated() && slices.ContainsFunc(results, func(result ProbeResult) bool { return result != ProbeNoAnswer }) {
		v.unanswered = 0
	}
	if v.PausedSince(began) || slices.Contains(results, ProbeReached) || !slices.Contains(results, ProbeUnreachable) {
		return
	}
	v.suspect(now, target)
}

// suspect makes a live node a suspect, or adds this node to the accusers of one
// that is a suspect already.
func (v *View) suspect(now time.Time, node fleet.NodeID) {
	e, found := v.entries[node]
	switch {
	case !found || !e.live():
	case e.Status == Suspect:
		if v.addAccuser(e, v.self.Node) {
			v.localQueues.members.add(node)
		}
	default:
		record := e.Record
		record.Status, record.Accuser = Suspect, v.self.Node
		v.putRecord(now, record)
	}
}
