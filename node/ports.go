package node

import (
	"context"
	"fmt"
	"math/rand/v2"

	"github.com/chervilhatch/chervilhatch/core"
	"github.com/chervilhatch/chervilhatch/core/config"
	"github.com/chervilhatch/chervilhatch/core/limits"
	"github.com/chervilhatch/chervilhatch/core/membership"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/routing"
	"github.com/chervilhatch/chervilhatch/executor"
	"github.com/chervilhatch/chervilhatch/frontend"
	"github.com/chervilhatch/chervilhatch/peer"
	"github.com/chervilhatch/chervilhatch/router"
	"github.com/chervilhatch/chervilhatch/sqlstate"
)

// callers implements frontend.Directory and frontend.Admitter.
type callers struct {
	loop         *loop
	activeConfig *activeConfig
}

var (
	_ frontend.Directory = (*callers)(nil)
	_ frontend.Admitter  = (*callers)(nil)
)

// Lookup implements frontend.Directory.
func (c *callers) Lookup(w model.Workspace, j model.Job) (frontend.Access, error) {
	d := c.activeConfig.current()
	if d == nil {
		return frontend.Access{}, sqlstate.Refuse(sqlstate.ConfigUnconfirmed, "no configuration is in force")
	}
	out := frontend.Access{Keys: c.activeConfig.keys(w)}
	job := d.Job(j)
	if job == nil {
		return out, sqlstate.Refuse(sqlstate.UnknownJob, fmt.Sprintf("job %q does not exist", j))
	}
	out.Open = job.Open
	out.Database = job.Database
	out.Class = classPolicy(job.Class)
	out.Idempotent = job.Idempotent
	out.MaxAge = d.Freshness(job)
	out.StatementTimeout = job.StatementTimeout.Std()
	if job.Open {
		return out, nil
	}
	if !job.Allows(w) {
		return out, sqlstate.Refuse(sqlstate.WorkspaceForbidden, fmt.Sprintf("workspace %q may not use job %q", w, j))
	}
	if workspace := d.Workspace(w); workspace != nil {
		return out, c.activeConfig.confirmed(workspace)
	}
	return out, nil
}

func classPolicy(class config.JobClass) frontend.ClassPolicy {
	switch class {
	case config.ClassReadOnly:
		return frontend.AlwaysRead
	case config.ClassWrite:
		return frontend.AlwaysWrite
	}
	return frontend.ByStatement
}

// admitTimeout bounds the wait for rate tokens when ctx has no earlier deadline.
const admitTimeout = limits.DefaultMaxWait

// Admit implements frontend.Admitter.
func (c *callers) Admit(ctx context.Context, w model.Workspace, cost int) error {
	id := c.loop.newID()
	deadline := c.loop.clock.Now().Add(admitTimeout)
	if d, ok := ctx.Deadline(); ok {
		deadline = min(deadline, c.loop.clock.At(d))
	}
	ev := limits.Event{Kind: limits.EventAdmit, Workspace: w, ID: id, Amount: int64(cost) * limits.Token, Deadline: deadline}
	cancel := limits.Event{Kind: limits.EventCancel, Workspace: w, ID: id}
	r, ok := c.loop.request(ctx, id, &core.Event{Limits: &ev}, &core.Event{Limits: &cancel})
	if !ok {
		return sqlstate.Refuse(sqlstate.QueryCanceled, "canceled before it was admitted")
	}
	if r.limits.Kind == limits.EffectAdmit {
		return nil
	}
	return sqlstate.Refuse(sqlstate.RateExceeded, fmt.Sprintf("workspace %q is over its rate", w))
}

// routingAdapter implements router.Core using the reducer.
type routingAdapter struct {
	loop         *loop
	activeConfig *activeConfig
}

var _ router.Core = (*routingAdapter)(nil)

// Route implements router.Core.
func (r *routingAdapter) Route(ctx context.Context, h executor.Hello, b *executor.Batch) (router.Attempt, error) {
	if d := r.activeConfig.current(); d != nil && b.Class == model.Write && d.PresetInForce().RefuseWrites {
		return router.Attempt{}, sqlstate.Refuse(sqlstate.ReadOnly, fmt.Sprintf("preset %q refuses writes", d.Preset))
	}
	id := r.loop.newID()
	ev := routing.Event{
		Kind:       routing.BatchRequested,
		ID:         id,
		Workspace:  h.Workspace,
		Database:   h.Database,
		Class:      b.Class,
		MaxAge:     b.MaxAge,
		Floor:      b.Floor,
		HasFloor:   b.HasFloor,
		Deadline:   r.loop.clock.At(b.Deadline),
		Idempotent: b.Idempotent,
		Seed:       rand.Uint64(),
	}
	return r.await(ctx, id, &ev)
}

// Next implements router.Core.
func (r *routingAdapter) Next(ctx context.Context, a router.AttemptResult) (router.Attempt, error) {
	ev := attemptAnswered(a)
	return r.await(ctx, a.ID, &ev)
}

// Finish implements router.Core.
func (r *routingAdapter) Finish(a router.AttemptResult) {
	ev := attemptAnswered(a)
	r.loop.apply(&core.Event{Routing: &ev})
}

func attemptAnswered(a router.AttemptResult) routing.Event {
	return routing.Event{
		Kind:        routing.AttemptEnded,
		ID:          a.ID,
		Attempt:     a.Number,
		Upstream:    a.Upstream,
		Standby:     a.Standby,
		Outcome:     a.Outcome,
		Code:        a.Code,
		Applied:     a.Result.Applied,
		Primary:     a.Result.Primary,
		PrimaryTerm: a.Result.PrimaryTerm,
	}
}

func (r *routingAdapter) await(ctx context.Context, id uint64, ev *routing.Event) (router.Attempt, error) {
	cancel := routing.Event{Kind: routing.BatchCanceled, ID: id}
	answer, ok := r.loop.request(ctx, id, &core.Event{Routing: ev}, &core.Event{Routing: &cancel})
	if !ok {
		return router.Attempt{}, sqlstate.Refuse(sqlstate.QueryCanceled, "canceled before it was sent")
	}
	e := answer.routing
	if e.Kind == routing.Fail {
		return router.Attempt{}, failError(e)
	}
	return router.Attempt{ID: id, Number: e.Attempt, Upstream: e.Upstream, Standby: e.Standby}, nil
}

func failError(e routing.Effect) error {
	if e.NotRun {
		return sqlstate.Refuse(e.Code, "no upstream can serve the request")
	}
	if e.Code == sqlstate.OutcomeUnknown {
		return sqlstate.Unknown("the request was interrupted")
	}
	return &sqlstate.Error{Code: e.Code, Message: "the request was interrupted"}
}

// Unreachable implements router.Core.
func (r *routingAdapter) Unreachable(db model.Database, u model.UpstreamID, standby bool) {
	ev := routing.Event{Kind: routing.HolderUnreachable, Database: db, Upstream: u, Standby: standby}
	r.loop.apply(&core.Event{Routing: &ev})
}

// holderDialer implements router.Dialer. It looks up the VM that holds the
// connections to an upstream and opens a stream to it.
type holderDialer struct {
	loop         *loop
	activeConfig *activeConfig
	self         model.VMID
	local        executor.UpstreamOpener
	clients      *peer.Clients
}

var _ router.Dialer = (*holderDialer)(nil)

// Dial implements router.Dialer.
func (d *holderDialer) Dial(ctx context.Context, h executor.Hello, u model.UpstreamID, standby bool) (executor.Stream, error) {
	vm, ok := d.holderOf(u, standby)
	switch {
	case !ok:
		return nil, sqlstate.Refuse(sqlstate.UpstreamUnavailable, fmt.Sprintf("no VM holds upstream %s", u))
	case vm == d.self:
		return d.local.Open(ctx, h, u)
	}
	return d.clients.OpenOn(ctx, vm, h, u)
}

func (d *holderDialer) holderOf(u model.UpstreamID, standby bool) (vm model.VMID, ok bool) {
	kind := membership.MainSeat
	if standby {
		kind = membership.StandbySeat
	}
	document := d.activeConfig.current()
	if document == nil {
		return "", false
	}
	upstream, _ := document.Upstream(u)
	if upstream == nil {
		return "", false
	}
	d.loop.view(func(_ model.Time, s *core.State) {
		vm, _, ok = s.Membership.Owner(membership.Item{Kind: kind, Zone: upstream.Zone, Name: string(u)})
	})
	return vm, ok
}
