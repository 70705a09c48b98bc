package holder

import (
	"github.com/chervilhatch/chervilhatch/sqlstate"
	"github.com/chervilhatch/chervilhatch/telemetry"
)

// Names of the spans of a batch.
const (
	queueSpan       = "queue"
	upstreamSpan    = "upstream"
	replicationSpan = "replication wait"
)

// startHop starts a child span of the caller side's span of the batch.
func (s *stream) startHop(name, traceParent string) telemetry.Hop {
	return telemetry.StartHop(s.holder.options.Tracer, traceParent, name)
}

// asError converts failure to an error. A nil *sqlstate.Error in an interface
// would not compare equal to nil.
func asError(failure *sqlstate.Error) error {
	if failure == nil {
		return nil
	}
	return failure
}
