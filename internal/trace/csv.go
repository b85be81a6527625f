package trace

import (
	"bytes"
	"encoding/csv"
	"io"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// header is the first line of a trace file.
var header = []string{"atSeconds", "model", "adapter"}

// maxAtSeconds is the largest arrival time that a row may have, about 100 years.
const maxAtSeconds = 100 * 365 * daySeconds

// Read reads a trace as CSV with the header atSeconds,model,adapter. The
// adapter may be empty, and rows may be in any order. The result is sorted. An
// error gives the line number.
func Read(r io.Reader) (arrivals []Arrival, err error) {
	defer func() {
		if err != nil {
			arrivals, err = nil, errors.Wrap(err, "read trace")
		}
	}()
	rows := csv.NewReader(r)
	rows.FieldsPerRecord = len(header)
	rows.ReuseRecord = true
	first, err := rows.Read()
	if err != nil {
		return nil, errors.Wrap(err, "line 1")
	}
	first[0] = string(bytes.TrimPrefix([]byte(first[0]), []byte("\ufeff")))
	if !slices.Equal(first, header) {
		return nil, errors.Errorf("line 1: header %q, need atSeconds,model,adapter", first)
	}
	for {
		row, err := rows.Read()
		switch {
		case errors.Is(err, io.EOF):
			Sort(arrivals)
			return arrivals, nil
		case err != nil:
			return nil, err // the csv package's error includes the line
		}
		line, _ := rows.FieldPos(0)
		arrival, err := parseRow(row)
		if err != nil {
			return nil, errors.Wrapf(err, "line %d", line)
		}
		arrivals = append(arrivals, arrival)
	}
}

func parseRow(row []string) (Arrival, error) {
	at, err := strconv.ParseFloat(row[0], 64)
	if err != nil || math.IsNaN(at) || at < 0 || at > maxAtSeconds {
		return Arrival{}, errors.Errorf("atSeconds %q: need seconds from 0 to %d", row[0], int64(maxAtSeconds))
	}
	if row[1] == "" {
		return Arrival{}, errors.New("model is empty")
	}
	return Arrival{
		At:   time.Duration(at * float64(time.Second)),
		Item: fleet.Item{Model: fleet.ModelID(row[1]), Adapter: fleet.AdapterID(row[2])},
	}, nil
}
