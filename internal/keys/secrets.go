package keys

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"log/slog"
	"net/http"
	"os"
	"strings"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/strictjson"
)

const bearerPrefix = "Bearer "

// Secrets maps the SHA-256 hashes of secrets to the names of their holders.
type Secrets struct {
	current *watched[[]secret]
}

type secret struct {
	name string
	hash [sha256.Size]byte
}

// NewSecrets reads a JSON file {"name": "sha256 of the secret in hex"}.
func NewSecrets(log *slog.Logger, file string) (*Secrets, error) {
	current, err := newWatched(log, func() ([]secret, error) { return readSecrets(file) }, file)
	if err != nil {
		return nil, err
	}
	return &Secrets{current: current}, nil
}

func readSecrets(file string) (secrets []secret, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "secrets %s", file)
		}
	}()
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var hashes map[string]string
	if err := strictjson.Decode(text, &hashes); err != nil {
		return nil, err
	}
	for name, written := range hashes {
		hash, err := hex.DecodeString(written)
		if err != nil || len(hash) != sha256.Size {
			return nil, errors.Errorf("%s: want a sha256 in hex", name)
		}
		secrets = append(secrets, secret{name: name, hash: [sha256.Size]byte(hash)})
	}
	return secrets, nil
}

// Name returns the name of the holder of a secret.
func (s *Secrets) Name(candidate string) (name string, found bool) {
	hash := sha256.Sum256([]byte(candidate))
	for _, known := range s.current.get() {
		if subtle.ConstantTimeCompare(hash[:], known.hash[:]) == 1 {
			name, found = known.name, true
		}
	}
	return name, found
}

// Bearer returns the name of the holder of the secret in a request's
// Authorization header.
func (s *Secrets) Bearer(request *http.Request) (name string, found bool) {
	given, ok := strings.CutPrefix(request.Header.Get("Authorization"), bearerPrefix)
	if !ok {
		return "", false
	}
	return s.Name(given)
}
