package hostile_test

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/settings"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/platform/standin"
)

// Limits of the node under test, in its settings. They are the bounds of its memory and its
// descriptors.
const (
	memoryLimit     = 64 * fleet.MiB
	descriptorLimit = 512
	// bodyLimit is the manifest's limit on bodies.
	bodyLimit = 4 << 20
)

// programPath is the path of the program, which TestMain builds.
var programPath string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "hostile")
		if err != nil {
			panic(err)
		}
		defer func() { _ = os.RemoveAll(dir) }()
		programPath = filepath.Join(dir, "guavatrack")
		if output, err := exec.Command("go", "build", "-o", programPath, "../../cmd/guavatrack").CombinedOutput(); err != nil {
			panic(string(output))
		}
		return m.Run()
	}())
}

// node is a process under test, with the addresses of its ports.
type node struct {
	*qt.C
	config  settings.Settings
	process *exec.Cmd
	exited  chan struct{}
	log     string
}

// startNode starts a platform and a node on it, and waits until the node serves.
func startNode(t *testing.T) *node {
	t.Helper()
	site := &standin.Site{Engines: 1, Services: 1, Models: 1, EventTime: 2 * time.Millisecond}
	n := &node{C: qt.New(t), exited: make(chan struct{}), log: filepath.Join(t.TempDir(), "log")}
	n.Assert(site.Start(), qt.IsNil)
	t.Cleanup(site.Close)
	n.Assert(site.PublishBodyLimit(bodyLimit), qt.IsNil)
	n.config = site.NodeSettings("vm0")
	n.config.Log = settings.Log{Level: "info", Format: "json"}
	n.config.Platform.Memory, n.config.Platform.Descriptors = memoryLimit, descriptorLimit
	for _, listen := range []*string{
		&n.config.Callers.Listen, &n.config.Peers.Listen, &n.config.Platform.Readiness, &n.config.Platform.Lookup,
		&n.config.Platform.Metrics, &n.config.Platform.Forward,
	} {
		*listen = n.freeAddress()
	}
	n.Assert(n.config.Check().Err(), qt.IsNil)
	text, err := json.Marshal(n.config)
	n.Assert(err, qt.IsNil)
	path := filepath.Join(t.TempDir(), "settings.json")
	n.Assert(os.WriteFile(path, text, 0o600), qt.IsNil)
	n.start(path)
	n.waitServed()
	return n
}

// start starts the process and ends it with the test.
func (n *node) start(settingsPath string) {
	log, err := os.Create(n.log)
	n.Assert(err, qt.IsNil)
	n.process = exec.Command(programPath, "node", "--settings", settingsPath)
	n.process.Stdout, n.process.Stderr = log, log
	n.Assert(n.process.Start(), qt.IsNil)
	go func() {
		_ = n.process.Wait()
		_ = log.Close()
		close(n.exited)
	}()
	n.Cleanup(func() {
		_ = n.process.Process.Signal(syscall.SIGKILL)
		<-n.exited
	})
}

// Range of the ports of the node, below those that the system assigns to connections.
const (
	firstPort = 20000
	portCount = 12000
)

// usedPorts holds the ports that freeAddress has returned.
var usedPorts sync.Map

// freeAddress returns an address on loopback whose port was free when it was checked.
func (n *node) freeAddress() string {
	for {
		port := firstPort + rand.IntN(portCount)
		if _, used := usedPorts.LoadOrStore(port, true); used {
			continue
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		if listener, err := net.Listen("tcp", address); err == nil {
			n.Assert(listener.Close(), qt.IsNil)
			return address
		}
	}
}

// serviceTimeout bounds the wait for an ordinary answer. It tells a node that hangs from a slow
// one, and is no measure of speed.
const serviceTimeout = 60 * time.Second

// waitServed waits until ordinary requests are answered at every HTTP port.
func (n *node) waitServed() {
	n.Helper()
	last := ""
	for end := time.Now().Add(serviceTimeout); time.Now().Before(end) && n.alive(); time.Sleep(20 * time.Millisecond) {
		if last = n.failure(); last == "" {
			return
		}
	}
	text, _ := os.ReadFile(n.log)
	n.Fatalf("ordinary requests are not answered: %s\nalive: %t\nlog: %.4000s", last, n.alive(), text)
}

// failure sends ordinary requests to every HTTP port and returns what failed; empty if all are
// answered.
func (n *node) failure() string {
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, url := range []string{
		n.config.Platform.Readiness + "/readiness", n.config.Platform.Lookup + "/resolve", n.config.Platform.Metrics + "/metrics",
	} {
		response, err := client.Get("http://" + url)
		if err != nil {
			return url + ": " + err.Error()
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return url + ": " + response.Status
		}
	}
	for _, address := range []string{n.config.Callers.Listen, n.config.Platform.Forward} {
		answer, err := standin.Ask(address, http.MethodPost, standin.Repeatable+"x", "", strings.Repeat("x", 10_000))
		if err != nil {
			return address + ": " + err.Error()
		}
		if answer.Status != http.StatusOK {
			return address + ": " + strconv.Itoa(answer.Status) + " " + answer.Body
		}
	}
	connection, err := net.DialTimeout("tcp", n.config.Peers.Listen, time.Second)
	if err != nil {
		return "peers: " + err.Error()
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = connection.Write(framed(`{"jsonrpc":"2.0","id":1,"method":"none"}`))
	if _, err := connection.Read(make([]byte, 1)); err != nil {
		return "peers: " + err.Error()
	}
	return ""
}

func (n *node) alive() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// peakMemory returns the largest resident memory that the process has had, in bytes.
func (n *node) peakMemory() int64 {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(n.process.Process.Pid), "status"))
	n.Assert(err, qt.IsNil)
	_, rest, found := strings.Cut(string(text), "VmHWM:")
	n.Assert(found, qt.IsTrue)
	kilobytes, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
	n.Assert(err, qt.IsNil)
	return kilobytes << 10
}

// descriptors returns the number of open descriptors of the process.
func (n *node) descriptors() int {
	entries, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(n.process.Process.Pid), "fd"))
	if err != nil {
		return 0
	}
	return len(entries)
}
