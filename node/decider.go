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

// decider implements holder.Decider using the reducer.
type decider struct {
	loop         *loop
	activeConfig *activeConfig
	writeGates   *writeGates
}

var _ holder.Decider = (*decider)(nil)

// Schedule implements holder.Decider. A write first passes the write gate. Every
// request is then admitted by replication and queued by fairness.
func (d *decider) Schedule(ctx context.Context, r *holder.Request) (holder.Assignment, error) {
	if r.Class != model.Write {
		return d.schedule(ctx, r)
	}
	if err := d.writeGates.enter(ctx, r.Database); err != nil {
		return holder.Assignment{}, err
	}
	a, err := d.schedule(ctx, r)
	if err != nil {
		d.writeGates.leave(r.Database)
		return a, err
	}
	a.Gated = true
	return a, nil
}

// Limits of the wait for admission. An upstream that cannot admit a request in
// time refuses it, so that the router can try another upstream.
const (
	readAdmissionTimeout  = 100 * time.Millisecond
	writeAdmissionTimeout = 300 * time.Millisecond
)

// admissionDeadline returns the latest time at which a request may be admitted.
func (d *decider) admissionDeadline(r *holder.Request) model.Time {
	wait := readAdmissionTimeout
	if r.Class == model.Write {
		wait = writeAdmissionTimeout
	}
	return min(d.loop.clock.At(r.Deadline), d.loop.clock.Now().Add(wait))
}

// schedule waits until the request is admitted and has a slot.
func (d *decider) schedule(ctx context.Context, r *holder.Request) (holder.Assignment, error) {
	id := d.loop.newID()
	admission, queued, primary := d.admit(id, r)
	cancel := replication.Event{Kind: replication.Canceled, Database: r.Database, ID: id}
	answer, ok := d.loop.await(ctx, id, admission, &core.Event{Replication: &cancel})
	if !ok {
		return holder.Assignment{}, sqlstate.Refuse(sqlstate.QueryCanceled, "canceled before it ran")
	}
	e := answer.replication
	if !admitted(&answer) {
		return holder.Assignment{}, refusal(r, e.Reason)
	}
	if queued == nil {
		queued, primary = d.enqueue(id, r)
	}
	a := holder.Assignment{
		ID: id, Term: e.Term, Floor: e.Floor, Primary: primary == r.Upstream,
		Database: r.Database, Upstream: r.Upstream,
	}
	return a, d.waitForSlot(ctx, id, queued)
}

// admit applies the admission check of a request and enqueues the request if it
// is admitted at once. queued is nil otherwise. Doing both under one lock means
// that nearly every request takes the mutex only once before it runs.
func (d *decider) admit(id uint64, r *holder.Request) (admission, queued *waiter, primary model.UpstreamID) {
	check := d.admissionEvent(id, r)
	enter := d.queueEvent(id, r)
	d.loop.mu.Lock()
	defer d.loop.mu.Unlock()
	admission = d.loop.startLocked(id, &core.Event{Replication: &check})
	if !admission.done || !admitted(&admission.reply) {
		return admission, nil, ""
	}
	return admission, d.loop.startLocked(id, &core.Event{Fairness: &enter}), d.hintLocked(r.Database, r.Upstream).Primary
}

// enqueue puts a request that had to wait for admission into the fair queue.
func (d *decider) enqueue(id uint64, r *holder.Request) (queued *waiter, primary model.UpstreamID) {
	enter := d.queueEvent(id, r)
	d.loop.mu.Lock()
	defer d.loop.mu.Unlock()
	return d.loop.startLocked(id, &core.Event{Fairness: &enter}), d.hintLocked(r.Database, r.Upstream).Primary
}

// admitted reports whether a reply admits its request.
func admitted(r *reply) bool {
	kind := r.replication.Kind
	return kind == replication.ReadAdmitted || kind == replication.WriteAdmitted
}

func (d *decider) admissionEvent(id uint64, r *holder.Request) replication.Event {
	ev := replication.Event{
		Kind:     replication.ReadCheck,
		Database: r.Database,
		ID:       id,
		Upstream: r.Upstream,
		Floor:    r.Floor,
		HasFloor: r.HasFloor,
		MaxAge:   r.MaxAge,
		Deadline: d.admissionDeadline(r),
	}
	if r.Class == model.Write {
		ev.Kind = replication.WriteCheck
	}
	return ev
}

func (d *decider) queueEvent(id uint64, r *holder.Request) fairness.Event {
	return fairness.Event{
		Kind:      fairness.EventEnqueue,
		ID:        id,
		Upstream:  r.Upstream,
		Workspace: r.Workspace,
		Key:       r.KeyID,
		Weight:    d.activeConfig.weight(r.Workspace),
		Deadline:  d.loop.clock.At(r.Deadline),
	}
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
	return sqlstate.Refuse(sqlstate.UpstreamUnavailable, message)
}

// waitForSlot waits until the fair queue assigns a slot to the request.
func (d *decider) waitForSlot(ctx context.Context, id uint64, queued *waiter) error {
	cancel := fairness.Event{Kind: fairness.EventCancel, ID: id}
	answer, ok := d.loop.await(ctx, id, queued, &core.Event{Fairness: &cancel})
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
		fairness.UpstreamGone:     sqlstate.UpstreamUnavailable,
	}
	return sqlstate.Refuse(codes[reason], reason.String())
}

// Done implements holder.Decider.
func (d *decider) Done(a holder.Assignment, _ holder.Outcome) holder.Hint {
	ev := fairness.Event{Kind: fairness.EventFinished, ID: a.ID}
	d.loop.mu.Lock()
	defer d.loop.mu.Unlock()
	d.loop.applyLocked(&core.Event{Fairness: &ev})
	return d.hintLocked(a.Database, a.Upstream)
}

// EndWrite implements holder.Decider.
func (d *decider) EndWrite(a holder.Assignment) {
	if a.Gated {
		d.writeGates.leave(a.Database)
	}
}

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
	cancel := replication.Event{Kind: replication.Canceled, Database: db, ID: id}
	answer, ok := d.loop.request(ctx, id, &core.Event{Replication: &ev}, &core.Event{Replication: &cancel})
	if ok && answer.replication.Kind == replication.WriteAcknowledged {
		return nil
	}
	return sqlstate.Unknown("the write is not known to be held by a majority of the upstreams")
}

// majorityTimeout bounds the wait for the acknowledgement of a write whose
// request has no earlier deadline.
const majorityTimeout = 10 * time.Second

func (d *decider) majorityDeadline(ctx context.Context) model.Time {
	latest := d.loop.clock.Now().Add(majorityTimeout)
	if deadline, ok := ctx.Deadline(); ok {
		return min(latest, d.loop.clock.At(deadline))
	}
	return latest
}

// Hint implements holder.Decider.
func (d *decider) Hint(db model.Database, u model.UpstreamID) holder.Hint {
	d.loop.mu.Lock()
	defer d.loop.mu.Unlock()
	return d.hintLocked(db, u)
}

func (d *decider) hintLocked(db model.Database, u model.UpstreamID) holder.Hint {
	applied, primary, term := d.loop.state.Replication.Hint(db, u)
	return holder.Hint{Applied: applied, Primary: primary, Term: term}
}

// KeyValid implements holder.Decider.
func (d *decider) KeyValid(w model.Workspace, k model.KeyID, j model.Job) error {
	return d.activeConfig.check(w, k, j)
}
