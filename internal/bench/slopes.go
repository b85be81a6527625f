package bench

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Size that the slopes are projected to.
const (
	projectedNodes   = 410
	projectedModels  = 1500
	projectedTickets = 14000.0 / 86400 // a second
	// projectedChurn is the membership changes a second: each failure and each
	// replacement makes one node go and one come.
	projectedChurn = 2 * (54 + 240) / 86400.0
)

// slopeSizes are the numbers of nodes that are measured.
var slopeSizes = []int{7, 30, 100}

// SlopesResult is the result of the slopes experiment. Control means the
// members, configuration and peer packages with the table in memory; the cost
// of the table's client, of grants, claims and policy is not in it.
type SlopesResult struct {
	ConfigInForceP99S map[string]float64 `json:"configInForceP99S"`
	Reverts           int                `json:"reverts"`
	Disagreements     int                `json:"disagreements"`
	CatchUpS          float64            `json:"catchUpS"`
	ReplayCatchUpS    float64            `json:"replayCatchUpS"`

	ProjectedCorePercent          float64 `json:"projectedCorePercent"`
	ProjectedMb                   float64 `json:"projectedMb"`
	ProjectedBytesPerSecond       float64 `json:"projectedBytesPerSecond"`
	ProjectedTableWritesPerSecond float64 `json:"projectedTableWritesPerSecond"`
	ProjectedTableReadsPerSecond  float64 `json:"projectedTableReadsPerSecond"`

	Sizes   []SizeSlopes   `json:"sizes"`
	CatchUp []CatchUpCosts `json:"catchUp"`
	// Seconds is how long the experiment ran.
	Seconds float64 `json:"seconds"`
}

// SizeSlopes are the measurements with one number of nodes. Rates are for each
// node unless they say otherwise.
type SizeSlopes struct {
	Nodes   int `json:"nodes"`
	Regions int `json:"regions"`
	Models  int `json:"models"`
	// JoinS is the time until every node saw all others.
	JoinS float64 `json:"joinS"`
	// IdleCorePercent and IdleBytesPerSecond are those without changes.
	IdleCorePercent    float64 `json:"idleCorePercent"`
	IdleBytesPerSecond float64 `json:"idleBytesPerSecond"`
	// LinkBytesPerSecond is the sum over all nodes of bytes between regions
	// without changes, both directions.
	LinkBytesPerSecond float64 `json:"linkBytesPerSecond"`
	// TicketCoreMs and TicketBytes are what one ticket costs a node.
	TicketCoreMs float64 `json:"ticketCoreMs"`
	TicketBytes  float64 `json:"ticketBytes"`
	// TicketLinkBytes is what one ticket costs on all links between regions.
	TicketLinkBytes float64 `json:"ticketLinkBytes"`
	// ChangeBytes is what one node that comes or goes costs each other node.
	ChangeBytes float64 `json:"changeBytes"`
	// LiveMb is the live heap with the stacks.
	LiveMb float64 `json:"liveMb"`
	// Connections is the number that a node made to others.
	Connections float64 `json:"connections"`
	// TableWrites and TableReads are those of all nodes in a second without
	// changes; reads count records.
	TableWritesPerSecond float64 `json:"tableWritesPerSecond"`
	TableReadsPerSecond  float64 `json:"tableReadsPerSecond"`

	InForceP50S   float64 `json:"inForceP50S"`
	InForceP99S   float64 `json:"inForceP99S"`
	InForceMaxS   float64 `json:"inForceMaxS"`
	Tickets       int     `json:"tickets"`
	FaultP99S     float64 `json:"faultP99S"`
	FaultTickets  int     `json:"faultTickets"`
	Reverts       int     `json:"reverts"`
	Disagreements int     `json:"disagreements"`
}

// Text returns the table for a person.
func (r SlopesResult) Text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%6s %8s %8s %10s %10s %9s %9s %8s %10s %10s\n", "nodes", "join s", "idle %",
		"idle B/s", "ticket ms", "ticket B", "change B", "live MB", "inForce50", "inForce99")
	for _, size := range r.Sizes {
		fmt.Fprintf(&text, "%6d %8.2f %8.3f %10.0f %10.3f %9.0f %9.0f %8.2f %10.4f %10.4f\n", size.Nodes, size.JoinS,
			size.IdleCorePercent, size.IdleBytesPerSecond, size.TicketCoreMs, size.TicketBytes, size.ChangeBytes,
			size.LiveMb, size.InForceP50S, size.InForceP99S)
	}
	for _, costs := range r.CatchUp {
		fmt.Fprintf(&text, "catch up after %d tickets: %.4f s and %d bytes by state, %.4f s and %d bytes by replay\n",
			costs.Tickets, costs.StateS, costs.StateBytes, costs.ReplayS, costs.ReplayBytes)
	}
	fmt.Fprintf(&text, "at %d nodes: %.2f %% of a core, %.0f MB, %.0f B/s; table %.1f writes/s, %.1f reads/s; reverts %d, disagreements %d\n",
		projectedNodes, r.ProjectedCorePercent, r.ProjectedMb, r.ProjectedBytesPerSecond,
		r.ProjectedTableWritesPerSecond, r.ProjectedTableReadsPerSecond, r.Reverts, r.Disagreements)
	return text.String()
}

// Slopes returns the experiment that measures what control costs a node.
func Slopes() Experiment {
	return Experiment{
		Name: "slopes",
		Help: "processor, memory, bytes and time of configuration and membership at 7, 30 and 100 nodes",
		Run:  runSlopes,
	}
}

func runSlopes(ctx context.Context, o Options) (_ any, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "slopes")
		}
	}()
	began := time.Now()
	result := SlopesResult{ConfigInForceP99S: make(map[string]float64)}
	for _, count := range slopeSizes {
		size, err := measureSize(ctx, o, count)
		if err != nil {
			return nil, errors.Wrapf(err, "%d nodes", count)
		}
		result.Sizes = append(result.Sizes, size)
		result.ConfigInForceP99S[fmt.Sprint(count)] = size.InForceP99S
		result.Reverts += size.Reverts
		result.Disagreements += size.Disagreements
		o.Printf("slopes: %d nodes measured", count)
	}
	for _, tickets := range catchUpTickets {
		costs, err := measureCatchUp(ctx, tickets)
		if err != nil {
			return nil, errors.Wrapf(err, "catch up after %d tickets", tickets)
		}
		result.CatchUp = append(result.CatchUp, costs)
		if tickets == headlineTickets {
			result.CatchUpS, result.ReplayCatchUpS = costs.StateS, costs.ReplayS
		}
	}
	result.project()
	result.Seconds = time.Since(began).Seconds()
	return result, nil
}

// processMb is the memory of a Go process of this kind that does nothing.
const processMb = 25

// project fits each slope over the number of nodes by a line and adds what the
// projected rates cost.
func (r *SlopesResult) project() {
	at := func(value func(SizeSlopes) float64) float64 { return max(0, fitAt(r.Sizes, value, projectedNodes)) }
	r.ProjectedCorePercent = at(func(s SizeSlopes) float64 { return s.IdleCorePercent }) +
		projectedTickets*at(func(s SizeSlopes) float64 { return s.TicketCoreMs })/10
	r.ProjectedBytesPerSecond = at(func(s SizeSlopes) float64 { return s.IdleBytesPerSecond }) +
		projectedTickets*at(func(s SizeSlopes) float64 { return s.TicketBytes }) +
		projectedChurn*at(func(s SizeSlopes) float64 { return s.ChangeBytes })
	// The collector lets the heap grow to twice what is live.
	r.ProjectedMb = processMb + 2*at(func(s SizeSlopes) float64 { return s.LiveMb })
	r.ProjectedTableWritesPerSecond = registerWrites(projectedNodes) + projectedTickets*writesPerTicket
	r.ProjectedTableReadsPerSecond = registerReads(projectedNodes) + headReads(projectedNodes) +
		projectedTickets*readsPerTicket
}

// fitAt fits a line by least squares and returns its value at a size.
func fitAt(sizes []SizeSlopes, value func(SizeSlopes) float64, nodes float64) float64 {
	var n, sumX, sumY, sumXX, sumXY float64
	for _, size := range sizes {
		x, y := float64(size.Nodes), value(size)
		n, sumX, sumY, sumXX, sumXY = n+1, sumX+x, sumY+y, sumXX+x*x, sumXY+x*y
	}
	spread := n*sumXX - sumX*sumX
	if spread == 0 {
		return sumY / max(n, 1)
	}
	slope := (n*sumXY - sumX*sumY) / spread
	return (sumY-slope*sumX)/n + slope*nodes
}

// The table's load by formula. Each node refreshes and reads the members'
// records once in max(10, 0.3 n) seconds and reads the head once in
// max(2, 0.025 n) seconds.
const (
	writesPerTicket = 4 // head, ticket, one object, audit line
	readsPerTicket  = 3 // ticket, head, one object
	// recordsPerRead is how many member records fit into one unit of 4 KB.
	recordsPerRead = 10.0
)

func registerWrites(nodes float64) float64 { return nodes / max(10, 0.3*nodes) }

func registerReads(nodes float64) float64 {
	return registerWrites(nodes) * max(1, nodes/recordsPerRead)
}

func headReads(nodes float64) float64 { return nodes / max(2, 0.025*nodes) }
