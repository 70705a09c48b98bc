package admission

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

const (
	// Priorities is the number of priorities that are told apart; lower ones than the
	// last count as the last.
	Priorities = 8
	// DefaultLimit bounds the entries of a queue: about what four slots serve within
	// the longest usual deadline.
	DefaultLimit = 1024
	// initialService is the expected service time before the first statement ended:
	// that of a short query with its round trip.
	initialService = 20 * time.Millisecond
	// minService keeps the service times above 0.
	minService = 100 * time.Microsecond
	// serviceDivisor is the inverse weight of a new value in the moving average of the
	// service times.
	serviceDivisor = 16
	// demandPeriod is the time constant of the averages of demand. It spans some
	// objectives and is shorter than a load peak.
	demandPeriod = time.Second
	// agedDivisor is the inverse of the share of the service time that goes to the
	// entries that have waited for longest, whatever their urgency. A higher share
	// would show in the waits of urgent statements.
	agedDivisor = 20
	// affinityWindow is how long an entry may be passed over in any case in favor of one
	// whose workspace has an idle connection, and the time before its objective in which
	// it may not. A new connection takes a slot for as long as a statement.
	affinityWindow = 60 * time.Millisecond
	// affinityScan bounds the workspaces that are looked at for an idle connection.
	affinityScan = 16
	// estimateMarginDivisor is the inverse of the margin that is added to estimated waits,
	// since workspaces that have less waiting go ahead with what they send later.
	estimateMarginDivisor = 8
	// minRetryAfter and maxRetryAfter bound the delay that refused callers are told: a
	// round trip, and the time for which an estimate says anything.
	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// retrySpread is the fraction of the delay that is added at random.
	retrySpread = 0.5
	// maxIdleFlows is the number of workspaces without entries that a band remembers
	// before it forgets those that have caught up.
	maxIdleFlows = 256
)

// Config configures a Queue.
type Config struct {
	// Limit bounds the number of entries, 0 means DefaultLimit. Statements of open
	// transactions are not refused by it.
	Limit int
	// Idle reports whether a workspace has an idle connection. It may be nil.
	Idle func(workspace string) bool
}

// Capacity is what the upstream can take at the moment.
type Capacity struct {
	// Slots is how many statements may be under way, Free how many more than now.
	Slots, Free int
	// Connections is false if only statements that have their connection can start.
	Connections bool
}

// Entry is a statement that waits for a slot of the upstream. The caller sets the
// exported fields and keeps the entry unchanged until it has left the queue.
type Entry struct {
	// Workspace shares the upstream with the others by service time.
	Workspace string
	// Priority is that of the route; 0 is the most urgent.
	Priority int
	// Open is set for a statement of an open transaction, which has its connection.
	Open bool
	// Elsewhere is set if the statement may run on another upstream: it is refused
	// unless it is expected to start by StartBy, and if no connection is free.
	Elsewhere bool
	// Arrival is when the statement arrived. StartBy is the last time to start it
	// that meets the route's latency objective, Deadline the last that is of any use.
	Arrival, StartBy, Deadline model.Time

	// Owner is for the use of the caller.
	Owner any

	// estimate is the wait that was expected at the arrival.
	estimate time.Duration
	// cost is the expected service time as of the arrival.
	cost time.Duration
	// flow is the flow that the entry waits in, or was taken from.
	flow *flow
	// flowIndex, startIndex and deadlineIndex are the positions in the heaps of the
	// flow, Queue.onTime and Queue.deadlines, -1 outside of them.
	flowIndex, startIndex, deadlineIndex int
	// sequence is the order of arrival.
	sequence uint64
	// older and newer link the entries in the order of their arrival.
	older, newer *Entry
	queued       bool
}

// Estimate returns the wait that was expected when the entry arrived.
func (e *Entry) Estimate() time.Duration { return e.estimate }

// Older returns the waiting entry that arrived just before, or nil.
func (e *Entry) Older() *Entry { return e.older }

// Cost returns the service time that was expected when the entry arrived.
func (e *Entry) Cost() time.Duration { return e.cost }

// Cause is why an entry is refused.
type Cause uint8

// Causes.
const (
	// Full means that the queue has reached its limit.
	Full Cause = iota + 1
	// TooLate means that the entry is not expected to start by its deadline.
	TooLate
	// Busy means that an entry with Elsewhere is not expected to start by StartBy.
	Busy
	// Expired means that the deadline passed in the queue.
	Expired
	// Crowded means that more urgent statements have come in between, so that the
	// entry is no longer expected to start by its deadline.
	Crowded
	// Stalled means that the statements under way at the upstream do not end. The queue
	// itself does not use it.
	Stalled
)

// String returns the cause as text.
func (c Cause) String() string {
	switch c {
	case Full:
		return "queue full"
	case TooLate:
		return "deadline too close"
	case Busy:
		return "objective too close"
	case Expired:
		return "deadline passed"
	case Crowded:
		return "more urgent work"
	case Stalled:
		return "upstream does not answer"
	}
	return "none"
}

// Refusal describes why an entry was refused. The statement has not run.
type Refusal struct {
	Cause Cause
	// RetryAfter is when the queue is expected to have drained to where the statement
	// would be served, with a random part.
	RetryAfter time.Duration
	// Estimate is the expected wait and Service the expected service time that the
	// entry was judged by. Waiting is the length of the queue.
	Estimate, Service time.Duration
	Waiting           int
}
