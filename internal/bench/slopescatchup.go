package bench

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/internal/peer"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// headlineTickets is the history whose times the result shows first.
const headlineTickets = 10000

var catchUpTickets = []int{1000, headlineTickets, 100000}

// CatchUpCosts compares two ways for a new node to catch up with a history of
// tickets that each set one of 1,500 models: fetching the newest entry of each
// object, and replaying the tickets in order.
type CatchUpCosts struct {
	Tickets     int     `json:"tickets"`
	StateS      float64 `json:"stateS"`
	StateBytes  int64   `json:"stateBytes"`
	ReplayS     float64 `json:"replayS"`
	ReplayBytes int64   `json:"replayBytes"`
	// BehindS and BehindBytes are the costs of state for a node that lacks the
	// last ten tickets only.
	BehindS     float64 `json:"behindS"`
	BehindBytes int64   `json:"behindBytes"`
}

// catchUpLimit bounds the wait for a node that catches up.
const catchUpLimit = 30 * time.Second

func measureCatchUp(ctx context.Context, tickets int) (costs CatchUpCosts, err error) {
	costs.Tickets = tickets
	models := min(tickets, projectedModels)
	f := newControlFleet(1, 1)
	defer f.close()
	holder, err := f.start(ctx)
	if err != nil {
		return costs, err
	}
	number, err := f.fill(ctx, models)
	if err != nil {
		return costs, err
	}
	if costs.StateS, costs.StateBytes, err = fetchState(ctx, holder); err != nil {
		return costs, err
	}
	if costs.BehindS, costs.BehindBytes, err = fetchBehind(ctx, holder, number); err != nil {
		return costs, err
	}
	costs.ReplayS, costs.ReplayBytes, err = replay(ctx, tickets, models)
	return costs, err
}

// stranger returns a node without the table that knows the holder's address.
func stranger(ctx context.Context, holder *controlNode) (*controlNode, func(), error) {
	node := &controlNode{id: "stranger", registry: metrics.NewRegistry()}
	node.peers = &peer.Peer{Address: "127.0.0.1:0", Metrics: node.registry}
	other := newControlFleet(1, 1)
	info := holder.members.Members()[0]
	info.Node, info.PeerAddress = node.id, "127.0.0.1:0"
	other.wire(node, info)
	node.config.Membership = nil
	node.peers.Resolve = func(fleet.NodeID) (string, bool) { return holder.peers.ListenAddress(), true }
	ctx, cancel := context.WithCancel(ctx)
	node.done.Go(func() { _ = node.config.Run(ctx) })
	other.nodes = append(other.nodes, node)
	if _, err := other.await(ctx, catchUpLimit, func(n *controlNode) bool { return n.config.Current() }); err != nil {
		cancel()
		return nil, nil, err
	}
	return node, func() { cancel(); node.done.Wait() }, nil
}

// fetchFrom lets a node hear the holder's stamp and waits until it has all.
func fetchFrom(ctx context.Context, node, holder *controlNode) (seconds float64, bytes int64, err error) {
	received := metrics.GetOrRegisterCounter("peer.bytesReceived", node.registry)
	sent := metrics.GetOrRegisterCounter("peer.bytesSent", node.registry)
	before := received.Count() + sent.Count()
	want := holder.config.Digest()
	began := time.Now()
	node.config.ReceiveStamp(ctx, holder.id, holder.config.Stamp())
	for node.config.Digest() != want {
		if time.Since(began) > catchUpLimit {
			return 0, 0, errors.New("state not fetched in time")
		}
		time.Sleep(100 * time.Microsecond)
	}
	return time.Since(began).Seconds(), received.Count() + sent.Count() - before, nil
}

func fetchState(ctx context.Context, holder *controlNode) (float64, int64, error) {
	node, end, err := stranger(ctx, holder)
	if err != nil {
		return 0, 0, err
	}
	defer end()
	return fetchFrom(ctx, node, holder)
}

// lastTickets is how far a node is behind that missed little.
const lastTickets = 10

func fetchBehind(ctx context.Context, holder *controlNode, number fleet.TicketNumber) (float64, int64, error) {
	node, end, err := stranger(ctx, holder)
	if err != nil {
		return 0, 0, err
	}
	defer end()
	if _, _, err := fetchFrom(ctx, node, holder); err != nil {
		return 0, 0, err
	}
	for i := range lastTickets {
		change := ticket.Ticket{
			Number:      number + fleet.TicketNumber(i) + 1,
			Deployments: map[fleet.ModelID]*ticket.Deployment{modelName(i * 7): deployment(i)},
		}
		if _, err := holder.config.Apply(ctx, change, "bench"); err != nil {
			return 0, 0, err
		}
	}
	return fetchFrom(ctx, node, holder)
}

// page asks for tickets in order.
type page struct {
	After int `json:"after"`
}

const ticketsPerPage = 500

// replay fetches a history in order over a connection of the same kind and
// applies it ticket by ticket.
func replay(ctx context.Context, tickets, models int) (seconds float64, bytes int64, err error) {
	history := make([]json.RawMessage, tickets)
	for i := range history {
		change := ticket.Ticket{
			Number: fleet.TicketNumber(i + 1), Operator: "bench",
			Deployments: map[fleet.ModelID]*ticket.Deployment{modelName(i % models): deployment(i)},
		}
		if history[i], err = json.Marshal(change); err != nil {
			return 0, 0, err
		}
	}
	registry := metrics.NewRegistry()
	server, client := &peer.Peer{Address: "127.0.0.1:0"}, &peer.Peer{Metrics: registry}
	server.Handle("history", peer.Typed(func(_ context.Context, asked page) ([]byte, error) {
		return compress(history[asked.After:min(len(history), asked.After+ticketsPerPage)])
	}))
	if err := server.Listen(ctx); err != nil {
		return 0, 0, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { _ = server.Run(ctx) }()
	state := ticket.NewState()
	began := time.Now()
	for after := 0; after < tickets; after += ticketsPerPage {
		var part []byte
		if err := client.CallAddress(ctx, server.ListenAddress(), "history", page{After: after}, &part); err != nil {
			return 0, 0, err
		}
		if err := applyInOrder(state, part); err != nil {
			return 0, 0, err
		}
	}
	_ = state.Snapshot()
	seconds = time.Since(began).Seconds()
	return seconds, metrics.GetOrRegisterCounter("peer.bytesReceived", registry).Count() +
		metrics.GetOrRegisterCounter("peer.bytesSent", registry).Count(), nil
}

// compress packs a page as the fetch of state does.
func compress(part []json.RawMessage) ([]byte, error) {
	var buffer bytes.Buffer
	writer, err := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := json.NewEncoder(writer).Encode(part); err != nil {
		return nil, err
	}
	err = writer.Close()
	return buffer.Bytes(), err
}

func applyInOrder(state *ticket.State, part []byte) error {
	reader, err := gzip.NewReader(bytes.NewReader(part))
	if err != nil {
		return err
	}
	var changes []ticket.Ticket
	if err := json.NewDecoder(reader).Decode(&changes); err != nil {
		return err
	}
	for _, change := range changes {
		entries, err := change.Entries()
		if err != nil {
			return err
		}
		for _, entry := range entries {
			if _, err := state.Merge(entry); err != nil {
				return err
			}
		}
	}
	return nil
}
