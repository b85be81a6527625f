package bench

import (
	"context"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/config"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

const (
	joinLimit  = 90 * time.Second
	forceLimit = 30 * time.Second
	// idleSpan is how long the fleet is measured without changes.
	idleSpan = 10 * time.Second
	// Between phases the fleet settles: settleWindows windows in a row have no
	// less than settleShare of the traffic of the window before.
	settleWindow  = 2 * time.Second
	settleWindows = 3
	settleShare   = 0.85
	settleLimit   = time.Minute
	phaseTickets  = 100
	faultTickets  = 30
	ticketSpacing = 60 * time.Millisecond
	replacements  = 3
	outageSpan    = 3 * time.Second
)

// usage is the process's consumption at one time.
type usage struct {
	at                      time.Time
	core                    time.Duration
	bytes, link             float64
	tableWrites, tableReads float64
}

func (f *controlFleet) usage() (usage, error) {
	var times syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &times); err != nil {
		return usage{}, errors.Wrap(err, "processor time")
	}
	return usage{
		at:   time.Now(),
		core: time.Duration(times.Utime.Nano() + times.Stime.Nano()),
		// What one node sends another receives, so both are counted.
		bytes:       f.sum("peer.bytesSent", "peer.bytesReceived"),
		link:        f.sum("peer.regionLinkBytesSent", "peer.regionLinkBytesReceived"),
		tableWrites: float64(f.writes.Load()),
		tableReads:  float64(f.reads.Load()),
	}, nil
}

// measureSize runs all phases with one number of nodes.
func measureSize(ctx context.Context, o Options, count int) (size SizeSlopes, err error) {
	size = SizeSlopes{Nodes: count, Regions: 2, Models: projectedModels}
	if count > slopeSizes[0] {
		size.Regions = 3
	}
	empty := liveBytes()
	f := newControlFleet(size.Regions, o.Seed)
	defer f.close()
	for range count {
		if _, err := f.start(ctx); err != nil {
			return size, err
		}
	}
	joined, err := f.await(ctx, joinLimit, func(node *controlNode) bool { return len(node.members.Members()) == count })
	if err != nil {
		return size, err
	}
	size.JoinS = joined.Seconds()
	number, err := f.fill(ctx, size.Models)
	if err != nil {
		return size, err
	}
	phases := []func(context.Context, *SizeSlopes, fleet.TicketNumber) (fleet.TicketNumber, error){
		f.idlePhase, f.ticketPhase, f.faultPhase,
	}
	for i, phase := range phases {
		f.settle()
		o.Printf("slopes: %d nodes, phase %d", count, i+1)
		if number, err = phase(ctx, &size, number); err != nil {
			return size, err
		}
		if i == 0 {
			size.LiveMb = (liveBytes() - empty) / float64(count) / 1e6
		}
	}
	size.Disagreements = f.disagreements()
	return size, nil
}

// settle waits until the traffic no longer falls, at most for settleLimit.
func (f *controlFleet) settle() {
	last, steady := 0.0, 0
	for began := time.Now(); steady < settleWindows && time.Since(began) < settleLimit; {
		before := f.sum("peer.bytesSent")
		time.Sleep(settleWindow)
		sent := f.sum("peer.bytesSent") - before
		if sent > settleShare*last {
			steady++
		} else {
			steady = 0
		}
		last = sent
	}
}

// liveBytes returns the live heap and the stacks.
func liveBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// idlePhase measures the fleet without changes.
func (f *controlFleet) idlePhase(_ context.Context, size *SizeSlopes, number fleet.TicketNumber) (fleet.TicketNumber, error) {
	before, err := f.usage()
	if err != nil {
		return number, err
	}
	time.Sleep(idleSpan)
	after, err := f.usage()
	if err != nil {
		return number, err
	}
	span, nodes := after.at.Sub(before.at).Seconds(), float64(len(f.nodes))
	size.IdleCorePercent = 100 * (after.core - before.core).Seconds() / span / nodes
	size.IdleBytesPerSecond = (after.bytes - before.bytes) / span / nodes
	size.LinkBytesPerSecond = (after.link - before.link) / span
	size.TableWritesPerSecond = (after.tableWrites - before.tableWrites) / span
	size.TableReadsPerSecond = (after.tableReads - before.tableReads) / span
	connections := 0
	for _, node := range f.nodes {
		connections += node.peers.Connections()
	}
	size.Connections = float64(connections) / nodes
	return number, nil
}

// ticketPhase measures what tickets cost and when they are in force.
func (f *controlFleet) ticketPhase(ctx context.Context, size *SizeSlopes, number fleet.TicketNumber) (fleet.TicketNumber, error) {
	before, err := f.usage()
	if err != nil {
		return number, err
	}
	var times []float64
	for range phaseTickets {
		number++
		took, err := f.applyAndAwait(ctx, size, number)
		if err != nil {
			return number, err
		}
		times = append(times, took)
		time.Sleep(ticketSpacing)
	}
	after, err := f.usage()
	if err != nil {
		return number, err
	}
	span, nodes := after.at.Sub(before.at).Seconds(), float64(len(f.nodes))
	core := (after.core - before.core).Seconds() - size.IdleCorePercent/100*span*nodes
	size.TicketCoreMs = max(0, 1000*core/phaseTickets/nodes)
	size.TicketBytes = max(0, (after.bytes-before.bytes)/nodes-size.IdleBytesPerSecond*span) / phaseTickets
	size.TicketLinkBytes = max(0, after.link-before.link-size.LinkBytesPerSecond*span) / phaseTickets
	slices.Sort(times)
	size.Tickets = len(times)
	size.InForceP50S, size.InForceP99S = quantile(times, 0.5), quantile(times, 0.99)
	size.InForceMaxS = times[len(times)-1]
	return number, nil
}

// quantile returns the value below which the share of the sorted values lies.
func quantile(sorted []float64, share float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}

// applyAndAwait accepts a ticket on some node and returns the seconds from its
// acceptance until every running node had merged it.
func (f *controlFleet) applyAndAwait(ctx context.Context, size *SizeSlopes, number fleet.TicketNumber) (float64, error) {
	accepting := f.nodes[f.random.IntN(len(f.nodes))]
	accepted, err := accepting.config.Apply(ctx, markTicket(number), "bench")
	if err != nil {
		return 0, err
	}
	took, err := f.await(ctx, forceLimit, func(node *controlNode) bool { return node.config.Revision() >= accepted.Revision })
	size.Reverts += f.reverts()
	return took.Seconds(), err
}

// markTicket sets the model by which reversions are noticed.
func markTicket(number fleet.TicketNumber) ticket.Ticket {
	return ticket.Ticket{
		Number:      number,
		Deployments: map[fleet.ModelID]*ticket.Deployment{markModel: deployment(int(number))},
	}
}

// faultPhase goes on with tickets while nodes are killed and replaced and the
// table is down and loses answers.
func (f *controlFleet) faultPhase(ctx context.Context, size *SizeSlopes, number fleet.TicketNumber) (fleet.TicketNumber, error) {
	if err := f.replace(ctx, size); err != nil {
		return number, err
	}
	var times []float64
	for i := range faultTickets {
		number++
		switch i {
		case faultTickets / 3:
			f.table.SetFaults(standin.TableFaults{Down: true})
			time.AfterFunc(outageSpan, func() { f.table.SetFaults(standin.TableFaults{LoseAnswers: 2}) })
		case faultTickets / 6, faultTickets / 2, faultTickets * 5 / 6:
			f.kill(f.random.IntN(len(f.nodes)))
			if _, err := f.start(ctx); err != nil {
				return number, err
			}
		}
		took, err := f.retryApply(ctx, size, number)
		if err != nil {
			return number, err
		}
		times = append(times, took)
	}
	slices.Sort(times)
	size.FaultTickets, size.FaultP99S = len(times), quantile(times, 0.99)
	return number, nil
}

// retryApply repeats a ticket until the table takes it.
func (f *controlFleet) retryApply(ctx context.Context, size *SizeSlopes, number fleet.TicketNumber) (float64, error) {
	const again = 100 * time.Millisecond
	deadline := time.Now().Add(forceLimit)
	for {
		took, err := f.applyAndAwait(ctx, size, number)
		if err == nil || ctx.Err() != nil || time.Now().After(deadline) {
			return took, err
		}
		time.Sleep(again)
	}
}

// replace kills and starts nodes and measures what a change costs the others.
func (f *controlFleet) replace(ctx context.Context, size *SizeSlopes) error {
	before, err := f.usage()
	if err != nil {
		return err
	}
	lost := 0.0
	for range replacements {
		index := f.random.IntN(len(f.nodes))
		gone := &controlFleet{nodes: f.nodes[index : index+1]}
		lost += gone.sum("peer.bytesSent", "peer.bytesReceived")
		f.kill(index)
		if _, err := f.start(ctx); err != nil {
			return err
		}
	}
	want := len(f.nodes)
	if _, err := f.await(ctx, joinLimit, func(node *controlNode) bool { return len(node.members.Members()) == want }); err != nil {
		return err
	}
	f.settle()
	after, err := f.usage()
	if err != nil {
		return err
	}
	span, nodes := after.at.Sub(before.at).Seconds(), float64(len(f.nodes))
	size.ChangeBytes = max(0, (after.bytes+lost-before.bytes)/nodes-size.IdleBytesPerSecond*span) / (2 * replacements)
	_, err = f.await(ctx, joinLimit, func(node *controlNode) bool { return node.config.Revision() == f.newest() })
	return err
}

func (f *controlFleet) newest() config.Revision {
	newest := config.Revision(0)
	for _, node := range f.nodes {
		newest = max(newest, node.config.Revision())
	}
	return newest
}

// disagreements counts the nodes whose configuration differs from the first
// one's, and the clashes that nodes counted.
func (f *controlFleet) disagreements() int {
	count := int(f.sum("config.clashes"))
	for _, node := range f.nodes {
		if node.config.Digest() != f.nodes[0].config.Digest() {
			count++
		}
	}
	return count
}
