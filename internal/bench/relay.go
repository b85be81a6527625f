package bench

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/guavatrack/guavatrack/internal/standin"
)

// Relay compares calls sent straight to an engine with calls through a node.
var Relay = Experiment{
	Name: "relay", Help: "what a node adds to a call: latency, processor time, allocations", Run: runRelay,
}

// RelayResult is the outcome of [Relay].
type RelayResult struct {
	AddedP50Ms float64 `json:"addedP50Ms"`
	AddedP99Ms float64 `json:"addedP99Ms"`
	// TokensPerCoreSecond is for streams whose tokens come one by one,
	// BurstTokensPerCoreSecond for answers that come as fast as they can.
	TokensPerCoreSecond      float64 `json:"tokensPerCoreSecond"`
	BurstTokensPerCoreSecond float64 `json:"burstTokensPerCoreSecond"`
	AllocationsPerToken      float64 `json:"allocationsPerToken"`
	// IdleNodeMb is the resident memory in MiB of an idle node in a process of
	// its own, before a site of today's size.
	IdleNodeMb float64 `json:"idleNodeMb"`
	Requests   int     `json:"requests"`
	// Failed counts calls without a right and whole answer.
	Failed int `json:"failed"`

	table string
}

// Text returns the result for a person.
func (r RelayResult) Text() string {
	return r.table + fmt.Sprintf(
		"added p50 %.3f ms, p99 %.3f ms; %.0f tokens per core-second one by one, %.0f in bursts; %.2f allocations per token; idle node %.1f MiB",
		r.AddedP50Ms, r.AddedP99Ms, r.TokensPerCoreSecond, r.BurstTokensPerCoreSecond, r.AllocationsPerToken, r.IdleNodeMb)
}

// Loads of the experiment.
const (
	relayRate       = 500.0
	relayTokens     = 16
	streamTokens    = 64
	streamTokenRate = 100.0
	burstRate       = 100.0
	burstTokens     = 512
	relaySpan       = 24 * time.Second
	relaySlices     = 6
	relayDeadline   = 30 * time.Second
	warmUp          = time.Second
)

// usageOf is what a slice of load cost the whole process.
type usageOf struct {
	cpu         time.Duration
	allocations uint64
}

func usageNow() usageOf {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return usageOf{time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), memory.Mallocs}
}

// side is one of the two ways that calls take, with what it cost.
type side struct {
	summary Summary
	usage   usageOf
}

// compare offers the same load straight and through the node, in turns, so
// that what else the machine does falls on both.
func compare(ctx context.Context, load Load, direct, node string, call func(base string) Call) [2]side {
	sides := [2]side{{summary: NewSummary()}, {summary: NewSummary()}}
	bases := [2]string{direct, node}
	load.Span /= relaySlices
	for i := range 2 * relaySlices {
		at := (i + i/2) % 2 // direct, node, node, direct, …
		load.Seed++
		load.Call = call(bases[at])
		before := usageNow()
		summary := load.Run(ctx)
		after := usageNow()
		sides[at].summary.merge(summary)
		sides[at].usage.cpu += after.cpu - before.cpu
		sides[at].usage.allocations += after.allocations - before.allocations
	}
	return sides
}

// merge adds another summary.
func (s *Summary) merge(other Summary) {
	s.Sent += other.Sent
	s.Tokens += other.Tokens
	s.Span += other.Span
	s.Late += other.Late
	s.Good += other.Good
	s.InSpan += other.InSpan
	s.RefusedInTime += other.RefusedInTime
	for outcome, count := range other.Outcomes {
		s.Outcomes[outcome] += count
	}
	for reason, count := range other.Reasons {
		s.Reasons[reason] += count
	}
	s.Total.Merge(other.Total)
	s.First.Merge(other.First)
	s.Refusal.Merge(other.Refusal)
}

// perCoreSecond returns how many tokens the node relays in a second of one
// core: the difference of the two sides is the node's own time.
func perCoreSecond(sides [2]side) float64 {
	own := (sides[1].usage.cpu - sides[0].usage.cpu).Seconds()
	if own <= 0 {
		return 0
	}
	return float64(sides[1].summary.Tokens) / own
}

func runRelay(ctx context.Context, o Options) (any, error) {
	span := o.Span(relaySpan) / 3
	// Engine 0 sends as fast as it can, engine 1 token by token.
	rates := []float64{0, streamTokenRate}
	var result RelayResult
	loads := make(map[string]Summary)
	for i, name := range []string{"burst", "stream"} {
		started, err := newRig(ctx, o.Seed, 1, func(_ int, config *standin.EngineConfig) {
			config.TokenRate, config.RequestRate, config.PrefillRate, config.Concurrency = 0, rates[i], 0, maxIdle
		})
		if err != nil {
			return nil, err
		}
		result.measure(ctx, o, started, name, span, loads)
		started.close()
	}
	o.Printf("an idle node …")
	idle, err := measureIdleNode(ctx)
	if err != nil {
		return nil, err
	}
	result.IdleNodeMb = idle
	var table strings.Builder
	WriteTable(&table, loads)
	result.table = table.String()
	if o.Plot != "" {
		return result, PlotPercentiles(o.Plot, "Calls of 16 tokens, 500 a second", map[string]*hdrhistogram.Histogram{
			"direct": loads["direct"].Total, "through a node": loads["node"].Total,
		})
	}
	return result, nil
}

func (r *RelayResult) measure(
	ctx context.Context, o Options, started *rig, name string, span time.Duration, loads map[string]Summary,
) {
	sender := newClient()
	defer sender.close()
	direct := "http://" + started.addrs[0]
	calls := func(tokens int) func(string) Call {
		return func(base string) Call {
			return func(ctx context.Context, number int) Result {
				return sender.chat(ctx, chat{
					base: base, item: started.item, tokens: tokens, deadline: relayDeadline,
					text: fmt.Sprintf("request %d of the relay experiment", number),
				})
			}
		}
	}
	offer := func(rate float64, tokens int) [2]side {
		load := Load{Rate: rate, Span: warmUp, Seed: o.Seed, Call: calls(tokens)(started.nodeURL)}
		load.Run(ctx)
		load.Span = span
		sides := compare(ctx, load, direct, started.nodeURL, calls(tokens))
		for _, side := range sides {
			r.Requests += side.summary.Sent
			r.Failed += side.summary.Sent - side.summary.Outcomes[Answered]
		}
		return sides
	}
	if name == "stream" {
		o.Printf("streams token by token …")
		sides := offer(relayRate, streamTokens)
		r.TokensPerCoreSecond = perCoreSecond(sides)
		own := float64(sides[1].usage.allocations) - float64(sides[0].usage.allocations)
		r.AllocationsPerToken = own / float64(max(1, sides[1].summary.Tokens))
		return
	}
	o.Printf("short calls …")
	sides := offer(relayRate, relayTokens)
	loads["direct"], loads["node"] = sides[0].summary, sides[1].summary
	r.AddedP50Ms = Ms(sides[1].summary.Total, 50) - Ms(sides[0].summary.Total, 50)
	r.AddedP99Ms = Ms(sides[1].summary.Total, 99) - Ms(sides[0].summary.Total, 99)
	o.Printf("answers in bursts …")
	r.BurstTokensPerCoreSecond = perCoreSecond(offer(burstRate, burstTokens))
}
