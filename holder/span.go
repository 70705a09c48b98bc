package holder

import (
	"github.com/chervilhatch/chervilhatch/sqlstate"
	"github.com/chervilhatch/chervilhatch/telemetry"
)

// Names of the spans, one for each hop.
const (
	queueSpan       = "queue"
	upstreamSpan    = "upstream"
	replicationSpan = "replication wait"
)

// startHop starts a span below the caller side's span of the batch.
func (s *stream) startHop(name, traceParent string) telemetry.Hop {
	return telemetry.StartHop(s.holder.options.Tracer, traceParent, name)
}

// asError returns a failure as an error; a nil pointer in an interface would not
// be nil.
func asError(failure *sqlstate.Error) error {
	if failure == nil {
		return nil
	}
	return failure
}
