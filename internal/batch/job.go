// Package batch stores deferrable completions in the table until they are
// answered, so that they survive the end of every node.
//
// A job is a record that holds the request and later its answer. As long as the
// job has no answer, a second, small record in the queue marks it as pending and
// holds the lease of the node that runs it. The transaction that records the
// answer also deletes the queue record. Completions are idempotent, so a job
// whose node has died or is slow may run again on another node; the first
// recorded answer is kept.
//
// The functions in this file are free of side effects. [Controller] applies
// their results.
package batch

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// JobID identifies a job.
type JobID string

// State is the processing state of a job.
type State string

// States of a job.
const (
	// Waiting means that the job is stored and has no answer yet.
	Waiting State = "waiting"
	// Done means that an answer is recorded, whatever its status.
	Done State = "done"
)

// Answer is the final response to a job, either from the engine or a refusal.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType"`
	Body        []byte `json:"body"`
}

// Job is a stored completion request, with its answer once there is one.
type Job struct {
	ID          JobID           `json:"id"`
	Caller      fleet.CallerID  `json:"caller"`
	Path        string          `json:"path"`
	Body        json.RawMessage `json:"body"`
	SubmittedAt time.Time       `json:"at"`
	// Deadline is the time after which the job is answered with a refusal instead
	// of being run.
	Deadline time.Time `json:"deadline"`
	// ExpiresAt is the time after which the job may be deleted.
	ExpiresAt time.Time `json:"until"`
	State     State     `json:"state"`
	Answer    *Answer   `json:"answer,omitempty"`
}

// QueueEntry is the queue record of a job.
type QueueEntry struct {
	ID       JobID     `json:"id"`
	Deadline time.Time `json:"deadline"`
	Attempts int       `json:"attempts"`
	// Node is the node that runs the job. LeaseExpiry is the time at which its
	// lease expires unless renewed.
	Node        fleet.NodeID `json:"node,omitempty"`
	LeaseExpiry time.Time    `json:"lease,omitzero"`
	// NotBefore is the earliest time of the next attempt.
	NotBefore time.Time `json:"notBefore,omitzero"`
}

// Durations that apply to jobs.
const (
	// DefaultTimeout is the time from submission to the deadline of a job
	// submitted without a timeout.
	DefaultTimeout = 24 * time.Hour
	// Retention is how long a job and its answer are kept after its deadline.
	Retention = 7 * 24 * time.Hour

	leaseDuration     = time.Minute
	minRetryPause     = 2 * time.Second
	maxRetryPause     = 5 * time.Minute
	maxPauseDoublings = 8
)

const (
	jobPartition   = "jobs/"
	queuePartition = "jobQueue/"
	shardCount     = 16
	idBytes        = 16
)

// NewID derives the ID of a job from its caller and idempotency key, so that all
// submissions of the caller under one key have the same ID.
func NewID(caller fleet.CallerID, key string) JobID {
	digest := sha256.Sum256([]byte(string(caller) + "\x00" + key))
	return JobID(hex.EncodeToString(digest[:idBytes]))
}

// shard returns the name of the shard that holds a job. Jobs and queue records
// are each spread over shardCount partitions.
func (id JobID) shard() string {
	digest := sha256.Sum256([]byte(id))
	return shardName(int(digest[0]) % shardCount)
}

func shardName(index int) string { return hex.EncodeToString([]byte{byte(index)}) }

func (id JobID) jobKey() table.Key {
	return table.Key{Partition: jobPartition + id.shard(), Sort: string(id)}
}

func (id JobID) queueKey() table.Key {
	return table.Key{Partition: queuePartition + id.shard(), Sort: string(id)}
}

// Choose returns the index of the entry that a node should run next. It draws a
// random sample of the entries that have no active lease and whose NotBefore has
// passed, and returns the one with the earliest deadline. The sample makes it
// unlikely that several nodes choose the same entry.
func Choose(now time.Time, entries []QueueEntry, random *rand.Rand) (index int, found bool) {
	const sampleSize = 4
	ready := make([]int, 0, len(entries))
	for i := range entries {
		if !now.Before(entries[i].LeaseExpiry) && !now.Before(entries[i].NotBefore) {
			ready = append(ready, i)
		}
	}
	if len(ready) == 0 {
		return 0, false
	}
	random.Shuffle(len(ready), func(i, j int) { ready[i], ready[j] = ready[j], ready[i] })
	ready = ready[:min(sampleSize, len(ready))]
	return slices.MinFunc(ready, func(a, b int) int {
		return entries[a].Deadline.Compare(entries[b].Deadline)
	}), true
}

// WithLease returns the entry with a new lease for the node and one more attempt.
func (e QueueEntry) WithLease(now time.Time, node fleet.NodeID) QueueEntry {
	e.Node = node
	e.LeaseExpiry = now.Add(leaseDuration)
	e.Attempts++
	return e
}

// Requeued returns the entry without a lease after an attempt that had no
// answer. The pause before the next attempt doubles with each attempt up to
// maxRetryPause, and is at least retryAfter up to the same limit.
func (e QueueEntry) Requeued(now time.Time, retryAfter time.Duration) QueueEntry {
	pause := min(maxRetryPause, minRetryPause<<min(max(0, e.Attempts-1), maxPauseDoublings))
	e.Node = ""
	e.LeaseExpiry = time.Time{}
	e.NotBefore = now.Add(max(pause, min(retryAfter, maxRetryPause)))
	return e
}
