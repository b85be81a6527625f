package keys_test

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/keys"
)

// authority is a certificate authority with the path of its certificate.
type authority struct {
	*keys.Authority
	file string
}

func newAuthority(c *qt.C) authority {
	dir := c.TempDir()
	made, err := keys.CreateAuthority(dir, "test", time.Now())
	c.Assert(err, qt.IsNil)
	return authority{Authority: made, file: filepath.Join(dir, "ca.pem")}
}

// issue writes a new certificate and key to a directory, replacing older ones.
func issue(c *qt.C, a authority, dir, name string) (certificate, key string) {
	certificate, key = filepath.Join(dir, "cert"), filepath.Join(dir, "key")
	_, _ = os.Remove(certificate), os.Remove(key)
	c.Assert(a.Issue(name, nil, certificate, key, time.Now(), time.Hour), qt.IsNil)
	return certificate, key
}

func peer(c *qt.C, a authority, dir string) *tls.Config {
	certificate, key := issue(c, a, dir, "node")
	pair, err := keys.NewPair(slog.Default(), certificate, key)
	c.Assert(err, qt.IsNil)
	nodes, err := keys.NewAuthorities(slog.Default(), a.file)
	c.Assert(err, qt.IsNil)
	return keys.Peer(pair, nodes)
}

// handshake connects a client to a server over loopback. The client reads and the
// server writes after its handshake, so that each sees the alert of the other.
func handshake(c *qt.C, server, client *tls.Config) error {
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	done := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			_, err = conn.Write([]byte("x"))
			conn.Close()
		}
		done <- err
	}()
	conn, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err == nil {
		_, err = conn.Read(make([]byte, 1))
		conn.Close()
	}
	return errors.Join(err, <-done)
}

func TestPeersNeedTheSameAuthority(t *testing.T) {
	c := qt.New(t)
	ours, other := newAuthority(c), newAuthority(c)
	server := peer(c, ours, t.TempDir())
	c.Assert(handshake(c, server, peer(c, ours, t.TempDir())), qt.IsNil)
	c.Assert(handshake(c, server, peer(c, other, t.TempDir())), qt.Not(qt.IsNil))
	c.Assert(handshake(c, server, &tls.Config{InsecureSkipVerify: true}), qt.Not(qt.IsNil))
	c.Assert(handshake(c, peer(c, other, t.TempDir()), server), qt.Not(qt.IsNil))
}

func TestChangedCertificateIsReloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		dir := t.TempDir()
		a := newAuthority(c)
		certificate, key := issue(c, a, dir, "first")
		pair, err := keys.NewPair(slog.New(slog.DiscardHandler), certificate, key)
		c.Assert(err, qt.IsNil)
		config := keys.Server(pair, nil, false)
		c.Assert(commonName(c, config), qt.Equals, "first")
		issue(c, a, dir, "second")
		touch(c, 1, certificate, key)
		c.Assert(commonName(c, config), qt.Equals, "first")
		time.Sleep(2 * time.Second)
		c.Assert(commonName(c, config), qt.Equals, "second")
		c.Assert(os.WriteFile(key, []byte("broken"), 0o600), qt.IsNil)
		touch(c, 2, key)
		time.Sleep(2 * time.Second)
		c.Assert(commonName(c, config), qt.Equals, "second")
	})
}

// touch sets a distinct modification time, since the timestamps of the file system
// may be too coarse to distinguish two writes.
func touch(c *qt.C, hour int, files ...string) {
	at := time.Date(2001, 1, 1, hour, 0, 0, 0, time.UTC)
	for _, file := range files {
		c.Assert(os.Chtimes(file, at, at), qt.IsNil)
	}
}

func commonName(c *qt.C, config *tls.Config) string {
	certificate, err := config.GetCertificate(nil)
	c.Assert(err, qt.IsNil)
	parsed, err := x509.ParseCertificate(certificate.Certificate[0])
	c.Assert(err, qt.IsNil)
	return parsed.Subject.CommonName
}

func TestInvalidSecretsFileKeepsPreviousSecrets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var logged bytes.Buffer
		file := filepath.Join(t.TempDir(), "secrets.json")
		_, err := keys.AddSecret(file, "jon")
		c.Assert(err, qt.IsNil)
		secret, err := keys.AddSecret(file, "ana")
		c.Assert(err, qt.IsNil)
		secrets, err := keys.NewSecrets(slog.New(slog.NewTextHandler(&logged, nil)), file)
		c.Assert(err, qt.IsNil)
		name, found := secrets.Name(secret)
		c.Assert([]any{name, found}, qt.DeepEquals, []any{"ana", true})
		_, found = secrets.Name("other")
		c.Assert(found, qt.IsFalse)

		c.Assert(os.WriteFile(file, []byte(`{"ana":"12"}`), 0o600), qt.IsNil)
		time.Sleep(2 * time.Second)
		_, found = secrets.Name(secret)
		c.Assert(found, qt.IsTrue)
		c.Assert(logged.String(), qt.Contains, "ana: want a sha256 in hex")
	})
}

func TestAuthorityCanBeReopenedAndIsNeverOverwritten(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	_, err := keys.CreateAuthority(dir, "test", time.Now())
	c.Assert(err, qt.IsNil)
	_, err = keys.CreateAuthority(dir, "test", time.Now())
	c.Assert(err, qt.ErrorMatches, `create authority: .*ca.key: file exists`)
	opened, err := keys.OpenAuthority(dir)
	c.Assert(err, qt.IsNil)
	made := authority{Authority: opened, file: filepath.Join(dir, "ca.pem")}
	c.Assert(handshake(c, peer(c, made, t.TempDir()), peer(c, made, t.TempDir())), qt.IsNil)
	_, err = keys.OpenAuthority(t.TempDir())
	c.Assert(err, qt.ErrorMatches, `open authority: .*ca.pem: no such file.*`)
}
