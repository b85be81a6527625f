package keys_test

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"errors"
	"log/slog"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/keys"
)

// authority signs certificates for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(c *qt.C) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Unix(0, 0), NotAfter: time.Now().AddDate(10, 0, 0), KeyUsage: x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	c.Assert(err, qt.IsNil)
	certificate, err := x509.ParseCertificate(raw)
	c.Assert(err, qt.IsNil)
	return &authority{certificate: certificate, key: key}
}

// write puts the authority and a certificate signed by it into three files.
func (a *authority) write(c *qt.C, dir, name string) (certificate, key, ca string) {
	own, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Unix(0, 0), NotAfter: time.Now().AddDate(10, 0, 0),
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &own.PublicKey, a.key)
	c.Assert(err, qt.IsNil)
	rawKey, err := x509.MarshalPKCS8PrivateKey(own)
	c.Assert(err, qt.IsNil)
	certificate, key, ca = filepath.Join(dir, "cert"), filepath.Join(dir, "key"), filepath.Join(dir, "ca")
	writePEM(c, certificate, "CERTIFICATE", raw)
	writePEM(c, key, "PRIVATE KEY", rawKey)
	writePEM(c, ca, "CERTIFICATE", a.certificate.Raw)
	return certificate, key, ca
}

func writePEM(c *qt.C, file, kind string, raw []byte) {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw})
	c.Assert(os.WriteFile(file, text, 0o600), qt.IsNil)
}

func peer(c *qt.C, a *authority, dir string) *tls.Config {
	certificate, key, ca := a.write(c, dir, "node")
	pair, err := keys.NewPair(slog.Default(), certificate, key)
	c.Assert(err, qt.IsNil)
	nodes, err := keys.NewAuthorities(slog.Default(), ca)
	c.Assert(err, qt.IsNil)
	return keys.Peer(pair, nodes)
}

// handshake runs both ends over loopback: each end reads after its handshake so
// that it sees the other's alert.
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

func TestCertificateIsReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		dir := t.TempDir()
		a := newAuthority(c)
		certificate, key, _ := a.write(c, dir, "first")
		pair, err := keys.NewPair(slog.New(slog.DiscardHandler), certificate, key)
		c.Assert(err, qt.IsNil)
		config := keys.Server(pair, nil, false)
		c.Assert(commonName(c, config), qt.Equals, "first")
		a.write(c, dir, "second")
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

// touch gives files a modification time of their own, since the clock of the
// file system may not tell two writes apart.
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

func TestSecrets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var logged bytes.Buffer
		file := filepath.Join(t.TempDir(), "secrets.json")
		hash := sha256.Sum256([]byte("s3cret"))
		c.Assert(os.WriteFile(file, []byte(`{"ana":"`+hex.EncodeToString(hash[:])+`"}`), 0o600), qt.IsNil)
		secrets, err := keys.NewSecrets(slog.New(slog.NewTextHandler(&logged, nil)), file)
		c.Assert(err, qt.IsNil)
		name, found := secrets.Name("s3cret")
		c.Assert([]any{name, found}, qt.DeepEquals, []any{"ana", true})
		_, found = secrets.Name("other")
		c.Assert(found, qt.IsFalse)

		c.Assert(os.WriteFile(file, []byte(`{"ana":"12"}`), 0o600), qt.IsNil)
		time.Sleep(2 * time.Second)
		_, found = secrets.Name("s3cret")
		c.Assert(found, qt.IsTrue)
		c.Assert(logged.String(), qt.Contains, "ana: want a sha256 in hex")
	})
}
