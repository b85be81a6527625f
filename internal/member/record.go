package member

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Info is the description that a node publishes of itself.
type Info struct {
	Node fleet.NodeID `json:"node"`
	fleet.Place
	CallerAddress   string `json:"callerAddress"`
	PeerAddress     string `json:"peerAddress"`
	OperatorAddress string `json:"operatorAddress,omitempty"`
	// Weight is the node's share of the work relative to other nodes; 0 means 1.
	// Nodes on a platform report the processor time that they may use.
	Weight float64 `json:"weight,omitempty"`
	// Starting is set while the node can't serve yet, Leaving while it drains. In
	// both cases it is a member but must not be returned to callers.
	Starting  bool      `json:"starting,omitempty"`
	Leaving   bool      `json:"leaving,omitempty"`
	StartedAt time.Time `json:"startedAt"`
	// ForwardAddress is where the node takes requests that other nodes pass on, host and
	// port; empty if it takes none. CutOff is set while it reaches no backend server.
	ForwardAddress string `json:"forwardAddress,omitempty"`
	CutOff         bool   `json:"cutOff,omitempty"`
}

// Status is the membership status of a node.
type Status string

// Statuses of a node. Within one incarnation a later one overrides an earlier one.
const (
	Alive   Status = "alive"
	Suspect Status = "suspect"
	Dead    Status = "dead"
	// Left is final: the node has announced its departure. An id is never reused.
	Left Status = "left"
)

// rank orders the statuses of one incarnation.
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

// Record is the membership state of one node as exchanged between members.
type Record struct {
	Info
	// Incarnation is incremented by the node itself when its Info changes or to
	// refute a suspicion.
	Incarnation uint64 `json:"incarnation"`
	Status      Status `json:"status"`
	// Accuser is a node that found the suspect unreachable.
	Accuser fleet.NodeID `json:"accuser,omitempty"`
}

// overrides reports whether the record takes precedence over the other one.
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

// serves reports whether the node serves requests and is not suspected to have failed.
func (r *Record) serves() bool { return r.Status == Alive && !r.Leaving && !r.Starting }

// hash returns the record's contribution to the digest of a view, 0 if the node
// is not live. Suspicion is short-lived and is not part of it.
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

// Fact is an entry of soft state that its owner publishes to the other nodes:
// its load, servers it suspects, digests of requests that crash servers, its
// share of a budget. It is dropped when it expires.
type Fact struct {
	Kind  string       `json:"kind"`
	Key   string       `json:"key,omitempty"`
	Owner fleet.NodeID `json:"owner"`
	// Version orders the values that the owner published under the same kind and
	// key.
	Version uint64 `json:"version"`
	// Region is the owner's region.
	Region fleet.Region `json:"region"`
	// CrossRegion is set if the fact is also sent to the other regions.
	CrossRegion bool `json:"wide,omitempty"`
	// Urgent is set if the fact is sent on before the next tick.
	Urgent bool `json:"urgent,omitempty"`
	// TTLMillis is the remaining time to live in milliseconds when sent.
	TTLMillis int64           `json:"ttl"`
	Value     json.RawMessage `json:"value,omitempty"`

	expires time.Time
	// receivedAt is when this node stored the fact.
	receivedAt time.Time
}

// factKey identifies a fact.
type factKey struct {
	kind, key string
	owner     fleet.NodeID
}

func (f Fact) id() factKey { return factKey{f.Kind, f.Key, f.Owner} }

// toSend returns the fact as it is sent, with its remaining time to live.
func (f Fact) toSend(now time.Time) Fact {
	f.TTLMillis = f.expires.Sub(now).Milliseconds()
	return f
}

// Message is one direction of an exchange between two nodes.
type Message struct {
	From   fleet.NodeID `json:"from"`
	Region fleet.Region `json:"region"`
	// Digest is the digest of the sender's live records.
	Digest uint64 `json:"digest"`
	// Buckets holds the sender's bucket digests. In a request it asks for the
	// records of the buckets whose digests differ; the answer to such a request
	// holds those of the answering node.
	Buckets []uint64 `json:"buckets,omitempty"`
	Members []Record `json:"members,omitempty"`
	Facts   []Fact   `json:"facts,omitempty"`
	// KnownMembers and KnownFacts, in an answer, are the indices of the records
	// and facts of the request that the receiver already had.
	KnownMembers []int `json:"knownMembers,omitempty"`
	KnownFacts   []int `json:"knownFacts,omitempty"`
	// Stamp is opaque to this package; configuration uses it for its version.
	Stamp json.RawMessage `json:"stamp,omitempty"`
}
