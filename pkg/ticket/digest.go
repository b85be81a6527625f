package ticket

import (
	"encoding/binary"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// Groups is the number of digests on the upper level of the digest tree.
	Groups = 16
	// BucketsPerGroup is the number of digests below each group.
	BucketsPerGroup = 16
	bucketCount     = Groups * BucketsPerGroup
)

// Digest is a 64-bit hash of the contents of a state. Two states with equal
// digests are taken to hold the same entries.
type Digest uint64

// String returns the digest as 16 hexadecimal digits.
func (d Digest) String() string {
	text := strconv.FormatUint(uint64(d), 16)
	return strings.Repeat("0", 16-len(text)) + text
}

// MarshalText implements [encoding.TextMarshaler].
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements [encoding.TextUnmarshaler]. It returns an error if the
// text is not a hexadecimal number of at most 64 bits.
func (d *Digest) UnmarshalText(text []byte) error {
	value, err := strconv.ParseUint(string(text), 16, 64)
	*d = Digest(value)
	return err
}

// digests holds sums of entry hashes for the state, its groups and its buckets.
// Addition is commutative, so a digest depends on the entries and not on their
// order, and is updated in constant time.
type digests struct {
	total   uint64
	groups  [Groups]uint64
	buckets [bucketCount]uint64
}

// replace subtracts an object's old hash from the sums and adds the new one.
func (d *digests) replace(key Key, oldHash, newHash uint64) {
	bucket := BucketOf(key)
	d.buckets[bucket] += newHash - oldHash
	d.groups[bucket/BucketsPerGroup] += newHash - oldHash
	d.total += newHash - oldHash
}

// BucketOf returns the bucket of an object, from 0 to Groups*BucketsPerGroup-1.
func BucketOf(key Key) int {
	return int(xxhash.Sum64String(key.String()) % bucketCount)
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

// GroupDigests returns the digest of each of the [Groups] groups.
func (s *State) GroupDigests() []Digest { return toDigests(s.digests.groups[:]) }

// BucketDigests returns the digests of the [BucketsPerGroup] buckets of one
// group. It panics unless group is from 0 to Groups-1.
func (s *State) BucketDigests(group int) []Digest {
	return toDigests(s.digests.buckets[group*BucketsPerGroup : (group+1)*BucketsPerGroup])
}

func toDigests(sums []uint64) []Digest {
	list := make([]Digest, len(sums))
	for i, sum := range sums {
		list[i] = Digest(sum)
	}
	return list
}

// Entries returns the entries in the given buckets, or in all buckets if none
// are given, ordered by key. Bucket numbers out of range are ignored.
func (s *State) Entries(inBuckets ...int) []Entry {
	var wanted [bucketCount]bool
	for _, bucket := range inBuckets {
		if bucket >= 0 && bucket < bucketCount {
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

// DigestWith returns the digest that the state would have after merging the
// entries, each of which must be newer than the state's entry for its object.
func (s *State) DigestWith(entries []Entry) Digest {
	total := s.digests.total
	for _, entry := range entries {
		total += hashEntry(entry) - s.hashes[entry.Key]
	}
	return Digest(total)
}
