package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/connlimit"
)

const smallMessage = `{"a":1}`

// inbound is the reading side of an inbound connection.
type inbound struct {
	*qt.C
	account *connlimit.Account
	// ended gets the error that ended the reading, messages counts what was read before.
	ended    chan error
	messages int
	sender   net.Conn
}

// withInbound calls a function in virtual time with a connection on which messages are read that
// share 1 MiB, of 256 KiB each at most.
func withInbound(t *testing.T, use func(in *inbound)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		in := &inbound{C: qt.New(t), account: connlimit.NewAccount(1 << 20), ended: make(chan error, 1)}
		near, far := net.Pipe()
		in.sender = near
		limits := &inboundLimits{conn: far, account: in.account, counters: connlimit.NewCounters(nil)}
		go func() {
			stream := bufio.NewReader(far)
			for {
				var message map[string]any
				if err := (codec{maxBytes: 256 << 10, inbound: limits}).ReadObject(stream, &message); err != nil {
					_ = far.Close()
					in.ended <- err
					return
				}
				in.messages++
			}
		}()
		use(in)
		_ = near.Close()
		synctest.Wait()
		in.Check(in.account.Used(), qt.Equals, int64(0), qt.Commentf("memory after the end"))
	})
}

// send writes a part of a message of a length.
func (in *inbound) send(length int, part string) {
	_, _ = in.sender.Write(append(binary.AppendUvarint(nil, uint64(length)), part...))
}

// TestConnectionWithoutAMessageIsClosed guards against connections that are held without a use.
func TestConnectionWithoutAMessageIsClosed(t *testing.T) {
	withInbound(t, func(in *inbound) {
		time.Sleep(firstMessageTimeout + time.Second)
		in.Check(<-in.ended, qt.ErrorMatches, ".*timeout.*")
	})
	withInbound(t, func(in *inbound) {
		in.send(len(smallMessage), smallMessage)
		time.Sleep(idleTimeout)
		in.send(len(smallMessage), smallMessage)
		synctest.Wait()
		in.Check(in.messages, qt.Equals, 2)
		in.Check(in.ended, qt.HasLen, 0)
	})
}

// TestMessageThatStopsIsGivenUp guards against messages that stop before their end and hold their
// memory.
func TestMessageThatStopsIsGivenUp(t *testing.T) {
	withInbound(t, func(in *inbound) {
		in.send(200<<10, strings.Repeat("x", 199<<10))
		in.Check(in.account.Used() > 0, qt.IsTrue)
		time.Sleep(messagePause + time.Second)
		in.Check(<-in.ended, qt.ErrorMatches, ".*timeout.*")
	})
}

// TestLengthAloneTakesNoMemory guards against memory for the length that a message states.
func TestLengthAloneTakesNoMemory(t *testing.T) {
	withInbound(t, func(in *inbound) {
		in.send(256<<10, "{")
		synctest.Wait()
		in.Check(in.account.Used(), qt.Equals, int64(0))
	})
	withInbound(t, func(in *inbound) {
		in.send(256<<10+1, "{")
		in.Check(<-in.ended, qt.ErrorIs, errMessageTooLong)
	})
}

// TestMessagesShareTheirMemory guards against a node that runs out of memory because of several
// messages at once. Short ones need none of it.
func TestMessagesShareTheirMemory(t *testing.T) {
	withInbound(t, func(in *inbound) {
		in.Assert(in.account.Reserve(900<<10), qt.IsTrue)
		in.send(len(smallMessage), smallMessage)
		go in.send(200<<10, strings.Repeat("x", 199<<10))
		in.Check(<-in.ended, qt.ErrorIs, errNoMessageMemory)
		in.Check(in.messages, qt.Equals, 1)
		in.account.Release(900 << 10)
	})
}

// TestLargestMessageOnASlowLinkIsRead guards against a minimum rate that nodes on a slow link miss.
func TestLargestMessageOnASlowLinkIsRead(t *testing.T) {
	withInbound(t, func(in *inbound) {
		text := `{"a":"` + strings.Repeat("x", 200<<10) + `"}`
		in.send(len(text), "")
		for piece := 0; piece < len(text); piece += 4 << 10 {
			time.Sleep(time.Second)
			_, err := io.WriteString(in.sender, text[piece:min(len(text), piece+4<<10)])
			in.Assert(err, qt.IsNil)
		}
		synctest.Wait()
		in.Check(in.messages, qt.Equals, 1)
	})
}
