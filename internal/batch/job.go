// Package batch keeps completions that may wait in the table until they are
// answered, so that they survive the end of every node.
//
// A job is a record with the request and later its answer. A second, small
// record in the queue says that the job is still to be run, and who runs it
// until when. The queue record is deleted in the transaction that records the
// answer. Completions are idempotent, so a job whose node has died or is slow
// may run again elsewhere; the answer that is recorded first counts.
//
// The decisions in this file are pure. [Controller] carries them out.
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

// JobID names a job.
type JobID string

// State is how far a job has got.
type State string

// States of a job.
const (
	// Waiting says that the job is stored and will be run.
	Waiting State = "waiting"
	// Done says that there is an answer, whatever its status.
	Done State = "done"
)

// Answer is the end of a job: what the engine answered, or a refusal.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType"`
	Body        []byte `json:"body"`
}

// Job is a completion that is stored until it is answered.
type Job struct {
	ID     JobID           `json:"id"`
	Caller fleet.CallerID  `json:"caller"`
	Path   string          `json:"path"`
	Body   json.RawMessage `json:"body"`
	At     time.Time       `json:"at"`
	// Deadline is when the job ends without an answer of an engine.
	Deadline time.Time `json:"deadline"`
	// Until is when the job may be deleted.
	Until  time.Time `json:"until"`
	State  State     `json:"state"`
	Answer *Answer   `json:"answer,omitempty"`
}

// Entry is a job in the queue.
type Entry struct {
	ID       JobID     `json:"id"`
	Deadline time.Time `json:"deadline"`
	Attempts int       `json:"attempts"`
	// Node runs the job, until Lease unless it renews it.
	Node  fleet.NodeID `json:"node,omitempty"`
	Lease time.Time    `json:"lease,omitzero"`
	// NotBefore is the earliest time of the next attempt.
	NotBefore time.Time `json:"notBefore,omitzero"`
}

// Times of jobs.
const (
	// Timeout is the deadline of a job that brings none of its own.
	Timeout = 24 * time.Hour
	// Keep is how long an answer can be fetched after the deadline.
	Keep = 7 * 24 * time.Hour

	lease         = time.Minute
	firstPause    = 2 * time.Second
	longestPause  = 5 * time.Minute
	pauseDoubling = 8
)

const (
	jobPartition   = "jobs/"
	queuePartition = "jobQueue/"
	shards         = 16
	idSize         = 16
)

// NewID returns the id of a job. With a key it is the same for every submission
// of the caller under that key.
func NewID(caller fleet.CallerID, key string) JobID {
	digest := sha256.Sum256([]byte(string(caller) + "\x00" + key))
	return JobID(hex.EncodeToString(digest[:idSize]))
}

// shard returns the part of the table that holds a job.
func (id JobID) shard() string {
	digest := sha256.Sum256([]byte(id))
	return shardName(int(digest[0]) % shards)
}

func shardName(at int) string { return hex.EncodeToString([]byte{byte(at)}) }

func (id JobID) jobKey() table.Key {
	return table.Key{Partition: jobPartition + id.shard(), Sort: string(id)}
}

func (id JobID) queueKey() table.Key {
	return table.Key{Partition: queuePartition + id.shard(), Sort: string(id)}
}

// Choose returns the entry that a node should run next: one that nobody runs
// and whose time has come, the earliest deadline first among a few that are
// drawn, so that nodes seldom choose the same.
func Choose(now time.Time, entries []Entry, random *rand.Rand) (index int, found bool) {
	const drawn = 4
	open := make([]int, 0, len(entries))
	for at := range entries {
		if !now.Before(entries[at].Lease) && !now.Before(entries[at].NotBefore) {
			open = append(open, at)
		}
	}
	if len(open) == 0 {
		return 0, false
	}
	random.Shuffle(len(open), func(i, j int) { open[i], open[j] = open[j], open[i] })
	open = open[:min(drawn, len(open))]
	return slices.MinFunc(open, func(a, b int) int {
		return entries[a].Deadline.Compare(entries[b].Deadline)
	}), true
}

// Take returns the entry as it is while a node runs the job.
func (e Entry) Take(now time.Time, node fleet.NodeID) Entry {
	e.Node = node
	e.Lease = now.Add(lease)
	e.Attempts++
	return e
}

// Return returns the entry after an attempt without an answer. The job is tried
// again after a pause, at the latest shortly before its deadline.
func (e Entry) Return(now time.Time, retryAfter time.Duration) Entry {
	pause := min(longestPause, firstPause<<min(max(0, e.Attempts-1), pauseDoubling))
	e.Node = ""
	e.Lease = time.Time{}
	e.NotBefore = now.Add(max(pause, min(retryAfter, longestPause)))
	return e
}
