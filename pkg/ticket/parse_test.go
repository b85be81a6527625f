package ticket_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

func ExampleParse() {
	_, err := ticket.Parse([]byte(`{"number": 7, "deployments": {"hop-advisor": {"size": "16", "replicas": {"max": "2"}}}}`))
	fmt.Println(err)
	// Output:
	// deployments.hop-advisor.accelerators: is 0, must be 1 or more
	// deployments.hop-advisor.class: is "", must be "interactive", "diagnosis" or "batch"
	// deployments.hop-advisor.concurrency: is 0, must be 1 or more
	// deployments.hop-advisor.replicas.max: want a number, found "2"
	// deployments.hop-advisor.size: size "16": missing unit, use B, KiB, MiB, GiB or TiB
	// deployments.hop-advisor.timeout: must be more than 0s
	// deployments.hop-advisor.version: is missing
}

func TestAllInvalidValuesAreReportedWithPaths(t *testing.T) {
	files, err := filepath.Glob("testdata/invalid/*.json")
	qt.Assert(t, err, qt.IsNil)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			c := qt.New(t)
			text, err := os.ReadFile(file)
			c.Assert(err, qt.IsNil)
			parsed, err := ticket.Parse(text)
			if err == nil {
				current := &ticket.Snapshot{Pools: map[fleet.PoolID]*ticket.Pool{"old": {Kind: ticket.ServicePool}}}
				err = ticket.Validate(parsed, current)
			}
			c.Assert(err, qt.Not(qt.IsNil))
			golden := strings.TrimSuffix(file, ".json") + ".golden"
			if *update {
				c.Assert(os.WriteFile(golden, []byte(err.Error()+"\n"), 0o600), qt.IsNil)
			}
			want, readErr := os.ReadFile(golden)
			c.Assert(readErr, qt.IsNil)
			c.Assert(err.Error()+"\n", qt.Equals, string(want))
		})
	}
}

func TestTicketOfTooManyObjectsIsRefused(t *testing.T) {
	c := qt.New(t)
	large := ticket.Ticket{Number: 1, Pools: map[fleet.PoolID]*ticket.Pool{}}
	for i := range ticket.MaxObjects + 1 {
		large.Pools[fleet.PoolID(fmt.Sprint("p", i))] = &ticket.Pool{Kind: ticket.EnginePool}
	}
	c.Assert(ticket.Validate(large, &ticket.Snapshot{}), qt.ErrorMatches, "touches 91 objects, more than 90.*")
	delete(large.Pools, "p0")
	c.Assert(ticket.Validate(large, &ticket.Snapshot{}), qt.IsNil)
}

func TestPoolInUseCannotBeDeleted(t *testing.T) {
	c := qt.New(t)
	current := &ticket.Snapshot{
		Pools:    map[fleet.PoolID]*ticket.Pool{"counter": {Kind: ticket.ServicePool}},
		Services: map[fleet.ServiceID]*ticket.Service{"stock": {Prefix: "/stock/", Pool: "counter"}},
	}
	deletion := ticket.Ticket{Number: 2, Pools: map[fleet.PoolID]*ticket.Pool{"counter": nil}}
	c.Assert(ticket.Validate(deletion, current), qt.ErrorMatches, `services.stock.pool: the ticket deletes the pool "counter".*`)
	deletion.Services = map[fleet.ServiceID]*ticket.Service{"stock": nil}
	c.Assert(ticket.Validate(deletion, current), qt.IsNil)
}

// FuzzParse checks that a ticket accepted by Parse is unchanged after being
// encoded and parsed again, and that Validate does not panic on it.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"meaning", "form", "cut"} {
		text, err := os.ReadFile("testdata/invalid/" + name + ".json")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		first, err := ticket.Parse(text)
		if err != nil {
			return
		}
		_ = ticket.Validate(first, &ticket.Snapshot{})
		written, err := json.Marshal(first)
		if err != nil {
			t.Fatal(err)
		}
		second, err := ticket.Parse(written)
		if err != nil {
			t.Fatalf("%s: %v", written, err)
		}
		again, err := json.Marshal(second)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(again), qt.Equals, string(written))
	})
}
