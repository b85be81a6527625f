package node_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/examples"
	"github.com/guavatrack/guavatrack/internal/keys"
	"github.com/guavatrack/guavatrack/internal/node"
	"github.com/guavatrack/guavatrack/internal/operator"
	"github.com/guavatrack/guavatrack/internal/settings"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// tlsDeployment holds the settings, secrets and HTTP client of a deployment with
// TLS.
type tlsDeployment struct {
	settings         settings.Settings
	callerKey, token string
	client           *http.Client
}

func newTLSDeployment(c *qt.C, site *standin.Site) tlsDeployment {
	dir := c.TempDir()
	file := func(name string) string { return filepath.Join(dir, name) }
	authority, err := keys.CreateAuthority(dir, "test", time.Now())
	c.Assert(err, qt.IsNil)
	loopback := []net.IP{net.IPv4(127, 0, 0, 1)}
	c.Assert(authority.Issue("node", loopback, file("node.pem"), file("node.key"), time.Now(), time.Hour), qt.IsNil)
	d := tlsDeployment{settings: settings.Defaults()}
	d.callerKey, err = keys.AddSecret(file("callers.json"), "wreaths")
	c.Assert(err, qt.IsNil)
	d.token, err = keys.AddSecret(file("operators.json"), "ana")
	c.Assert(err, qt.IsNil)
	endpoint := settings.Endpoint{Listen: anyPort, Certificate: file("node.pem"), Key: file("node.key")}
	nodeSettings := &d.settings
	nodeSettings.Node.Place = fleet.Place{Region: "bohemia-west", FailureDomain: "bohemia-west-a"}
	nodeSettings.Callers = settings.Callers{Endpoint: endpoint, Keys: file("callers.json"), MaxBody: fleet.MiB}
	nodeSettings.Operators = settings.Operators{Endpoint: endpoint, Tokens: file("operators.json"), ClientCA: file("ca.pem")}
	nodeSettings.Peers = settings.Peers{Endpoint: endpoint, CA: file("ca.pem")}
	nodeSettings.Table.Endpoint, nodeSettings.VMList.URL = site.TableURL, site.VMListURL+"/vms"
	nodeSettings.Drain.KeepFor = fleet.Duration(time.Second)
	text, err := os.ReadFile(file("ca.pem"))
	c.Assert(err, qt.IsNil)
	roots := x509.NewCertPool()
	c.Assert(roots.AppendCertsFromPEM(text), qt.IsTrue)
	d.client = &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}}
	return d
}

// TestNodesServeOverTLS runs two nodes whose endpoints all use TLS. Nodes are
// authenticated by certificate, the operator and the caller by secret.
func TestNodesServeOverTLS(t *testing.T) {
	c := qt.New(t)
	site, err := standin.StartSite(standin.Wreaths().Resize(2, 0, 0))
	c.Assert(err, qt.IsNil)
	t.Cleanup(site.Close)
	deployment := newTLSDeployment(c, site)
	var nodes [2]*node.Node
	for i := range nodes {
		nodes[i] = node.New(deployment.settings, slog.New(slog.DiscardHandler))
		c.Assert(nodes[i].Start(t.Context()), qt.IsNil)
		t.Cleanup(func() { _, _ = nodes[i].Drain(context.Background()) })
	}

	unauthenticated := &operator.Client{URL: "https://" + nodes[0].Addresses().Operators, HTTP: deployment.client}
	_, err = unauthenticated.Apply(t.Context(), examples.WreathsTicket, false)
	c.Assert(err, qt.ErrorMatches, `.*give a bearer token or a client certificate of an operator`)
	authenticated := &operator.Client{URL: unauthenticated.URL, HTTP: deployment.client, Token: deployment.token}
	applied, err := authenticated.Apply(t.Context(), examples.WreathsTicket, false)
	c.Assert(err, qt.IsNil)
	stored, err := authenticated.Ticket(t.Context(), applied.Number)
	c.Assert(err, qt.IsNil)
	c.Assert(stored.Actor, qt.Equals, "ana")

	// The other node gets the ticket from the first one or from the table, and
	// lists it as a member, which needs mutual TLS between them.
	other := &operator.Client{URL: "https://" + nodes[1].Addresses().Operators, HTTP: deployment.client, Token: deployment.token}
	eventually(c, func() bool {
		status, err := other.Status(t.Context())
		return err == nil && len(status.Members) == 2 && status.Revision >= applied.Revision
	})

	status, _ := deployment.sendChat(c, nodes[1], "")
	c.Assert(status, qt.Equals, http.StatusUnauthorized)
	status, body := deployment.sendChat(c, nodes[1], deployment.callerKey)
	c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", body))

	_, err = (&http.Client{}).Get("https://" + nodes[0].Addresses().Callers + "/v1/models")
	c.Assert(err, qt.ErrorMatches, `.*certificate.*`)
}

func (d tlsDeployment) sendChat(c *qt.C, n *node.Node, key string) (int, string) {
	body := `{"model":"hop-advisor","max_tokens":4,"messages":[{"role":"user","content":"hello"}]}`
	request, err := http.NewRequest(http.MethodPost,
		"https://"+n.Addresses().Callers+"/v1/chat/completions", strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := d.client.Do(request)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	return response.StatusCode, string(text)
}

// eventually waits until the condition is true. The wait is limited by the timeout
// of the test binary.
func eventually(c *qt.C, condition func() bool) {
	for !condition() {
		select {
		case <-c.Context().Done():
			c.Fatal("context ended before the condition was met")
		case <-time.After(20 * time.Millisecond):
		}
	}
}
