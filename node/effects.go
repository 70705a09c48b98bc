package node

import (
	"context"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/chervilhatch/chervilhatch/core"
	"github.com/chervilhatch/chervilhatch/core/confsync"
	"github.com/chervilhatch/chervilhatch/core/connshare"
	"github.com/chervilhatch/chervilhatch/core/failover"
	"github.com/chervilhatch/chervilhatch/core/limits"
	"github.com/chervilhatch/chervilhatch/core/membership"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replication"
	"github.com/chervilhatch/chervilhatch/dbgroup"
	peerv1 "github.com/chervilhatch/chervilhatch/proto/peer/v1"
)

// Timeouts of calls made by effectExecutor.
const (
	statusTimeout   = 300 * time.Millisecond
	commandTimeout  = time.Second
	peerCallTimeout = time.Second
)

// effectExecutor executes the effects that do not answer a waiting goroutine. It
// starts them in order, and runs every call that may block in its own goroutine.
type effectExecutor struct {
	node                 *Node
	loop                 *loop
	control              dbgroup.Control
	log                  zerolog.Logger
	metrics              metrics.Registry
	unresponsiveDetector *unresponsiveDetector
	calls                sync.WaitGroup
}

func (x *effectExecutor) execute(ctx context.Context, e *core.Effects) {
	for i := range e.Confsync {
		x.confsync(&e.Confsync[i])
	}
	for i := range e.Membership {
		x.membership(ctx, e.Membership[i])
	}
	for i := range e.ConnShare {
		x.connShare(ctx, e.ConnShare[i])
	}
	for i := range e.Limits {
		x.limits(ctx, e.Limits[i])
	}
	for i := range e.Replication {
		x.replication(ctx, &e.Replication[i])
	}
	for i := range e.Failover {
		x.failover(ctx, e.Failover[i])
	}
}

// call runs fn in a goroutine that Node.close waits for.
func (x *effectExecutor) call(fn func()) {
	x.calls.Add(1)
	go func() {
		defer x.calls.Done()
		fn()
	}()
}

func (x *effectExecutor) count(name string) { countMetric(x.metrics, name) }

func countMetric(r metrics.Registry, name string) {
	metrics.GetOrRegisterCounter(name, r).Inc(1)
}

func (x *effectExecutor) confsync(e *confsync.Effect) {
	switch e.Kind {
	case confsync.Apply:
		x.count("config.applied")
		x.node.activateConfig(e.Version, e.Config)
		x.log.Info().Uint64("version", e.Version).Str("preset", e.Config.Preset).Msg("configuration in force")
	case confsync.Send:
		x.node.sendDocument(e.VM)
	case confsync.Request:
		// The peer sends its document when this VM reports a lower version.
		x.node.exchanger.TriggerAll()
	case confsync.StoreBehind:
		x.count("config.store_behind")
	}
}

func (x *effectExecutor) membership(ctx context.Context, e membership.Effect) {
	switch e.Kind {
	case membership.EffectReadRecord:
		x.call(func() { x.node.relay.readRecord(ctx, e.Zone) })
	case membership.EffectWriteRecord:
		x.call(func() { x.node.relay.writeRecord(ctx, e.Record, e.Revision) })
	case membership.EffectRecordChanged:
		x.log.Info().Str("zone", string(e.Record.Zone)).Uint64("epoch", e.Record.Epoch).Int("members", len(e.Record.Members)).Msg("zone record changed")
		x.node.exchanger.TriggerAll()
		x.node.updateTargets()
	case membership.EffectRelayStarted:
		x.log.Info().Msg("this VM is its zone's relay")
		x.node.relay.start()
		x.node.updateTargets()
	case membership.EffectRelayStopped:
		x.log.Info().Msg("this VM is no longer its zone's relay")
		x.node.relay.stop()
		x.node.updateTargets()
	}
}

func (x *effectExecutor) connShare(ctx context.Context, e connshare.Effect) {
	switch e.Kind {
	case connshare.EffectSetBudget:
		x.node.poolMu.Lock()
		x.node.pools.applyBudget(e)
		x.node.poolMu.Unlock()
	case connshare.EffectReleaseSeat:
		kind := peerv1.ReleaseRequest_KIND_MAIN_SEAT
		if e.Seat == connshare.Standby {
			kind = peerv1.ReleaseRequest_KIND_STANDBY_SEAT
		}
		x.release(ctx, e.VM, &peerv1.ReleaseRequest{
			Kind: kind, Name: string(e.Upstream), Zone: string(e.Zone), Epoch: e.Epoch,
		})
	}
}

// release tells the next owner that an item is free. If the call is lost, the next
// owner waits until the ownership of the old epoch has expired.
func (x *effectExecutor) release(ctx context.Context, vm model.VMID, r *peerv1.ReleaseRequest) {
	x.call(func() {
		ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		defer cancel()
		if x.node.clients.Release(ctx, vm, r) != nil {
			x.count("peer.release_failed")
		}
	})
}

func (x *effectExecutor) limits(ctx context.Context, e limits.Effect) {
	switch e.Kind {
	case limits.EffectTokenRequest:
		x.call(func() { x.requestTokens(ctx, e) })
	case limits.EffectTokenResponse:
		x.node.tokenServer.answer(e)
	case limits.EffectRelease:
		x.release(ctx, e.VM, &peerv1.ReleaseRequest{
			Kind: peerv1.ReleaseRequest_KIND_TOKENS, Name: string(e.Workspace),
			Zone: string(e.Zone), Epoch: e.Epoch, BalanceMilli: e.Balance,
		})
	}
}

func (x *effectExecutor) requestTokens(ctx context.Context, e limits.Effect) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	x.count("limits.token_requests")
	response, err := x.node.sendTokenRequest(ctx, e)
	ev := limits.Event{Kind: limits.EventTokenRequestFailed, Workspace: e.Workspace, Zone: e.Zone, RequestID: e.RequestID}
	if err == nil {
		ev.Kind = limits.EventTokenResponse
		ev.Amount = response.GetAmountMilli()
		ev.Validity = time.Duration(response.GetValidUs()) * time.Microsecond
		ev.RetryAfter = time.Duration(response.GetRetryAfterUs()) * time.Microsecond
	}
	x.loop.apply(&core.Event{Limits: &ev})
}

func (x *effectExecutor) replication(ctx context.Context, e *replication.Effect) {
	if e.Kind == replication.PrimaryChanged {
		x.node.holder.Interrupt(e.Database, e.Upstream, e.Term)
	}
	if e.Kind != replication.PollRound {
		return
	}
	x.count("replication.rounds")
	db, round := e.Database, e.Round
	for _, u := range x.node.upstreamsOf(db) {
		x.call(func() { x.pollForRound(ctx, db, u, round) })
	}
}

func (x *effectExecutor) pollForRound(ctx context.Context, db model.Database, u model.UpstreamID, round uint64) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := x.control.Status(ctx, u)
	ev := replication.Event{Kind: replication.StatusAnswered, Database: db, Upstream: u, Round: round, Status: status}
	if err != nil {
		ev.Kind = replication.StatusFailed
	}
	x.loop.apply(&core.Event{Replication: &ev})
}

func (x *effectExecutor) failover(ctx context.Context, e failover.Effect) {
	switch e.Kind {
	case failover.SendStatus:
		x.call(func() { x.pollForHealth(ctx, e) })
	case failover.SendFence:
		x.call(func() { x.fence(ctx, e) })
	case failover.SendPromote:
		x.call(func() { x.promote(ctx, e) })
	case failover.SendFollow:
		x.call(func() { x.follow(ctx, e) })
	case failover.PublishHealth:
		x.node.publishHealth(e)
	case failover.CloseWriteGate:
		x.node.writeGates.close(e.Database)
	case failover.OpenWriteGate:
		x.node.writeGates.open(e.Database)
	default:
		x.logFailover(e)
	}
}

func (x *effectExecutor) logFailover(e failover.Effect) {
	event := x.log.Info().Str("database", string(e.Database)).Str("primary", string(e.Primary)).Str("term", e.Term.String())
	switch e.Kind {
	case failover.PrimaryChanged:
		x.count("failover.primary_changed")
		x.node.holder.Interrupt(e.Database, e.Primary, e.Term)
		event.Msg("primary changed")
	case failover.SwitchoverBegun:
		event.Str("candidate", string(e.Upstream)).Msg("planned switchover begun")
	case failover.SwitchoverFinished:
		x.count("failover.switchover_finished")
		event.Msg("planned switchover finished")
	case failover.SwitchoverFailed:
		x.count("failover.switchover_failed")
		event.Str("reason", e.Reason.String()).Msg("planned switchover failed")
	}
}

func (x *effectExecutor) pollForHealth(ctx context.Context, e failover.Effect) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	sentAt := x.loop.clock.Now()
	status, err := x.control.Status(ctx, e.Upstream)
	x.unresponsiveDetector.recordPoll(e.Upstream, sentAt, err == nil)
	x.applyResult(e, failover.StatusAnswered, failover.StatusFailed, err, failover.Event{SentAt: sentAt, Status: status})
}

func (x *effectExecutor) fence(ctx context.Context, e failover.Effect) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	x.count("failover.fences")
	_, status, err := x.control.Fence(ctx, e.Upstream, e.Term)
	x.applyResult(e, failover.FenceAnswered, failover.FenceFailed, err, failover.Event{Status: status})
}

func (x *effectExecutor) promote(ctx context.Context, e failover.Effect) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	x.count("failover.promotes")
	status, err := x.control.Promote(ctx, e.Upstream, e.Term)
	x.applyResult(e, failover.PromoteAnswered, failover.PromoteFailed, err, failover.Event{Status: status})
}

func (x *effectExecutor) follow(ctx context.Context, e failover.Effect) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	status, err := x.control.Follow(ctx, e.Upstream, e.Term, e.Primary)
	x.applyResult(e, failover.FollowAnswered, failover.FollowFailed, err, failover.Event{Status: status})
}

// applyResult applies the event for the result of a status poll or a command.
func (x *effectExecutor) applyResult(e failover.Effect, answered, failed failover.EventKind, err error, ev failover.Event) {
	ev.Kind = answered
	if err != nil {
		ev.Kind = failed
	}
	ev.Database = e.Database
	ev.Upstream = e.Upstream
	ev.Term = e.Term
	x.loop.apply(&core.Event{Failover: &ev})
}
