package bench

import (
	"bufio"
	"bytes"
	"context"
	"log/slog"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/node"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/internal/wait"
)

// idleNode is run by [Relay] in a process of its own, so that the memory of the
// process is that of one node. Its arguments are the addresses of the table
// and of the VM list.
var idleNode = Experiment{
	Name: "idlenode", Hidden: true, Run: runIdleNode, Help: "memory of one idle node; started by relay",
}

// idleTime is how long a node runs before its memory is read.
const idleTime = 10 * time.Second

type idleNodeResult struct {
	Mb float64 `json:"mb"`
}

func runIdleNode(ctx context.Context, o Options) (any, error) {
	if len(o.Args) != 2 {
		return nil, errors.New("usage: idlenode TABLE-URL VMLIST-URL")
	}
	place := standin.Wreaths().Pools[0].Places[0]
	started := node.New(nodeSettings(place, o.Args[0], o.Args[1]), slog.New(slog.DiscardHandler))
	if err := started.Start(ctx); err != nil {
		return nil, err
	}
	defer started.Stop()
	wait.For(ctx, idleTime)
	mb, err := residentMb()
	return idleNodeResult{mb}, err
}

// residentMb returns the resident memory of this process, in MiB.
func residentMb() (float64, error) {
	status, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0, errors.Wrap(err, "resident memory")
	}
	for lines := bufio.NewScanner(bytes.NewReader(status)); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > 1 && fields[0] == "VmRSS:" {
			kib, err := strconv.ParseFloat(fields[1], 64)
			return kib / 1024, err
		}
	}
	return 0, errors.New("resident memory: no VmRSS in /proc/self/status")
}

// measureIdleNode starts this program again as one idle node before a site of
// today's size and returns its memory in MiB.
func measureIdleNode(ctx context.Context) (mb float64, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "idle node")
		}
	}()
	config := standin.Wreaths()
	started, err := newSystem(ctx, config, config.Pools[0].Places[:1])
	if err != nil {
		return 0, err
	}
	defer started.close()
	program, err := os.Executable()
	if err != nil {
		return 0, err
	}
	command := exec.CommandContext(ctx, program, idleNode.Name, "--json", //nolint:gosec // G204: this program itself
		started.site.TableURL, started.site.VMListURL)
	output, err := command.Output()
	if err != nil {
		return 0, err
	}
	text := strings.TrimSuffix(strings.TrimPrefix(strings.TrimSpace(string(output)), `{"mb":`), "}")
	return strconv.ParseFloat(text, 64)
}
