// Package tracing configures trace export from the settings.
package tracing

import (
	"context"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/settings"
	"github.com/chervilhatch/chervilhatch/telemetry"
)

// Start installs the exporter that the settings select and returns a function that
// flushes and stops it.
func Start(ctx context.Context, t *settings.Trace, vm model.VMID) (func(context.Context) error, error) {
	return telemetry.StartTraces(ctx, telemetry.TraceOptions{
		Exporter: telemetry.Exporter(t.Exporter),
		File:     t.File,
		Endpoint: t.Endpoint,
		Insecure: t.Insecure,
		Ratio:    t.Ratio,
		VM:       string(vm),
	})
}
