package cli

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/http1"
	"github.com/guavatrack/guavatrack/internal/operator"
)

const clientTimeout = 30 * time.Second

// connection holds the flags of commands that call a node's operators' API.
type connection struct {
	Node  string `long:"node" env:"GUAVATRACK_NODE" default:"http://127.0.0.1:8081" description:"address of a node's endpoint for operators"`
	Token string `long:"token-file" env:"GUAVATRACK_TOKEN_FILE" description:"file with the operator's token"`
	CA    string `long:"ca" env:"GUAVATRACK_CA" description:"PEM file with the authority of the node's certificate"`
	Cert  string `long:"cert" env:"GUAVATRACK_CERT" description:"PEM file with the operator's certificate"`
	Key   string `long:"key" env:"GUAVATRACK_KEY" description:"PEM file with the certificate's key"`
}

// client returns a client of the node's API. An address without a scheme is taken
// as plain HTTP.
func (c *connection) client() (*operator.Client, error) {
	if !strings.Contains(c.Node, "://") {
		c.Node = "http://" + c.Node
	}
	tlsConfig, err := c.tls()
	if err != nil {
		return nil, err
	}
	client := &operator.Client{
		URL:  c.Node,
		HTTP: &http.Client{Timeout: clientTimeout, Transport: http1.New(&http.Transport{TLSClientConfig: tlsConfig})},
	}
	if c.Token != "" {
		text, err := os.ReadFile(c.Token)
		if err != nil {
			return nil, usageError{"--token-file: " + err.Error()}
		}
		client.Token = strings.TrimSpace(string(text))
	}
	return client, nil
}

// tls returns the TLS configuration for the flags --ca, --cert and --key.
func (c *connection) tls() (*tls.Config, error) {
	tlsConfig := &tls.Config{MinVersion: tls.VersionTLS13}
	if c.CA != "" {
		text, err := os.ReadFile(c.CA)
		if err != nil {
			return nil, usageError{"--ca: " + err.Error()}
		}
		tlsConfig.RootCAs = x509.NewCertPool()
		if !tlsConfig.RootCAs.AppendCertsFromPEM(text) {
			return nil, usageError{"--ca: no certificate in " + c.CA}
		}
	}
	if c.Cert != "" || c.Key != "" {
		pair, err := tls.LoadX509KeyPair(c.Cert, c.Key)
		if err != nil {
			return nil, errors.Join(usageError{"--cert and --key"}, err)
		}
		tlsConfig.Certificates = []tls.Certificate{pair}
	}
	return tlsConfig, nil
}
