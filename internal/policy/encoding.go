package policy

import (
	"encoding/binary"
	"math"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// countScale is the number of steps per unit of a count in the encoded form.
const countScale = 16

// maxNameLength bounds the name of an item in the encoded form, in bytes.
const maxNameLength = 1 << 12

// AppendPatterns appends the encoded form of patterns: for each its item, its
// scalar fields and the non-empty bins of its histograms.
func AppendPatterns(body []byte, patterns map[fleet.Item]*Pattern) []byte {
	for item, pattern := range patterns {
		name := item.String()
		body = binary.AppendUvarint(body, uint64(len(name)))
		body = append(body, name...)
		for _, number := range pattern.scalars() {
			body = binary.BigEndian.AppendUint32(body, math.Float32bits(float32(*number)))
		}
		body = pattern.wall.append(body)
		body = pattern.operational.append(body)
	}
	return body
}

// scalars returns the fields of a pattern other than its histograms.
func (p *Pattern) scalars() []*float64 {
	return []*float64{&p.score, &p.logMean, &p.logWeight, &p.mean, &p.meanWaitRatio}
}

// append encodes each non-empty bin as the distance from the one before and its
// count, followed by a zero.
func (h *Histogram) append(body []byte) []byte {
	last := -1
	for i, count := range h.counts {
		if scaled := uint64(math.Round(float64(count) * countScale)); scaled > 0 {
			body = binary.AppendUvarint(body, uint64(i-last))
			body = binary.AppendUvarint(body, scaled)
			last = i
		}
	}
	return binary.AppendUvarint(body, 0)
}

// errMalformed is returned for an encoded form that is truncated or malformed.
var errMalformed = errors.New("malformed patterns")

// ReadPatterns decodes the form that [AppendPatterns] produces.
func ReadPatterns(body []byte) (patterns map[fleet.Item]*Pattern, err error) {
	r := &bodyReader{rest: body}
	patterns = make(map[fleet.Item]*Pattern)
	for len(r.rest) > 0 && r.err == nil {
		item := fleet.ParseItem(string(r.bytes(r.uvarint())))
		pattern := &Pattern{}
		for _, number := range pattern.scalars() {
			if bits := r.bytes(4); r.err == nil {
				*number = float64(math.Float32frombits(binary.BigEndian.Uint32(bits)))
			}
		}
		pattern.wall.read(r)
		pattern.operational.read(r)
		patterns[item] = pattern
	}
	if r.err != nil {
		return nil, r.err
	}
	return patterns, nil
}

// read decodes the bins that append has encoded.
func (h *Histogram) read(r *bodyReader) {
	last := -1
	for r.err == nil {
		distance := r.uvarint()
		if distance == 0 {
			return
		}
		if distance > binCount || last+int(distance) >= binCount {
			r.err = errMalformed
			return
		}
		last += int(distance)
		h.counts[last] = float32(r.uvarint()) / countScale
		h.total += h.counts[last]
	}
}

// bodyReader decodes values in sequence until the first error.
type bodyReader struct {
	rest []byte
	err  error
}

func (r *bodyReader) uvarint() uint64 {
	value, length := binary.Uvarint(r.rest)
	if r.err != nil || length <= 0 {
		r.err = errMalformed
		return 0
	}
	r.rest = r.rest[length:]
	return value
}

func (r *bodyReader) bytes(count uint64) []byte {
	if r.err != nil || count > maxNameLength || count > uint64(len(r.rest)) {
		r.err = errMalformed
		return nil
	}
	taken := r.rest[:count]
	r.rest = r.rest[count:]
	return taken
}
