package dispatch_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// demandLoader is a loader whose loads are never done. It records the demands.
type demandLoader struct {
	mu      sync.Mutex
	demands map[fleet.SoftwareVersion][]dispatch.Demand
	readyIn time.Duration
}

func newDemandLoader(readyIn time.Duration) *demandLoader {
	return &demandLoader{demands: make(map[fleet.SoftwareVersion][]dispatch.Demand), readyIn: readyIn}
}

func (l *demandLoader) RequestLoad(_ context.Context, demand dispatch.Demand) (dispatch.Estimate, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.demands[demand.Software] = append(l.demands[demand.Software], demand)
	return dispatch.Estimate{ReadyIn: l.readyIn}, nil
}

// of returns the demands for a software version so far.
func (l *demandLoader) of(software fleet.SoftwareVersion) []dispatch.Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.demands[software])
}

// start runs a call in the background until the context ends, and returns its result.
func start(d *dispatch.Dispatcher, call *dispatch.Call) <-chan error {
	result := make(chan error, 1)
	go func() { result <- d.Do(call) }()
	synctest.Wait()
	return result
}

// Guards against loads that do not help the rest of a stream: its demand names the version
// and counts the calls that wait for it alone, beside the demand of the others.
func TestDemandNamesTheVersion(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		s, d := versionHolders(c, 2)
		loader := newDemandLoader(time.Second)
		d.Loader = loader
		s.hold("s0", false)
		s.hold("s1", false)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for i := range 5 {
			call, _ := s.streamOf(fmt.Sprint(i), answers())
			call.Context = ctx
			if i < 2 {
				call.Restrict("v1")
			}
			start(d, call)
		}
		time.Sleep(250 * time.Millisecond)
		for software, waiting := range map[fleet.SoftwareVersion]int{"v1": 2, "": 3} {
			demands := loader.of(software)
			c.Assert(demands, qt.Not(qt.HasLen), 0, qt.Commentf("version %q", software))
			last := demands[len(demands)-1]
			c.Check(last.Waiting, qt.Equals, waiting, qt.Commentf("version %q", software))
			c.Check(last.Item, qt.Equals, fleet.Item{Model: "m"})
		}
	})
}

// Guards against a demand for a version that lapses, since calls that any server may run
// wait for a slot of the same model and need no load.
func TestDemandForAVersionIsRepeated(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		s, d := versionHolders(c, 2)
		loader := newDemandLoader(time.Minute / 2)
		d.Loader = loader
		s.hold("s0", false)
		s.replicas[1].Slots = 1
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for i := range 6 {
			call, _ := s.streamOf(fmt.Sprint(i), beginsAndStays())
			call.Context, call.Deadline = ctx, call.Started.Add(time.Hour)
			if i == 5 {
				call.Restrict("v1")
			}
			start(d, call)
		}
		time.Sleep(2 * time.Second)
		demands := loader.of("v1")
		c.Check(len(demands) >= 8, qt.IsTrue, qt.Commentf("%d demands in 2 s", len(demands)))
		c.Check(loader.of(""), qt.HasLen, 0)
	})
}

// Guards against other plans on ordinary days: in a pool of a single version the rest of a
// stream waits like any other call.
func TestDemandInAPoolOfOneVersionNamesNone(t *testing.T) {
	runInBubble(t, func(c *qt.C) {
		s, d := versionHolders(c, 2)
		s.replicas = s.replicas[:1]
		loader := newDemandLoader(time.Second)
		d.Loader = loader
		s.hold("s0", false)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for i := range 2 {
			call, _ := s.streamOf(fmt.Sprint(i), answers())
			call.Context = ctx
			if i == 0 {
				call.Restrict("v1")
			}
			start(d, call)
		}
		time.Sleep(250 * time.Millisecond)
		c.Check(loader.of("v1"), qt.HasLen, 0)
		demands := loader.of("")
		c.Assert(demands, qt.Not(qt.HasLen), 0)
		c.Check(demands[len(demands)-1].Waiting, qt.Equals, 2)
	})
}
