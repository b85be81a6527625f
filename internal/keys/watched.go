package keys

import (
	"log/slog"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// checkInterval is the minimum time between two checks of files for a change.
const checkInterval = time.Second

// fileState is the metadata by which a change of a file is detected.
type fileState struct {
	modified time.Time
	size     int64
}

// watched is a value read from files and reloaded when one of them changes.
type watched[T any] struct {
	files []string
	read  func() (T, error)
	log   *slog.Logger

	mu        sync.Mutex
	checkedAt time.Time
	states    []fileState
	value     T
}

// newWatched reads the initial value. It fails if the files are missing or
// invalid.
func newWatched[T any](log *slog.Logger, read func() (T, error), files ...string) (*watched[T], error) {
	w := &watched[T]{files: files, read: read, log: log}
	states, err := w.stat()
	if err != nil {
		return nil, err
	}
	if w.value, err = read(); err != nil {
		return nil, err
	}
	w.states, w.checkedAt = states, time.Now()
	return w, nil
}

// get returns the last valid value, after it has reloaded changed files if
// checkInterval has passed since the last check.
func (w *watched[T]) get() T {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(w.checkedAt) < checkInterval {
		return w.value
	}
	w.checkedAt = time.Now()
	states, err := w.stat()
	if err != nil || !w.changed(states) {
		return w.value
	}
	w.states = states
	value, err := w.read()
	if err != nil {
		w.log.Warn("cannot load changed key file; previous content stays in use",
			slog.Any("files", w.files), slog.Any("error", err))
		return w.value
	}
	w.value = value
	w.log.Info("key file reloaded", slog.Any("files", w.files))
	return w.value
}

func (w *watched[T]) stat() ([]fileState, error) {
	states := make([]fileState, len(w.files))
	for i, file := range w.files {
		info, err := os.Stat(file)
		if err != nil {
			return nil, errors.Wrap(err, "key file")
		}
		states[i] = fileState{modified: info.ModTime(), size: info.Size()}
	}
	return states, nil
}

func (w *watched[T]) changed(states []fileState) bool {
	for i := range states {
		if states[i] != w.states[i] {
			return true
		}
	}
	return false
}
