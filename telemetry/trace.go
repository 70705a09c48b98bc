package telemetry

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync/atomic"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracegrpc"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// tracerName is the instrumentation scope of the spans.
const tracerName = "chervilhatch"

// Exporter is the destination of traces.
type Exporter string

// Exporters of traces.
const (
	ExportNone   Exporter = "none"
	ExportStdout Exporter = "stdout"
	ExportFile   Exporter = "file"
	ExportOTLP   Exporter = "otlp"
)

// TraceOptions configures the trace exporter.
type TraceOptions struct {
	Exporter Exporter
	// File is the path of the file for ExportFile.
	File string
	// Endpoint is the address of the collector for ExportOTLP, as host:port.
	Endpoint string
	// Insecure disables TLS to the collector.
	Insecure bool
	// Ratio is the fraction of requests to sample among those that arrive without
	// a trace context.
	Ratio float64
	// VM is the id of this VM, recorded as service.instance.id.
	VM string
}

// StartTraces installs the global tracer provider and returns a function that
// flushes the spans and stops the provider.
func StartTraces(ctx context.Context, o TraceOptions) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if o.Exporter == ExportNone || o.Exporter == "" {
		return func(context.Context) error { return nil }, nil
	}
	exporter, closer, err := newExporter(ctx, o)
	if err != nil {
		return nil, fmt.Errorf("trace exporter: %w", err)
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(o.Ratio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "chervilhatchd"),
			attribute.String("service.instance.id", o.VM),
		)),
	)
	otel.SetTracerProvider(provider)
	exporting.Store(true)
	stop := func(ctx context.Context) error {
		err := provider.Shutdown(ctx)
		if closer != nil {
			_ = closer.Close()
		}
		return err
	}
	return stop, nil
}

// exporting is set once StartTraces has installed an exporter.
var exporting atomic.Bool

// Tracer returns the tracer of the request path. It returns nil if there is no
// exporter, because even spans that are not recorded cost several allocations per
// statement.
func Tracer() trace.Tracer {
	if !exporting.Load() {
		return nil
	}
	return otel.Tracer(tracerName)
}

func newExporter(ctx context.Context, o TraceOptions) (sdktrace.SpanExporter, io.Closer, error) {
	switch o.Exporter {
	case ExportStdout:
		e, err := stdouttrace.New()
		return e, nil, err
	case ExportFile:
		f, err := os.OpenFile(o.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
		if err != nil {
			return nil, nil, err
		}
		e, err := stdouttrace.New(stdouttrace.WithWriter(f))
		return e, f, err
	case ExportOTLP:
		options := []otlptracegrpc.Option{otlptracegrpc.WithEndpoint(o.Endpoint)}
		if o.Insecure {
			options = append(options, otlptracegrpc.WithInsecure())
		}
		e, err := otlptracegrpc.New(ctx, options...)
		return e, nil, err
	}
	return nil, nil, fmt.Errorf("unknown exporter %q", o.Exporter)
}

// traceParent is the name of the W3C header that carries a trace context.
const traceParent = "traceparent"

// Inject returns the trace context of ctx as a W3C traceparent, or "" if there is
// none.
func Inject(ctx context.Context) string {
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return ""
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[traceParent]
}

// Extract returns ctx with the trace context of a W3C traceparent, which may be
// empty.
func Extract(ctx context.Context, parent string) context.Context {
	if parent == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceParent: parent})
}

// Span starts the span of one hop of a request, for example "upstream".
func Span(ctx context.Context, hop string) (context.Context, trace.Span) {
	return otel.Tracer(tracerName).Start(ctx, hop)
}
