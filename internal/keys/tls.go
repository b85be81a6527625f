package keys

import (
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"os"

	"github.com/go-faster/errors"
)

// Pair is a certificate with its private key.
type Pair struct {
	current *watched[*tls.Certificate]
}

// NewPair reads a certificate and its key from two PEM files.
func NewPair(log *slog.Logger, certificate, key string) (*Pair, error) {
	read := func() (*tls.Certificate, error) {
		pair, err := tls.LoadX509KeyPair(certificate, key)
		if err != nil {
			return nil, errors.Wrapf(err, "certificate %s with key %s", certificate, key)
		}
		return &pair, nil
	}
	current, err := newWatched(log, read, certificate, key)
	if err != nil {
		return nil, err
	}
	return &Pair{current: current}, nil
}

// Authorities is a set of trusted certificate authorities.
type Authorities struct {
	current *watched[*x509.CertPool]
}

// NewAuthorities reads the certificates of authorities from a PEM file.
func NewAuthorities(log *slog.Logger, file string) (*Authorities, error) {
	read := func() (*x509.CertPool, error) {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Wrap(err, "authorities")
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(text) {
			return nil, errors.Errorf("authorities %s: no certificate in it", file)
		}
		return pool, nil
	}
	current, err := newWatched(log, read, file)
	if err != nil {
		return nil, err
	}
	return &Authorities{current: current}, nil
}

// Server returns the TLS configuration of an endpoint. If clients is not nil,
// client certificates are verified against it, and required if require is set.
func Server(pair *Pair, clients *Authorities, require bool) *tls.Config {
	base := &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return pair.current.get(), nil
		},
	}
	if clients == nil {
		return base
	}
	base.ClientAuth = tls.VerifyClientCertIfGiven
	if require {
		base.ClientAuth = tls.RequireAndVerifyClientCert
	}
	base.ClientCAs = clients.current.get()
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		config := base.Clone()
		config.GetConfigForClient = nil
		config.ClientCAs = clients.current.get()
		return config, nil
	}
	return base
}

// Peer returns the TLS configuration for connections between nodes, in either
// direction: both sides present a certificate signed by one of the authorities.
// Nodes may be replaced at any time and have no host names, so the certificate is
// verified against the authorities only, not against an address.
func Peer(pair *Pair, nodes *Authorities) *tls.Config {
	config := Server(pair, nodes, true)
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return pair.current.get(), nil
	}
	// Disables the check of the host name; VerifyConnection verifies the chain.
	config.InsecureSkipVerify = true
	config.VerifyConnection = func(state tls.ConnectionState) error { return verifyPeer(state, nodes) }
	return config
}

func verifyPeer(state tls.ConnectionState, nodes *Authorities) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer gave no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: nodes.current.get(), Intermediates: intermediates,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return errors.Wrap(err, "peer's certificate")
	}
	return nil
}
