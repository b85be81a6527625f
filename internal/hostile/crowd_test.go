package hostile_test

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/platform/standin"
)

const (
	// crowdSize is the number of connections, more than the node has descriptors.
	crowdSize = 600
	// sendTime is how long a connection of the crowd sends, at most, holdTime how long all stay
	// open after that. Both are below the time for which the node waits for a body.
	sendTime = 2 * time.Second
	holdTime = 500 * time.Millisecond
)

// target is a port of the node with a path.
type target struct {
	name    string
	address func(n *node) string
	path    string
	// binary is set for the port for other nodes, which takes JSON-RPC with a length before
	// each message.
	binary bool
}

func callersAddress(n *node) string { return n.config.Callers.Listen }

// targets are all ports, and paths with and without a route.
var targets = []target{
	{name: "route", address: callersAddress, path: standin.Repeatable + "x"},
	{name: "noRoute", address: callersAddress, path: "/nowhere"},
	{name: "readiness", address: func(n *node) string { return n.config.Platform.Readiness }, path: "/readiness"},
	{name: "lookup", address: func(n *node) string { return n.config.Platform.Lookup }, path: "/resolve"},
	{name: "metrics", address: func(n *node) string { return n.config.Platform.Metrics }, path: "/metrics"},
	{name: "forward", address: func(n *node) string { return n.config.Platform.Forward }, path: standin.Repeatable + "x"},
	{name: "peers", address: func(n *node) string { return n.config.Peers.Listen }, path: "/x", binary: true},
}

// header returns the header of a request, without the empty line at its end.
func (t target) header(method string, index int, fields string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s%s",
		method, t.path, standin.Host, standin.RequestHead(fmt.Sprint("hostile-", index), 4000), fields)
}

// framed returns a message to the port for other nodes.
func framed(message string) []byte {
	return append(binary.AppendUvarint(nil, uint64(len(message))), message...)
}

// behaviour is what each connection of a crowd does; index is the number of the connection.
type behaviour func(t target, connection net.Conn, index int)

// testCrowd starts a node for each target and has a crowd behave badly there.
func testCrowd(t *testing.T, behave behaviour) {
	t.Helper()
	for _, target := range targets {
		t.Run(target.name, func(t *testing.T) {
			n := startNode(t)
			memory, descriptors := n.peakMemory(), n.descriptors()
			open := n.meet(target, behave)
			n.waitServed()
			peak := n.peakMemory()
			t.Logf("memory %.1f MiB before, %.1f MiB at most; descriptors %d before, %d at most",
				float64(memory)/(1<<20), float64(peak)/(1<<20), descriptors, open)
			n.Check(peak <= int64(memoryLimit), qt.IsTrue, qt.Commentf("memory: %.1f MiB", float64(peak)/(1<<20)))
			n.Check(open <= descriptorLimit, qt.IsTrue, qt.Commentf("descriptors: %d", open))
			n.Check(n.alive(), qt.IsTrue)
		})
	}
}

// meet has a crowd behave badly at a target, closes its connections and returns the largest
// number of descriptors that the node had open meanwhile.
func (n *node) meet(target target, behave behaviour) (descriptors int) {
	n.Helper()
	var mu sync.Mutex
	connections := make([]net.Conn, 0, crowdSize)
	var crowd sync.WaitGroup
	for index := range crowdSize {
		crowd.Go(func() {
			connection, err := net.DialTimeout("tcp", target.address(n), sendTime)
			if err != nil {
				return
			}
			mu.Lock()
			connections = append(connections, connection)
			mu.Unlock()
			_ = connection.SetDeadline(time.Now().Add(sendTime))
			behave(target, connection, index)
		})
	}
	sent := make(chan struct{})
	go func() { crowd.Wait(); close(sent) }()
	var end <-chan time.Time
	for open := true; open; {
		descriptors = max(descriptors, n.descriptors())
		select {
		case <-sent:
			sent, end = nil, time.After(holdTime)
		case <-end:
			open = false
		case <-time.After(10 * time.Millisecond):
		}
	}
	for _, connection := range connections {
		_ = connection.Close()
	}
	return descriptors
}

// write writes to a connection until it fails, and reports whether it succeeded.
func write(connection net.Conn, text string) bool {
	_, err := io.WriteString(connection, text)
	return err == nil
}

// writeSlowly writes pieces of a text with pauses, until all is written or the connection fails.
func writeSlowly(connection net.Conn, text string, piece int, pause time.Duration) {
	for len(text) > 0 && write(connection, text[:min(piece, len(text))]) {
		text = text[min(piece, len(text)):]
		time.Sleep(pause)
	}
}

var filler = strings.Repeat("x", bodyLimit)

// legalBody is the size of the bodies of most connections; every eighth has one of bodyLimit.
const legalBody = 64 << 10

func bodySize(index int) int {
	if index%8 == 0 {
		return bodyLimit
	}
	return legalBody
}

// unfinished returns a request of legal size whose body misses its last byte.
func (t target) unfinished(index int) string {
	size := bodySize(index)
	if t.binary {
		return string(binary.AppendUvarint(nil, uint64(size))) + `{"method":"` + filler[:size-12]
	}
	return t.header("POST", index, fmt.Sprintf("Content-Length: %d\r\n\r\n", size)) + filler[:size-1]
}

// TestBodiesThatStopBeforeTheirEnd guards against nodes that hold the connections and bodies of
// requests whose last byte does not arrive.
func TestBodiesThatStopBeforeTheirEnd(t *testing.T) {
	testCrowd(t, func(t target, connection net.Conn, index int) { write(connection, t.unfinished(index)) })
}

// TestBodiesInSmallPieces is the same with bodies that arrive in pieces of 1 KiB.
func TestBodiesInSmallPieces(t *testing.T) {
	testCrowd(t, func(t target, connection net.Conn, index int) {
		writeSlowly(connection, t.unfinished(index), 1<<10, 2*time.Millisecond)
	})
}

// TestChunkedBodiesWithoutEnd is the same with bodies in chunks, whose last chunk does not
// arrive. At the port for other nodes many short messages are sent before.
func TestChunkedBodiesWithoutEnd(t *testing.T) {
	testCrowd(t, func(t target, connection net.Conn, index int) {
		if t.binary {
			writeSlowly(connection, strings.Repeat(string(framed(`{"jsonrpc":"2.0","method":"none"}`)), 100)+t.unfinished(index), legalBody, 0)
			return
		}
		if !write(connection, t.header("POST", index, "Transfer-Encoding: chunked\r\n\r\n")) {
			return
		}
		chunk := fmt.Sprintf("%x\r\n%s\r\n", 1<<10, filler[:1<<10])
		for range bodySize(index)/(1<<10) - 1 {
			if !write(connection, chunk) {
				return
			}
		}
	})
}

// TestBodiesFarOverTheLimit guards against nodes that read or hold bodies that are announced with,
// or grow to, sixteen times the limit.
func TestBodiesFarOverTheLimit(t *testing.T) {
	const size = 16 * bodyLimit
	testCrowd(t, func(t target, connection net.Conn, index int) {
		switch {
		case t.binary:
			// A message of this size is the largest that the port took when the test was written.
			if !write(connection, string(binary.AppendUvarint(nil, size))+`{"method":"`) {
				return
			}
		case index%2 == 0:
			if !write(connection, t.header("POST", index, fmt.Sprintf("Content-Length: %d\r\n\r\n", size))) {
				return
			}
		default:
			if !write(connection, t.header("POST", index, "Transfer-Encoding: chunked\r\n\r\n")+fmt.Sprintf("%x\r\n", size)) {
				return
			}
		}
		for range size / legalBody {
			if !write(connection, filler[:legalBody]) {
				return
			}
		}
	})
}

// headerSize is the size of the headers of a legal request with many fields.
const headerSize = 16_000

// shortFields returns distinct header fields of headerSize bytes together.
func shortFields() string {
	var text strings.Builder
	for index := 0; text.Len() < headerSize; index++ {
		fmt.Fprintf(&text, "%x:\r\n", index)
	}
	return text.String()
}

// TestManyShortHeaderFields guards against nodes that hold the many times larger memory of headers
// of legal size that consist of short fields. Half of the headers do not end, the others are
// followed by a body that does not arrive.
func TestManyShortHeaderFields(t *testing.T) {
	fields := shortFields()
	message := `{"jsonrpc":"2.0","id":1,"method":"none"` + strings.Repeat(`,"a":{"b":[]}`, legalBody/16)
	testCrowd(t, func(t target, connection net.Conn, index int) {
		switch {
		case t.binary:
			write(connection, string(binary.AppendUvarint(nil, bodyLimit))+message)
		case index%2 == 0:
			write(connection, t.header("POST", index, fields))
		default:
			write(connection, t.header("POST", index, fields+"Content-Length: 10\r\n\r\n"))
		}
	})
}

// TestPipelinedRequestsWithoutReading guards against nodes that hold the answers to requests that
// are sent ahead on a connection while nothing is read.
func TestPipelinedRequestsWithoutReading(t *testing.T) {
	testCrowd(t, func(t target, connection net.Conn, index int) {
		_ = connection.(*net.TCPConn).SetReadBuffer(4 << 10)
		batch := strings.Repeat(t.header("GET", index, "\r\n"), 100)
		if t.binary {
			batch = strings.Repeat(string(framed(`{"jsonrpc":"2.0","id":1,"method":"`+filler[:1000]+`"}`)), 100)
		}
		for range 50 {
			if !write(connection, batch) {
				return
			}
		}
	})
}

// TestSlowSenders guards against crowds that send their header or their body byte by byte.
func TestSlowSenders(t *testing.T) {
	testCrowd(t, func(t target, connection net.Conn, index int) {
		text := t.header("POST", index, "Content-Length: 1000\r\n\r\n")
		switch {
		case t.binary && index%2 == 0:
			text = string(binary.AppendUvarint(nil, legalBody))
		case !t.binary && index%2 == 0 && !write(connection, text):
			return
		}
		writeSlowly(connection, text+filler[:1000], 1, 50*time.Millisecond)
	})
}

// TestSlowReaders guards against crowds that send a request with a large body whose answer is as
// large, and read the answer byte by byte or not at all.
func TestSlowReaders(t *testing.T) {
	testCrowd(t, func(t target, connection net.Conn, index int) {
		_ = connection.(*net.TCPConn).SetReadBuffer(4 << 10)
		text := t.header("POST", index, fmt.Sprintf("Content-Length: %d\r\n\r\n", bodySize(index))) + filler[:bodySize(index)]
		switch {
		case t.binary:
			text = string(framed(`{"jsonrpc":"2.0","id":1,"method":"` + filler[:legalBody] + `"}`))
		case t.path != standin.Repeatable+"x":
			text = t.header("GET", index, "\r\n")
		}
		if !write(connection, text) || index%2 == 0 {
			return
		}
		for buffer := make([]byte, 1); ; time.Sleep(50 * time.Millisecond) {
			if _, err := connection.Read(buffer); err != nil {
				return
			}
		}
	})
}

// TestConnectionsThatStopHalfWay guards against crowds that connect and then send nothing, or half
// of a header, or half of a body.
func TestConnectionsThatStopHalfWay(t *testing.T) {
	testCrowd(t, func(t target, connection net.Conn, index int) {
		text := t.header("POST", index, "Content-Length: 1000\r\n\r\n")
		switch index % 3 {
		case 0:
			return
		case 1:
			text = text[:len(text)/2]
		default:
			text += filler[:500]
		}
		if t.binary {
			text = string(framed(text)[:len(text)/2])
		}
		write(connection, text)
	})
}

// TestCrowdsAtAllPortsAtOnce guards against limits that hold for each port alone but not together.
// Bodies that stop, headers that do not end and answers that are not read are spread over the ports.
func TestCrowdsAtAllPortsAtOnce(t *testing.T) {
	fields := shortFields()
	behaviours := []behaviour{
		func(t target, connection net.Conn, index int) { write(connection, t.unfinished(index)) },
		func(t target, connection net.Conn, index int) { write(connection, t.header("POST", index, fields)) },
		func(t target, connection net.Conn, index int) {
			_ = connection.(*net.TCPConn).SetReadBuffer(4 << 10)
			text := t.header("POST", index, fmt.Sprintf("Content-Length: %d\r\n\r\n", legalBody)) + filler[:legalBody]
			for write(connection, text) {
			}
		},
	}
	n := startNode(t)
	var mu sync.Mutex
	var crowds sync.WaitGroup
	most := 0
	for number, target := range targets {
		behave := behaviours[number%len(behaviours)]
		crowds.Go(func() {
			open := n.meet(target, behave)
			mu.Lock()
			defer mu.Unlock()
			most = max(most, open)
		})
	}
	crowds.Wait()
	n.waitServed()
	t.Logf("memory %.1f MiB at most, descriptors %d at most", float64(n.peakMemory())/(1<<20), most)
	n.Check(n.peakMemory() <= int64(memoryLimit), qt.IsTrue, qt.Commentf("memory: %d", n.peakMemory()))
	n.Check(most <= descriptorLimit, qt.IsTrue, qt.Commentf("descriptors: %d", most))
}
