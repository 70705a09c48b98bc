package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
)

// Hop is the span of one hop of a request; the zero value records nothing.
type Hop struct {
	span trace.Span
	// TraceParent is the W3C trace context below which further hops start.
	TraceParent string
}

// StartHop starts the span of a hop below parent, a W3C traceparent that may be
// empty. Without a tracer it records nothing and passes parent on.
func StartHop(tracer trace.Tracer, parent, name string, attributes ...attribute.KeyValue) Hop {
	if tracer == nil {
		return Hop{TraceParent: parent}
	}
	ctx, span := tracer.Start(Extract(context.Background(), parent), name, trace.WithAttributes(attributes...))
	return Hop{span: span, TraceParent: Inject(ctx)}
}

// End ends the span; err is why the hop failed, if it did.
func (h *Hop) End(err error) {
	if h.span == nil {
		return
	}
	if err != nil {
		h.span.SetStatus(codes.Error, err.Error())
	}
	h.span.End()
}
