package vmlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	// defaultTimeout bounds one call.
	defaultTimeout = 5 * time.Second
	// maxListBytes bounds the answer; a VM takes some 300 bytes of it.
	maxListBytes = 16 << 20
)

// Client reads the list over HTTP.
type Client struct {
	// URL is the list's address without the path, such as
	// "http://10.0.0.9:8080".
	URL string
	// HTTP is used for the calls. Nil means a client with a timeout of 5 s.
	HTTP *http.Client
}

// List returns the platform's current answer.
func (c *Client) List(ctx context.Context) (list List, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "VM list of %s", c.URL)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, defaultTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(c.URL, "/")+"/vms", http.NoBody)
	if err != nil {
		return List{}, err
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return List{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return List{}, errors.Errorf("status %s", response.Status)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&list); err != nil {
		return List{}, errors.Wrap(err, "answer")
	}
	return list, nil
}
