package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"encoding/pem"
	"io/fs"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/strictjson"
)

const (
	authorityLifetime = 10 * 365 * 24 * time.Hour
	// clockSkew is how long before its issue a certificate is valid, since the
	// clocks of hosts differ.
	clockSkew           = time.Hour
	serialBits          = 127
	secretBytes         = 32
	keyFileMode         = 0o600
	certificateFileMode = 0o644
	pemKey              = "PRIVATE KEY"
	pemCert             = "CERTIFICATE"
)

// Authority is a certificate authority, which signs certificates for nodes and
// operators. It is created where the operators keep their secrets, never on an
// entry VM.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// authorityFiles returns the paths of an authority's files in its directory.
func authorityFiles(dir string) (certificate, key string) {
	return filepath.Join(dir, "ca.pem"), filepath.Join(dir, "ca.key")
}

// CreateAuthority creates an authority and writes ca.pem and ca.key to a
// directory. It fails if either file exists.
func CreateAuthority(dir, name string, now time.Time) (authority *Authority, err error) {
	defer annotate(&err, "create authority")
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template, err := template(name, now, authorityLifetime)
	if err != nil {
		return nil, err
	}
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(raw)
	if err != nil {
		return nil, err
	}
	certificateFile, keyFile := authorityFiles(dir)
	if err := writePair(certificateFile, keyFile, raw, key); err != nil {
		return nil, err
	}
	return &Authority{certificate: certificate, key: key}, nil
}

// OpenAuthority reads ca.pem and ca.key from a directory.
func OpenAuthority(dir string) (authority *Authority, err error) {
	defer annotate(&err, "open authority")
	certificateFile, keyFile := authorityFiles(dir)
	rawCertificate, err := readPEM(certificateFile, pemCert)
	if err != nil {
		return nil, err
	}
	rawKey, err := readPEM(keyFile, pemKey)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(rawCertificate)
	if err != nil {
		return nil, errors.Wrap(err, certificateFile)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(rawKey)
	if err != nil {
		return nil, errors.Wrap(err, keyFile)
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok {
		return nil, errors.Errorf("%s: want an ECDSA key", keyFile)
	}
	return &Authority{certificate: certificate, key: key}, nil
}

// Issue signs a certificate for a common name and IP addresses and writes it and
// its key to two files. It fails if either file exists.
func (a *Authority) Issue(
	name string, addresses []net.IP, certificateFile, keyFile string, now time.Time, lifetime time.Duration,
) (err error) {
	defer annotate(&err, "issue certificate")
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	template, err := template(name, now, lifetime)
	if err != nil {
		return err
	}
	template.IPAddresses = addresses
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return err
	}
	return writePair(certificateFile, keyFile, raw, key)
}

func template(name string, now time.Time, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-clockSkew), NotAfter: now.Add(lifetime),
	}, nil
}

// AddSecret generates a secret for a name, stores its hash in a file of [Secrets]
// and returns the secret. It replaces an earlier secret of the name and keeps the
// other names in the file.
func AddSecret(file, name string) (secret string, err error) {
	defer annotate(&err, "add secret")
	hashes := make(map[string]string)
	text, err := os.ReadFile(file)
	switch {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		return "", err
	default:
		if err := strictjson.Decode(text, &hashes); err != nil {
			return "", errors.Wrap(err, file)
		}
	}
	raw := make([]byte, secretBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", err
	}
	secret = base64.RawURLEncoding.EncodeToString(raw)
	hash := sha256.Sum256([]byte(secret))
	hashes[name] = hex.EncodeToString(hash[:])
	encoded, err := json.MarshalIndent(hashes, "", "  ")
	if err != nil {
		return "", err
	}
	// A node may read the file at any time, so it is replaced atomically.
	tempFile := file + ".new"
	if err := os.WriteFile(tempFile, append(encoded, '\n'), keyFileMode); err != nil {
		return "", err
	}
	return secret, os.Rename(tempFile, file)
}

func writePair(certificateFile, keyFile string, certificate []byte, key *ecdsa.PrivateKey) error {
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	if err := createPEM(keyFile, pemKey, raw, keyFileMode); err != nil {
		return err
	}
	return createPEM(certificateFile, pemCert, certificate, certificateFileMode)
}

func createPEM(file, kind string, raw []byte, mode fs.FileMode) error {
	opened, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return err
	}
	return errors.Join(pem.Encode(opened, &pem.Block{Type: kind, Bytes: raw}), opened.Close())
}

func readPEM(file, kind string) ([]byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(text)
	if block == nil || block.Type != kind {
		return nil, errors.Errorf("%s: want a PEM file with a %s", file, kind)
	}
	return block.Bytes, nil
}

// annotate wraps a non-nil error with the operation that failed.
func annotate(err *error, doing string) {
	if *err != nil {
		*err = errors.Wrap(*err, doing)
	}
}
