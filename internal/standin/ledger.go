package standin

import (
	"fmt"
	"sync"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// ViolationKind says which promise was broken.
type ViolationKind string

// Kinds of violation.
const (
	// MemoryViolation is an engine that holds more bytes than it has.
	MemoryViolation ViolationKind = "memory"
	// ReplicaViolation is an item with more replicas than were decided.
	ReplicaViolation ViolationKind = "replicas"
	// DoubleRun is a non-idempotent call that ran a second time.
	DoubleRun ViolationKind = "doubleRun"
)

// Violation is a broken promise as a stand-in saw it.
type Violation struct {
	Kind   ViolationKind  `json:"kind"`
	Server fleet.ServerID `json:"server"`
	Detail string         `json:"detail"`
}

// Ledger records the violations of all stand-ins that share it and counts the
// replicas of each item over all engines.
type Ledger struct {
	mu         sync.Mutex
	violations []Violation
	replicas   map[fleet.Item]int
	decided    map[fleet.Item]int
	// crashes counts the engines that each prompt has crashed.
	crashes map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		replicas: make(map[fleet.Item]int), decided: make(map[fleet.Item]int), crashes: make(map[string]int),
	}
}

// Decide sets the replicas that an item may have; items without a decision are
// not checked.
func (l *Ledger) Decide(item fleet.Item, replicas int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decided[item] = replicas
}

// Violations returns what was recorded so far.
func (l *Ledger) Violations() []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Violation(nil), l.violations...)
}

// Count returns the violations of one kind.
func (l *Ledger) Count(kind ViolationKind) int {
	count := 0
	for _, violation := range l.Violations() {
		if violation.Kind == kind {
			count++
		}
	}
	return count
}

// LostToOnePrompt returns the largest number of engines that one prompt has
// crashed.
func (l *Ledger) LostToOnePrompt() (most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, crashes := range l.crashes {
		most = max(most, crashes)
	}
	return most
}

func (l *Ledger) addCrash(prompt string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes[prompt]++
}

func (l *Ledger) record(kind ViolationKind, server fleet.ServerID, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, Violation{kind, server, fmt.Sprintf(format, args...)})
}

// add changes the number of replicas of an item that exist anywhere.
func (l *Ledger) add(server fleet.ServerID, item fleet.Item, change int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replicas[item] += change
	decided, checked := l.decided[item]
	if checked && change > 0 && l.replicas[item] > decided {
		l.violations = append(l.violations, Violation{
			ReplicaViolation, server,
			fmt.Sprintf("%s: %d replicas, %d decided", item, l.replicas[item], decided),
		})
	}
}
