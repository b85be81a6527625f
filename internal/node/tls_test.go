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

// secured are the files and secrets of a deployment with TLS.
type secured struct {
	settings         settings.Settings
	callerKey, token string
	client           *http.Client
}

func secure(c *qt.C, site *standin.Site) secured {
	dir := c.TempDir()
	file := func(name string) string { return filepath.Join(dir, name) }
	authority, err := keys.CreateAuthority(dir, "test", time.Now())
	c.Assert(err, qt.IsNil)
	loopback := []net.IP{net.IPv4(127, 0, 0, 1)}
	c.Assert(authority.Issue("node", loopback, file("node.pem"), file("node.key"), time.Now(), time.Hour), qt.IsNil)
	s := secured{settings: settings.Defaults()}
	s.callerKey, err = keys.AddSecret(file("callers.json"), "wreaths")
	c.Assert(err, qt.IsNil)
	s.token, err = keys.AddSecret(file("operators.json"), "ana")
	c.Assert(err, qt.IsNil)
	endpoint := settings.Endpoint{Listen: anyPort, Certificate: file("node.pem"), Key: file("node.key")}
	given := &s.settings
	given.Node.Place = fleet.Place{Region: "bohemia-west", FailureDomain: "bohemia-west-a"}
	given.Callers = settings.Callers{Endpoint: endpoint, Keys: file("callers.json"), MaxBody: fleet.MiB}
	given.Operators = settings.Operators{Endpoint: endpoint, Tokens: file("operators.json"), ClientCA: file("ca.pem")}
	given.Peers = settings.Peers{Endpoint: endpoint, CA: file("ca.pem")}
	given.Table.Endpoint, given.VMList.URL = site.TableURL, site.VMListURL+"/vms"
	given.Drain.KeepFor = fleet.Duration(time.Second)
	text, err := os.ReadFile(file("ca.pem"))
	c.Assert(err, qt.IsNil)
	roots := x509.NewCertPool()
	c.Assert(roots.AppendCertsFromPEM(text), qt.IsTrue)
	s.client = &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}}
	return s
}

// TestWholePathWithTLS runs two nodes whose endpoints all use TLS: the nodes
// know each other by certificate, the operator and the caller by secret.
func TestWholePathWithTLS(t *testing.T) {
	c := qt.New(t)
	site, err := standin.StartSite(standin.Wreaths().Resize(2, 0, 0))
	c.Assert(err, qt.IsNil)
	t.Cleanup(site.Close)
	given := secure(c, site)
	var nodes [2]*node.Node
	for i := range nodes {
		nodes[i] = node.New(given.settings, slog.New(slog.DiscardHandler))
		c.Assert(nodes[i].Start(t.Context()), qt.IsNil)
		t.Cleanup(func() { _, _ = nodes[i].Drain(context.Background()) })
	}

	stranger := &operator.Client{URL: "https://" + nodes[0].Addresses().Operators, HTTP: given.client}
	_, err = stranger.Apply(t.Context(), examples.WreathsTicket, false)
	c.Assert(err, qt.ErrorMatches, `.*give a bearer token or a client certificate of an operator`)
	known := &operator.Client{URL: stranger.URL, HTTP: given.client, Token: given.token}
	applied, err := known.Apply(t.Context(), examples.WreathsTicket, false)
	c.Assert(err, qt.IsNil)
	stored, err := known.Ticket(t.Context(), applied.Number)
	c.Assert(err, qt.IsNil)
	c.Assert(stored.Actor, qt.Equals, "ana")

	// The other node has the ticket from the first one or from the table, and
	// sees it as a member over mutual TLS.
	other := &operator.Client{URL: "https://" + nodes[1].Addresses().Operators, HTTP: given.client, Token: given.token}
	eventually(c, func() bool {
		status, err := other.Status(t.Context())
		return err == nil && len(status.Members) == 2 && status.Revision >= applied.Revision
	})

	status, _ := given.ask(c, nodes[1], "")
	c.Assert(status, qt.Equals, http.StatusUnauthorized)
	status, body := given.ask(c, nodes[1], given.callerKey)
	c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", body))

	_, err = (&http.Client{}).Get("https://" + nodes[0].Addresses().Callers + "/v1/models")
	c.Assert(err, qt.ErrorMatches, `.*certificate.*`)
}

func (s secured) ask(c *qt.C, at *node.Node, key string) (int, string) {
	body := `{"model":"hop-advisor","max_tokens":4,"messages":[{"role":"user","content":"hello"}]}`
	request, err := http.NewRequest(http.MethodPost,
		"https://"+at.Addresses().Callers+"/v1/chat/completions", strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := s.client.Do(request)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	return response.StatusCode, string(text)
}

// eventually waits for a condition that processes reach on their own. The test
// binary's own time limit ends it.
func eventually(c *qt.C, holds func() bool) {
	for !holds() {
		select {
		case <-c.Context().Done():
			c.Fatal("condition never held")
		case <-time.After(20 * time.Millisecond):
		}
	}
}
