package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// OutcomeRetention is how long an outcome can be read after the call should
// have ended.
const OutcomeRetention = 24 * time.Hour

// State is the progress of a claimed call.
type State string

// States of a claimed call.
const (
	// Claimed means that the call may be running.
	Claimed State = "claimed"
	// Done means that the call ran and its answer is recorded.
	Done State = "done"
	// Unknown means that the call was sent and its answer was lost.
	Unknown State = "unknown"
)

// Answer is the answer of a backend server to a call.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Dropped reports whether the body was too large to be stored.
	Dropped bool `json:"dropped,omitempty"`
}

// Attempt identifies one arrival of a call at one node. A call that its caller
// repeats has several attempts.
type Attempt string

// Record is the JSON body of a claim in the table.
type Record struct {
	Caller  fleet.CallerID  `json:"caller"`
	Node    fleet.NodeID    `json:"node"`
	Request fleet.RequestID `json:"request"`
	Attempt Attempt         `json:"attempt"`
	// Content is the digest of the method, path and body of the call.
	Content   string    `json:"content"`
	State     State     `json:"state"`
	CreatedAt time.Time `json:"at"`
	// SettleBy is the time by which the outcome should be recorded. An outcome
	// that is not recorded by then counts as unknown.
	SettleBy time.Time `json:"settleBy"`
	// ExpiresAt is the time after which the record may be deleted.
	ExpiresAt time.Time `json:"until"`
	Answer    *Answer   `json:"answer,omitempty"`
}

// partitions is the number of table partitions over which claims are spread.
const partitions = 16

const partitionPrefix = "claim/"

// digestSize is the number of digest bytes in the key of a claim.
const digestSize = 24

// Key returns the table key of the claim of a call.
func Key(caller fleet.CallerID, key fleet.IdempotencyKey) table.Key {
	digest := sha256.Sum256([]byte(string(caller) + "\x00" + string(key)))
	return table.Key{
		Partition: partition(int(digest[digestSize]) % partitions),
		Sort:      hex.EncodeToString(digest[:digestSize]),
	}
}

// partition returns the name of the table partition with an index.
func partition(index int) string {
	return partitionPrefix + hex.EncodeToString([]byte{byte(index)})
}

// ContentDigest returns the digest of the method, path and body of a call.
func ContentDigest(method, path string, body []byte) string {
	hash := sha256.New()
	_, _ = hash.Write([]byte(method + "\x00" + path + "\x00"))
	_, _ = hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil)[:digestSize])
}
