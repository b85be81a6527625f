package bench

import (
	"encoding/json"
	"math"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/trace"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// TestReplayCountsIdleTimeAndWaits replays two requests ten minutes apart with
// a keep-alive of one minute on an empty site.
func TestReplayCountsIdleTimeAndWaits(t *testing.T) {
	c := qt.New(t)
	item := fleet.ParseItem("m")
	arrivals := []trace.Arrival{{At: 0, Item: item}, {At: 10 * time.Minute, Item: item}}
	r := newReplay(wreathSite(), fixed(time.Minute), 0)
	r.reluctant = true
	stream := r.streams(arrivals, 1, 1)
	r.run(arrivals, stream, time.Hour)
	size := stream[0].size
	first := modelStartup + time.Duration(float64(size)/float64(2*fleet.GiB)*float64(time.Second))
	// From the store at 2 GiB/s; then the checkpoint is in host memory: 16 GiB/s.
	second := modelStartup + time.Duration(float64(size)/float64(16*fleet.GiB)*float64(time.Second))
	c.Assert(math.Abs(r.coldTotal-(first+second).Seconds()) < 1e-6, qt.IsTrue, qt.Commentf("%g", r.coldTotal))
	idle := (first + second + 2*time.Minute).Hours()
	c.Assert(math.Abs(r.idleHours-idle) < 1e-6, qt.IsTrue, qt.Commentf("%g, expected %g", r.idleHours, idle))
}

func TestReplayNeverOvercommitsMemory(t *testing.T) {
	c := qt.New(t)
	site := wreathSite()
	site.engines, site.trace.Models = 3, 30
	config := site.trace
	config.Seed, config.Span, config.MaxPerHour = 1, 24*time.Hour, 20
	arrivals := trace.Generate(config)
	for _, contender := range contenders() {
		if contender.unbounded {
			continue
		}
		r := newReplay(site, contender.strategy, 0)
		r.reluctant = true
		stream := r.streams(arrivals, max(1, contender.nodes), 1)
		for i, arrival := range arrivals {
			r.advance(arrival.At)
			r.arrive(stream[i])
			for j := range r.servers {
				if r.forced == 0 {
					c.Assert(r.servers[j].Reserved <= r.servers[j].Memory, qt.IsTrue, qt.Commentf(contender.name))
				}
			}
		}
	}
}

func TestIdleRefusesBadRows(t *testing.T) {
	name := filepath.Join(t.TempDir(), "trace.csv")
	qt.Assert(t, os.WriteFile(name, []byte("atSeconds,model,adapter\n1,m,\n-2,m,\n"), 0o600), qt.IsNil)
	_, err := Idle(t.Context(), Options{}, IdleFlags{Trace: name})
	qt.Assert(t, err, qt.ErrorMatches, `.*trace.csv: read trace: line 3: atSeconds "-2".*`)
}

func TestIdleReplaysAnOperatorsTrace(t *testing.T) {
	c := qt.New(t)
	name := filepath.Join(t.TempDir(), "trace.csv")
	rows := "atSeconds,model,adapter\n0,m,\n600,m,a\n1200,m,\n1800,n,\n"
	c.Assert(os.WriteFile(name, []byte(rows), 0o600), qt.IsNil)
	result, err := Idle(t.Context(), Options{Seed: 1}, IdleFlags{Trace: name})
	c.Assert(err, qt.IsNil)
	line, err := json.Marshal(result)
	c.Assert(err, qt.IsNil)
	var fields map[string]map[string]any
	c.Assert(json.Unmarshal([]byte(`{"wreaths":`+string(mustMarshal(c, result.Wreaths))+`}`), &fields), qt.IsNil)
	for _, field := range []string{
		"coldStartP99S", "coldStartP999S", "idleAcceleratorHours", "cost", "bestFixedCost", "clairvoyantCost",
	} {
		c.Assert(fields["wreaths"][field], qt.IsNotNil, qt.Commentf("%s in %s", field, line))
	}
	c.Assert(result.Wreaths.ClairvoyantCost <= result.Wreaths.BestFixedCost, qt.IsTrue)
}

func mustMarshal(c *qt.C, value any) []byte {
	body, err := json.Marshal(value)
	c.Assert(err, qt.IsNil)
	return body
}

func TestIdlePlotIsWritten(t *testing.T) {
	c := qt.New(t)
	name := filepath.Join(t.TempDir(), "idle.png")
	outcome := []IdleOutcome{{Name: "a", IdleAcceleratorHours: 2, ColdStartMeanS: 1}, {Name: "b"}}
	c.Assert(plotIdle(&IdleResult{Wreaths: IdleCosts{Strategies: outcome}, Pedals: IdleCosts{Strategies: outcome}}, name), qt.IsNil)
	info, err := os.Stat(name)
	c.Assert(err, qt.IsNil)
	c.Assert(info.Size() > 0, qt.IsTrue)
}
