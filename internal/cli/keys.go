package cli

import (
	"net"
	"time"

	"github.com/guavatrack/guavatrack/internal/keys"
)

// authorityCommand creates a certificate authority.
type authorityCommand struct {
	app  *App
	Name string `long:"name" default:"guavatrack" description:"common name of the authority"`
	Args struct {
		Dir string `positional-arg-name:"DIR" required:"true" description:"directory for ca.pem and ca.key"`
	} `positional-args:"true"`
}

// Execute implements [flags.Commander].
func (c *authorityCommand) Execute([]string) error {
	if _, err := keys.CreateAuthority(c.Args.Dir, c.Name, time.Now()); err != nil {
		return err
	}
	return c.app.Print(c.Args.Dir, func(t *Table) {
		t.Row("ca.pem and ca.key are in", c.Args.Dir)
		t.Row("Keep ca.key off the entry VMs.")
	})
}

// issueCommand signs a certificate.
type issueCommand struct {
	app       *App
	Authority string        `long:"authority" required:"true" description:"directory with ca.pem and ca.key"`
	Name      string        `long:"name" required:"true" description:"common name; for a client certificate the operator's"`
	Addresses []string      `long:"address" description:"IP address of the node; may be repeated"`
	Cert      string        `long:"cert" required:"true" description:"file for the certificate"`
	Key       string        `long:"key" required:"true" description:"file for its key"`
	Lifetime  time.Duration `long:"lifetime" default:"2160h" description:"how long it is valid"`
}

// Execute implements [flags.Commander].
func (c *issueCommand) Execute([]string) error {
	addresses := make([]net.IP, 0, len(c.Addresses))
	for _, text := range c.Addresses {
		address := net.ParseIP(text)
		if address == nil {
			return usageError{"--address: want an IP address, found " + text}
		}
		addresses = append(addresses, address)
	}
	authority, err := keys.OpenAuthority(c.Authority)
	if err != nil {
		return err
	}
	if err := authority.Issue(c.Name, addresses, c.Cert, c.Key, time.Now(), c.Lifetime); err != nil {
		return err
	}
	return c.app.Print(c.Cert, func(t *Table) { t.Row("certificate", c.Cert, "key", c.Key) })
}

// secretCommand creates a caller's key or an operator's token.
type secretCommand struct {
	app  *App
	Args struct {
		File string `positional-arg-name:"FILE" required:"true" description:"file of callers.keys or operators.tokens"`
		Name string `positional-arg-name:"NAME" required:"true" description:"caller or operator"`
	} `positional-args:"true"`
}

// secretResult is the result of keys secret.
type secretResult struct {
	Name   string `json:"name"`
	Secret string `json:"secret"`
}

// Execute implements [flags.Commander].
func (c *secretCommand) Execute([]string) error {
	secret, err := keys.AddSecret(c.Args.File, c.Args.Name)
	if err != nil {
		return err
	}
	result := secretResult{Name: c.Args.Name, Secret: secret}
	return c.app.Print(result, func(t *Table) { t.Row(secret) })
}
