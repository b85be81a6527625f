package bench

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/internal/wait"
)

// Overload offers more than the engines can do, and a slow and a silent engine.
var Overload = Experiment{
	Name: "overload", Run: runOverload,
	Help: "goodput from 0.5 to 10 times capacity, and the time to first token with bad engines",
}

// OverloadStep is one offered load.
type OverloadStep struct {
	Times    float64 `json:"times"`
	Baseline bool    `json:"baseline,omitempty"`
	Sent     int     `json:"sent"`
	// Goodput is the answers a second that came within their deadlines, after
	// a third of the time and while the load was offered.
	Goodput float64 `json:"goodput"`
	Refused int     `json:"refused"`
	Dropped int     `json:"dropped"`
	Late    int     `json:"late"`
	// Reasons counts the refusals by reason.
	Reasons map[string]int `json:"reasons,omitempty"`
}

// OverloadResult is the outcome of [Overload].
type OverloadResult struct {
	// The goodputs are ratios to the goodput at capacity.
	GoodputAt3x         float64 `json:"goodputAt3x"`
	GoodputAt10x        float64 `json:"goodputAt10x"`
	BaselineGoodputAt3x float64 `json:"baselineGoodputAt3x"`
	// LateAnswers counts the calls through the node that ended more than 50 ms
	// after their deadline, other than by a refusal.
	LateAnswers int `json:"lateAnswers"`
	Dropped     int `json:"dropped"`
	// RefusedWithinDeadlineRatio is the share of refusals among the calls that
	// weren't answered in time, counting refusals within the deadline only.
	RefusedWithinDeadlineRatio float64 `json:"refusedWithinDeadlineRatio"`
	TailP99Ms                  float64 `json:"tailP99Ms"`
	HealthyP99Ms               float64 `json:"healthyP99Ms"`
	BaselineTailP99Ms          float64 `json:"baselineTailP99Ms"`
	ExtraLoadRatio             float64 `json:"extraLoadRatio"`
	// TailFailed counts the calls of the tail measurement without an answer.
	TailFailed int            `json:"tailFailed"`
	Steps      []OverloadStep `json:"steps"`
}

// Text returns the result for a person.
func (r OverloadResult) Text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%6s %9s %6s %9s %8s %8s %5s\n", "times", "", "sent", "goodput/s", "refused", "dropped", "late")
	for _, step := range r.Steps {
		name := "node"
		if step.Baseline {
			name = "baseline"
		}
		fmt.Fprintf(&text, "%6.1f %9s %6d %9.1f %8d %8d %5d\n",
			step.Times, name, step.Sent, step.Goodput, step.Refused, step.Dropped, step.Late)
	}
	fmt.Fprintf(&text, "goodput at 3x %.3f, at 10x %.3f, of the baseline at 3x %.3f; refused in time %.4f\n",
		r.GoodputAt3x, r.GoodputAt10x, r.BaselineGoodputAt3x, r.RefusedWithinDeadlineRatio)
	fmt.Fprintf(&text, "time to first token p99: healthy %.0f ms, with a slow and a silent engine %.0f ms, baseline %.0f ms; extra load %.3f",
		r.HealthyP99Ms, r.TailP99Ms, r.BaselineTailP99Ms, r.ExtraLoadRatio)
	return text.String()
}

// Engines and calls of the sweep. An engine's token rate bounds what it does
// a second, so the capacity is known.
const (
	sweepEngines     = 4
	engineTokenRate  = 400.0
	engineRequest    = 100.0
	engineConcurrent = 16
	overloadTokens   = 20
	overloadDeadline = 2 * time.Second
	overloadSpan     = 72 * time.Second
	overloadSlices   = 12
	// warmShare is the part of a slice, as one over it, that isn't measured.
	warmShare       = 3
	tailEngines     = 10
	badEngines      = 2
	slowFactor      = 10
	silenceInterval = 500 * time.Millisecond
	tailDeadline    = 20 * time.Second
)

// steps are the offered loads in multiples of the capacity; the baseline runs
// at some of them.
var steps = []struct {
	times    float64
	baseline bool
}{{0.5, false}, {1, false}, {2, false}, {3, false}, {5, false}, {10, false}, {1, true}, {3, true}}

func overloadEngine(config *standin.EngineConfig) {
	config.TokenRate, config.RequestRate, config.Concurrency = engineTokenRate, engineRequest, engineConcurrent
	config.ReportLag = time.Second
}

func runOverload(ctx context.Context, o Options) (any, error) {
	slice := o.Span(overloadSpan) / overloadSlices
	result := &OverloadResult{}
	all, goodput := NewSummary(), make(map[float64]float64)
	for _, step := range steps {
		o.Printf("%.1f times capacity, baseline %t …", step.times, step.baseline)
		summary, err := sweep(ctx, o.Seed, step.times, step.baseline, slice)
		if err != nil {
			return nil, err
		}
		rate := float64(summary.InSpan) / (slice - slice/warmShare).Seconds()
		result.Steps = append(result.Steps, newStep(summary, step.times, step.baseline, rate))
		if step.baseline {
			result.BaselineGoodputAt3x = rate / goodput[1]
			continue
		}
		goodput[step.times] = rate
		all.merge(summary)
	}
	result.GoodputAt3x, result.GoodputAt10x = goodput[3]/goodput[1], goodput[10]/goodput[1]
	result.LateAnswers, result.Dropped = all.Late, all.Outcomes[Dropped]+all.Outcomes[Wrong]
	result.RefusedWithinDeadlineRatio = float64(all.RefusedInTime) / float64(max(1, all.Sent-all.Good))
	if err := result.tail(ctx, o, slice); err != nil {
		return nil, err
	}
	return result, nil
}

func newStep(summary Summary, times float64, baseline bool, rate float64) OverloadStep {
	return OverloadStep{
		Times: times, Baseline: baseline, Sent: summary.Sent, Goodput: rate, Refused: summary.Outcomes[Refused],
		Dropped: summary.Outcomes[Dropped], Late: summary.Late, Reasons: byName(summary.Reasons),
	}
}

// sweep offers a multiple of the capacity.
func sweep(ctx context.Context, seed uint64, times float64, baseline bool, span time.Duration) (Summary, error) {
	started, err := newRig(ctx, seed, sweepEngines, func(_ int, config *standin.EngineConfig) { overloadEngine(config) })
	if err != nil {
		return Summary{}, err
	}
	defer started.close()
	base := started.nodeURL
	if baseline {
		if base, err = started.baseline(); err != nil {
			return Summary{}, err
		}
	}
	load := Load{Rate: times * sweepEngines * engineTokenRate / overloadTokens, Span: span, Warm: span / warmShare, Seed: seed}
	return offer(ctx, load, started, base, overloadDeadline), nil
}

// offer sends chats of the usual length to one address.
func offer(ctx context.Context, load Load, started *rig, base string, deadline time.Duration) Summary {
	sender := newClient()
	defer sender.close()
	load.Call = func(ctx context.Context, number int) Result {
		return sender.chat(ctx, chat{
			base: base, item: started.item, tokens: overloadTokens, deadline: deadline,
			text: fmt.Sprintf("request %d of load %d", number, load.Seed),
		})
	}
	return load.Run(ctx)
}

// tail measures the time to first token at half of the capacity of ten
// engines: without the two bad ones, with them, and with them behind the
// baseline.
func (r *OverloadResult) tail(ctx context.Context, o Options, span time.Duration) error {
	half := tailEngines * engineTokenRate / overloadTokens / 2
	times := make(map[string]*hdrhistogram.Histogram)
	for _, side := range []struct {
		name          string
		bad, baseline bool
	}{{"healthy", false, false}, {"node", true, false}, {"baseline", true, true}} {
		o.Printf("time to first token, %s …", side.name)
		summary, extra, err := tailOf(ctx, Load{Rate: half, Span: span, Seed: o.Seed}, side.bad, side.baseline)
		if err != nil {
			return err
		}
		times[side.name] = summary.First
		if side.name == "node" {
			r.ExtraLoadRatio = extra
			r.TailFailed = summary.Sent - summary.Outcomes[Answered]
		}
	}
	r.HealthyP99Ms, r.TailP99Ms = Ms(times["healthy"], 99), Ms(times["node"], 99)
	r.BaselineTailP99Ms = Ms(times["baseline"], 99)
	if o.Plot == "" {
		return nil
	}
	return PlotPercentiles(o.Plot, "Time to first token, a slow and a silent engine among ten", times)
}

// tailOf runs one side of [OverloadResult.tail] and returns, besides, how many
// more requests the engines ran than were sent, as a ratio. Times of calls that
// were never answered aren't in the summary, so it counts them apart.
func tailOf(ctx context.Context, load Load, bad, baseline bool) (Summary, float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	engines := tailEngines
	if !bad {
		engines -= badEngines
	}
	started, err := newRig(ctx, load.Seed, engines, func(i int, config *standin.EngineConfig) {
		overloadEngine(config)
		if bad && i == 0 {
			config.TokenRate, config.RequestRate = engineTokenRate/slowFactor, engineRequest/slowFactor
		}
	})
	if err != nil {
		return Summary{}, 0, err
	}
	defer started.close()
	base := started.nodeURL
	if baseline {
		if base, err = started.baseline(); err != nil {
			return Summary{}, 0, err
		}
	}
	if bad {
		go started.silence(ctx, 1)
	}
	before := started.started()
	summary := offer(ctx, load, started, base, tailDeadline)
	return summary, float64(started.started()-before)/float64(max(1, summary.Sent)) - 1, nil
}

// silence makes the open connections of an engine go silent again and again.
func (r *rig) silence(ctx context.Context, i int) {
	for ctx.Err() == nil {
		r.engines[i].SetFaults(standin.EngineFaults{Faults: standin.Faults{Silence: true}})
		wait.For(ctx, silenceInterval)
	}
}
