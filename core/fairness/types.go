package fairness

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Defaults of Config.
const (
	// DefaultQueueLimit bounds the queue of one workspace at one upstream.
	DefaultQueueLimit = 256
	// DefaultServiceTime is the expected slot time of a request before the first
	// one has finished.
	DefaultServiceTime = time.Millisecond
)

// Config is the configuration of a State. Zero fields mean the defaults above.
type Config struct {
	// QueueLimit bounds the queue of one workspace at one upstream.
	QueueLimit int
	// ServiceTime is the initial estimate of the slot time of a request.
	ServiceTime time.Duration
}

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events, with the fields of Event that each of them uses.
const (
	// EventTick advances the time and refuses requests whose deadline has passed.
	// It is needed about every 10 ms while requests wait.
	EventTick EventKind = iota
	// EventUpstreamSet adds an upstream or changes its number of slots: Upstream,
	// Slots.
	EventUpstreamSet
	// EventUpstreamRemoved removes an upstream and refuses its waiting requests:
	// Upstream. Its running requests still have to finish.
	EventUpstreamRemoved
	// EventEnqueue requests a slot: ID, Upstream, Workspace, Key, Weight (0 means
	// 1) and Deadline. ID must not be in use.
	EventEnqueue
	// EventFinished releases the slot of a running request: ID.
	EventFinished
	// EventCancel removes a waiting request without an effect: ID. Running
	// requests ignore it.
	EventCancel
	// EventConfigure sets the bound of the queue of one workspace at one
	// upstream: QueueLimit. Requests that already wait stay in the queue.
	EventConfigure
	// EventWithdraw refuses the waiting requests of a withdrawn key: Workspace,
	// Key.
	EventWithdraw
)

// Event is one input of State.Apply.
type Event struct {
	Kind      EventKind
	ID        uint64
	Upstream  model.UpstreamID
	Workspace model.Workspace
	Key       model.KeyID
	// Weight is the weight of the workspace, 0 means 1.
	Weight int64
	// Slots is how many requests the upstream runs at a time.
	Slots      int
	QueueLimit int
	Deadline   model.Time
}

// Reason is why a request is refused.
type Reason uint8

// Reasons of a refusal.
const (
	// QueueFull means that the workspace's queue has reached its bound.
	QueueFull Reason = iota + 1
	// DeadlineTooClose means that the request is expected to wait until its
	// deadline or longer.
	DeadlineTooClose
	// DeadlinePassed means that the deadline passed before the request got a slot.
	DeadlinePassed
	// KeyWithdrawn means that the request's key was withdrawn.
	KeyWithdrawn
	// UpstreamGone means that this VM does not hold the upstream.
	UpstreamGone
)

// String returns the reason as text.
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

// EffectKind is the kind of an Effect.
type EffectKind uint8

// Kinds of effects, with the fields of Effect that each of them sets.
const (
	// EffectRun gives a request a slot: ID, Upstream.
	EffectRun EffectKind = iota
	// EffectRefuse refuses a request as not run: ID, Upstream, Reason.
	EffectRefuse
)

// Effect is one output of State.Apply.
type Effect struct {
	Kind     EffectKind
	ID       uint64
	Upstream model.UpstreamID
	Reason   Reason
}
