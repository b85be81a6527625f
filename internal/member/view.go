package member

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

const (
	// digestBuckets is the number of parts in which views are compared.
	digestBuckets = 16
	// indirectProbes is the number of nodes that are asked to reach one that
	// did not answer.
	indirectProbes = 3
	// confirmations is the number of accusers that makes a suspicion shortest.
	confirmations = 3
	// minSuspicion and maxSuspicion are how many intervals a suspicion lasts
	// with all confirmations and with a single accuser.
	minSuspicion = 4
	maxSuspicion = 12
	// pauseIntervals without a tick mean that the process was paused.
	pauseIntervals = 3
	// mismatches is the number of exchanges in a row with different digests
	// after which records are fetched.
	mismatches = 4
	// forgetAfter is how long dead nodes are remembered.
	forgetAfter = 10 * time.Minute
)

// Action tells the controller what to send.
type Action struct {
	// To is the node to exchange Message with, unless Target is set.
	To      fleet.NodeID
	Message Message
	// Target, if set, is a node that each of Via is asked to reach.
	Target fleet.NodeID
	Via    []fleet.NodeID
}

// entry is the belief about one other node.
type entry struct {
	Record
	// accusers are the nodes that found a suspect unreachable.
	accusers []fleet.NodeID
	// changed is when the record last changed its status.
	changed time.Time
}

// View is one node's belief about the members and the facts that they tell.
// Its methods take the time and return what to send; they do no I/O and must
// not be called concurrently.
type View struct {
	interval time.Duration
	random   *rand.Rand
	self     Record
	entries  map[fleet.NodeID]*entry
	facts    map[factKey]Fact

	sums  [digestBuckets]uint64
	total uint64

	near   channel
	across map[fleet.Region]*crossing

	neighbors []fleet.NodeID
	stale     bool // neighbors must be chosen again
	cursor    int
	urgent    []fleet.NodeID // suspects to probe next

	hurry      bool // a change is to be told at once
	hurriedAt  time.Time
	quiet      bool // what is merged now is not to be spread
	firstTick  time.Time
	lastTick   time.Time
	wokeAt     time.Time
	suspicions int
}

// NewView returns the view of a node that knows only itself.
func NewView(self Info, interval time.Duration, random *rand.Rand) *View {
	v := &View{
		interval: interval,
		random:   random,
		self:     Record{Info: self, Incarnation: 1, Status: Alive},
		entries:  make(map[fleet.NodeID]*entry),
		facts:    make(map[factKey]Fact),
		across:   make(map[fleet.Region]*crossing),
		stale:    true,
	}
	v.addSum(v.self, 1)
	v.near.members.add(self.Node)
	return v
}

// addSum adds a record to the digests, or takes it out if sign is negative.
func (v *View) addSum(record Record, sign int) {
	hash := record.hash()
	if sign < 0 {
		hash = -hash
	}
	v.sums[bucketOf(record.Node)] += hash
	v.total += hash
}

// raise gives the node's own record a new incarnation.
func (v *View) raise(above uint64) {
	v.addSum(v.self, -1)
	v.self.Incarnation = max(v.self.Incarnation, above) + 1
	v.addSum(v.self, 1)
	v.spread(v.self)
}

// spread queues the record for the neighbours and, where this node is a
// candidate to speak for its region, for the other regions.
func (v *View) spread(record Record) {
	if v.quiet && record.Node != v.self.Node {
		return
	}
	v.near.members.add(record.Node)
	if record.Region != v.self.Region {
		return
	}
	for _, crossing := range v.across {
		crossing.members.add(record.Node)
	}
}

// Started announces that the node can be named to callers.
func (v *View) Started() {
	if !v.self.Starting || v.self.Status == Left {
		return
	}
	v.self.Starting, v.hurry, v.hurriedAt = false, true, time.Time{}
	v.raise(0)
}

// Leave announces that the node drains, or with gone that it is no more there.
func (v *View) Leave(gone bool) {
	v.self.Leaving, v.hurry, v.hurriedAt = true, true, time.Time{}
	if gone {
		v.addSum(v.self, -1)
		v.self.Status = Left
		v.spread(v.self)
		return
	}
	v.raise(0)
}

// record returns the belief about a node, itself included.
func (v *View) record(node fleet.NodeID) (Record, bool) {
	if node == v.self.Node {
		return v.self, true
	}
	held, found := v.entries[node]
	if !found {
		return Record{}, false
	}
	return held.Record, true
}

// merge takes in a record that came from a node of the region. It reports
// whether nothing in it was new.
func (v *View) merge(now time.Time, record Record, from fleet.Region) (known bool) {
	if record.Node == v.self.Node {
		return v.mergeSelf(record)
	}
	held, found := v.entries[record.Node]
	switch {
	case !found && record.Region == v.self.Region && from != v.self.Region && record.live() && v.longThere(now):
		// Only this region knows its own nodes. If it has forgotten this one,
		// the other region holds a record from before a long separation.
		record.Status = Dead
	case !found:
	case record.overrides(held.Record):
	case record.Status == Suspect && held.Status == Suspect && record.Incarnation == held.Incarnation:
		return !v.accuse(held, record.Accuser)
	default:
		return true
	}
	v.put(now, record)
	return false
}

// longThere reports whether this node was there long enough to have known every
// node of its region that died and was forgotten.
func (v *View) longThere(now time.Time) bool {
	return !v.firstTick.IsZero() && now.Sub(v.firstTick) >= forgetAfter
}

// mergeSelf refutes what others believe wrongly of this node.
func (v *View) mergeSelf(record Record) (known bool) {
	switch {
	case v.self.Status == Left || record.Status == Left:
	case record.Incarnation > v.self.Incarnation, record.Incarnation == v.self.Incarnation && record.Status != Alive:
		v.raise(record.Incarnation)
	}
	return true
}

// put replaces the belief about a node and queues it to be spread.
func (v *View) put(now time.Time, record Record) {
	held, found := v.entries[record.Node]
	if !found {
		held = &entry{}
		v.entries[record.Node] = held
	}
	if found {
		v.addSum(held.Record, -1)
	}
	if !found || held.live() != record.live() {
		v.stale = true
	}
	v.hurry = v.hurry || !found || held.live() != record.live() ||
		held.Leaving != record.Leaving || held.Starting != record.Starting
	held.Record, held.changed, held.accusers = record, now, nil
	v.addSum(record, 1)
	if record.Status == Suspect {
		v.accuse(held, record.Accuser)
	}
	v.spread(record)
}

// accuse adds an accuser to a suspicion and reports whether it was new.
func (v *View) accuse(held *entry, accuser fleet.NodeID) bool {
	if len(held.accusers) >= confirmations || slices.Contains(held.accusers, accuser) {
		return false
	}
	held.accusers = append(held.accusers, accuser)
	if len(held.accusers) > 1 {
		held.Accuser = accuser
		v.spread(held.Record)
	}
	if accuser != v.self.Node && slices.Contains(v.Neighbors(), held.Node) {
		v.urgent = append(v.urgent, held.Node)
	}
	return true
}

// suspicion returns how long a suspicion lasts from its start. It is shortest
// with as many accusers as there can be, at most three. Where nobody but the
// one accuser could be asked it is longest.
func (v *View) suspicion(held *entry) time.Duration {
	others := len(v.inRegion(held.Region)) - 1
	if held.Region == v.self.Region {
		others++
	}
	span := maxSuspicion
	switch needed := min(confirmations, others); {
	case needed > 1:
		span -= (maxSuspicion - minSuspicion) * (len(held.accusers) - 1) / (needed - 1)
	case len(v.regions()) > 0:
		span = minSuspicion
	}
	return time.Duration(max(span, minSuspicion)) * v.interval
}

// expire ends suspicions, forgets the long dead and drops facts that ran out.
func (v *View) expire(now time.Time) {
	for node, held := range v.entries {
		switch {
		case held.Status == Suspect && now.Sub(held.changed) >= v.suspicion(held):
			v.suspicions++
			record := held.Record
			record.Status, record.Accuser = Dead, ""
			v.put(now, record)
		case !held.live() && now.Sub(held.changed) >= forgetAfter:
			delete(v.entries, node)
		}
	}
	for key, fact := range v.facts {
		if !now.Before(fact.expires) {
			delete(v.facts, key)
		}
	}
}

// Forget removes a node of a region that is cut off and of which the table
// service says that it is gone.
func (v *View) Forget(now time.Time, node fleet.NodeID) {
	held, found := v.entries[node]
	if !found || !held.live() || held.Region == v.self.Region {
		return
	}
	record := held.Record
	record.Status = Dead
	v.put(now, record)
}

// Live returns the members that count as there, this node included, ordered by
// id. Nodes of regions that are cut off are left out.
func (v *View) Live(now time.Time) []Info {
	cut := make(map[fleet.Region]bool)
	for region := range v.across {
		cut[region] = v.Cut(now, region)
	}
	list := make([]Info, 0, len(v.entries)+1)
	if v.self.Status != Left {
		list = append(list, v.self.Info)
	}
	for _, held := range v.entries {
		if held.live() && !cut[held.Region] {
			list = append(list, held.Info)
		}
	}
	slices.SortFunc(list, func(a, b Info) int { return strings.Compare(string(a.Node), string(b.Node)) })
	return list
}

// Records returns the belief about every node, ordered by id.
func (v *View) Records() []Record {
	list := append(make([]Record, 0, len(v.entries)+1), v.self)
	for _, held := range v.entries {
		list = append(list, held.Record)
	}
	slices.SortFunc(list, func(a, b Record) int { return strings.Compare(string(a.Node), string(b.Node)) })
	return list
}

// Digest returns the digest of the live records.
func (v *View) Digest() uint64 { return v.total }

// inRegion returns the live nodes of a region, without this node.
func (v *View) inRegion(region fleet.Region) []fleet.NodeID {
	var nodes []fleet.NodeID
	for node, held := range v.entries {
		if held.live() && held.Region == region {
			nodes = append(nodes, node)
		}
	}
	return nodes
}
