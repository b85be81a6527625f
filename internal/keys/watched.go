package keys

import (
	"log/slog"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// checkInterval is how often files are looked at for a change, at most.
const checkInterval = time.Second

// stamp tells one state of a file from another.
type stamp struct {
	modified time.Time
	size     int64
}

// watched is a value that is read from files and read again when one of them
// changes.
type watched[T any] struct {
	files []string
	read  func() (T, error)
	log   *slog.Logger

	mu      sync.Mutex
	checked time.Time
	stamps  []stamp
	value   T
}

// newWatched reads the files for the first time.
func newWatched[T any](log *slog.Logger, read func() (T, error), files ...string) (*watched[T], error) {
	w := &watched[T]{files: files, read: read, log: log}
	stamps, err := w.stat()
	if err != nil {
		return nil, err
	}
	if w.value, err = read(); err != nil {
		return nil, err
	}
	w.stamps, w.checked = stamps, time.Now()
	return w, nil
}

// get returns the newest good value.
func (w *watched[T]) get() T {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(w.checked) < checkInterval {
		return w.value
	}
	w.checked = time.Now()
	stamps, err := w.stat()
	if err != nil || !w.changed(stamps) {
		return w.value
	}
	w.stamps = stamps
	value, err := w.read()
	if err != nil {
		w.log.Warn("changed key file not usable, the former content stays in use",
			slog.Any("files", w.files), slog.Any("error", err))
		return w.value
	}
	w.value = value
	w.log.Info("key file read again", slog.Any("files", w.files))
	return w.value
}

func (w *watched[T]) stat() ([]stamp, error) {
	stamps := make([]stamp, len(w.files))
	for i, file := range w.files {
		info, err := os.Stat(file)
		if err != nil {
			return nil, errors.Wrap(err, "key file")
		}
		stamps[i] = stamp{modified: info.ModTime(), size: info.Size()}
	}
	return stamps, nil
}

func (w *watched[T]) changed(stamps []stamp) bool {
	for i := range stamps {
		if stamps[i] != w.stamps[i] {
			return true
		}
	}
	return false
}
