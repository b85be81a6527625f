package claim

import "time"

// EventKind is what happened to an arrival of a call.
type EventKind int

// Events of an [Owner].
const (
	// Begin starts the arrival.
	Begin EventKind = iota
	// Wrote says that the claim is in the table.
	Wrote
	// Conflicted says that the claim was not written because a record exists.
	Conflicted
	// WriteRefused says that the table did not take the claim.
	WriteRefused
	// WriteLost says that the claim may or may not be in the table.
	WriteLost
	// Found brings the record.
	Found
	// Missing says that there is no record.
	Missing
	// ReadFailed says that the table could not be read.
	ReadFailed
	// Elapsed says that the time of a Wait is over.
	Elapsed
)

// Event is an input of an [Owner].
type Event struct {
	Kind   EventKind
	Record Record
}

// ActionKind is what an [Owner] wants done.
type ActionKind int

// Actions of an [Owner].
const (
	// Write asks to write the claim on condition that there is no record.
	Write ActionKind = iota
	// Read asks to read the record.
	Read
	// Wait asks to come back with Elapsed after a while.
	Wait
	// Run asks to send the call. It is returned at most once.
	Run
	// Replay ends the arrival with the recorded answer.
	Replay
	// EndUnknown ends the arrival: the call may have run.
	EndUnknown
	// EndReused ends the arrival: the key belongs to another call.
	EndReused
	// EndRefused ends the arrival: the table is down and this arrival has sent
	// nothing.
	EndRefused
	// EndRefusedAndRelease is EndRefused when the claim may be in the table and
	// must be taken out again.
	EndRefusedAndRelease
)

// Action is an output of an [Owner].
type Action struct {
	Kind ActionKind
	// After is the time to wait before the action.
	After time.Duration
	// Answer is set for Replay.
	Answer *Answer
}

// Timing of an [Owner].
const (
	tries        = 3
	firstPause   = 20 * time.Millisecond
	longestPause = 500 * time.Millisecond
	// SettleGrace is added to the deadline of a call to get the time by which
	// its outcome should be recorded.
	SettleGrace = 2 * time.Second
)

// Owner decides for one arrival of a call. It never asks to run a call unless
// its own claim is known to be in the table. A claim whose write was lost is
// written again: if the lost write took effect, the second one conflicts and the
// record that is read then is the arrival's own.
type Owner struct {
	Attempt  Attempt
	Content  string
	Deadline time.Time

	refused, pause int
	lost, ran      bool
	// seen is set once another arrival's record was read.
	seen bool
}

// Next returns what to do after an event.
func (o *Owner) Next(now time.Time, event Event) Action {
	switch event.Kind {
	case Begin:
		return Action{Kind: Write}
	case Wrote:
		return o.run()
	case Conflicted, Elapsed:
		return Action{Kind: Read}
	case WriteLost:
		o.lost = true
		return o.again(now, Write)
	case WriteRefused:
		return o.again(now, Write)
	case Missing:
		return o.missing(now)
	case ReadFailed:
		return o.again(now, Read)
	default:
		return o.found(now, event.Record)
	}
}

func (o *Owner) run() Action {
	if o.ran {
		return Action{Kind: EndUnknown}
	}
	o.ran = true
	return Action{Kind: Run}
}

// missing follows a read without a record: the arrival that held it has
// released it.
func (o *Owner) missing(now time.Time) Action {
	o.seen = false
	return o.again(now, Write)
}

func (o *Owner) found(now time.Time, record Record) Action {
	if record.Attempt == o.Attempt {
		return o.run()
	}
	o.seen = true
	switch {
	case record.Content != o.Content:
		return Action{Kind: EndReused}
	case record.State == Done:
		return Action{Kind: Replay, Answer: record.Answer}
	case record.State == Unknown, now.After(record.SettleBy), !now.Before(o.Deadline):
		return Action{Kind: EndUnknown}
	}
	o.refused = 0
	return Action{Kind: Wait, After: o.nextPause(now)}
}

// again repeats an action after a pause, or ends the arrival when it was tried
// often enough or the deadline is near.
func (o *Owner) again(now time.Time, kind ActionKind) Action {
	o.refused++
	if o.refused < tries && now.Before(o.Deadline) {
		return Action{Kind: kind, After: o.nextPause(now)}
	}
	switch {
	case o.seen:
		return Action{Kind: EndUnknown}
	case o.lost:
		return Action{Kind: EndRefusedAndRelease}
	default:
		return Action{Kind: EndRefused}
	}
}

func (o *Owner) nextPause(now time.Time) time.Duration {
	pause := min(firstPause<<min(o.pause, 5), longestPause, max(0, o.Deadline.Sub(now)))
	o.pause++
	return pause
}
