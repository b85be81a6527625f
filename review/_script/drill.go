package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/guavatrack/guavatrack/platform/standin"
)

// Times and sizes of the case.
const (
	drillNodes    = 3
	drillStreams  = 24
	drillEvents   = 50
	drillEvent    = 150 * time.Millisecond
	drillTries    = 2000
	settleTime    = 12 * time.Second
	beforeDrill   = 2 * time.Second
	copyAge       = 5 * time.Second
	storeAway     = time.Second
	nodesDown     = 1500 * time.Millisecond
	streamsLimit  = 40 * time.Second
	allowedJoined = 2
)

// playDrill has the store come back from a copy some seconds old at the moment at which all
// nodes lose power. Streams whose software version was recorded since are taken up by their
// callers, and may go on only at that version. Without trouble, POWER=1 plays the loss of
// power alone.
func playDrill(r *rig, trouble bool) (verdict, error) {
	site := &standin.Site{Engines: 4, Models: 3, Software: []string{"v1", "v2"}, Events: drillEvents, EventTime: drillEvent}
	if err := r.start(site, drillNodes); err != nil {
		return verdict{}, err
	}
	time.Sleep(settleTime)
	ctx, cancel := context.WithTimeout(context.Background(), streamsLimit)
	defer cancel()
	streams := make([]standin.Stream, drillStreams)
	var group sync.WaitGroup
	for i := range streams {
		group.Go(func() {
			caller := standin.StreamCaller{
				Model: fmt.Sprint("m", i%3), Tries: drillTries,
				Node: func(try int) string { return r.nodes[(i+try)%drillNodes].config.Callers.Listen },
			}
			var err error
			if streams[i], err = caller.Do(ctx); err != nil {
				r.note("stream %d: %v", i, err)
			}
		})
	}
	time.Sleep(beforeDrill)
	drill, power := trouble, trouble || os.Getenv("POWER") == "1"
	if err := r.disrupt(drill, power); err != nil {
		return verdict{}, err
	}
	group.Wait()
	for _, text := range site.Ledger.Joined() {
		r.note("run by engines: stream of %s", text)
	}
	joined, takenUp := 0, 0
	for i := range streams {
		r.describe(i, &streams[i])
		if streams[i].TakenUp() {
			takenUp++
		}
		if err := streams[i].Joined(); err != nil {
			joined++
			r.note("joined: %v", err)
		}
	}
	text := fmt.Sprintf("%d of %d streams that were taken up hold events of two software versions", joined, takenUp)
	return verdict{broken: joined > allowedJoined, text: text}, nil
}

// disrupt plays the drill, the loss of power of all nodes, or both at once.
func (r *rig) disrupt(drill, power bool) error {
	if drill {
		r.note("the store is away")
		r.site.Store.SetFaults(standin.StoreFaults{Down: true})
	}
	for _, n := range r.nodes {
		if power {
			r.note("%s loses power", n.config.Node.Name)
			_ = n.process.Process.Signal(syscall.SIGKILL)
		}
	}
	time.Sleep(storeAway)
	if drill {
		r.site.Store.Restore(copyAge)
		r.site.Store.SetFaults(standin.StoreFaults{})
		r.note("the store is back from a copy that is %v old", copyAge)
		for _, engine := range r.site.CurrentEngines() {
			engine.Register() // What the engines wrote is written again.
		}
	}
	time.Sleep(nodesDown - storeAway)
	for _, n := range r.nodes {
		if !power {
			return nil
		}
		if err := r.startAgain(n); err != nil {
			return err
		}
		r.note("%s starts again", n.config.Node.Name)
	}
	return nil
}

// describe notes the tries of a stream that brought events.
func (r *rig) describe(number int, stream *standin.Stream) {
	for at := range stream.Tries {
		try := &stream.Tries[at]
		events := try.Events()
		if try.Status == 0 || len(events) == 0 && try.Status != 503 {
			continue
		}
		text := "no event"
		if len(events) > 0 {
			first, last := events[0], events[len(events)-1]
			text = fmt.Sprintf("events %d to %d, of %s to %s", first.Piece, last.Piece, first.Software, last.Software)
		}
		r.note("stream %d, try %d, takes up %v: status %d, %s", number, at, try.TakesUp, try.Status, text)
	}
}
