package telemetry

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a log format that writes lines of another format. The names are
// those of the settings.
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
			t.Errorf("format %s writes %q", format, data)
		}
		_ = f.Close()
	}
}
