package routing

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/sqlstate"
)

// Bounds of the exponential backoff between the attempts of a batch.
const (
	minBackoff = 5 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
	// maxBackoffDoublings limits the shift of minBackoff. It is large enough to
	// reach maxBackoff.
	maxBackoffDoublings = 6
)

// batch is the state of a batch from BatchRequested to its end. See Event for
// the fields that are copied from there.
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

	// attempt is the number of attempts so far.
	attempt uint32
	// primaryVersion is group.primaryVersion as of the last attempt.
	primaryVersion uint64
	// upstream is the target of the last attempt, empty while the batch waits.
	upstream model.UpstreamID
	sentAt   model.Time
	// tried is a bit set of the members tried since the last backoff, by index
	// modulo 64.
	tried uint64
	// mayHaveRun is true if an earlier attempt may have run.
	mayHaveRun bool
	// code is the SQLSTATE of the last refusal.
	code sqlstate.Code

	// waiting is true while the batch is queued for a retry.
	waiting bool
	// isProbe is true while the batch is sent to a member to find the primary.
	isProbe bool
	// awaitsPrimary is true if the batch is to be retried as soon as a primary
	// becomes known.
	awaitsPrimary bool
	retryAt       model.Time
	// backoffs is the number of backoffs so far.
	backoffs int
}

func newBatch(ev *Event) batch {
	return batch{
		id: ev.ID, workspace: ev.Workspace, database: ev.Database, class: ev.Class,
		maxAge: ev.MaxAge, floor: ev.Floor, hasFloor: ev.HasFloor,
		deadline: ev.Deadline, idempotent: ev.Idempotent, seed: ev.Seed,
	}
}

// needsPrimary reports whether only the primary may serve the batch.
func (b *batch) needsPrimary() bool {
	return b.class == model.Write || b.maxAge == 0
}

// isIdempotent reports whether the batch may run more than once: it is a read,
// or a write declared idempotent.
func (b *batch) isIdempotent() bool {
	return b.class == model.Read || b.idempotent
}

func (b *batch) hasTried(i int) bool { return b.tried&(1<<(i%64)) != 0 }

func (b *batch) setTried(i int) { b.tried |= 1 << (i % 64) }

// failure returns the Fail effect of the batch. A batch that may have run ends
// with OutcomeUnknown if it is a write, otherwise with ConnectionFailure.
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
		e.Code = sqlstate.UpstreamUnavailable
	}
	return e
}

// nextBackoff returns the delay before the next attempt. It grows exponentially;
// up to half of it is random, so that batches do not retry at the same time.
func (b *batch) nextBackoff() time.Duration {
	d := min(minBackoff<<min(b.backoffs, maxBackoffDoublings), maxBackoff)
	b.backoffs++
	b.seed += 0x9e3779b97f4a7c15
	return d/2 + time.Duration(splitmix64(b.seed)%uint64(d/2))
}

// splitmix64 is the output function of the SplitMix64 generator.
func splitmix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
