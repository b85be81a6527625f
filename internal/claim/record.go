package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Keep is how long an outcome can be read after the call should have ended.
const Keep = 24 * time.Hour

// State is how far a claimed call has got.
type State string

// States of a claimed call.
const (
	// Claimed says that the call may be running.
	Claimed State = "claimed"
	// Done says that the call ran and its answer is recorded.
	Done State = "done"
	// Unknown says that the call was sent and its answer was lost.
	Unknown State = "unknown"
)

// Answer is what a backend server answered to a call.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Dropped says that the body was too large to be kept.
	Dropped bool `json:"dropped,omitempty"`
}

// Attempt identifies one arrival of a call at one node.
type Attempt string

// Record is the JSON body of a claim in the table.
type Record struct {
	Caller  fleet.CallerID  `json:"caller"`
	Node    fleet.NodeID    `json:"node"`
	Request fleet.RequestID `json:"request"`
	Attempt Attempt         `json:"attempt"`
	// Content is a digest of what the call asks for.
	Content string    `json:"content"`
	State   State     `json:"state"`
	At      time.Time `json:"at"`
	// SettleBy is when the outcome should be recorded at the latest. After
	// that it is unknown.
	SettleBy time.Time `json:"settleBy"`
	// Until is when the record may be deleted.
	Until  time.Time `json:"until"`
	Answer *Answer   `json:"answer,omitempty"`
}

// partitions is the number of table partitions over which claims are spread.
const partitions = 16

const partitionPrefix = "claim/"

// digestSize is the number of digest bytes that name a claim.
const digestSize = 24

// Key returns the table key of a call.
func Key(caller fleet.CallerID, key fleet.IdempotencyKey) table.Key {
	digest := sha256.Sum256([]byte(string(caller) + "\x00" + string(key)))
	return table.Key{
		Partition: partition(int(digest[digestSize]) % partitions),
		Sort:      hex.EncodeToString(digest[:digestSize]),
	}
}

func partition(at int) string {
	return partitionPrefix + hex.EncodeToString([]byte{byte(at)})
}

// Content returns the digest of what a call asks for.
func Content(method, path string, body []byte) string {
	hash := sha256.New()
	_, _ = hash.Write([]byte(method + "\x00" + path + "\x00"))
	_, _ = hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil)[:digestSize])
}
