package holder

import (
	"context"

	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// Names of the spans, one for each hop.
const (
	queueSpan       = "queue"
	upstreamSpan    = "upstream"
	replicationSpan = "replication wait"

	traceParentHeader = "traceparent"
)

// hop is the span of one hop; the zero value records nothing.
type hop struct {
	span trace.Span
}

// startHop starts a span below the caller side's span of the batch.
func (s *stream) startHop(ctx context.Context, name, traceParent string) hop {
	tracer := s.holder.options.Tracer
	if tracer == nil {
		return hop{}
	}
	var format propagation.TraceContext
	ctx = format.Extract(ctx, propagation.MapCarrier{traceParentHeader: traceParent})
	_, span := tracer.Start(ctx, name)
	return hop{span: span}
}

// end ends the span; failed marks it as an error.
func (h hop) end(failed bool) {
	if h.span == nil {
		return
	}
	if failed {
		h.span.SetStatus(codes.Error, "")
	}
	h.span.End()
}
