package routing

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/sqlstate"
)

// Bounds of the pause before a batch is tried again.
const (
	minBackoff = 5 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
	// maxBackoffDoublings is how often the pause doubles.
	maxBackoffDoublings = 6
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
	// primaryVersion is that of the primary at the last attempt there.
	primaryVersion uint64
	upstream       model.UpstreamID
	sentAt         model.Time
	// tried has a bit for each member that was tried since the last pause.
	tried uint64
	// mayHaveRun is true when an earlier attempt may have run.
	mayHaveRun bool
	// code is the SQLSTATE of the last refusal.
	code sqlstate.Code

	waiting bool
	// isProbe is true while the batch asks a member for the primary.
	isProbe bool
	// awaitsPrimary is true when the batch waits for a primary to become known.
	awaitsPrimary bool
	retryAt       model.Time
	backoffs      int
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

// isIdempotent reports whether the batch may run twice.
func (b *batch) isIdempotent() bool {
	return b.class == model.Read || b.idempotent
}

func (b *batch) hasTried(i int) bool { return b.tried&(1<<(i%64)) != 0 }

func (b *batch) setTried(i int) { b.tried |= 1 << (i % 64) }

// failure returns the effect that ends the batch without an answer.
func (b *batch) failure() Effect {
	e := Effect{Kind: Fail, ID: b.id, Code: b.code, NotRun: !b.mayHaveRun}
	switch {
	case b.mayHaveRun && b.class == model.Write:
		e.Code = sqlstate.OutcomeUnknown
	case b.mayHaveRun:
		e.Code = sqlstate.ConnectionFailure
	case b.code != "":
	case b.needsPrimary():
		e.Code = sqlstate.NoPrimary
	default:
		e.Code = sqlstate.UpstreamUnavail
	}
	return e
}

// nextBackoff returns the time until the next attempt: exponential, with a random
// half so that batches do not retry together.
func (b *batch) nextBackoff() time.Duration {
	d := min(minBackoff<<min(b.backoffs, maxBackoffDoublings), maxBackoff)
	b.backoffs++
	b.seed += 0x9e3779b97f4a7c15
	return d/2 + time.Duration(splitmix64(b.seed)%uint64(d/2))
}

// splitmix64 is the output function of splitmix64.
func splitmix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
