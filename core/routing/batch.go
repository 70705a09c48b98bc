package routing

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/sqlstate"
)

// Bounds of the pause before a batch is tried again.
const (
	backoffMin = 5 * time.Millisecond
	backoffMax = 200 * time.Millisecond
	// backoffSteps is how often the pause doubles.
	backoffSteps = 6
)

// batch is a request between BatchRequested and its end.
type batch struct {
	id         uint64
	workspace  model.Workspace
	database   model.Database
	class      model.Class
	maxAge     time.Duration
	floor      model.Position
	hasFloor   bool
	deadline   model.Time
	idempotent bool
	seed       uint64

	attempt uint32
	// reign is that of the primary at the last attempt there.
	reign    uint64
	upstream model.UpstreamID
	sentAt   model.Time
	// tried has a bit for each member that was tried since the last pause.
	tried uint64
	// maybeRun is true when an earlier attempt may have run.
	maybeRun bool
	// code is the SQLSTATE of the last refusal.
	code sqlstate.Code

	waiting bool
	// probes is true while the batch asks a member for the primary.
	probes bool
	// forPrimary is true when the batch waits for a primary to become known.
	forPrimary bool
	retryAt    model.Time
	pauses     int
}

func newBatch(ev *Event) batch {
	return batch{
		id: ev.ID, workspace: ev.Workspace, database: ev.Database, class: ev.Class,
		maxAge: ev.MaxAge, floor: ev.Floor, hasFloor: ev.HasFloor,
		deadline: ev.Deadline, idempotent: ev.Idempotent, seed: ev.Seed,
	}
}

// needsPrimary reports whether only the primary will do.
func (b *batch) needsPrimary() bool {
	return b.class == model.Write || b.maxAge == 0
}

// repeatable reports whether the batch may run twice.
func (b *batch) repeatable() bool {
	return b.class == model.Read || b.idempotent
}

func (b *batch) hasTried(i int) bool { return b.tried&(1<<(i%64)) != 0 }

func (b *batch) setTried(i int) { b.tried |= 1 << (i % 64) }

// failure returns the effect that ends the batch without an answer.
func (b *batch) failure() Effect {
	e := Effect{Kind: Fail, ID: b.id, Code: b.code, NotRun: !b.maybeRun}
	switch {
	case b.maybeRun && b.class == model.Write:
		e.Code = sqlstate.OutcomeUnknown
	case b.maybeRun:
		e.Code = sqlstate.ConnectionFailure
	case b.code != "":
	case b.needsPrimary():
		e.Code = sqlstate.NoPrimary
	default:
		e.Code = sqlstate.UpstreamUnavail
	}
	return e
}

// pause returns the time until the next attempt: exponential, with a random
// half so that batches do not retry together.
func (b *batch) pause() time.Duration {
	d := min(backoffMin<<min(b.pauses, backoffSteps), backoffMax)
	b.pauses++
	b.seed += 0x9e3779b97f4a7c15
	return d/2 + time.Duration(mix(b.seed)%uint64(d/2))
}

// mix is the output function of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
