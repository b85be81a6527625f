package claim

import "time"

// EventKind is the kind of an [Event].
type EventKind int

// Events of a [Machine].
const (
	// Begin starts the attempt.
	Begin EventKind = iota
	// Wrote reports that the claim is in the table.
	Wrote
	// Conflicted reports that the claim was not written because a record exists.
	Conflicted
	// WriteRefused reports that the table did not store the claim.
	WriteRefused
	// WriteUnknown reports that the claim may or may not be in the table.
	WriteUnknown
	// Found reports the record that was read.
	Found
	// Missing reports that there is no record.
	Missing
	// ReadFailed reports that the table could not be read.
	ReadFailed
	// Elapsed reports that the delay of a Wait is over.
	Elapsed
)

// Event is an input of a [Machine].
type Event struct {
	Kind   EventKind
	Record Record
}

// ActionKind is the kind of an [Action].
type ActionKind int

// Actions of a [Machine].
const (
	// Write writes the claim on condition that there is no record.
	Write ActionKind = iota
	// Read reads the record.
	Read
	// Wait is followed by the event Elapsed after a delay.
	Wait
	// Run sends the call. It is returned at most once.
	Run
	// Replay ends the attempt with the recorded answer.
	Replay
	// EndUnknown ends the attempt: the call may have run.
	EndUnknown
	// EndKeyReused ends the attempt: the key was used for another call.
	EndKeyReused
	// EndRefused ends the attempt: the table is unavailable and this attempt has
	// sent nothing.
	EndRefused
	// EndRefusedAndRelease is EndRefused for a claim that may be in the table
	// and must be deleted from it.
	EndRefusedAndRelease
)

// Action is an output of a [Machine].
type Action struct {
	Kind ActionKind
	// After is the time to wait before the action.
	After time.Duration
	// Answer is set for Replay.
	Answer *Answer
}

// Timing of a [Machine].
const (
	maxAttempts    = 3
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	// SettleGrace is added to the deadline of a call to get the time by which
	// its outcome should be recorded.
	SettleGrace = 2 * time.Second
)

// Machine is the state machine of one attempt at a call. It returns Run only
// after its own claim is confirmed to be in the table. A claim whose write has
// an unknown outcome is written again: if the first write took effect, the
// second one conflicts and the record that is read next is the attempt's own.
type Machine struct {
	Attempt  Attempt
	Content  string
	Deadline time.Time

	failures, backoffs int
	writeUnknown, ran  bool
	// otherSeen is set while the last record read is that of another attempt.
	otherSeen bool
}

// Next returns the action that follows an event.
func (m *Machine) Next(now time.Time, event Event) Action {
	switch event.Kind {
	case Begin:
		return Action{Kind: Write}
	case Wrote:
		return m.runOnce()
	case Conflicted, Elapsed:
		return Action{Kind: Read}
	case WriteUnknown:
		m.writeUnknown = true
		return m.retryOrEnd(now, Write)
	case WriteRefused:
		return m.retryOrEnd(now, Write)
	case Missing:
		return m.onMissing(now)
	case ReadFailed:
		return m.retryOrEnd(now, Read)
	default:
		return m.onFound(now, event.Record)
	}
}

// runOnce returns Run at the first call and EndUnknown after that.
func (m *Machine) runOnce() Action {
	if m.ran {
		return Action{Kind: EndUnknown}
	}
	m.ran = true
	return Action{Kind: Run}
}

// onMissing handles a read that found no record: the attempt that created it has
// released it.
func (m *Machine) onMissing(now time.Time) Action {
	m.otherSeen = false
	return m.retryOrEnd(now, Write)
}

// onFound handles a read that found a record.
func (m *Machine) onFound(now time.Time, record Record) Action {
	if record.Attempt == m.Attempt {
		return m.runOnce()
	}
	m.otherSeen = true
	switch {
	case record.Content != m.Content:
		return Action{Kind: EndKeyReused}
	case record.State == Done:
		return Action{Kind: Replay, Answer: record.Answer}
	case record.State == Unknown, now.After(record.SettleBy), !now.Before(m.Deadline):
		return Action{Kind: EndUnknown}
	}
	m.failures = 0
	return Action{Kind: Wait, After: m.nextBackoff(now)}
}

// retryOrEnd returns an action again after a backoff. It ends the attempt at the
// failure number maxAttempts since a record was last found, or when the deadline
// has passed.
func (m *Machine) retryOrEnd(now time.Time, kind ActionKind) Action {
	m.failures++
	if m.failures < maxAttempts && now.Before(m.Deadline) {
		return Action{Kind: kind, After: m.nextBackoff(now)}
	}
	switch {
	case m.otherSeen:
		return Action{Kind: EndUnknown}
	case m.writeUnknown:
		return Action{Kind: EndRefusedAndRelease}
	default:
		return Action{Kind: EndRefused}
	}
}

// nextBackoff returns the next delay of an exponential backoff, which does not
// extend past the deadline.
func (m *Machine) nextBackoff(now time.Time) time.Duration {
	pause := min(initialBackoff<<min(m.backoffs, 5), maxBackoff, max(0, m.Deadline.Sub(now)))
	m.backoffs++
	return pause
}
