package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Addresses and bounds of a small deployment, as the site file and the page on settings give them.
const (
	zone   = "zatec-yard"
	region = "bohemia-west"
	// grace is graceS, drainTime is drainMs, contact is contactMs.
	grace     = 8 * time.Second
	drainTime = 2500 * time.Millisecond
	contact   = 3 * time.Second
)

// node is one machine: a process of the deploy file's only role, on a loopback address of its own.
type node struct {
	name, ip string
	settings string
	log      string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// front returns the address at which the node takes requests.
func (n *node) front() string { return n.ip + ":8149" }

// ready returns the address of the node's readiness check.
func (n *node) ready() string { return n.ip + ":8141" }

var placeholder = regexp.MustCompile(`\{\{([a-zA-Z0-9_.]+)(\|json)?\}\}`)

// renderSettings fills in the settings template of the deploy file.
func renderSettings(template, name, ip, store string) (string, error) {
	values := map[string]any{
		"nodeName": name, "region": region, "zone": zone, "ip": ip,
		"listen.front": ip + ":8149", "listen.ready": ip + ":8141", "listen.directory": ip + ":8143",
		"portRange.0": 7380, "portRange.1": 7381, "platform.address": store, "zones": map[string]string{zone: region},
		"bounds.graceS": 8, "bounds.leaseMs": 3000, "bounds.retryBudgetRatio": 0.2, "bounds.budgetSlack": 52,
		"limits.memoryMb": 284, "limits.maxFds": 4200, "limits.cpuShare": 0.4,
	}
	var missing error
	text := placeholder.ReplaceAllStringFunc(template, func(found string) string {
		parts := placeholder.FindStringSubmatch(found)
		value, known := values[parts[1]]
		if !known {
			missing = fmt.Errorf("settings template: no value for %s", parts[1])
		}
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		encoded, err := json.Marshal(value)
		if err != nil {
			missing = err
		}
		return string(encoded)
	})
	return text, missing
}

// newNode writes the settings of a node on a loopback address.
func (c *run) newNode(ip, store string) (*node, error) {
	template, err := os.ReadFile("deploy/node.json.tmpl")
	if err != nil {
		return nil, err
	}
	name := "front-" + zone + "-" + strconv.Itoa(len(c.nodes)+1)
	text, err := renderSettings(string(template), name, ip, store)
	if err != nil {
		return nil, err
	}
	n := &node{name: name, ip: ip, settings: filepath.Join(c.dir, name+".json"), log: filepath.Join(c.dir, name+".log")}
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	c.nodes = append(c.nodes, n)
	return n, nil
}

// start starts the node's process with the command of the deploy file.
func (n *node) start() error {
	log, err := os.OpenFile(n.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process := exec.Command("target/guavatrack", "node")
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GUAVATRACK_NODE_FILE=" + n.settings}
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.process, n.exited = process, exited
	n.mu.Unlock()
	go func() {
		_ = process.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the node's process.
func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		_ = n.process.Process.Signal(sig)
	}
}

// ended reports whether the node's process ends within a time.
func (n *node) ended(within time.Duration) bool {
	select {
	case <-n.exited:
		return true
	case <-time.After(within):
		return false
	}
}

// isReady reports whether the node's readiness check answers with 200.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.ready() + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitReady waits until the node is ready.
func (n *node) waitReady(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready within %s", n.name, within)
}

// freeIPs returns loopback addresses on which the ports of a node are free. Each process has a block of its own, so
// that runs beside each other don't choose the same ones.
func freeIPs(count int) (ips []string) {
	block := os.Getpid() % (100 * 250)
	for last := 11; last < 250 && len(ips) < count; last++ {
		ip := fmt.Sprintf("127.%d.%d.%d", 100+block/250, 1+block%250, last)
		free := true
		for _, port := range []string{"8149", "8141", "8143", "7380", "7381", "9464"} {
			listener, err := net.Listen("tcp", ip+":"+port)
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if free {
			ips = append(ips, ip)
		}
	}
	return ips
}

// run is one run of a case.
type run struct {
	trouble bool
	dir     string
	started time.Time
	nodes   []*node

	mu     sync.Mutex
	record *os.File
	broken []string
}

// note writes a line to the record.
func (c *run) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(c.started).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = c.record.WriteString(strings.TrimRight(line, "\n") + "\n")
}

// breakRule records that the rule is broken.
func (c *run) breakRule(format string, args ...any) {
	c.note("BROKEN: "+format, args...)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

// close ends all processes that the run started.
func (c *run) close() {
	for _, n := range c.nodes {
		if n.process == nil {
			continue
		}
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
		n.ended(5 * time.Second)
	}
	_ = c.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	}
}
