package frontend

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/chervilhatch/chervilhatch/executor"
)

const (
	batchSpanName     = "caller"
	traceParentHeader = "traceparent"
)

// batchSpan is the trace span of one batch. The zero value records nothing.
type batchSpan struct {
	span trace.Span
}

// startSpan starts the span of a batch as a child of the caller's trace context
// and stores its own trace context in the batch.
func (s *session) startSpan(ctx context.Context, b *executor.Batch) (context.Context, batchSpan) {
	tracer := s.server.options.Tracer
	if tracer == nil {
		b.TraceParent = s.traceParent
		return ctx, batchSpan{}
	}
	var format propagation.TraceContext
	ctx = format.Extract(ctx, propagation.MapCarrier{traceParentHeader: s.traceParent})
	ctx, span := tracer.Start(ctx, batchSpanName, trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(
		attribute.String("chervilhatch.workspace", string(s.workspace)),
		attribute.String("chervilhatch.job", string(s.job)),
		attribute.String("chervilhatch.class", b.Class.String()),
	))
	carrier := propagation.MapCarrier{}
	format.Inject(ctx, carrier)
	b.TraceParent = carrier[traceParentHeader]
	return ctx, batchSpan{span: span}
}

func (c batchSpan) end(err error) {
	if c.span == nil {
		return
	}
	if err != nil {
		c.span.SetStatus(codes.Error, err.Error())
	}
	c.span.End()
}
