// Package peer carries JSON-RPC 2.0 between the nodes of one deployment.
//
// A [Peer] listens on one TCP address and keeps one long-lived connection to each
// node that it calls. A connection on which a call got no answer in time is
// retired and the next call dials a new one, so that an unresponsive connection
// fails only one call. Bytes are counted, and additionally those on connections
// to other regions.
//
// Other packages register their methods with [Peer.Handle] before Run. The
// package neither retries nor queues calls, since only the calling code can tell
// whether a call may be repeated.
package peer

import (
	"cmp"
	"context"
	"crypto/tls"
	"encoding/json"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/guavatrack/guavatrack/internal/connlimit"
	"github.com/guavatrack/guavatrack/internal/logs"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Errors of a call, to be tested with errors.Is.
var (
	// ErrUnknownNode means that no address is known for the node.
	ErrUnknownNode = errors.New("no address known for the node")
	// ErrUnreachable means that no connection could be made, or that it broke or
	// the call timed out before the answer was received.
	ErrUnreachable = errors.New("node unreachable")
)

const (
	// dialTimeout bounds the time to establish a connection.
	dialTimeout = 2 * time.Second
	// writeTimeout bounds one write, so that a receiver that stopped reading does
	// not block other calls.
	writeTimeout = 5 * time.Second
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 2 * time.Minute
	// retireDelay is the time that calls pending on a retired connection have to
	// finish before it is closed.
	retireDelay = 10 * time.Second
	// maxConcurrentCalls bounds the calls that are handled concurrently on one connection.
	maxConcurrentCalls = 64
	// maxInboundConnections bounds the connections that other nodes have open to this one.
	maxInboundConnections = 1024
)

// Handler handles the calls of one method. The params are JSON and the result is
// encoded as JSON.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Typed returns a Handler that decodes the params for a function with typed input
// and output.
func Typed[In, Out any](handle func(context.Context, In) (Out, error)) Handler {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		var in In
		if len(params) > 0 {
			if err := json.Unmarshal(params, &in); err != nil {
				return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
			}
		}
		return handle(ctx, in)
	}
}

// Peer is the server and client of one node. Set the exported fields before Run.
type Peer struct {
	// Address is the host and port to listen on.
	Address string
	// TLS is used for inbound and outbound connections. Nil means plain TCP.
	TLS *tls.Config
	// Resolve returns the peer address of a node.
	Resolve func(fleet.NodeID) (address string, found bool)
	// InOtherRegion reports whether the address is in another region. Nil means that
	// none is.
	InOtherRegion func(address string) bool
	// MaxInbound bounds the connections that other processes have open to this one, MaxMessage
	// the length of a message; 0 means maxInboundConnections and maxMessageBytes. MaxPerAddress
	// bounds the connections from one address; 0 means no bound. InboundMemory holds the memory of
	// these connections and of the messages that arrive on them; nil means no bound.
	MaxInbound    int
	MaxPerAddress int
	MaxMessage    int64
	InboundMemory *connlimit.Account
	Log           *slog.Logger
	Metrics       metrics.Registry

	once        sync.Once
	handlers    map[string]Handler
	ready       chan struct{}
	listener    net.Listener
	counts      counters
	limitCounts *connlimit.Counters
	inbound     *connlimit.Table
	shards      [connShards]connShard
}

func (p *Peer) init() {
	p.once.Do(func() {
		p.handlers = make(map[string]Handler)
		p.ready = make(chan struct{})
		p.counts = newCounters(p.Metrics)
		p.limitCounts = connlimit.NewCounters(p.Metrics)
		p.limitCounts.Refused = p.counts.inboundRefused
		p.MaxInbound = cmp.Or(p.MaxInbound, maxInboundConnections)
		p.MaxMessage = cmp.Or(p.MaxMessage, maxMessageBytes)
		p.Log = logs.OrDiscard(p.Log)
	})
}

// Handle registers a method. It must be called before Run.
func (p *Peer) Handle(method string, handler Handler) {
	p.init()
	p.handlers[method] = handler
}

// Ready returns a channel that is closed once the peer listens.
func (p *Peer) Ready() <-chan struct{} {
	p.init()
	return p.ready
}

// ListenAddress returns the address that the peer listens on, which differs
// from Address if that requests any free port. It must not be called before Ready
// is closed.
func (p *Peer) ListenAddress() string { return p.listener.Addr().String() }

// InboundConnections returns the number of connections that other processes have open to this one.
// It must not be called before Ready is closed.
func (p *Peer) InboundConnections() int { return p.inbound.Count() }

// Listen opens the listening socket if it is not open. Run calls it.
func (p *Peer) Listen(ctx context.Context) (err error) {
	p.init()
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "peer listen on %s", p.Address)
		}
	}()
	if p.listener != nil {
		return nil
	}
	var config net.ListenConfig
	if p.listener, err = config.Listen(ctx, "tcp", p.Address); err != nil {
		return err
	}
	p.inbound = &connlimit.Table{
		Connections: p.MaxInbound, PerAddress: p.MaxPerAddress, Account: p.InboundMemory, Memory: connlimit.ConnectionMemory,
	}
	p.listener = &connlimit.Listener{Listener: p.listener, Counters: p.limitCounts, Table: p.inbound}
	if p.TLS != nil {
		p.listener = tls.NewListener(p.listener, p.TLS)
	}
	close(p.ready)
	return nil
}

// Run accepts connections until the context ends.
func (p *Peer) Run(ctx context.Context) error {
	if err := p.Listen(ctx); err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = p.listener.Close() })
	defer stop()
	defer p.closeAll()
	go p.closeIdle(ctx)
	for {
		conn, err := p.listener.Accept()
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil:
			p.counts.acceptErrors.Inc(1)
			wait.For(ctx, acceptRetryDelay)
		default:
			p.accept(ctx, conn)
		}
	}
}

// acceptRetryDelay is the delay after a failed accept, which prevents a busy loop.
const acceptRetryDelay = 50 * time.Millisecond

// accept serves an inbound connection.
func (p *Peer) accept(ctx context.Context, conn net.Conn) {
	limits := &inboundLimits{conn: conn, account: p.InboundMemory, counters: p.limitCounts}
	p.serve(ctx, &countedConn{Conn: conn, sent: p.counts.bytesSent, received: p.counts.bytesReceived}, limits)
}

func (p *Peer) serve(ctx context.Context, conn net.Conn, limits *inboundLimits) *jsonrpc2.Conn {
	stream := jsonrpc2.NewBufferedStream(conn, codec{maxBytes: p.MaxMessage, inbound: limits})
	return jsonrpc2.NewConn(ctx, stream, &dispatcher{peer: p, slots: make(chan struct{}, maxConcurrentCalls)},
		jsonrpc2.SetLogger(discardLogger{}))
}

// discardLogger drops the log lines of the library; counters report the same
// events.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// dispatcher dispatches the requests of one connection to their handlers.
type dispatcher struct {
	peer  *Peer
	slots chan struct{}
}

// Handle implements [jsonrpc2.Handler]. It blocks reading from the connection
// while maxConcurrentCalls of its requests are being handled.
func (d *dispatcher) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	d.slots <- struct{}{}
	go func() {
		defer func() { <-d.slots }()
		d.answer(ctx, conn, request)
	}()
}

func (d *dispatcher) answer(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	d.peer.counts.callsServed.Inc(1)
	handler, found := d.peer.handlers[request.Method]
	if !found {
		d.reply(ctx, conn, request, nil, &jsonrpc2.Error{
			Code: jsonrpc2.CodeMethodNotFound, Message: "no method " + request.Method,
		})
		return
	}
	var params json.RawMessage
	if request.Params != nil {
		params = *request.Params
	}
	result, err := handler(ctx, params)
	// The answer may wait for a node that does not read.
	request.Params = nil
	d.reply(ctx, conn, request, result, err)
}

func (d *dispatcher) reply(
	ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request, result any, err error,
) {
	if request.Notif {
		return
	}
	if err != nil {
		answer, ok := errors.Into[*jsonrpc2.Error](err)
		if !ok {
			answer = &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
		}
		_ = conn.ReplyWithError(ctx, request.ID, answer)
		return
	}
	_ = conn.Reply(ctx, request.ID, result)
}

// Call calls a method of a node and waits for the answer. It fails with
// ErrUnknownNode, ErrUnreachable or the handler's own error as a
// [*jsonrpc2.Error].
func (p *Peer) Call(ctx context.Context, node fleet.NodeID, method string, in, out any) error {
	address, found := p.Resolve(node)
	if !found {
		return errors.Wrapf(ErrUnknownNode, "%s of %s", method, node)
	}
	return p.CallAddress(ctx, address, method, in, out)
}

// CallAddress calls a method of the node that listens on the address.
func (p *Peer) CallAddress(ctx context.Context, address, method string, in, out any) (err error) {
	p.init()
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "%s of %s", method, address)
		}
	}()
	p.counts.callsMade.Inc(1)
	conn, err := p.connection(ctx, address)
	if err != nil {
		p.counts.callsFailed.Inc(1)
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	err = conn.rpc.Call(ctx, method, in, out)
	if err == nil {
		return nil
	}
	if answer, ok := errors.Into[*jsonrpc2.Error](err); ok {
		return answer
	}
	p.counts.callsFailed.Inc(1)
	p.retire(address, conn)
	return errors.Wrap(ErrUnreachable, err.Error())
}
