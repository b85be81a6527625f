package ticket

import (
	"encoding/binary"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// Groups is the number of digests on the upper level.
	Groups = 16
	// BucketsPerGroup is the number of digests below each of them.
	BucketsPerGroup = 16
	buckets         = Groups * BucketsPerGroup
)

// Digest is a hash of the contents of a state. Two states with equal digests
// hold the same entries.
type Digest uint64

// String returns 16 hexadecimal digits.
func (d Digest) String() string {
	text := strconv.FormatUint(uint64(d), 16)
	return strings.Repeat("0", 16-len(text)) + text
}

// MarshalText implements [encoding.TextMarshaler].
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements [encoding.TextUnmarshaler].
func (d *Digest) UnmarshalText(text []byte) error {
	value, err := strconv.ParseUint(string(text), 16, 64)
	*d = Digest(value)
	return err
}

// digests are sums of entry hashes. Addition is commutative, so a digest
// depends on the entries and not on their order, and changes in constant time.
type digests struct {
	total   uint64
	groups  [Groups]uint64
	buckets [buckets]uint64
}

// replace takes the old hash of an object out and the new one in.
func (d *digests) replace(key Key, from, to uint64) {
	bucket := BucketOf(key)
	d.buckets[bucket] += to - from
	d.groups[bucket/BucketsPerGroup] += to - from
	d.total += to - from
}

// BucketOf returns the bucket of an object, from 0 to Groups*BucketsPerGroup-1.
func BucketOf(key Key) int {
	return int(xxhash.Sum64String(key.String()) % buckets)
}

func hashEntry(entry Entry) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(entry.String())
	var number [9]byte
	binary.BigEndian.PutUint64(number[1:], uint64(entry.Number))
	_, _ = hash.Write(number[:])
	_, _ = hash.WriteString(entry.Body)
	return hash.Sum64()
}

// Digest returns the digest of all entries.
func (s *State) Digest() Digest { return Digest(s.digests.total) }

// GroupDigests returns the digests of the upper level.
func (s *State) GroupDigests() []Digest { return asDigests(s.digests.groups[:]) }

// BucketDigests returns the digests below one group.
func (s *State) BucketDigests(group int) []Digest {
	return asDigests(s.digests.buckets[group*BucketsPerGroup : (group+1)*BucketsPerGroup])
}

func asDigests(sums []uint64) []Digest {
	list := make([]Digest, len(sums))
	for i, sum := range sums {
		list[i] = Digest(sum)
	}
	return list
}

// Entries returns the entries of the buckets, ordered by key; of all buckets
// if none are given.
func (s *State) Entries(inBuckets ...int) []Entry {
	var wanted [buckets]bool
	for _, bucket := range inBuckets {
		if bucket >= 0 && bucket < buckets {
			wanted[bucket] = true
		}
	}
	list := make([]Entry, 0, len(s.entries))
	for key, entry := range s.entries {
		if len(inBuckets) == 0 || wanted[BucketOf(key)] {
			list = append(list, entry)
		}
	}
	slices.SortFunc(list, func(a, b Entry) int { return strings.Compare(a.String(), b.String()) })
	return list
}

// DigestWith returns the digest that the state would have after merging
// entries that are all newer than what it holds.
func (s *State) DigestWith(entries []Entry) Digest {
	total := s.digests.total
	for _, entry := range entries {
		total += hashEntry(entry) - s.hashes[entry.Key]
	}
	return Digest(total)
}
