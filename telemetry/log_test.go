package telemetry

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a log form of the settings that is taken for another one.
func TestLogForms(t *testing.T) {
	for form, json := range map[LogForm]bool{"json": true, "text": false} {
		path := filepath.Join(t.TempDir(), "log")
		f, err := os.Create(path)
		if err != nil {
			t.Fatal(err)
		}
		log, err := NewLogger(f, "info", form)
		if err != nil {
			t.Fatal(err)
		}
		log.Info().Msg("started")
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if strings.HasPrefix(string(data), "{") != json {
			t.Errorf("form %s writes %q", form, data)
		}
		_ = f.Close()
	}
}
