package settings

import (
	"encoding/json"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/strictjson"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		Node:      Node{RegionLink: 4 * fleet.MiB},
		Callers:   Callers{Endpoint: Endpoint{Listen: "127.0.0.1:8080"}, MaxBody: 4 * fleet.MiB},
		Operators: Operators{Endpoint: Endpoint{Listen: "127.0.0.1:8081"}},
		Peers:     Peers{Endpoint: Endpoint{Listen: "127.0.0.1:8082"}},
		Table: Table{
			Endpoint: "http://127.0.0.1:8000", Name: "guavatrack", SigningRegion: "local",
			Timeout: fleet.Duration(2 * time.Second), WritesPerSecond: 40, ReadsPerSecond: 250,
		},
		VMList: VMList{URL: "http://127.0.0.1:8001/vms", Every: fleet.Duration(time.Second)},
		WeightStore: WeightStore{
			LoadsPerSecond: 4, Concurrent: 4, AdaptersInFlight: 30, Bandwidth: fleet.GiB,
		},
		Log:   Log{Level: "info", Format: "json"},
		Drain: Drain{KeepFor: fleet.Duration(3 * time.Second), Limit: fleet.Duration(10 * time.Minute)},
	}
}

// Read parses and checks a settings file. Its errors name the file.
func Read(path string) (settings Settings, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "settings %s", path)
		}
	}()
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	return Parse(text)
}

// Parse decodes settings on top of the [Defaults] and checks them. The error is a
// [strictjson.FieldErrors] with all mistakes.
func Parse(text []byte) (Settings, error) {
	settings := Defaults()
	var problems strictjson.FieldErrors
	if err := strictjson.Decode(text, &settings); err != nil && !errors.As(err, &problems) {
		return Settings{}, err
	}
	problems = problems.Merge(settings.Check())
	if err := problems.Err(); err != nil {
		return Settings{}, err
	}
	return settings, nil
}

// Format encodes the settings as indented JSON, in the form that [Parse] reads.
func (s *Settings) Format() ([]byte, error) {
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, errors.Wrap(err, "format settings")
	}
	return append(text, '\n'), nil
}
