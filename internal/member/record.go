package member

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Info is what a node tells of itself.
type Info struct {
	Node fleet.NodeID `json:"node"`
	fleet.Place
	CallerAddress   string `json:"callerAddress"`
	PeerAddress     string `json:"peerAddress"`
	OperatorAddress string `json:"operatorAddress,omitempty"`
	// Weight is the node's share of work relative to others; 0 means 1. Nodes on a
	// platform tell the processor time that they may take.
	Weight float64 `json:"weight,omitempty"`
	// Starting says that the node can't serve yet, Leaving that it drains: it is
	// there but must not be named to callers.
	Starting  bool      `json:"starting,omitempty"`
	Leaving   bool      `json:"leaving,omitempty"`
	StartedAt time.Time `json:"startedAt"`
}

// Status is what the members believe of a node.
type Status string

// States of a node, later ones overriding earlier ones of the same incarnation.
const (
	Alive   Status = "alive"
	Suspect Status = "suspect"
	Dead    Status = "dead"
	// Left is final: the node has said that it is gone. An id is never reused.
	Left Status = "left"
)

// rank orders the states of one incarnation.
func (s Status) rank() int {
	switch s {
	case Suspect:
		return 1
	case Dead:
		return 2
	case Left:
		return 3
	default:
		return 0
	}
}

// Record is the belief about one node that members exchange.
type Record struct {
	Info
	// Incarnation is raised by the node itself: to change its Info, and to
	// refute a suspicion.
	Incarnation uint64 `json:"incarnation"`
	Status      Status `json:"status"`
	// Accuser is the node that found a suspect unreachable.
	Accuser fleet.NodeID `json:"accuser,omitempty"`
}

// overrides reports whether the record is newer than the other one.
func (r Record) overrides(other Record) bool {
	if r.Status == Left || other.Status == Left {
		return r.Status == Left && other.Status != Left
	}
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Status.rank() > other.Status.rank()
}

// live reports whether the node counts as a member.
func (r Record) live() bool { return r.Status == Alive || r.Status == Suspect }

// hash contributes to the digest of a view. Suspicion passes quickly and is
// left out.
func (r Record) hash() uint64 {
	if !r.live() {
		return 0
	}
	return xxhash.Sum64String(string(r.Node) + "/" + strconv.FormatUint(r.Incarnation, 10))
}

// bucketOf returns the digest bucket of a node.
func bucketOf(node fleet.NodeID) int {
	return int(xxhash.Sum64String(string(node)) % digestBuckets)
}

// Fact is a piece of soft state that its owner tells the others: its load,
// servers it suspects, digests of requests that crash servers, its share of a
// budget. It is forgotten when it expires.
type Fact struct {
	Kind  string       `json:"kind"`
	Key   string       `json:"key,omitempty"`
	Owner fleet.NodeID `json:"owner"`
	// Version orders the values that the owner gave under the same kind and
	// key.
	Version uint64 `json:"version"`
	// Region is the owner's region.
	Region fleet.Region `json:"region"`
	// Wide facts go to the other regions as well.
	Wide bool `json:"wide,omitempty"`
	// TTLMillis is the remaining time to live in milliseconds when sent.
	TTLMillis int64           `json:"ttl"`
	Value     json.RawMessage `json:"value,omitempty"`

	expires time.Time
}

// factKey identifies a fact.
type factKey struct {
	kind, key string
	owner     fleet.NodeID
}

func (f Fact) id() factKey { return factKey{f.Kind, f.Key, f.Owner} }

// Message is one direction of an exchange between two nodes.
type Message struct {
	From   fleet.NodeID `json:"from"`
	Region fleet.Region `json:"region"`
	// Digest is the digest of the sender's live records.
	Digest uint64 `json:"digest"`
	// Buckets, in a request, asks for the records of those buckets that
	// differ. The answer to that has the other node's own.
	Buckets []uint64 `json:"buckets,omitempty"`
	Members []Record `json:"members,omitempty"`
	Facts   []Fact   `json:"facts,omitempty"`
	// KnownMembers and KnownFacts, in an answer, count what of the request was
	// known already, by index.
	KnownMembers []int `json:"knownMembers,omitempty"`
	KnownFacts   []int `json:"knownFacts,omitempty"`
	// Stamp is opaque to this package; configuration puts its version there.
	Stamp json.RawMessage `json:"stamp,omitempty"`
}
