// Package poison recognises requests that crash the backend servers that run
// them.
//
// A request is identified by a digest of its content, so it is recognised when
// its caller sends it again, at any node. When a backend server crashes, the
// requests that ran on it become suspects. A suspect may run once more, in a
// trial: no other request of the node runs on the same server. If that server
// crashes too, every node refuses the request until a further trial is due. If the
// request succeeds it is no longer a suspect. Crashes of runs that were under way at
// the same time count as one, since servers also crash together for other causes.
//
// Requests may also share a part of their prompts that crashes each server that begins
// to answer. A part has a digest and a notice as a request has. Several crashes are
// needed to refuse it, since sound requests share most parts and run beside, and a
// refused part has a further trial now and then, since other requests may need it.
//
// Nodes exchange notices, which are merged as sets of crashes. The merge is
// commutative and idempotent, so notices may arrive from peers and from the
// table in any order and more than once.
package poison

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Digest identifies the content of a request.
type Digest string

// digestSize is the number of bytes of a digest.
const digestSize = 16

// DigestOf returns the digest of the parts that make up the content of a
// request.
func DigestOf(parts ...[]byte) Digest {
	hash := sha256.New()
	for _, part := range parts {
		_, _ = hash.Write(part)
		_, _ = hash.Write([]byte{0})
	}
	return Digest(hex.EncodeToString(hash.Sum(nil)[:digestSize]))
}

// Crash is one crash of a backend server, identified by its boot.
type Crash struct {
	Server fleet.ServerID `json:"server"`
	Boot   fleet.BootID   `json:"boot"`
	At     time.Time      `json:"at"`
	// Generation is 1 more than the highest generation of the crashes that were known to the
	// node when the run began; 0 if unknown. It counts for requests only.
	Generation int `json:"generation,omitempty"`
}

// Notice is the state of one digest that nodes exchange.
type Notice struct {
	Digest  Digest  `json:"digest"`
	Crashes []Crash `json:"crashes,omitempty"`
	// ClearedAt is the time of the last success; crashes up to it don't count.
	ClearedAt time.Time `json:"clearedAt,omitzero"`
	// Trial is the last trial that was granted.
	Trial Trial `json:"trial,omitzero"`
	// ExpiresAt is the time at which the notice expires.
	ExpiresAt time.Time `json:"until"`
}

// Trial is the permission of a node to run a suspect once more on a server.
type Trial struct {
	Node   fleet.NodeID   `json:"node"`
	Server fleet.ServerID `json:"server"`
	Boot   fleet.BootID   `json:"boot"`
	// Deadline is the deadline of the run.
	Deadline time.Time `json:"end"`
	// Parts are the parts of the request's prompt.
	Parts []Digest `json:"-"`
}

// MaxCrashes is the number of crashes from which a request is refused until a further trial is
// due.
const MaxCrashes = 2

// maxNoticeCrashes is the number of crashes that a notice holds, the latest ones. A notice
// with as many fits into a fact.
const maxNoticeCrashes = 8

// NoticeLifetime is the time after the last crash or success for which a notice
// is valid. An expired notice stays in the table for as long again.
const NoticeLifetime = 10 * time.Minute

// maxNotices is the maximum number of notices that a node holds.
const maxNotices = 4096

// Verdict is the decision on whether and how a request may run.
type Verdict int

// Verdicts on a request.
const (
	// Unrestricted means that no crash counts against the request.
	Unrestricted Verdict = iota
	// Exclusive means that the request is suspected and may run once, in a
	// trial.
	Exclusive
	// Refuse means that the request must not run.
	Refuse
	// Occupied means that another suspect is on trial on the server. The request
	// may run on another one.
	Occupied
)

// CrashCount returns the number of crashes after the last success; of those of a request that
// ran on several servers at a time only one.
func (n Notice) CrashCount() int {
	if !n.Digest.IsPart() {
		return n.requestCrashes()
	}
	count := 0
	for _, crash := range n.Crashes {
		if crash.At.After(n.ClearedAt) {
			count++
		}
	}
	return count
}

// crashedOn reports whether a crash of a run of a server counts against the digest.
func (n Notice) crashedOn(server fleet.ServerID, boot fleet.BootID) bool {
	return slices.ContainsFunc(n.Crashes, func(crash Crash) bool { return crash.Server == server && crash.Boot == boot })
}

// Merge returns the union of two notices of one digest. It is commutative and
// idempotent.
func (n Notice) Merge(other Notice) Notice {
	type run struct {
		server fleet.ServerID
		boot   fleet.BootID
	}
	// Several nodes may record the same crash; the earliest time is kept.
	earliest := make(map[run]Crash)
	for _, crash := range slices.Concat(n.Crashes, other.Crashes) {
		id := run{crash.Server, crash.Boot}
		first, found := earliest[id]
		if found {
			crash.Generation = earlierGeneration(first.Generation, crash.Generation)
			if first.At.Before(crash.At) {
				crash.At = first.At
			}
		}
		earliest[id] = crash
	}
	n.Crashes = slices.SortedFunc(maps.Values(earliest), compareCrashes)
	if other.ClearedAt.After(n.ClearedAt) {
		n.ClearedAt = other.ClearedAt
	}
	if order := other.Trial.Deadline.Compare(n.Trial.Deadline); order > 0 || order == 0 && other.Trial.Node > n.Trial.Node {
		n.Trial = other.Trial
	}
	if other.ExpiresAt.After(n.ExpiresAt) {
		n.ExpiresAt = other.ExpiresAt
	}
	return n
}

// compareCrashes orders crashes by time, server and boot.
func compareCrashes(a, b Crash) int {
	return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Server, b.Server), cmp.Compare(a.Boot, b.Boot))
}

// NoticeSet holds the notices of one node. It is not safe for concurrent use.
type NoticeSet struct {
	byDigest map[Digest]Notice
	// refusedParts holds the parts with so many crashes that they may be refused.
	refusedParts map[Digest]struct{}
}

// crashCount returns the number of crashes that count against a digest.
func (s *NoticeSet) crashCount(now time.Time, digest Digest) int {
	notice, found := s.byDigest[digest]
	if !found || now.After(notice.ExpiresAt) {
		return 0
	}
	if count := notice.CrashCount(); count == 0 || !digest.IsPart() {
		return count
	}
	var refused []Notice
	for part := range s.refusedParts {
		if other := s.byDigest[part]; part != digest && !now.After(other.ExpiresAt) {
			refused = append(refused, other)
		}
	}
	return notice.unexplained(refused)
}

// Check returns the verdict on a request, or on those with a part, and the time until
// which it is valid. The time is zero for [Unrestricted].
func (s *NoticeSet) Check(now time.Time, digest Digest) (verdict Verdict, until time.Time) {
	return s.byDigest[digest].verdict(now, s.crashCount(now, digest))
}

// CheckIn returns the verdict on requests with a digest whose prompts have the given parts.
// A refused part may have a trial at once where another part, which the prompt has not,
// explains all its crashes as well: one of the two is the cause, and a request with this one
// alone tells which.
func (s *NoticeSet) CheckIn(now time.Time, digest Digest, parts []Digest) (verdict Verdict, until time.Time) {
	verdict, until = s.Check(now, digest)
	if verdict == Refuse && digest.IsPart() && s.isTied(now, digest, parts) {
		return Exclusive, s.byDigest[digest].ExpiresAt
	}
	return verdict, until
}

// isTied reports whether another refused part, which is none of the given ones, has all the
// crashes of a refused part, so that it may be the cause of them as well.
func (s *NoticeSet) isTied(now time.Time, digest Digest, parts []Digest) bool {
	notice := s.byDigest[digest]
	own := notice.CrashCount()
	for part := range s.refusedParts {
		other := s.byDigest[part]
		if slices.Contains(parts, part) || now.After(other.ExpiresAt) || other.CrashCount() < own {
			continue
		}
		if !slices.ContainsFunc(notice.Crashes, func(crash Crash) bool {
			return crash.At.After(notice.ClearedAt) && !other.counts(crash)
		}) {
			return true
		}
	}
	return false
}

// Suspects returns the digests that may have caused a crash. If a suspect was on
// trial on the server, from any node, it is that one, or the running one of several:
// a trial whose caller left lasts until its deadline. Otherwise it returns the
// suspects among the running requests, or all of them if none is a suspect.
func (s *NoticeSet) Suspects(now time.Time, server fleet.ServerID, boot fleet.BootID, running []Digest) []Digest {
	var tried []Digest
	for digest, notice := range s.byDigest {
		trial := notice.Trial
		if !digest.IsPart() && trial.Server == server && trial.Boot == boot && now.Before(trial.Deadline) && notice.CrashCount() > 0 {
			tried = append(tried, digest)
		}
	}
	if len(tried) > 1 {
		slices.Sort(tried)
		tried = orAll(tried, func(digest Digest) bool { return slices.Contains(running, digest) })
	}
	if len(tried) > 0 {
		return tried
	}
	return orAll(running, func(digest Digest) bool {
		verdict, _ := s.Check(now, digest)
		return verdict != Unrestricted
	})
}

// orAll returns the digests that match, or all of them if none does.
func orAll(digests []Digest, matches func(Digest) bool) []Digest {
	matching := slices.DeleteFunc(slices.Clone(digests), func(digest Digest) bool { return !matches(digest) })
	if len(matching) > 0 {
		return matching
	}
	return digests
}

// RecordCrash records a crash that was noticed just now against a digest and returns the merged
// notice.
func (s *NoticeSet) RecordCrash(digest Digest, crash Crash) Notice {
	lifetime := max(NoticeLifetime, lifetimeBackoffs*backoff(s.Get(digest).CrashCount()+1-digest.refusedFrom()))
	return s.Merge(crash.At, Notice{Digest: digest, Crashes: []Crash{crash}, ExpiresAt: crash.At.Add(lifetime)})
}

// RecordSuccess records that a suspect succeeded and returns the merged notice.
func (s *NoticeSet) RecordSuccess(now time.Time, digest Digest) Notice {
	return s.Merge(now, Notice{Digest: digest, ClearedAt: now, ExpiresAt: now.Add(NoticeLifetime)})
}

// Merge merges a notice into the set and returns the result. An expired notice
// is replaced. If the set is full, expired notices or one valid one are
// evicted.
func (s *NoticeSet) Merge(now time.Time, notice Notice) Notice {
	if s.byDigest == nil {
		s.byDigest, s.refusedParts = make(map[Digest]Notice), make(map[Digest]struct{})
	}
	known, found := s.byDigest[notice.Digest]
	if !found && len(s.byDigest) >= maxNotices {
		s.evict(now)
	}
	if now.After(known.ExpiresAt) {
		known = Notice{Digest: notice.Digest}
	}
	notice = known.Merge(notice)
	notice.Crashes = latestCrashes(notice.Crashes)
	s.byDigest[notice.Digest] = notice
	if notice.Digest.IsPart() && notice.CrashCount() >= MaxPartCrashes {
		s.refusedParts[notice.Digest] = struct{}{}
	} else {
		delete(s.refusedParts, notice.Digest)
	}
	return notice
}

// Get returns the notice of a digest, which is empty if there is none.
func (s *NoticeSet) Get(digest Digest) Notice {
	notice := s.byDigest[digest]
	notice.Digest = digest
	return notice
}

// evict removes the expired notices, or the one that expires first if none has.
func (s *NoticeSet) evict(now time.Time) {
	maps.DeleteFunc(s.byDigest, func(digest Digest, notice Notice) bool {
		expired := now.After(notice.ExpiresAt)
		if expired {
			delete(s.refusedParts, digest)
		}
		return expired
	})
	if len(s.byDigest) < maxNotices {
		return
	}
	var first Notice
	for _, notice := range s.byDigest {
		if first.Digest == "" || notice.ExpiresAt.Before(first.ExpiresAt) {
			first = notice
		}
	}
	delete(s.byDigest, first.Digest)
	delete(s.refusedParts, first.Digest)
}
