package poison

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// partPrefix is the prefix of the digests of prompt parts. Those of whole requests are
// hexadecimal, so no two are the same.
const partPrefix = "part-"

// PartDigest returns the digest of the part of a prompt that has an id. Requests that
// share the part share the digest.
func PartDigest(id string) Digest { return Digest(partPrefix + id) }

// IsPart reports whether a digest is that of a part of a prompt.
func (d Digest) IsPart() bool { return strings.HasPrefix(string(d), partPrefix) }

// Crashes of a part. Sound requests that run beside one that crashes a server share the
// blame, so a part needs more crashes than a whole request.
const (
	// suspectPartCrashes is the number of crashes from which requests with a part run
	// one at a time, in trials.
	suspectPartCrashes = 2
	// MaxPartCrashes is the number of crashes from which requests with a part are
	// refused until a further trial is due.
	MaxPartCrashes = 3
)

// partRefusedFor returns how long after its last crash a part is refused, of whose crashes
// some count.
func (n Notice) partRefusedFor(crashes int) time.Duration {
	atFirst, apart := n.crashesByMoment()
	if apart == 0 {
		return sharedPause + time.Duration(crashes-MaxPartCrashes)*sharedPauseStep
	}
	return backoff(max(0, min(atFirst, MaxPartCrashes-1)+apart-MaxPartCrashes))
}

// partVerdict returns the verdict on the requests with a part, of whose crashes some
// count, and the time until which it is valid.
func (n Notice) partVerdict(now time.Time, crashes int) (Verdict, time.Time) {
	if crashes < suspectPartCrashes {
		return Unrestricted, time.Time{}
	}
	if crashes >= MaxPartCrashes {
		if next := n.Crashes[len(n.Crashes)-1].At.Add(n.partRefusedFor(crashes)); now.Before(next) {
			return Refuse, next
		}
	}
	return Exclusive, n.ExpiresAt
}

// unexplained returns the number of crashes after the last success that no stronger part
// explains: one with more crashes, this one among them.
func (n Notice) unexplained(refused []Notice) int {
	own := n.CrashCount()
	count := 0
	for _, crash := range n.Crashes {
		explained := slices.ContainsFunc(refused, func(other Notice) bool {
			return other.CrashCount() > own && other.counts(crash)
		})
		if crash.At.After(n.ClearedAt) && !explained {
			count++
		}
	}
	return count
}

// counts reports whether the end of a run of a server counts against the digest. The
// nodes that record it give it different times.
func (n Notice) counts(crash Crash) bool {
	return slices.ContainsFunc(n.Crashes, func(own Crash) bool {
		return own.Server == crash.Server && own.Boot == crash.Boot && own.At.After(n.ClearedAt)
	})
}

// Run is a request that may have crashed the server on which it ran: its answer had not been
// written for long, since what crashes a server does so as it begins to write.
type Run struct {
	Digest Digest
	// Generation is that of a crash by the run: what [Controller.Generation] returned before
	// the run began; 0 if unknown.
	Generation int
	// Parts are the parts of its prompt that may be the cause.
	Parts []Digest
}

// maxBlamedParts bounds the parts that a crash is recorded against.
const maxBlamedParts = 64

// blamedParts returns the parts that a crash is held against: those of each run of which
// no answer was completed lately, or else the one for which that is longest ago. So a
// part that many sound requests share isn't suspected for those that ran beside.
func blamedParts(now time.Time, runs []Run, completed *completions) (blamed []Digest) {
	for _, run := range runs {
		if len(run.Parts) == 0 {
			continue
		}
		suspects := slices.DeleteFunc(slices.Clone(run.Parts), func(part Digest) bool { return completed.lately(now, part) })
		if len(suspects) == 0 {
			suspects = []Digest{slices.MinFunc(run.Parts, func(a, b Digest) int {
				return completed.last(a).Compare(completed.last(b))
			})}
		}
		for _, part := range suspects {
			if len(blamed) < maxBlamedParts && !slices.Contains(blamed, part) {
				blamed = append(blamed, part)
			}
		}
	}
	return blamed
}

// Bounds of the record of completed answers.
const (
	// latelyCompleted is the time for which the parts of a completed answer are
	// blamed after others only, and for which its request needs no trial after one crash.
	latelyCompleted = 3 * time.Second
	// maxCompletions bounds each of the two generations of the record.
	maxCompletions = 2048
)

// completions records when the latest answers to requests with a digest began, of those
// that were completed. It has two generations, of which the older one is dropped when the
// newer one is full or old. It is not safe for concurrent use.
type completions struct {
	newer, older map[Digest]time.Time
	since        time.Time
}

// record records a completed answer that began at a time.
func (c *completions) record(now, began time.Time, part Digest) {
	if c.newer == nil || len(c.newer) >= maxCompletions || now.Sub(c.since) > latelyCompleted {
		c.newer, c.older, c.since = make(map[Digest]time.Time), c.newer, now
	}
	if began.After(c.newer[part]) {
		c.newer[part] = began
	}
}

// last returns when the latest completed answer of a part began; zero if none is known.
func (c *completions) last(part Digest) time.Time {
	newer, older := c.newer[part], c.older[part]
	if older.After(newer) {
		return older
	}
	return newer
}

// lately reports whether an answer to a request with the part began lately and was
// completed.
func (c *completions) lately(now time.Time, part Digest) bool {
	last := c.last(part)
	return !last.IsZero() && now.Sub(last) <= latelyCompleted
}

// Finding is the verdict on a request with the digest that it is due to: that of the
// request or of one of its parts.
type Finding struct {
	Verdict Verdict
	// Until is the time until which the verdict is valid; zero for [Unrestricted].
	Until   time.Time
	Digest  Digest
	Crashes int
	// Notice is what the verdict follows from; empty for [Unrestricted].
	Notice Notice
}

// Evidence describes each crash that was recorded after the last success, for the log.
func (n Notice) Evidence() []string {
	described := make([]string, 0, len(n.Crashes))
	for _, crash := range n.Crashes {
		if crash.At.After(n.ClearedAt) {
			text := string(crash.Server) + " at " + crash.At.UTC().Format(evidenceTime)
			if crash.Generation > 0 {
				text += ", generation " + strconv.Itoa(crash.Generation)
			}
			described = append(described, text)
		}
	}
	return described
}

// evidenceTime is the format of times of crashes in the log.
const evidenceTime = "15:04:05.000Z"

// stricter returns the stricter of two findings; of two equal ones that with more
// crashes, and then the first.
func stricter(a, b Finding) Finding {
	if cmp.Or(cmp.Compare(a.Verdict, b.Verdict), cmp.Compare(a.Crashes, b.Crashes)) < 0 {
		return b
	}
	return a
}
