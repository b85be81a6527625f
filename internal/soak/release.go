package soak

import (
	"time"

	"github.com/guavatrack/guavatrack/platform/standin"
)

// Software versions of engines. All run the first one at the start.
var softwareVersions = [2]string{standin.DefaultSoftware, "v2"}

const (
	// drainTime bounds the time for which a replaced engine drains.
	drainTime = 300 * time.Millisecond
	// downTime is the time for which an engine that comes back is away.
	downTime = 100 * time.Millisecond
)

// releaseKinds lists the kinds of changes of an engine's software version.
var releaseKinds = []faultKind{
	{"replace engine", func(r *Run, index int) func() {
		r.recordError(r.replaceEngine(index))
		return func() {}
	}},
	{"engine returns with another version", func(r *Run, index int) func() {
		engine := r.engine(index)
		engine.Restart(standin.Restart{Software: otherSoftware(engine), NewID: index%2 == 0, DownTime: downTime})
		return func() {}
	}},
}

// otherSoftware returns the version that the engine does not run.
func otherSoftware(engine *standin.Engine) string {
	if engine.CurrentSoftware() == softwareVersions[0] {
		return softwareVersions[1]
	}
	return softwareVersions[0]
}

// engine returns the engine that an index selects.
func (r *Run) engine(index int) *standin.Engine {
	engines := r.site.CurrentEngines()
	return engines[index%len(engines)]
}

// replaceEngine replaces an engine by one of the other version that holds the same models,
// behind a proxy of its own.
func (r *Run) replaceEngine(index int) error {
	r.releasing.Lock()
	defer r.releasing.Unlock()
	old := r.engine(index)
	next, err := r.site.NewEngine(otherSoftware(old), old.LoadedModels()...)
	if err != nil {
		return err
	}
	if err := r.addServerProxy(&next.Server); err != nil {
		return err
	}
	r.site.Replace(old, next, drainTime)
	return nil
}
