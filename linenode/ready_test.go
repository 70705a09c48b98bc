package linenode

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// Guards against a VM that becomes unready without a log line, and against a log line
// for each readiness probe.
func TestReadyChangesAreLogged(t *testing.T) {
	var out bytes.Buffer
	n := &Node{log: zerolog.New(&out)}
	for _, err := range []error{errNoConfiguration, errNoConfiguration, nil, nil, errIsolated, errIsolated, nil} {
		n.logReady(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 4 {
		t.Fatalf("%d lines, want 4: %q", len(lines), lines)
	}
	for i, want := range []string{errNoConfiguration.Error(), "ready for", errIsolated.Error(), "ready for"} {
		if !strings.Contains(lines[i], want) {
			t.Errorf("line %d: %s", i, lines[i])
		}
	}
}
