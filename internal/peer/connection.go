package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/jsonrpc2"
)

// connShards is the number of independently locked shards of the connection map.
const connShards = 16

// connShard holds the connections to the addresses of one shard.
type connShard struct {
	mu    sync.Mutex
	conns map[string]*connection
}

// connection is an outbound connection, which may still be being established.
type connection struct {
	dialed   chan struct{} // closed once rpc or err is set
	rpc      *jsonrpc2.Conn
	err      error
	lastUsed time.Time // guarded by the shard's lock
}

func (p *Peer) shard(address string) *connShard {
	return &p.shards[xxhash.Sum64String(address)%connShards]
}

// connection returns the connection to an address and dials it if necessary.
// Concurrent calls wait for the same dial.
func (p *Peer) connection(ctx context.Context, address string) (*connection, error) {
	shard := p.shard(address)
	shard.mu.Lock()
	conn, found := shard.conns[address]
	if found && conn.broken() {
		found = false
	}
	if !found {
		conn = &connection{dialed: make(chan struct{})}
		if shard.conns == nil {
			shard.conns = make(map[string]*connection)
		}
		shard.conns[address] = conn
	}
	conn.lastUsed = time.Now()
	shard.mu.Unlock()
	if !found {
		go p.dial(context.WithoutCancel(ctx), address, conn) //nolint:gosec // the connection outlives the call that dials it
	}
	select {
	case <-conn.dialed:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if conn.err != nil {
		p.retire(address, conn)
	}
	return conn, conn.err
}

// broken reports whether dialing failed or the connection has been closed.
func (c *connection) broken() bool {
	select {
	case <-c.dialed:
	default:
		return false
	}
	if c.err != nil {
		return true
	}
	select {
	case <-c.rpc.DisconnectNotify():
		return true
	default:
		return false
	}
}

func (p *Peer) dial(ctx context.Context, address string, conn *connection) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	p.counts.dials.Inc(1)
	raw, err := dialTCP(ctx, address, p.TLS)
	if err != nil {
		conn.err = err
		close(conn.dialed)
		return
	}
	counted := &countedConn{Conn: raw, sent: p.counts.bytesSent, received: p.counts.bytesReceived}
	if p.InOtherRegion != nil && p.InOtherRegion(address) {
		counted.crossSent, counted.crossReceived = p.counts.crossSent, p.counts.crossReceived
	}
	conn.rpc = p.serve(context.Background(), counted, nil)
	close(conn.dialed)
}

func dialTCP(ctx context.Context, address string, config *tls.Config) (net.Conn, error) {
	if config == nil {
		var dialer net.Dialer
		return dialer.DialContext(ctx, "tcp", address)
	}
	dialer := tls.Dialer{Config: config}
	return dialer.DialContext(ctx, "tcp", address)
}

// retire removes a connection from the shard, so that the next call dials a new
// one, and closes it after retireDelay, which lets pending calls finish.
func (p *Peer) retire(address string, conn *connection) {
	shard := p.shard(address)
	shard.mu.Lock()
	if shard.conns[address] == conn {
		delete(shard.conns, address)
		p.counts.dropped.Inc(1)
	}
	shard.mu.Unlock()
	if conn.rpc != nil {
		time.AfterFunc(retireDelay, func() { _ = conn.rpc.Close() })
	}
}

// closeIdle periodically closes the connections that have not been used for
// idleTimeout, until the context ends.
func (p *Peer) closeIdle(ctx context.Context) {
	ticker := time.NewTicker(idleTimeout / 4)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			p.closeMatching(func(conn *connection) bool { return now.Sub(conn.lastUsed) > idleTimeout })
		}
	}
}

func (p *Peer) closeAll() { p.closeMatching(func(*connection) bool { return true }) }

func (p *Peer) closeMatching(match func(*connection) bool) {
	for i := range p.shards {
		shard := &p.shards[i]
		shard.mu.Lock()
		for address, conn := range shard.conns {
			if !match(conn) {
				continue
			}
			delete(shard.conns, address)
			go func() {
				<-conn.dialed
				if conn.rpc != nil {
					_ = conn.rpc.Close()
				}
			}()
		}
		shard.mu.Unlock()
	}
}

// Connections returns the number of outbound connections.
func (p *Peer) Connections() int {
	count := 0
	for i := range p.shards {
		p.shards[i].mu.Lock()
		count += len(p.shards[i].conns)
		p.shards[i].mu.Unlock()
	}
	return count
}

// countedConn counts the bytes of a connection and bounds each write by
// writeTimeout. After a failed write it closes the connection: what follows would not be read.
type countedConn struct {
	net.Conn
	sent, received           metrics.Counter
	crossSent, crossReceived metrics.Counter // nil within the region
}

// Read implements [net.Conn].
func (c *countedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.received.Inc(int64(n))
	if c.crossReceived != nil {
		c.crossReceived.Inc(int64(n))
	}
	return n, err
}

// Write implements [net.Conn].
func (c *countedConn) Write(buffer []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(buffer)
	c.sent.Inc(int64(n))
	if c.crossSent != nil {
		c.crossSent.Inc(int64(n))
	}
	if err != nil {
		_ = c.Close()
	}
	return n, err
}
