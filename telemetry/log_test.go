package telemetry

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a log form of the settings that is taken for another one.
func TestLogForms(t *testing.T) {
	for format, json := range map[LogFormat]bool{"json": true, "text": false} {
		path := filepath.Join(t.TempDir(), "log")
		f, err := os.Create(path)
		if err != nil {
			t.Fatal(err)
		}
		log, err := NewLogger(f, "info", format)
		if err != nil {
			t.Fatal(err)
		}
		log.Info().Msg("started")
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if strings.HasPrefix(string(data), "{") != json {
			t.Errorf("form %s writes %q", format, data)
		}
		_ = f.Close()
	}
}
