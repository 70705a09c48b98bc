package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
)

// Hop is the trace span of one hop of a request. The zero value records nothing.
type Hop struct {
	span trace.Span
	// TraceParent is the W3C trace context of the hop, the parent of further hops.
	TraceParent string
}

// StartHop starts the span of a hop as a child of parent, a W3C traceparent that
// may be empty. If tracer is nil, it records nothing and TraceParent is parent.
func StartHop(tracer trace.Tracer, parent, name string, attributes ...attribute.KeyValue) Hop {
	if tracer == nil {
		return Hop{TraceParent: parent}
	}
	ctx, span := tracer.Start(Extract(context.Background(), parent), name, trace.WithAttributes(attributes...))
	return Hop{span: span, TraceParent: Inject(ctx)}
}

// End ends the span. It sets the span's status to an error if err is not nil.
func (h *Hop) End(err error) {
	if h.span == nil {
		return
	}
	if err != nil {
		h.span.SetStatus(codes.Error, err.Error())
	}
	h.span.End()
}
