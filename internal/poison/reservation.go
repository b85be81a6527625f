package poison

import (
	"context"
	"encoding/json"
	"log/slog"
	"strings"
	"time"

	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// reservation is the record that keeps a server for the trial of one suspect. Two
// suspects that run on a server at the same time, sent by two nodes, could not be told
// apart if it crashed.
type reservation struct {
	Digest Digest `json:"digest"`
	Trial  Trial  `json:"trial"`
}

// excludes reports whether a reservation excludes the trial of a suspect. It doesn't
// once its trial is over, or for another run of the server's process.
func (r reservation) excludes(now time.Time, digest Digest, trial Trial) bool {
	return r.Digest != "" && r.Digest != digest && r.Trial.Boot == trial.Boot && now.Before(r.Trial.Deadline)
}

// reservationPrefix is the prefix of the sort keys of reservations. A digest, which is
// the sort key of a notice, has no slash.
const reservationPrefix = "server/"

func reservationKey(server fleet.ServerID) table.Key {
	return table.Key{Partition: partition, Sort: reservationPrefix + string(server)}
}

func isReservation(key table.Key) bool { return strings.HasPrefix(key.Sort, reservationPrefix) }

// reservation reads the reservation of a server, which is empty if there is none, and
// the version of its record.
func (c *Controller) reservation(ctx context.Context, server fleet.ServerID) (held reservation, version table.Version, err error) {
	version, err = table.ReadJSON(ctx, c.Store, reservationKey(server), &held)
	return held, version, err
}

// reservationWrite returns the write that reserves a server for a trial.
func reservationWrite(digest Digest, trial Trial, version table.Version) table.Write {
	body, err := json.Marshal(reservation{Digest: digest, Trial: trial})
	if err != nil {
		panic(err) // Strings and times can always be encoded.
	}
	return table.Write{Key: reservationKey(trial.Server), Expect: version, Body: body}
}

// release deletes the reservation of a trial that has ended. If that fails, it ends at
// the deadline of the trial. It stays if the server crashed: another node that has not
// seen that yet would begin a trial there, and its suspect would seem to be the cause.
func (c *Controller) release(digest Digest, trial Trial) {
	c.mu.Lock()
	crashed := c.notices.Get(digest).crashedOn(trial.Server, trial.Boot)
	c.mu.Unlock()
	if crashed {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
	defer cancel()
	held, version, err := c.reservation(ctx, trial.Server)
	if err == nil && held.Digest == digest && held.Trial.Node == c.Node {
		err = c.delete(ctx, reservationKey(trial.Server), version)
	}
	if err != nil {
		c.Log.Warn("server not released after a trial", slog.String("server", string(trial.Server)), slog.Any("error", err))
	}
}

// deleteOld deletes a reservation that ended more than [NoticeLifetime] ago.
func (c *Controller) deleteOld(ctx context.Context, record table.Record, now time.Time) {
	var held reservation
	if json.Unmarshal(record.Body, &held) == nil && now.Before(held.Trial.Deadline.Add(NoticeLifetime)) {
		return
	}
	// A later poll tries again.
	_ = c.delete(ctx, record.Key, record.Version)
}
