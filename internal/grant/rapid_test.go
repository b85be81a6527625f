package grant_test

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/grant"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// batchesVariable names the environment variable that sets how many batches of
// runs are made, seedVariable that of the first batch's seed; the seeds of the
// others follow it.
const (
	batchesVariable = "GRANT_BATCHES"
	seedVariable    = "GRANT_SEED"
)

// minSteps is the number of actions that each batch must reach.
const minSteps = 10_000

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{
		"rapid.seed": "20261", "rapid.checks": "200", "rapid.steps": "100", "rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// number returns the value of an environment variable.
func number(t *testing.T, name string, otherwise int) int {
	text := os.Getenv(name)
	if text == "" {
		return otherwise
	}
	value, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return value
}

var errNoAnswer = errors.New("no answer")

// mode is what becomes of the next load orders.
type mode int

const (
	delivered mode = iota
	answerLost
	requestLost
	delayed
	paused
	modes
)

// network stands between the nodes and the engines. Load orders can be lost,
// delayed without bound, or held back inside a paused sender.
type network struct {
	site *site
	mu   sync.Mutex
	mode mode
	// flying are load orders that have left their sender.
	flying []func()
	// resume are senders that are paused just before they send.
	resume []chan struct{}
}

func (n *network) dial(address string) grant.Engine {
	n.site.mu.Lock()
	handler := n.site.engines[fleet.ServerID(address)]
	n.site.mu.Unlock()
	return &link{network: n, Client: &engine.Client{
		Address: address, HTTP: &http.Client{Transport: handlerTransport{handler}},
	}}
}

// link is the network to one engine.
type link struct {
	*engine.Client
	network *network
}

func (l *link) Load(ctx context.Context, order engine.LoadOrder) error {
	n := l.network
	n.mu.Lock()
	mode := n.mode
	send := func() { _ = l.Client.Load(context.Background(), order) }
	wait := make(chan struct{})
	switch mode {
	case delayed:
		n.flying = append(n.flying, send)
	case paused:
		n.resume = append(n.resume, wait)
	default:
	}
	n.mu.Unlock()
	switch mode {
	case answerLost:
		send()
		return errNoAnswer
	case requestLost, delayed:
		return errNoAnswer
	case paused:
		<-wait
		return l.Client.Load(context.Background(), order)
	default:
		return l.Client.Load(ctx, order)
	}
}

// fleetRun is one run of the state machine.
type fleetRun struct {
	*site
	rt      *rapid.T
	network *network
	nodes   []*grant.Controller
	stops   []func()
	born    int
	loads   sync.WaitGroup
	items   []fleet.Item
	steps   *int
	done    map[string]int
}

func newFleetRun(t *testing.T, rt *rapid.T) *fleetRun {
	r := &fleetRun{site: newSite(t, true, 2, 24*fleet.GiB), rt: rt, done: make(map[string]int)}
	r.network = &network{site: r.site}
	r.vms[1].Pool = "old"
	r.snapshot.Pools["old"] = &ticket.Pool{Kind: ticket.EnginePool}
	r.addEngine("s1", false)
	r.deploy("hop", 10*fleet.GiB, 1)
	r.deploy("bine", 10*fleet.GiB, 2)
	r.deploy("pedal", 16*fleet.GiB, 1)
	r.snapshot.Deployments["hop"].Adapters = map[fleet.AdapterID]ticket.Adapter{"spring": {Size: fleet.GiB}}
	spring := fleet.Item{Model: "hop", Adapter: "spring"}
	r.ledger.Decide(spring, 1)
	r.items = []fleet.Item{hop, spring, {Model: "bine"}, {Model: "pedal"}}
	r.birth()
	r.birth()
	return r
}

func (r *fleetRun) addEngine(id fleet.ServerID, checksFencing bool) {
	config := standin.DefaultEngine()
	config.ID, config.Memory, config.ChecksFencing = id, 24*fleet.GiB, checksFencing
	config.Ledger, config.Store = r.ledger, standin.NewWeightStore(standin.DefaultStore())
	r.mu.Lock()
	r.engines[id] = standin.NewEngine(config)
	r.mu.Unlock()
}

func (r *fleetRun) birth() {
	r.born++
	controller, stop := r.newNode(fleet.NodeID(fmt.Sprintf("n%d", r.born)), func(c *grant.Controller) {
		c.Dial, c.Poll, c.Refresh = r.network.dial, time.Second, 2*time.Second
	})
	r.nodes, r.stops = append(r.nodes, controller), append(r.stops, stop)
}

func (r *fleetRun) node(label string) int {
	return rapid.IntRange(0, len(r.nodes)-1).Draw(r.rt, label)
}

func (r *fleetRun) server() fleet.ServerID {
	vms := r.listed()
	return vms[rapid.IntRange(0, len(vms)-1).Draw(r.rt, "server")].ID
}

func (r *fleetRun) count(action string) {
	*r.steps++
	r.done[action]++
}

// load asks for a grant without waiting for the answer.
func (r *fleetRun) load(*rapid.T) {
	node, server := r.nodes[r.node("node")], r.server()
	item := rapid.SampledFrom(r.items).Draw(r.rt, "item")
	r.count("load")
	r.loads.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, _ = node.Load(ctx, item, server)
	})
	time.Sleep(time.Millisecond)
}

// reserve asks for a standing grant.
func (r *fleetRun) reserve(*rapid.T) {
	node, server := r.nodes[r.node("node")], r.server()
	item := rapid.SampledFrom(r.items).Draw(r.rt, "item")
	r.count("reserve")
	r.loads.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, _ = node.Reserve(ctx, item, server)
	})
	time.Sleep(time.Millisecond)
}

func (r *fleetRun) unload(*rapid.T) {
	node := r.nodes[r.node("node")]
	var grants []fleet.GrantID
	for _, view := range node.Views() {
		for _, held := range view.Held {
			grants = append(grants, held.Grant)
		}
	}
	if len(grants) == 0 {
		r.rt.Skip()
	}
	id := rapid.SampledFrom(grants).Draw(r.rt, "grant")
	r.count("unload")
	r.loads.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_ = node.Unload(ctx, id)
	})
	time.Sleep(time.Millisecond)
}

// kill ends a node and starts another. The others may or may not be told.
func (r *fleetRun) kill(*rapid.T) {
	i := r.node("node")
	r.count("kill")
	r.stops[i]()
	told := rapid.Bool().Draw(r.rt, "told")
	r.change(func() { r.dead[r.nodes[i].Node] = told })
	r.nodes, r.stops = slices.Delete(r.nodes, i, i+1), slices.Delete(r.stops, i, i+1)
	r.birth()
}

// suspect tells the nodes that a living one is dead.
func (r *fleetRun) suspect(*rapid.T) {
	i := r.node("node")
	r.count("suspect")
	r.change(func() { r.dead[r.nodes[i].Node] = !r.dead[r.nodes[i].Node] })
}

func (r *fleetRun) crash(*rapid.T) {
	id := r.server()
	if rapid.IntRange(0, 3).Draw(r.rt, "spare") > 0 {
		r.rt.Skip()
	}
	r.count("crash")
	r.mu.Lock()
	crashed := r.engines[id]
	r.mu.Unlock()
	crashed.Crash()
}

// replace ends a VM and lists another in its place.
func (r *fleetRun) replace(*rapid.T) {
	vms := r.listed()
	i := rapid.IntRange(0, len(vms)-1).Draw(r.rt, "vm")
	r.count("replace")
	r.mu.Lock()
	old := r.engines[vms[i].ID]
	r.mu.Unlock()
	old.Stop()
	id := fleet.ServerID(fmt.Sprintf("s%d", len(r.engines)))
	r.addEngine(id, vms[i].Pool == "llm")
	vm := vms[i]
	vm.ID, vm.Address = id, string(id)
	r.change(func() {
		r.vms = slices.Clone(r.vms)
		r.vms[i] = vm
	})
}

func (r *fleetRun) setNetwork(*rapid.T) {
	mode := mode(rapid.IntRange(0, int(modes)-1).Draw(r.rt, "mode"))
	r.count("network")
	r.network.mu.Lock()
	r.network.mode = mode
	r.network.mu.Unlock()
}

// deliver lets one delayed order arrive or one paused sender go on.
func (r *fleetRun) deliver(*rapid.T) {
	n := r.network
	n.mu.Lock()
	all := len(n.flying) + len(n.resume)
	n.mu.Unlock()
	if all == 0 {
		r.rt.Skip()
	}
	i := rapid.IntRange(0, all-1).Draw(r.rt, "order")
	r.count("deliver")
	n.deliver(i)
	time.Sleep(time.Millisecond)
}

func (n *network) deliver(i int) {
	n.mu.Lock()
	if i >= len(n.flying) {
		i -= len(n.flying)
		close(n.resume[i])
		n.resume = slices.Delete(n.resume, i, i+1)
		n.mu.Unlock()
		return
	}
	send := n.flying[i]
	n.flying = slices.Delete(n.flying, i, i+1)
	n.mu.Unlock()
	send()
}

func (r *fleetRun) setTable(*rapid.T) {
	faults := rapid.SampledFrom([]standin.TableFaults{
		{}, {}, {Down: true}, {LoseAnswers: 1}, {LoseAnswers: 3}, {LoseRequests: 1}, {LoseRequests: 40}, {Delay: time.Second}, {Delay: 3 * time.Second},
	}).Draw(r.rt, "faults")
	r.count("table")
	r.table.SetFaults(faults)
}

func (r *fleetRun) setLag(*rapid.T) {
	id := r.server()
	lag := rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second, 8 * time.Second}).Draw(r.rt, "lag")
	r.count("lag")
	r.mu.Lock()
	e := r.engines[id]
	r.mu.Unlock()
	e.SetFaults(standin.EngineFaults{ReportLag: fleet.Duration(lag)})
}

// newVersion is an operator's ticket.
func (r *fleetRun) newVersion(*rapid.T) {
	model := rapid.SampledFrom([]fleet.ModelID{"hop", "bine"}).Draw(r.rt, "model")
	r.count("version")
	r.change(func() {
		next := *r.snapshot
		next.Deployments = make(map[fleet.ModelID]*ticket.Deployment)
		for id, deployment := range r.snapshot.Deployments {
			copied := *deployment
			if id == model {
				copied.Version += "+"
			}
			next.Deployments[id] = &copied
		}
		r.snapshot = &next
	})
}

func (r *fleetRun) wait(*rapid.T) {
	span := rapid.SampledFrom([]time.Duration{time.Second, time.Second, 3 * time.Second, 30 * time.Second}).Draw(r.rt, "span")
	r.count("wait")
	time.Sleep(span)
}

// promises is checked after each action: what the engines saw, and the same
// two bounds on what the table holds.
func (r *fleetRun) promises(*rapid.T) {
	for _, violation := range r.ledger.Violations() {
		r.rt.Fatalf("violation: %+v", violation)
	}
	for _, server := range r.records() {
		if server.Reserved() > server.Memory {
			r.rt.Fatalf("server %s: %s reserved of %s", server.Server, server.Reserved(), server.Memory)
		}
	}
}

// records reads the table past its faults.
func (r *fleetRun) records() (servers []grant.ServerRecord) {
	for _, record := range r.table.Snapshot("grants", "server#") {
		var server grant.ServerRecord
		if err := json.Unmarshal(record.Body, &server); err != nil {
			r.rt.Fatal(err)
		}
		servers = append(servers, server)
	}
	return servers
}

// finish ends all faults and lets everything arrive. Nothing may break then,
// and where fencing numbers are checked no unwanted grant may remain.
func (r *fleetRun) finish() {
	r.table.SetFaults(standin.TableFaults{})
	r.network.mu.Lock()
	r.network.mode = delivered
	r.network.mu.Unlock()
	for len(r.network.flying)+len(r.network.resume) > 0 {
		r.network.deliver(0)
	}
	r.loads.Wait()
	for _, e := range r.engines {
		e.SetFaults(standin.EngineFaults{})
	}
	time.Sleep(2 * time.Minute)
	r.promises(r.rt)
	for _, server := range r.records() {
		for _, g := range server.Grants {
			if server.Pool == "llm" && g.State == grant.Draining {
				r.rt.Fatalf("server %s: grant %s of %s is draining for ever: %+v", server.Server, g.ID, g.Item, g)
			}
		}
	}
	for _, stop := range r.stops {
		stop()
	}
	for _, e := range r.engines {
		e.Stop()
	}
	time.Sleep(time.Minute)
}

func TestPromisesHoldWhateverHappens(t *testing.T) {
	const firstSeed = 20261
	seed, batches := number(t, seedVariable, firstSeed), number(t, batchesVariable, 1)
	total := 0
	for i := range batches {
		if err := flag.Set("rapid.seed", strconv.Itoa(seed+i)); err != nil {
			t.Fatal(err)
		}
		total += runBatch(t)
	}
	t.Logf("%d steps in all", total)
}

// runBatch makes one batch in a bubble of its own, since rapid ends a check
// after a day, of virtual time here. It returns the number of steps.
func runBatch(t *testing.T) (steps int) {
	done := make(map[string]int)
	virtual(t, func(t *testing.T) {
		rapid.Check(struct{ testing.TB }{t}, func(rt *rapid.T) {
			r := newFleetRun(t, rt)
			r.steps = &steps
			defer func() {
				for action, count := range r.done {
					done[action] += count
				}
			}()
			rt.Repeat(map[string]func(*rapid.T){
				"": r.promises, "load": r.load, "load2": r.load, "load3": r.load, "unload": r.unload, "unload2": r.unload,
				"reserve": r.reserve, "kill": r.kill, "suspect": r.suspect, "crash": r.crash, "replace": r.replace,
				"network": r.setNetwork, "network2": r.setNetwork, "deliver": r.deliver, "deliver2": r.deliver,
				"deliver3": r.deliver, "table": r.setTable, "lag": r.setLag,
				"version": r.newVersion, "wait": r.wait, "wait2": r.wait, "wait3": r.wait,
			})
			r.finish()
		})
	})
	t.Logf("%d steps: %v", steps, done)
	if steps < minSteps && !testing.Short() {
		t.Fatalf("only %d steps", steps)
	}
	return steps
}
