package fairness

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Defaults of Config.
const (
	// DefaultQueueLimit bounds the queue of one workspace at one upstream.
	DefaultQueueLimit = 256
	// DefaultServiceTime is the assumed service time before the first measurement.
	DefaultServiceTime = time.Millisecond
)

// Config sets the bounds. Zero fields have the defaults above.
type Config struct {
	QueueLimit  int
	ServiceTime time.Duration
}

// EventKind tells what happened.
type EventKind uint8

// Kinds of events.
const (
	// EventTick refuses requests whose deadline has passed; it is needed about
	// every 10 ms while requests wait.
	EventTick EventKind = iota
	// EventUpstreamSet adds Upstream or changes its Slots.
	EventUpstreamSet
	// EventUpstreamRemoved refuses all that waits for Upstream; running
	// requests still finish.
	EventUpstreamRemoved
	// EventEnqueue asks for a slot: ID, Upstream, Workspace, Key, Weight (0
	// means 1) and Deadline. ID must not be in use.
	EventEnqueue
	// EventFinished gives the slot of ID back.
	EventFinished
	// EventCancel removes ID from its queue without an effect; it does nothing
	// to a running request.
	EventCancel
	// EventConfigure sets the bound of the queue of one workspace at one
	// upstream: QueueLimit. Requests that wait already stay.
	EventConfigure
	// EventWithdraw refuses what waits for Key of Workspace.
	EventWithdraw
)

// Event is one input of State.Apply.
type Event struct {
	Kind      EventKind
	ID        uint64
	Upstream  model.UpstreamID
	Workspace model.Workspace
	Key       model.KeyID
	Weight    int64
	Slots     int
	// QueueLimit is used by EventConfigure.
	QueueLimit int
	Deadline   model.Time
}

// Reason tells why a request is refused.
type Reason uint8

// Reasons of a refusal.
const (
	// QueueFull means that the workspace's queue has reached its bound.
	QueueFull Reason = iota + 1
	// DeadlineTooClose means that the request would probably wait too long.
	DeadlineTooClose
	// DeadlinePassed means that the deadline passed in the queue.
	DeadlinePassed
	// KeyWithdrawn means that the request's key was withdrawn.
	KeyWithdrawn
	// UpstreamGone means that the upstream is not held by this VM any more.
	UpstreamGone
)

// String returns the reason in words.
func (r Reason) String() string {
	switch r {
	case QueueFull:
		return "queue full"
	case DeadlineTooClose:
		return "deadline too close"
	case DeadlinePassed:
		return "deadline passed"
	case KeyWithdrawn:
		return "key withdrawn"
	case UpstreamGone:
		return "upstream gone"
	}
	return "none"
}

// EffectKind tells what to do.
type EffectKind uint8

// Kinds of effects.
const (
	// EffectRun gives request ID a slot of Upstream.
	EffectRun EffectKind = iota
	// EffectRefuse refuses request ID as not run, for Reason.
	EffectRefuse
)

// Effect is one output of State.Apply.
type Effect struct {
	Kind     EffectKind
	ID       uint64
	Upstream model.UpstreamID
	Reason   Reason
}
