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

// batchesVariable names the environment variable that sets the number of batches
// of runs, seedVariable the one that sets the seed of the first batch. Further
// batches use consecutive seeds.
const (
	batchesVariable = "GRANT_BATCHES"
	seedVariable    = "GRANT_SEED"
)

// minSteps is the minimum number of actions per batch.
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

// intFromEnv returns the value of an environment variable, or the given default
// if it is not set.
func intFromEnv(t *testing.T, name string, fallback int) int {
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	value, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return value
}

var errNoAnswer = errors.New("no answer")

// deliveryMode determines how the network treats load orders.
type deliveryMode int

const (
	delivered deliveryMode = iota
	answerLost
	requestLost
	delayed
	paused
	deliveryModeCount
)

// network connects the nodes to the engines. It can lose load orders, delay them
// without bound, or pause their sender just before it sends.
type network struct {
	cluster *cluster
	mu      sync.Mutex
	mode    deliveryMode
	// delayedOrders are load orders that have left their sender and not arrived.
	delayedOrders []func()
	// pausedSenders are senders that are paused just before they send.
	pausedSenders []chan struct{}
}

func (n *network) dial(address string) grant.Engine {
	n.cluster.mu.Lock()
	handler := n.cluster.engines[fleet.ServerID(address)]
	n.cluster.mu.Unlock()
	return &engineLink{network: n, Client: &engine.Client{
		Address: address, HTTP: &http.Client{Transport: handlerTransport{handler}},
	}}
}

// engineLink is an engine client whose load orders pass through the network.
type engineLink struct {
	*engine.Client
	network *network
}

func (l *engineLink) Load(ctx context.Context, order engine.LoadOrder) error {
	n := l.network
	n.mu.Lock()
	mode := n.mode
	send := func() { _ = l.Client.Load(context.Background(), order) }
	wait := make(chan struct{})
	switch mode {
	case delayed:
		n.delayedOrders = append(n.delayedOrders, send)
	case paused:
		n.pausedSenders = append(n.pausedSenders, wait)
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
	*cluster
	rt           *rapid.T
	network      *network
	nodes        []*grant.Controller
	stops        []func()
	nodesStarted int
	loads        sync.WaitGroup
	items        []fleet.Item
	steps        *int
	actionCounts map[string]int
}

func newFleetRun(t *testing.T, rt *rapid.T) *fleetRun {
	r := &fleetRun{cluster: newCluster(t, true, 2, 24*fleet.GiB), rt: rt, actionCounts: make(map[string]int)}
	r.network = &network{cluster: r.cluster}
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
	r.addNode()
	r.addNode()
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

func (r *fleetRun) addNode() {
	r.nodesStarted++
	controller, stop := r.startConfiguredNode(fleet.NodeID(fmt.Sprintf("n%d", r.nodesStarted)), func(c *grant.Controller) {
		c.Dial, c.PollInterval, c.RefreshInterval = r.network.dial, time.Second, 2*time.Second
	})
	r.nodes, r.stops = append(r.nodes, controller), append(r.stops, stop)
}

func (r *fleetRun) drawNode(label string) int {
	return rapid.IntRange(0, len(r.nodes)-1).Draw(r.rt, label)
}

func (r *fleetRun) drawServer() fleet.ServerID {
	vms := r.listed()
	return vms[rapid.IntRange(0, len(vms)-1).Draw(r.rt, "server")].ID
}

func (r *fleetRun) countAction(action string) {
	*r.steps++
	r.actionCounts[action]++
}

// load starts a load without waiting for its result.
func (r *fleetRun) load(*rapid.T) {
	node, server := r.nodes[r.drawNode("node")], r.drawServer()
	item := rapid.SampledFrom(r.items).Draw(r.rt, "item")
	r.countAction("load")
	r.loads.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, _ = node.Load(ctx, item, server)
	})
	time.Sleep(time.Millisecond)
}

// reserve starts to reserve a standing grant without waiting for its result.
func (r *fleetRun) reserve(*rapid.T) {
	node, server := r.nodes[r.drawNode("node")], r.drawServer()
	item := rapid.SampledFrom(r.items).Draw(r.rt, "item")
	r.countAction("reserve")
	r.loads.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, _ = node.Reserve(ctx, item, server)
	})
	time.Sleep(time.Millisecond)
}

func (r *fleetRun) unload(*rapid.T) {
	node := r.nodes[r.drawNode("node")]
	var grants []fleet.GrantID
	for _, view := range node.Views() {
		for _, entry := range view.Grants {
			grants = append(grants, entry.Grant)
		}
	}
	if len(grants) == 0 {
		r.rt.Skip()
	}
	id := rapid.SampledFrom(grants).Draw(r.rt, "grant")
	r.countAction("unload")
	r.loads.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_ = node.Unload(ctx, id)
	})
	time.Sleep(time.Millisecond)
}

// killNode stops a node and starts another. The others may or may not consider
// the stopped node dead.
func (r *fleetRun) killNode(*rapid.T) {
	i := r.drawNode("node")
	r.countAction("kill")
	r.stops[i]()
	knownDead := rapid.Bool().Draw(r.rt, "told")
	r.update(func() { r.dead[r.nodes[i].Node] = knownDead })
	r.nodes, r.stops = slices.Delete(r.nodes, i, i+1), slices.Delete(r.stops, i, i+1)
	r.addNode()
}

// suspect toggles whether the nodes consider a running node dead.
func (r *fleetRun) suspect(*rapid.T) {
	i := r.drawNode("node")
	r.countAction("suspect")
	r.update(func() { r.dead[r.nodes[i].Node] = !r.dead[r.nodes[i].Node] })
}

func (r *fleetRun) crashEngine(*rapid.T) {
	id := r.drawServer()
	if rapid.IntRange(0, 3).Draw(r.rt, "spare") > 0 {
		r.rt.Skip()
	}
	r.countAction("crash")
	r.mu.Lock()
	crashed := r.engines[id]
	r.mu.Unlock()
	crashed.Crash()
}

// replaceVM stops a VM and lists another in its place.
func (r *fleetRun) replaceVM(*rapid.T) {
	vms := r.listed()
	i := rapid.IntRange(0, len(vms)-1).Draw(r.rt, "vm")
	r.countAction("replace")
	r.mu.Lock()
	old := r.engines[vms[i].ID]
	r.mu.Unlock()
	old.Stop()
	id := fleet.ServerID(fmt.Sprintf("s%d", len(r.engines)))
	r.addEngine(id, vms[i].Pool == "llm")
	vm := vms[i]
	vm.ID, vm.Address = id, string(id)
	r.update(func() {
		r.vms = slices.Clone(r.vms)
		r.vms[i] = vm
	})
}

func (r *fleetRun) setNetwork(*rapid.T) {
	mode := deliveryMode(rapid.IntRange(0, int(deliveryModeCount)-1).Draw(r.rt, "mode"))
	r.countAction("network")
	r.network.mu.Lock()
	r.network.mode = mode
	r.network.mu.Unlock()
}

// deliver lets one delayed order arrive or one paused sender continue.
func (r *fleetRun) deliver(*rapid.T) {
	n := r.network
	n.mu.Lock()
	all := len(n.delayedOrders) + len(n.pausedSenders)
	n.mu.Unlock()
	if all == 0 {
		r.rt.Skip()
	}
	i := rapid.IntRange(0, all-1).Draw(r.rt, "order")
	r.countAction("deliver")
	n.deliver(i)
	time.Sleep(time.Millisecond)
}

func (n *network) deliver(i int) {
	n.mu.Lock()
	if i >= len(n.delayedOrders) {
		i -= len(n.delayedOrders)
		close(n.pausedSenders[i])
		n.pausedSenders = slices.Delete(n.pausedSenders, i, i+1)
		n.mu.Unlock()
		return
	}
	send := n.delayedOrders[i]
	n.delayedOrders = slices.Delete(n.delayedOrders, i, i+1)
	n.mu.Unlock()
	send()
}

func (r *fleetRun) setTable(*rapid.T) {
	faults := rapid.SampledFrom([]standin.TableFaults{
		{}, {}, {Down: true}, {LoseAnswers: 1}, {LoseAnswers: 3}, {LoseRequests: 1}, {LoseRequests: 40}, {Delay: time.Second}, {Delay: 3 * time.Second},
	}).Draw(r.rt, "faults")
	r.countAction("table")
	r.table.SetFaults(faults)
}

func (r *fleetRun) setLag(*rapid.T) {
	id := r.drawServer()
	lag := rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second, 8 * time.Second}).Draw(r.rt, "lag")
	r.countAction("lag")
	r.mu.Lock()
	e := r.engines[id]
	r.mu.Unlock()
	e.SetFaults(standin.EngineFaults{ReportLag: fleet.Duration(lag)})
}

// newVersion changes the version of a deployment, as an operator's ticket does.
func (r *fleetRun) newVersion(*rapid.T) {
	model := rapid.SampledFrom([]fleet.ModelID{"hop", "bine"}).Draw(r.rt, "model")
	r.countAction("version")
	r.update(func() {
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
	r.countAction("wait")
	time.Sleep(span)
}

// checkInvariants is called after each action. It checks the violations recorded
// by the engines' ledger, and that the table never reserves more than a server's
// memory.
func (r *fleetRun) checkInvariants(*rapid.T) {
	for _, violation := range r.ledger.Violations() {
		r.rt.Fatalf("invariant violated: %+v", violation)
	}
	for _, server := range r.records() {
		if server.Reserved() > server.Memory {
			r.rt.Fatalf("server %s: %s reserved of %s", server.Server, server.Reserved(), server.Memory)
		}
	}
}

// records returns the server records of the table, bypassing injected faults.
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

// finish ends all faults and delivers all orders. The invariants must still hold
// then, and no grant may stay draining on engines that check fencing numbers.
func (r *fleetRun) finish() {
	r.table.SetFaults(standin.TableFaults{})
	r.network.mu.Lock()
	r.network.mode = delivered
	r.network.mu.Unlock()
	for len(r.network.delayedOrders)+len(r.network.pausedSenders) > 0 {
		r.network.deliver(0)
	}
	r.loads.Wait()
	for _, e := range r.engines {
		e.SetFaults(standin.EngineFaults{})
	}
	time.Sleep(2 * time.Minute)
	r.checkInvariants(r.rt)
	for _, server := range r.records() {
		for _, g := range server.Grants {
			if server.Pool == "llm" && g.State == grant.Draining {
				r.rt.Fatalf("server %s: grant %s of %s is still draining after all faults ended: %+v", server.Server, g.ID, g.Item, g)
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

func TestInvariantsHoldUnderRandomFaults(t *testing.T) {
	const firstSeed = 20261
	seed, batches := intFromEnv(t, seedVariable, firstSeed), intFromEnv(t, batchesVariable, 1)
	total := 0
	for i := range batches {
		if err := flag.Set("rapid.seed", strconv.Itoa(seed+i)); err != nil {
			t.Fatal(err)
		}
		total += runBatch(t)
	}
	t.Logf("%d steps in total", total)
}

// runBatch runs one batch in a synctest bubble of its own, since rapid ends a
// check after a day, which is virtual time here. It returns the number of steps.
func runBatch(t *testing.T) (steps int) {
	done := make(map[string]int)
	inVirtualTime(t, func(t *testing.T) {
		rapid.Check(struct{ testing.TB }{t}, func(rt *rapid.T) {
			r := newFleetRun(t, rt)
			r.steps = &steps
			defer func() {
				for action, count := range r.actionCounts {
					done[action] += count
				}
			}()
			rt.Repeat(map[string]func(*rapid.T){
				"": r.checkInvariants, "load": r.load, "load2": r.load, "load3": r.load, "unload": r.unload, "unload2": r.unload,
				"reserve": r.reserve, "kill": r.killNode, "suspect": r.suspect, "crash": r.crashEngine, "replace": r.replaceVM,
				"network": r.setNetwork, "network2": r.setNetwork, "deliver": r.deliver, "deliver2": r.deliver,
				"deliver3": r.deliver, "table": r.setTable, "lag": r.setLag,
				"version": r.newVersion, "wait": r.wait, "wait2": r.wait, "wait3": r.wait,
			})
			r.finish()
		})
	})
	t.Logf("%d steps: %v", steps, done)
	if steps < minSteps && !testing.Short() {
		t.Fatalf("too few steps in the batch: %d", steps)
	}
	return steps
}
