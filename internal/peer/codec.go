package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/guavatrack/guavatrack/internal/connlimit"
)

// maxMessageBytes is beyond the length of any message that a node sends.
const maxMessageBytes = 64 << 20

var (
	// errMessageTooLong reports a message that no node sends.
	errMessageTooLong = errors.New("message is too long")
	// errNoMessageMemory reports that there is no memory for a message of an inbound connection.
	errNoMessageMemory = errors.New("no memory for the message")
)

const (
	// firstMessageSize is the memory for the first part of a message, in bytes. It is not reserved:
	// it is a part of the memory of a connection.
	firstMessageSize = 4 << 10
	// messageCopies is the number of times that a message is in memory while it is decoded.
	messageCopies = 2
)

// Timing of an inbound connection, which unknown processes may open.
const (
	// firstMessageTimeout is the time until the first message begins: nodes dial for a call.
	firstMessageTimeout = 10 * time.Second
	// inboundIdleTimeout is the time between two messages. The other side closes an unused
	// connection after idleTimeout.
	inboundIdleTimeout = 2 * idleTimeout
	// At least messageRate bytes of a message must arrive in each messagePause, or its rest.
	messagePause = 5 * time.Second
	messageRate  = 16 << 10
)

// codec writes messages with their length in front, and reads them up to maxBytes. After a longer
// one the connection is closed.
type codec struct {
	jsonrpc2.VarintObjectCodec
	maxBytes int64
	// inbound is set if another process opened the connection. It then bounds what arrives.
	inbound *inboundLimits
}

// inboundLimits bound what an inbound connection may send.
type inboundLimits struct {
	conn     net.Conn
	account  *connlimit.Account
	counters *connlimit.Counters
	// received is set once a whole message has arrived.
	received bool
}

// ReadObject implements [jsonrpc2.ObjectCodec].
func (c codec) ReadObject(stream *bufio.Reader, object any) error {
	c.inbound.waitForMessage()
	if _, err := stream.Peek(1); err != nil {
		return err
	}
	pace := connlimit.Pace{Window: messagePause, MinBytes: messageRate}
	c.inbound.setDeadline(&pace)
	length, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if length > uint64(c.maxBytes) {
		return errMessageTooLong
	}
	message := make([]byte, 0, min(int64(length), firstMessageSize))
	reserved, progress := int64(0), 0
	defer func() { c.inbound.release(reserved) }()
	for len(message) < int(length) {
		if len(message) == cap(message) {
			size := min(2*cap(message), int(length))
			more := messageCopies*int64(size) - reserved
			if !c.inbound.reserve(more) {
				return errNoMessageMemory
			}
			reserved += more
			message = append(make([]byte, 0, size), message...)
		}
		c.inbound.setDeadline(&pace)
		count, err := stream.Read(message[len(message):cap(message)])
		message = message[:len(message)+count]
		pace.Add(time.Now(), count)
		if progress += count; progress >= connlimit.ProgressBytes {
			c.inbound.setProgress()
			progress = 0
		}
		if err != nil {
			return c.inbound.readError(err)
		}
	}
	if err := json.Unmarshal(message, object); err != nil {
		return err
	}
	c.inbound.setReceived()
	return nil
}

// waitForMessage limits the time until the next message begins.
func (l *inboundLimits) waitForMessage() {
	if l == nil {
		return
	}
	timeout := firstMessageTimeout
	if l.received {
		timeout = inboundIdleTimeout
	}
	_ = l.conn.SetReadDeadline(time.Now().Add(timeout))
}

func (l *inboundLimits) setDeadline(pace *connlimit.Pace) {
	if l != nil {
		_ = l.conn.SetReadDeadline(pace.Deadline(time.Now()))
	}
}

func (l *inboundLimits) reserve(size int64) bool {
	if l == nil || l.account.Reserve(size) {
		return true
	}
	l.counters.MessageMemory.Inc(1)
	return false
}

func (l *inboundLimits) release(size int64) {
	if l != nil {
		l.account.Release(size)
	}
}

// readError counts an error within a message that is due to a slow sender.
func (l *inboundLimits) readError(err error) error {
	if timeout := net.Error(nil); l != nil && errors.As(err, &timeout) && timeout.Timeout() {
		l.counters.SlowMessages.Inc(1)
	}
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// setReceived records that a message has arrived: the connection is probably one of another node.
func (l *inboundLimits) setReceived() {
	if l == nil {
		return
	}
	l.received = true
	l.setState(connlimit.Idle)
}

// setProgress records that a part of a message has arrived.
func (l *inboundLimits) setProgress() {
	if l == nil {
		return
	}
	state := connlimit.Fresh
	if l.received {
		state = connlimit.Idle
	}
	l.setState(state)
}

func (l *inboundLimits) setState(state connlimit.State) {
	if limited, ok := l.conn.(*connlimit.Conn); ok {
		limited.SetState(state)
	}
}

var _ jsonrpc2.ObjectCodec = codec{}
