package poison

import "time"

// A refused digest with crashes apart from each other may have a further trial after
// firstBackoff from its last crash. Each further crash multiplies the time by backoffFactor, up
// to maxBackoff. The notice is valid for lifetimeBackoffs such times, so that it doesn't expire
// before the trial.
const (
	firstBackoff     = 30 * time.Second
	backoffFactor    = 3
	maxBackoff       = time.Hour
	lifetimeBackoffs = 2
)

// backoff returns how long after its last crash a digest is refused, with a number of crashes
// beyond those from which it is.
func backoff(further int) time.Duration {
	pause := firstBackoff
	for range further {
		pause = min(pause*backoffFactor, maxBackoff)
	}
	return pause
}

// Crashes of several servers at one moment mostly have a cause outside, such as the loss of
// power or of a link.
const (
	// sharedMoment is the time within which crashes count as one moment.
	sharedMoment = 2 * time.Second
	// sharedPause is how long after the last crash a digest is refused all of whose crashes
	// came at one moment: all nodes have heard of them by then, and a trial that crashes its
	// server does so apart from them. Each crash of a part beyond [MaxPartCrashes] adds
	// sharedPauseStep.
	sharedPause     = sharedMoment + time.Second
	sharedPauseStep = 100 * time.Millisecond
)

// crashesByMoment counts the crashes after the last success that came at the moment of the
// first one, and those apart from it.
func (n Notice) crashesByMoment() (atFirst, apart int) {
	var first time.Time
	for _, crash := range n.Crashes {
		switch {
		case !crash.At.After(n.ClearedAt):
		case first.IsZero():
			first, atFirst = crash.At, 1
		case crash.At.Sub(first) < sharedMoment:
			atFirst++
		default:
			apart++
		}
	}
	return atFirst, apart
}
