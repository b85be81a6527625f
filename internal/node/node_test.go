package node_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/node"
	"github.com/guavatrack/guavatrack/internal/settings"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// startNodes starts nodes for the backend servers of a site, one at each place, and
// drains them at the end of the test.
func startNodes(t *testing.T, site *standin.Site, places ...fleet.Place) []*node.Node {
	c := qt.New(t)
	nodes := make([]*node.Node, 0, len(places))
	for _, place := range places {
		nodeSettings := settings.Defaults()
		nodeSettings.AllowPlainText = true
		nodeSettings.Node.Place = place
		nodeSettings.Callers.Listen, nodeSettings.Operators.Listen, nodeSettings.Peers.Listen = anyPort, anyPort, anyPort
		nodeSettings.Table.Endpoint, nodeSettings.VMList.URL = site.TableURL, site.VMListURL+"/vms"
		nodeSettings.Drain.KeepFor = fleet.Duration(time.Second)
		started := node.New(nodeSettings, slog.New(slog.DiscardHandler))
		c.Assert(started.Start(t.Context()), qt.IsNil)
		t.Cleanup(func() { _, _ = started.Drain(context.Background()) })
		nodes = append(nodes, started)
	}
	return nodes
}

const anyPort = "127.0.0.1:0"

func post(c *qt.C, address, path, body string) (int, string) {
	response, err := http.Post("http://"+address+path, "application/json", strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	return response.StatusCode, string(text)
}

// TestFirstRequestLoadsTheModel sends requests for a model that no engine has
// loaded to nodes in two regions, over loopback connections.
func TestFirstRequestLoadsTheModel(t *testing.T) {
	c := qt.New(t)
	config := standin.Both().Resize(4, 8, 8)
	config.Speed = 100
	site, err := standin.StartSite(config)
	c.Assert(err, qt.IsNil)
	t.Cleanup(site.Close)
	nodes := startNodes(t, site,
		fleet.Place{Region: "bohemia-west", FailureDomain: "bohemia-west-1"},
		fleet.Place{Region: "bizkaia", FailureDomain: "bizkaia-1"},
	)
	text, err := json.Marshal(site.Ticket(1, "ana"))
	c.Assert(err, qt.IsNil)
	status, body := post(c, nodes[0].Addresses().Operators, "/v1/tickets", string(text))
	c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", body))

	model := config.Models[0].ModelName(0)
	request := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"hello"}],"max_tokens":8}`, model)
	for _, n := range nodes {
		status, body = post(c, n.Addresses().Callers, "/v1/chat/completions", request)
		c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
		c.Assert(body, qt.Contains, standin.Answer(fleet.Item{Model: model},
			standin.ChatPrompt(standin.Message{Role: "user", Content: "hello"}), 8))
	}
	c.Assert(site.Violations(), qt.HasLen, 0)
}
