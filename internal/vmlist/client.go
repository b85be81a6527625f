package vmlist

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/http1"
)

const (
	// defaultTimeout limits the duration of one call.
	defaultTimeout = 5 * time.Second
	// maxListBytes limits the size of the response, in which a VM takes about
	// 300 bytes.
	maxListBytes = 16 << 20
)

// Client reads the VM list over HTTP.
type Client struct {
	// URL is the base URL of the service, without the path, such as
	// "http://10.0.0.9:8080".
	URL string
	// HTTP makes the requests; nil means a client like [http.DefaultClient]. Every call is
	// also limited to 5 s.
	HTTP *http.Client
}

// List reads the VM list from the platform.
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
		client = &http.Client{Transport: http1.Of(nil)}
	}
	response, err := client.Do(request)
	if err != nil {
		return List{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return List{}, errors.Errorf("status %s", response.Status)
	}
	return decode(io.LimitReader(response.Body, maxListBytes))
}
