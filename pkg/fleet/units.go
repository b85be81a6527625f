package fleet

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Bytes is a size of memory or data in bytes. Its text form has a unit, such as
// "16GiB".
type Bytes int64

// Binary multiples of a byte.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
	GiB Bytes = 1 << 30
	TiB Bytes = 1 << 40
)

// byteUnits lists the accepted suffixes, from the largest unit to the smallest,
// so that "B", which also ends "GiB", is tried last.
var byteUnits = []struct {
	suffix string
	size   Bytes
}{{"TiB", TiB}, {"GiB", GiB}, {"MiB", MiB}, {"KiB", KiB}, {"B", 1}}

// ParseBytes parses a size such as "16GiB" or "512B". The unit is required, one
// of B, KiB, MiB, GiB and TiB; the number may have a fraction. It returns an
// error if the unit is missing, or if the number is malformed, negative or gives
// more than 1<<62 bytes.
func ParseBytes(text string) (Bytes, error) {
	for _, unit := range byteUnits {
		digits, found := strings.CutSuffix(text, unit.suffix)
		if !found {
			continue
		}
		number, err := strconv.ParseFloat(strings.TrimSpace(digits), 64)
		if err != nil || number < 0 || number*float64(unit.size) > float64(1<<62) {
			return 0, errors.Errorf("size %q: not a number before %s", text, unit.suffix)
		}
		return Bytes(number * float64(unit.size)), nil
	}
	return 0, errors.Errorf("size %q: missing unit, use B, KiB, MiB, GiB or TiB", text)
}

// String returns the size in the largest unit of which it is a whole multiple.
func (b Bytes) String() string {
	for _, unit := range byteUnits {
		if b != 0 && b%unit.size == 0 {
			return fmt.Sprintf("%d%s", b/unit.size, unit.suffix)
		}
	}
	return "0B"
}

// MarshalText implements [encoding.TextMarshaler].
func (b Bytes) MarshalText() ([]byte, error) { return []byte(b.String()), nil }

// UnmarshalText implements [encoding.TextUnmarshaler] with [ParseBytes].
func (b *Bytes) UnmarshalText(text []byte) (err error) {
	*b, err = ParseBytes(string(text))
	return err
}

// Duration is a length of time whose JSON form is a string with a unit, such as
// "1m30s".
type Duration time.Duration

// Std returns the duration as a [time.Duration].
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns the duration in the form that [time.ParseDuration] parses.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText implements [encoding.TextMarshaler].
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements [encoding.TextUnmarshaler] with [time.ParseDuration].
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("duration %q: use a number with a unit, such as 250ms, 30s or 1h", text)
	}
	*d = Duration(parsed)
	return nil
}

var (
	_ fmt.Stringer = Bytes(0)
	_ fmt.Stringer = Duration(0)
)
