package telemetry

import (
	"context"
	"path/filepath"
	"testing"
)

// TestTracerWithoutExporter guards against spans that cost processor time on
// every statement although nobody records them, and against spans that are
// lost although an exporter was started.
func TestTracerWithoutExporter(t *testing.T) {
	start := func(o TraceOptions) {
		stop, err := StartTraces(t.Context(), o)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = stop(context.Background()) })
	}
	start(TraceOptions{Exporter: ExportNone})
	if Tracer() != nil {
		t.Error("there is a tracer without an exporter")
	}
	start(TraceOptions{Exporter: ExportFile, File: filepath.Join(t.TempDir(), "traces"), Ratio: 1})
	if Tracer() == nil {
		t.Error("there is no tracer with an exporter")
	}
}
