package poison

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// trialRetryAfter is when requests that share a part with one on trial are to be
// repeated, at the latest.
const trialRetryAfter = 2 * time.Second

// TrialRefusal returns the finding on a digest whose trial BeginTrial has refused.
func (c *Controller) TrialRefusal(digest Digest, until time.Time) Finding {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.finding(time.Now(), digest, Refuse, until)
}

// BeginTrial requests a trial of a suspect on a server. While the table is
// available, it is granted to one node at a time, and a server has one trial at
// a time, so that a crash has one cause. Without the table it is granted unless
// a notice of this node holds the trial of another node. If the verdict is
// [Exclusive], the caller must call EndTrial after the run.
func (c *Controller) BeginTrial(ctx context.Context, digest Digest, trial Trial) (Verdict, time.Time) {
	trial.Node = c.Node
	c.once.Do(c.setUp)
	c.mu.Lock()
	_, active := c.activeTrials[digest]
	if !active {
		c.activeTrials[digest] = trial
	}
	c.mu.Unlock()
	if active {
		return Refuse, trial.Deadline
	}
	verdict, until := c.requestTrial(ctx, digest, trial)
	if verdict != Exclusive {
		c.removeActive(digest)
	}
	return verdict, until
}

// EndTrial ends a trial that BeginTrial has granted. The server is released in the
// background.
func (c *Controller) EndTrial(digest Digest) {
	trial := c.removeActive(digest)
	go c.release(digest, trial)
}

// removeActive removes a trial from those of this node and returns it.
func (c *Controller) removeActive(digest Digest) Trial {
	c.mu.Lock()
	defer c.mu.Unlock()
	trial := c.activeTrials[digest]
	delete(c.activeTrials, digest)
	return trial
}

// requestTrial writes the trial to the table. If that fails it decides from the
// notices of this node.
func (c *Controller) requestTrial(ctx context.Context, digest Digest, trial Trial) (Verdict, time.Time) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	for range maxAttempts {
		notice, version, err := c.mergeStored(ctx, digest)
		if err != nil {
			break
		}
		now := time.Now()
		if verdict, until := c.verdict(now, digest, trial.Parts); verdict != Exclusive {
			return verdict, until
		}
		if trialOnOtherNode(now, notice, c.Node) {
			return Refuse, notice.Trial.Deadline
		}
		held, heldVersion, err := c.reservation(ctx, trial.Server)
		if err != nil {
			break
		}
		if held.excludes(now, digest, trial) {
			return Occupied, held.Trial.Deadline
		}
		notice.Trial = trial
		if err = c.put(ctx, notice, version, reservationWrite(digest, trial, heldVersion)); err == nil {
			c.trials.Inc(1)
			c.publishTrial(notice)
			return Exclusive, notice.ExpiresAt
		}
		if !errors.Is(err, table.ErrConflict) {
			break
		}
	}
	return c.grantAlone(digest)
}

// grantAlone decides on a trial without the table. A digest that was refused has none, since
// each node would grant one.
func (c *Controller) grantAlone(digest Digest) (Verdict, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	notice := c.notices.Get(digest)
	if trialOnOtherNode(now, notice, c.Node) {
		return Refuse, notice.Trial.Deadline
	}
	if c.notices.crashCount(now, digest) >= digest.refusedFrom() {
		return Refuse, now.Add(firstBackoff)
	}
	return c.notices.Check(now, digest)
}

// verdict returns the verdict on a digest of a request from the notices of this node.
func (c *Controller) verdict(now time.Time, digest Digest, parts []Digest) (Verdict, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.notices.CheckIn(now, digest, parts)
}

// publishTrial merges the notice of a new trial and sends it to the other nodes.
func (c *Controller) publishTrial(notice Notice) {
	c.Merge(notice)
	if c.Publish != nil {
		c.Publish(notice)
	}
}

// trialOnOtherNode reports whether another node holds a trial that has not
// ended.
func trialOnOtherNode(now time.Time, notice Notice, node fleet.NodeID) bool {
	return notice.Trial.Node != "" && notice.Trial.Node != node && now.Before(notice.Trial.Deadline)
}
