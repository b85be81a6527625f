package member

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

const (
	// digestBuckets is the number of buckets in which the records of views are compared.
	digestBuckets = 16
	// indirectProbes is the number of intermediate nodes that are asked to probe a
	// node that did not answer.
	indirectProbes = 3
	// maxAccusers is the number of accusers with which a suspicion period is shortest.
	maxAccusers = 3
	// minSuspicionIntervals and maxSuspicionIntervals are the lengths of the
	// suspicion period with all accusers and with a single one.
	minSuspicionIntervals = 4
	maxSuspicionIntervals = 12
	// pauseIntervals is the number of intervals without a tick after which the
	// process is taken to have been paused.
	pauseIntervals = 3
	// mismatchLimit is the number of consecutive exchanges with different digests
	// after which the records of differing buckets are fetched.
	mismatchLimit = 4
	// deadRetention is how long the records of nodes that are dead or have left are kept.
	deadRetention = 10 * time.Minute
)

// Action is an exchange or a set of indirect probes to be made by the controller.
type Action struct {
	// To is the node to exchange Message with, unless Target is set.
	To      fleet.NodeID
	Message Message
	// Target, if set, is a node that each of Via is asked to probe.
	Target fleet.NodeID
	Via    []fleet.NodeID
}

// entry is the state of one other node in the view.
type entry struct {
	Record
	// accusers are the nodes that reported a suspect as unreachable.
	accusers []fleet.NodeID
	// changed is when the record was last replaced. It is moved forward to extend a suspicion.
	changed time.Time
}

// View is one node's view of the members and of the facts that they publish.
// Its methods take the current time and return the actions to execute. They do no
// I/O and must not be called concurrently.
type View struct {
	interval time.Duration
	random   *rand.Rand
	self     Record
	entries  map[fleet.NodeID]*entry
	facts    map[factKey]Fact

	bucketDigests [digestBuckets]uint64
	digest        uint64

	// version counts the changes of records. derived and live are computed anew
	// when it has changed.
	version uint64
	derived derivedLists
	live    memberList
	healthy memberList

	localQueues updateQueues
	links       map[fleet.Region]*regionLink

	neighbors       []fleet.NodeID
	neighborsStale  bool // neighbors must be recomputed
	cursor          int
	unanswered      int            // failed exchanges with this region since a message was received from it
	suspectsToProbe []fleet.NodeID // suspects to exchange messages with next

	immediateDue      bool // a change is to be sent before the next tick
	immediateAt       time.Time
	suppressSpread    bool // records merged now are not queued for sending
	firstTick         time.Time
	lastTick          time.Time
	resumedAt         time.Time
	expiredSuspicions int
}

// NewView returns a view that contains only the node itself.
func NewView(self Info, interval time.Duration, random *rand.Rand) *View {
	v := &View{
		interval:       interval,
		random:         random,
		self:           Record{Info: self, Incarnation: 1, Status: Alive},
		entries:        make(map[fleet.NodeID]*entry),
		facts:          make(map[factKey]Fact),
		links:          make(map[fleet.Region]*regionLink),
		neighborsStale: true,
	}
	v.addToDigest(v.self, 1)
	v.localQueues.members.add(self.Node)
	return v
}

// addToDigest adds a record to the digests, or removes it if sign is negative.
func (v *View) addToDigest(record Record, sign int) {
	v.version++
	hash := record.hash()
	if sign < 0 {
		hash = -hash
	}
	v.bucketDigests[bucketOf(record.Node)] += hash
	v.digest += hash
}

// raiseIncarnation gives the node's own record an incarnation higher than its
// current one and the given one, and queues it.
func (v *View) raiseIncarnation(above uint64) {
	v.addToDigest(v.self, -1)
	v.self.Incarnation = max(v.self.Incarnation, above) + 1
	v.addToDigest(v.self, 1)
	v.queueRecord(v.self)
}

// queueRecord queues a record for the neighbours and, if its node is in this
// region, for the other regions that this node has links to.
func (v *View) queueRecord(record Record) {
	if v.suppressSpread && record.Node != v.self.Node {
		return
	}
	v.localQueues.members.add(record.Node)
	if record.Region != v.self.Region {
		return
	}
	for _, link := range v.links {
		link.members.add(record.Node)
	}
}

// AnnounceStarted announces that the node has started and can be returned to callers.
func (v *View) AnnounceStarted() {
	if !v.self.Starting || v.self.Status == Left {
		return
	}
	v.self.Starting, v.immediateDue, v.immediateAt = false, true, time.Time{}
	v.raiseIncarnation(0)
}

// AnnounceCutOff announces that the node reaches no backend server, or that it does again.
func (v *View) AnnounceCutOff(cutOff bool) {
	if v.self.CutOff == cutOff || v.self.Status == Left {
		return
	}
	v.self.CutOff, v.immediateDue, v.immediateAt = cutOff, true, time.Time{}
	v.raiseIncarnation(0)
}

// AnnounceLeaving announces that the node drains, or that it has left if left is set.
func (v *View) AnnounceLeaving(left bool) {
	v.self.Leaving, v.immediateDue, v.immediateAt = true, true, time.Time{}
	if left {
		v.addToDigest(v.self, -1)
		v.self.Status = Left
		v.queueRecord(v.self)
		return
	}
	v.raiseIncarnation(0)
}

// record returns the record of a node, which may be this node itself.
func (v *View) record(node fleet.NodeID) (Record, bool) {
	if node == v.self.Node {
		return v.self, true
	}
	e, found := v.entries[node]
	if !found {
		return Record{}, false
	}
	return e.Record, true
}

// merge merges a record that was received from a node of the region from. It
// reports whether the record was known already.
func (v *View) merge(now time.Time, record Record, from fleet.Region) (known bool) {
	if record.Node == v.self.Node {
		return v.mergeSelf(record)
	}
	e, found := v.entries[record.Node]
	switch {
	case !found && record.Region == v.self.Region && from != v.self.Region && record.live() && v.upForDeadRetention(now):
		// Only this region is authoritative for its own nodes. If it no longer has
		// a record of this one, the other region's record dates from before a long
		// partition.
		record.Status = Dead
	case !found:
	case record.overrides(e.Record):
	case record.Status == Suspect && e.Status == Suspect && record.Incarnation == e.Incarnation:
		return !v.addAccuser(e, record.Accuser)
	default:
		return true
	}
	v.putRecord(now, record)
	return false
}

// upForDeadRetention reports whether this node has run for at least
// deadRetention, so that it has seen every node of its region that died and whose
// record was dropped since.
func (v *View) upForDeadRetention(now time.Time) bool {
	return !v.firstTick.IsZero() && now.Sub(v.firstTick) >= deadRetention
}

// mergeSelf merges a record of this node that another node sent. A record
// of a later incarnation, or of the current one with a status other than alive,
// is refuted by a higher incarnation.
func (v *View) mergeSelf(record Record) (known bool) {
	switch {
	case v.self.Status == Left || record.Status == Left:
	case record.Incarnation > v.self.Incarnation, record.Incarnation == v.self.Incarnation && record.Status != Alive:
		v.raiseIncarnation(record.Incarnation)
	}
	return true
}

// putRecord replaces the record of a node and queues it. A node that is new, or
// whose liveness, Leaving or Starting changed, is sent before the next tick.
func (v *View) putRecord(now time.Time, record Record) {
	e, found := v.entries[record.Node]
	if !found {
		e = &entry{}
		v.entries[record.Node] = e
	}
	if found {
		v.addToDigest(e.Record, -1)
	}
	if !found || e.live() != record.live() {
		v.neighborsStale = true
	}
	v.immediateDue = v.immediateDue || !found || e.live() != record.live() ||
		e.Leaving != record.Leaving || e.Starting != record.Starting || e.CutOff != record.CutOff
	e.Record, e.changed, e.accusers = record, now, nil
	v.addToDigest(record, 1)
	if record.Status == Suspect {
		v.addAccuser(e, record.Accuser)
	}
	v.queueRecord(record)
}

// addAccuser adds an accuser to a suspicion. It returns false if the accuser is
// in the list already or the list is full.
func (v *View) addAccuser(e *entry, accuser fleet.NodeID) bool {
	if len(e.accusers) >= maxAccusers || slices.Contains(e.accusers, accuser) {
		return false
	}
	e.accusers = append(e.accusers, accuser)
	if len(e.accusers) > 1 {
		e.Accuser = accuser
		v.queueRecord(e.Record)
	}
	if accuser != v.self.Node && slices.Contains(v.Neighbors(), e.Node) {
		v.suspectsToProbe = append(v.suspectsToProbe, e.Node)
	}
	return true
}

// suspicionPeriod returns the length of a suspicion from its start. It is shortest
// with the largest possible number of accusers, which is at most three, and
// longest if no node but the one accuser could be asked.
func (v *View) suspicionPeriod(e *entry) time.Duration {
	others := len(v.liveInRegion(e.Region)) - 1
	if e.Region == v.self.Region {
		others++
	}
	intervals := maxSuspicionIntervals
	switch needed := min(maxAccusers, others); {
	case needed > 1:
		intervals -= (maxSuspicionIntervals - minSuspicionIntervals) * (len(e.accusers) - 1) / (needed - 1)
	case len(v.otherRegions()) > 0:
		intervals = minSuspicionIntervals
	}
	return time.Duration(max(intervals, minSuspicionIntervals)) * v.interval
}

// expire declares suspects dead whose suspicion period has ended, and drops
// records past deadRetention and expired facts.
func (v *View) expire(now time.Time) {
	for node, e := range v.entries {
		switch {
		case e.Status == Suspect && now.Sub(e.changed) >= v.suspicionPeriod(e):
			v.expiredSuspicions++
			record := e.Record
			record.Status, record.Accuser = Dead, ""
			v.putRecord(now, record)
		case !e.live() && now.Sub(e.changed) >= deadRetention:
			v.version++
			delete(v.entries, node)
		}
	}
	for key, fact := range v.facts {
		if !now.Before(fact.expires) {
			delete(v.facts, key)
		}
	}
}

// MarkDead marks a node of another region as dead. It is meant for nodes of
// unreachable regions that are no longer registered in the table.
func (v *View) MarkDead(now time.Time, node fleet.NodeID) {
	e, found := v.entries[node]
	if !found || !e.live() || e.Region == v.self.Region {
		return
	}
	record := e.Record
	record.Status = Dead
	v.putRecord(now, record)
}

// memberList is a list of members as of a version of the view, without those of the regions
// that were unreachable.
type memberList struct {
	version     uint64
	unreachable []fleet.Region
	members     []Info
}

// in returns the members that are in none of the unreachable regions and whose records match,
// ordered by id. The list is made anew if the view or the regions have changed.
func (l *memberList) in(v *View, unreachable []fleet.Region, matches func(*Record) bool) []Info {
	if l.members == nil || l.version != v.version || !slices.Equal(l.unreachable, unreachable) {
		*l = memberList{version: v.version, unreachable: unreachable, members: v.outside(unreachable, matches)}
	}
	return l.members
}

// Live returns the live members, this node included unless it has left, ordered
// by id. Nodes of unreachable regions are left out. The slice must not be changed.
func (v *View) Live(now time.Time) []Info {
	return v.live.in(v, v.unreachableRegions(now), func(record *Record) bool { return record.live() })
}

// Healthy returns the live members that serve requests: those that are neither suspected nor
// starting nor leaving, ordered by id. Nodes of unreachable regions are left out. The slice
// must not be changed.
//
// A node that gets no answer from its own region can't tell whether the others are lost or
// itself cut off, and returns itself alone, unless it reaches no backend server either.
func (v *View) Healthy(now time.Time) []Info {
	unreachable := v.unreachableRegions(now)
	if v.Isolated() && !v.self.CutOff {
		unreachable = append(unreachable, v.self.Region)
	}
	return v.healthy.in(v, unreachable, (*Record).serves)
}

// unreachableRegions returns the regions that are unreachable, ordered by name.
func (v *View) unreachableRegions(now time.Time) []fleet.Region {
	var regions []fleet.Region
	for region := range v.links {
		if v.RegionUnreachable(now, region) {
			regions = append(regions, region)
		}
	}
	slices.Sort(regions)
	return regions
}

// outside returns this node and the members that are in none of the regions, if their records
// match, ordered by id.
func (v *View) outside(regions []fleet.Region, matches func(*Record) bool) []Info {
	list := make([]Info, 0, len(v.entries)+1)
	if matches(&v.self) {
		list = append(list, v.self.Info)
	}
	for _, e := range v.entries {
		if matches(&e.Record) && !slices.Contains(regions, e.Region) {
			list = append(list, e.Info)
		}
	}
	slices.SortFunc(list, func(a, b Info) int { return strings.Compare(string(a.Node), string(b.Node)) })
	return list
}

// Records returns the records of all nodes, this one included, ordered by id.
func (v *View) Records() []Record {
	list := append(make([]Record, 0, len(v.entries)+1), v.self)
	for _, e := range v.entries {
		list = append(list, e.Record)
	}
	slices.SortFunc(list, func(a, b Record) int { return strings.Compare(string(a.Node), string(b.Node)) })
	return list
}

// Digest returns the digest of the live records.
func (v *View) Digest() uint64 { return v.digest }

// liveInRegion returns the live nodes of a region, without this node.
func (v *View) liveInRegion(region fleet.Region) []fleet.NodeID {
	var nodes []fleet.NodeID
	for node, e := range v.entries {
		if e.live() && e.Region == region {
			nodes = append(nodes, node)
		}
	}
	return nodes
}
