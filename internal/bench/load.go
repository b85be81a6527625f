package bench

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

// Outcome is how a call ended.
type Outcome string

// Outcomes of a call.
const (
	// Answered is a whole and right answer.
	Answered Outcome = "answered"
	// Refused is an honest refusal.
	Refused Outcome = "refused"
	// Dropped is a call that got neither.
	Dropped Outcome = "dropped"
	// Wrong is an answer that differs from the right one.
	Wrong Outcome = "wrong"
)

// Result is what one call reports.
type Result struct {
	Outcome Outcome
	// Tokens counts the tokens of the answer.
	Tokens int
	// First is the time from the call's start to its first token; 0 if none
	// came.
	First time.Duration
	// Late says that the call ended after its deadline.
	Late bool
	// Reason and Run are those of a refusal.
	Reason refusal.Reason
	Run    refusal.Run
	// Message is the refusal's text for a person.
	Message string
}

// Call runs the call with a number, counted from 0.
type Call func(ctx context.Context, number int) Result

// Load is an open-loop load: calls start when they are due, however many are
// still running. Times count from when a call was due, so a generator or a
// system that stalls lengthens the times of all calls that were due meanwhile,
// and coordinated omission can't hide them.
type Load struct {
	// Rate is the mean number of arrivals a second.
	Rate float64
	// Span is how long calls arrive, Warm the part of it that doesn't count
	// for [Summary.InSpan].
	Span, Warm time.Duration
	Seed       uint64
	// Even spaces arrivals evenly; otherwise they form a Poisson process.
	Even bool
	Call Call
}

// Range of the recorded times, in microseconds.
const (
	minRecorded = 1
	maxRecorded = int64(10 * time.Minute / time.Microsecond)
	digits      = 3
)

// Summary is the outcome of a load.
type Summary struct {
	Sent     int
	Outcomes map[Outcome]int
	Tokens   int
	// Good counts the answers within the deadline, Late the calls that ended
	// after it other than by a refusal.
	Good, Late int
	// InSpan counts those of Good that came after the load's warm-up and while
	// it was offered, so that empty queues at its start and full ones at its
	// end aren't credited to it.
	InSpan int
	// RefusedInTime counts the refusals within the deadline.
	RefusedInTime int
	// Reasons counts the refusals.
	Reasons map[refusal.Reason]int
	// Span is the time until the last call ended.
	Span time.Duration
	// Total holds the times of answered calls until their end, First those
	// until their first token, in microseconds.
	Total, First *hdrhistogram.Histogram
	// Refusal holds the times of refused calls.
	Refusal *hdrhistogram.Histogram
	// Behind is how late the generator itself was at worst.
	Behind time.Duration
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minRecorded, maxRecorded, digits)
}

// NewSummary returns an empty summary.
func NewSummary() Summary {
	return Summary{
		Outcomes: make(map[Outcome]int), Reasons: make(map[refusal.Reason]int),
		Total: newHistogram(), First: newHistogram(), Refusal: newHistogram(),
	}
}

// Run offers the load and waits for all calls to end.
func (l Load) Run(ctx context.Context) Summary {
	source := rand.New(rand.NewPCG(l.Seed, 0))
	summary := NewSummary()
	var mu sync.Mutex
	var group sync.WaitGroup
	begun := time.Now()
	for due := begun; ctx.Err() == nil && due.Sub(begun) < l.Span; due = due.Add(l.gap(source)) {
		wait.For(ctx, time.Until(due))
		summary.Behind = max(summary.Behind, time.Since(due))
		number := summary.Sent
		summary.Sent++
		group.Go(func() {
			started := time.Now()
			result := l.Call(ctx, number)
			ended := time.Now()
			mu.Lock()
			defer mu.Unlock()
			summary.add(result, ended.Sub(due), started.Sub(due))
			at := ended.Sub(begun)
			if result.Outcome == Answered && !result.Late && at >= l.Warm && at <= l.Span {
				summary.InSpan++
			}
		})
	}
	group.Wait()
	summary.Span = time.Since(begun)
	return summary
}

// gap returns the time to the next arrival.
func (l Load) gap(source *rand.Rand) time.Duration {
	mean := float64(time.Second) / l.Rate
	if l.Even {
		return time.Duration(mean)
	}
	return time.Duration(source.ExpFloat64() * mean)
}

// add records one call that took total since it was due and was sent that much
// too late.
func (s *Summary) add(result Result, total, late time.Duration) {
	s.Outcomes[result.Outcome]++
	s.Tokens += result.Tokens
	switch {
	case result.Outcome == Refused && !result.Late:
		s.RefusedInTime++
	case result.Outcome == Answered && !result.Late:
		s.Good++
	case result.Outcome != Refused && result.Late:
		s.Late++
	}
	switch result.Outcome {
	case Answered:
		record(s.Total, total)
		if result.First > 0 {
			record(s.First, result.First+late)
		}
	case Refused:
		s.Reasons[result.Reason]++
		record(s.Refusal, total)
	case Dropped, Wrong:
	}
}

func record(histogram *hdrhistogram.Histogram, span time.Duration) {
	_ = histogram.RecordValue(min(max(span.Microseconds(), minRecorded), maxRecorded))
}

// Ms returns a percentile of a histogram of microseconds, in milliseconds.
func Ms(histogram *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(histogram.ValueAtQuantile(percentile)) / 1000
}
