package peer_test

import (
	"encoding/binary"
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/peer"
)

// TestMessageLongerThanAnyIsNotRead guards against a node that runs out of memory because
// of one message on the port for nodes: whoever sends it states any length.
func TestMessageLongerThanAnyIsNotRead(t *testing.T) {
	const call = `{"jsonrpc":"2.0","id":1,"method":"add","params":{"A":1,"B":2}}`
	for _, length := range []uint64{64<<20 + 1, 1 << 40, 1<<63 - 1, 1<<64 - 1} {
		c := qt.New(t)
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listen(t, &peer.Peer{}))
		c.Assert(err, qt.IsNil)
		_, err = conn.Write(append(binary.AppendUvarint(nil, length), call...))
		c.Assert(err, qt.IsNil)
		_, err = conn.Read(make([]byte, 1))
		c.Check(err, qt.IsNotNil, qt.Commentf("a call in a message of %d bytes was answered", length))
		c.Check(conn.Close(), qt.IsNil)
	}
	c := qt.New(t)
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listen(t, &peer.Peer{}))
	c.Assert(err, qt.IsNil)
	_, err = conn.Write(append(binary.AppendUvarint(nil, uint64(len(call))), call...))
	c.Assert(err, qt.IsNil)
	_, err = io.ReadFull(conn, make([]byte, 1))
	c.Check(err, qt.IsNil)
	c.Check(conn.Close(), qt.IsNil)
}
