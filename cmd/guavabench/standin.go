package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/internal/vmlist"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// standinCommand is the command that runs one stand-in until it is interrupted.
type standinCommand struct {
	Listen  string        `long:"listen" default:"127.0.0.1:0" description:"loopback address"`
	ID      string        `long:"id" default:"server-00" description:"name in the VM list"`
	Lag     time.Duration `long:"lag" default:"1s" description:"lag of load reports or of the VM list"`
	Fencing bool          `long:"fencing" description:"engine: refuse orders with old fencing numbers"`
	VMs     string        `long:"vms" description:"vmlist: JSON file with an array of VMs" value-name:"FILE"`
	Kind    struct {
		Name string `positional-arg-name:"engine|service|table|vmlist" required:"yes"`
	} `positional-args:"yes"`

	ctx context.Context
}

// Execute implements flags.Commander.
func (c *standinCommand) Execute([]string) (err error) {
	handler, err := c.handler()
	if err != nil {
		return err
	}
	server, err := standin.Serve(c.Listen, handler)
	if err != nil {
		return err
	}
	defer server.Close()
	fmt.Printf("%s on http://%s\n", c.Kind.Name, server.Address)
	<-c.ctx.Done()
	return nil
}

func (c *standinCommand) handler() (http.Handler, error) {
	switch c.Kind.Name {
	case "engine":
		config := standin.DefaultEngine()
		config.ID, config.ReportLag, config.ChecksFencing = fleet.ServerID(c.ID), c.Lag, c.Fencing
		return standin.NewEngine(config), nil
	case "service":
		return standin.NewService(standin.ServiceConfig{ID: fleet.ServerID(c.ID)}), nil
	case "table":
		return standin.NewTableServer(standin.NewTable()), nil
	case "vmlist":
		return c.vmListHandler()
	default:
		return nil, errors.Errorf("stand-in %q: use engine, service, table or vmlist", c.Kind.Name)
	}
}

func (c *standinCommand) vmListHandler() (http.Handler, error) {
	list := standin.NewVMList(c.Lag)
	if c.VMs == "" {
		return list, nil
	}
	content, err := os.ReadFile(c.VMs)
	if err != nil {
		return nil, errors.Wrap(err, "read the VMs")
	}
	var vms []vmlist.VM
	if err := json.Unmarshal(content, &vms); err != nil {
		return nil, errors.Wrapf(err, "%s: not a JSON array of VMs", c.VMs)
	}
	list.Put(vms...)
	return list, nil
}
