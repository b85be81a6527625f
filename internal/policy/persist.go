package policy

import (
	"encoding/binary"
	"math"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// countScale is the resolution of a count in the compact form.
const countScale = 16

// maxNameLength bounds the name of an item in the compact form.
const maxNameLength = 1 << 12

// AppendPatterns appends the compact form of patterns: for each its item, its
// few numbers and the bins that are not empty.
func AppendPatterns(body []byte, patterns map[fleet.Item]*Pattern) []byte {
	for item, pattern := range patterns {
		name := item.String()
		body = binary.AppendUvarint(body, uint64(len(name)))
		body = append(body, name...)
		for _, number := range pattern.numbers() {
			body = binary.BigEndian.AppendUint32(body, math.Float32bits(float32(*number)))
		}
		body = pattern.wall.append(body)
		body = pattern.operational.append(body)
	}
	return body
}

// numbers lists the fields of a pattern beside its histograms.
func (p *Pattern) numbers() []*float64 {
	return []*float64{&p.score, &p.logMean, &p.logWeight, &p.mean, &p.crowd}
}

// append writes each bin that is not empty as its distance from the one before
// and its count, and a zero at the end.
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

// errBody says that a compact form is cut off or malformed.
var errBody = errors.New("malformed patterns")

// ReadPatterns reads the form that [AppendPatterns] writes.
func ReadPatterns(body []byte) (patterns map[fleet.Item]*Pattern, err error) {
	r := &bodyReader{rest: body}
	patterns = make(map[fleet.Item]*Pattern)
	for len(r.rest) > 0 && r.err == nil {
		item := fleet.ParseItem(string(r.bytes(r.uvarint())))
		pattern := &Pattern{}
		for _, number := range pattern.numbers() {
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

func (h *Histogram) read(r *bodyReader) {
	last := -1
	for r.err == nil {
		distance := r.uvarint()
		if distance == 0 {
			return
		}
		if distance > binCount || last+int(distance) >= binCount {
			r.err = errBody
			return
		}
		last += int(distance)
		h.counts[last] = float32(r.uvarint()) / countScale
		h.total += h.counts[last]
	}
}

// bodyReader takes values off a compact form until the first error.
type bodyReader struct {
	rest []byte
	err  error
}

func (r *bodyReader) uvarint() uint64 {
	value, length := binary.Uvarint(r.rest)
	if r.err != nil || length <= 0 {
		r.err = errBody
		return 0
	}
	r.rest = r.rest[length:]
	return value
}

func (r *bodyReader) bytes(count uint64) []byte {
	if r.err != nil || count > maxNameLength || count > uint64(len(r.rest)) {
		r.err = errBody
		return nil
	}
	taken := r.rest[:count]
	r.rest = r.rest[count:]
	return taken
}
