package telemetry

import (
	"context"
	"path/filepath"
	"testing"
)

// Guards against spans that cost CPU time on every statement although there is no
// exporter, and against spans that are lost although there is one.
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
		t.Error("Tracer() is not nil without an exporter")
	}
	start(TraceOptions{Exporter: ExportFile, File: filepath.Join(t.TempDir(), "traces"), Ratio: 1})
	if Tracer() == nil {
		t.Error("Tracer() is nil with an exporter")
	}
}
