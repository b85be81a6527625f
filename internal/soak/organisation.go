package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/platform/standin"
)

// unknownKey is a key that no manifest holds. Callers send it, or none, in one of unknownKeyIn
// requests.
const (
	unknownKey   = "no manifest holds this"
	unknownKeyIn = 10
)

// organisations returns those of the manifest, each with one key and a priority.
func (r *Run) organisations() (organisations []standin.Organisation) {
	for at := range r.Organisations {
		organisations = append(organisations, standin.Organisation{
			Name: fmt.Sprint("organisation", at), Keys: []string{keyOf(at)}, Priority: at,
		})
	}
	return organisations
}

// keyOf returns the key of an organisation.
func keyOf(organisation int) string { return fmt.Sprint("key-", organisation) }

// drawKey returns the key that a caller sends; empty if it sends none. It draws nothing if the
// manifest has no organisations.
func (r *Run) drawKey(random *rand.Rand) string {
	switch {
	case r.Organisations == 0:
		return ""
	case random.IntN(unknownKeyIn) > 0:
		return keyOf(random.IntN(r.Organisations))
	case random.IntN(2) == 0:
		return ""
	default:
		return unknownKey
	}
}

// authorize adds a key to a request, and a name of an organisation that is not its own.
func (r *Run) authorize(request *http.Request, key string) {
	if r.Organisations > 0 {
		request.Header.Set(standin.HeaderOrganisation, "forged")
		r.site.Authorize(request, key)
	}
}

// removedKey returns the key that is taken away during the run: that of the last organisation.
func (r *Run) removedKey() string { return keyOf(r.Organisations - 1) }

// removeKey takes the key away in the middle of the span. The organisation stays.
func (r *Run) removeKey() {
	time.Sleep(r.Span / 2)
	r.Log("seed %d: %s removed", r.Seed, r.removedKey())
	organisations := r.organisations()
	organisations[len(organisations)-1].Keys = nil
	r.site.PublishOrganisations(organisations...)
}

const (
	// minOrganisations is the least number of organisations of which one can lose its key.
	minOrganisations = 2
	// revokedTime is how long callers go on with a key once it must not be served any more.
	revokedTime = 2 * time.Second
)

// checkRemovedKey has the ledger record each run of a request with the removed key, once all
// nodes refuse it and the requests that came before have ended. The callers go on meanwhile.
func (r *Run) checkRemovedKey() error {
	err := r.waitKeyRefused(recoveryLimit)
	time.Sleep(callerTimeout)
	r.site.Ledger.Revoke(r.removedKey())
	time.Sleep(revokedTime)
	return err
}

// waitKeyRefused waits until every node refuses the removed key. After the limit it returns
// the last failure.
func (r *Run) waitKeyRefused(limit time.Duration) error {
	return poll(limit, func() error {
		for _, n := range r.nodes {
			request, err := standin.NewRequest(n.config.Callers.Listen, http.MethodGet, standin.Repeatable+"x", "", "")
			if err != nil {
				return err
			}
			r.authorize(request, r.removedKey())
			answer, err := standin.Send(request)
			if err != nil || answer.Status != http.StatusUnauthorized {
				return errors.Errorf("%s: status %d for a removed key, error %v", n.name, answer.Status, err)
			}
		}
		return nil
	})
}
