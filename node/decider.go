package node

import (
	"context"
	"fmt"
	"time"

	"github.com/chervilhatch/chervilhatch/core"
	"github.com/chervilhatch/chervilhatch/core/fairness"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replication"
	"github.com/chervilhatch/chervilhatch/holder"
	"github.com/chervilhatch/chervilhatch/sqlstate"
)

// decider implements holder.Decider over the reducer.
type decider struct {
	loop   *loop
	access *access
	gates  *gates
}

var _ holder.Decider = (*decider)(nil)

// Schedule implements holder.Decider: first the position and freshness check,
// then the fair queue.
func (d *decider) Schedule(ctx context.Context, r *holder.Request) (holder.Assignment, error) {
	if r.Class == model.Write {
		if err := d.gates.enter(ctx, r.Database); err != nil {
			return holder.Assignment{}, err
		}
	}
	a, err := d.check(ctx, r)
	if err == nil {
		err = d.queue(ctx, r, &a)
	}
	if err != nil && r.Class == model.Write {
		d.gates.leave(r.Database)
	}
	if err == nil && r.Class == model.Write {
		d.gates.holdFor(a.ID, r.Database)
	}
	return a, err
}

// Times after which an upstream that cannot satisfy a request refuses it, so
// that the caller side can try another one.
const (
	readPatience  = 100 * time.Millisecond
	writePatience = 300 * time.Millisecond
)

// patience returns the deadline of the check of a request.
func (d *decider) patience(r *holder.Request) model.Time {
	wait := readPatience
	if r.Class == model.Write {
		wait = writePatience
	}
	return min(d.loop.clock.At(r.Deadline), d.loop.clock.Now().Add(wait))
}

// check waits until the upstream satisfies the request.
func (d *decider) check(ctx context.Context, r *holder.Request) (holder.Assignment, error) {
	id := d.loop.newID()
	ev := replication.Event{
		Kind:     replication.ReadCheck,
		Database: r.Database,
		ID:       id,
		Upstream: r.Upstream,
		Floor:    r.Floor,
		HasFloor: r.HasFloor,
		MaxAge:   r.MaxAge,
		Deadline: d.patience(r),
	}
	if r.Class == model.Write {
		ev.Kind = replication.WriteCheck
	}
	abandon := replication.Event{Kind: replication.Abandoned, Database: r.Database, ID: id}
	answer, ok := d.loop.request(ctx, id, &core.Event{Replication: &ev}, &core.Event{Replication: &abandon})
	if !ok {
		return holder.Assignment{}, sqlstate.Refuse(sqlstate.QueryCanceled, "canceled before it ran")
	}
	e := answer.replication
	switch e.Kind {
	case replication.ReadReady, replication.WriteReady:
		a := holder.Assignment{ID: id, Term: e.Term, Floor: e.Floor}
		a.Address, a.Primary = d.upstream(r, e.Term)
		return a, nil
	}
	return holder.Assignment{}, refusal(r, e.Reason)
}

// upstream returns the address of the request's upstream and whether it is
// the primary.
func (d *decider) upstream(r *holder.Request, _ model.Term) (address string, primary bool) {
	address, _ = d.access.upstreamAddress(r.Upstream)
	_, known, _ := d.Hint(r.Database, r.Upstream)
	return address, known == r.Upstream
}

func refusal(r *holder.Request, reason replication.Reason) error {
	message := fmt.Sprintf("upstream %s: %s", r.Upstream, reason)
	switch reason {
	case replication.ReasonStale:
		return sqlstate.Refuse(sqlstate.NoFreshReplica, message)
	case replication.ReasonNoConfirmedRound:
		return sqlstate.Refuse(sqlstate.NoMajority, message)
	case replication.ReasonNotPrimary:
		return sqlstate.Refuse(sqlstate.NoPrimary, message)
	}
	return sqlstate.Refuse(sqlstate.UpstreamUnavail, message)
}

// queue waits for a slot in the workspace's turn.
func (d *decider) queue(ctx context.Context, r *holder.Request, a *holder.Assignment) error {
	ev := fairness.Event{
		Kind:      fairness.EventEnqueue,
		ID:        a.ID,
		Upstream:  r.Upstream,
		Workspace: r.Workspace,
		Key:       r.KeyID,
		Weight:    d.access.weight(r.Workspace),
		Deadline:  d.loop.clock.At(r.Deadline),
	}
	cancel := fairness.Event{Kind: fairness.EventCancel, ID: a.ID}
	answer, ok := d.loop.request(ctx, a.ID, &core.Event{Fairness: &ev}, &core.Event{Fairness: &cancel})
	if !ok {
		return sqlstate.Refuse(sqlstate.QueryCanceled, "canceled in the queue")
	}
	if answer.fairness.Kind == fairness.EffectRun {
		return nil
	}
	return queueRefusal(answer.fairness.Reason)
}

func queueRefusal(reason fairness.Reason) error {
	codes := map[fairness.Reason]sqlstate.Code{
		fairness.QueueFull:        sqlstate.QueueFull,
		fairness.DeadlineTooClose: sqlstate.DeadlineTooClose,
		fairness.DeadlinePassed:   sqlstate.DeadlineTooClose,
		fairness.KeyWithdrawn:     sqlstate.KeyWithdrawn,
		fairness.UpstreamGone:     sqlstate.UpstreamUnavail,
	}
	return sqlstate.Refuse(codes[reason], reason.String())
}

// Done implements holder.Decider.
func (d *decider) Done(a holder.Assignment, _ holder.Outcome) {
	ev := fairness.Event{Kind: fairness.EventFinished, ID: a.ID}
	d.loop.apply(&core.Event{Fairness: &ev})
}

// EndWrite implements holder.Decider.
func (d *decider) EndWrite(a holder.Assignment) { d.gates.release(a.ID) }

// AwaitMajority implements holder.Decider.
func (d *decider) AwaitMajority(ctx context.Context, db model.Database, p model.Position) error {
	id := d.loop.newID()
	ev := replication.Event{
		Kind:     replication.WriteWaiting,
		Database: db,
		ID:       id,
		Position: p,
		Deadline: d.majorityDeadline(ctx),
	}
	abandon := replication.Event{Kind: replication.Abandoned, Database: db, ID: id}
	answer, ok := d.loop.request(ctx, id, &core.Event{Replication: &ev}, &core.Event{Replication: &abandon})
	if ok && answer.replication.Kind == replication.WriteHeld {
		return nil
	}
	return sqlstate.Unknown("the write is not known to be held by a majority of the upstreams")
}

// majorityTimeout bounds the wait for a majority when the request has no
// nearer deadline.
const majorityTimeout = 10 * time.Second

func (d *decider) majorityDeadline(ctx context.Context) model.Time {
	latest := d.loop.clock.Now().Add(majorityTimeout)
	if deadline, ok := ctx.Deadline(); ok {
		return min(latest, d.loop.clock.At(deadline))
	}
	return latest
}

// Hint implements holder.Decider.
func (d *decider) Hint(db model.Database, u model.UpstreamID) (applied model.Position, primary model.UpstreamID, term model.Term) {
	d.loop.view(func(_ model.Time, s *core.State) {
		applied, primary, term = s.Replication.Hint(db, u)
	})
	return applied, primary, term
}

// KeyValid implements holder.Decider.
func (d *decider) KeyValid(w model.Workspace, k model.KeyID, j model.Job) error {
	return d.access.check(w, k, j)
}
