package linenode

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/chervilhatch/chervilhatch/boottime"
	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/promotion"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/panics"
	"github.com/chervilhatch/chervilhatch/pause"
	"github.com/chervilhatch/chervilhatch/store"
)

const (
	// promotionLeaseTTL is the lifetime of the promotion lease after its last renewal,
	// which the holder sends every promotionLeaseRenewInterval. No transition can
	// start while the lease of a failed holder has not expired.
	promotionLeaseTTL           = 2 * time.Second
	promotionLeaseRenewInterval = 450 * time.Millisecond
	// promotionLeaseMargin is how long before its lease can expire a holder that
	// cannot renew it stops acting. A command sent at the last moment thus arrives
	// before another VM can be the holder.
	promotionLeaseMargin = 300 * time.Millisecond
	// transitionTick is the pause between two decisions during a transition, idleTick
	// the pause otherwise.
	transitionTick = 20 * time.Millisecond
	idleTick       = 100 * time.Millisecond
	// primaryStatusInterval is the interval at which the lease holder queries the
	// status of primaries and of failing replicas.
	primaryStatusInterval = 300 * time.Millisecond
	// replicaStatusInterval is the same interval for replicas that answer.
	replicaStatusInterval = 800 * time.Millisecond
	// leaseHolderTimeout is the time without a report from a holder of the promotion
	// lease after which other VMs try to acquire it.
	leaseHolderTimeout = 1200 * time.Millisecond
	// acquireStagger is multiplied by the rank of a VM to give the time that it waits
	// before it tries to acquire the lease, so that VMs do not try at the same moment.
	acquireStagger = 150 * time.Millisecond
	// promoteTimeout is the timeout of a call of Promoter.Promote.
	promoteTimeout = time.Second
)

// transitions runs the transitions of all services while this VM holds the promotion
// lease, a key in the store with a lease; otherwise it tries to acquire that lease
// when no VM holds it. Log lines and the field duty_holder of peer messages call the
// promotion lease "promotion duty".
type transitions struct {
	options Options
	cluster *cluster
	members *members
	log     zerolog.Logger

	// mu guards the fields up to commandInFlight. It is locked before cluster.mu.
	mu sync.Mutex
	// state decides about transitions.
	state *promotion.State
	// contacts has the last time at which each upstream answered a peer.
	contacts map[model.UpstreamID]model.Time
	// heardHolder is the VM that last reported that it holds the lease, at leaseHolderHeardAt.
	heardHolder        model.VMID
	leaseHolderHeardAt model.Time
	// leaseUntil is the time when this VM has to stop acting as the holder, unless it
	// renews the lease.
	leaseUntil model.Time
	// lease is the ID of the lease in the store, 0 while this VM does not hold it.
	lease int64
	// leaseRevision is the revision of the lease's key while this VM holds it.
	leaseRevision int64
	// generation is the newest one of the store that this VM has seen, since
	// generationSeenAt; sawEarlier is true if it has seen another before.
	generation       int64
	generationSeenAt model.Time
	sawEarlier       bool
	// claimNotBefore is when this VM may try to acquire the lease in this generation.
	claimNotBefore model.Time
	// heldUntilGeneration is the generation until which this VM last held the lease, and
	// heldRecords what it knew of promotions then. 0 if it has not held one that long.
	heldUntilGeneration int64
	heldRecords         map[catalog.Service]promotion.Record
	// holdEndedAt is when this VM last stopped to be the holder, 0 if it never was.
	holdEndedAt model.Time
	// markPending is true while this VM holds the lease and the mark in the store is not
	// settled.
	markPending bool
	// stopping is true once the VM shuts down; it then no longer acquires the lease.
	stopping bool
	// statusesSentAt is the time of the last call of requestStatuses.
	statusesSentAt model.Time
	// commandInFlight has the upstreams with a command or status query that is not
	// answered.
	commandInFlight map[model.UpstreamID]bool
	// leaseHeld is true while this VM holds the lease. It is read without mu, also
	// under cluster.mu.
	leaseHeld atomic.Bool
	// withdraw tells another VM that the primary of a service is no longer confirmed, but for
	// promises that name the successor.
	withdraw func(ctx context.Context, service catalog.Service, successor model.UpstreamID, vm model.VMID) (promotion.Withdrawal, error)
	// refreshLists is lists.refresh.
	refreshLists func()
}

func newTransitions(o Options, c *cluster, m *members) *transitions {
	return &transitions{
		options: o, cluster: c, members: m, log: o.Log, state: promotion.New(),
		contacts: map[model.UpstreamID]model.Time{}, commandInFlight: map[model.UpstreamID]bool{},
	}
}

// leaseHolder returns this VM's ID while it holds the lease, otherwise an empty ID.
func (t *transitions) leaseHolder() model.VMID {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state.Holding() && boottime.Now() < t.leaseUntil {
		return t.options.VM
	}
	return ""
}

// held returns the revision of the lease's key while this VM may act as the holder.
func (t *transitions) held() (revision int64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leaseRevision, t.state.Holding() && boottime.Now() < t.leaseUntil
}

// holdsLease reports whether this VM holds the lease. It may be called with cluster.mu
// locked.
func (t *transitions) holdsLease() bool { return t.leaseHeld.Load() }

// handleAnswer records which VM the peer vm reported as the lease holder. Only what a
// VM reports of itself counts.
func (t *transitions) handleAnswer(vm, holder model.VMID, at model.Time) {
	if holder == "" || holder != vm {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if at > t.leaseHolderHeardAt {
		t.leaseHolderHeardAt, t.heardHolder = at, holder
	}
}

// knownHolder returns the VM that last reported that it holds the lease, empty if none has lately.
func (t *transitions) knownHolder() model.VMID {
	t.mu.Lock()
	defer t.mu.Unlock()
	if boottime.Now().Sub(t.leaseHolderHeardAt) > leaseHolderTimeout {
		return ""
	}
	return t.heardHolder
}

// recordContact records when an upstream last answered a peer.
func (t *transitions) recordContact(id model.UpstreamID, at model.Time) {
	t.mu.Lock()
	t.contacts[id] = max(t.contacts[id], at)
	t.mu.Unlock()
}

// run maintains the lease and runs transitions until ctx ends.
func (t *transitions) run(ctx context.Context) {
	go t.maintainLease(ctx)
	for ctx.Err() == nil {
		pause.For(ctx, t.step(ctx))
	}
}

// step makes one decision and returns the pause until the next one.
func (t *transitions) step(ctx context.Context) time.Duration {
	now := boottime.Now()
	t.mu.Lock()
	if t.state.Holding() && now >= t.leaseUntil {
		t.dropLeaseLocked("lease not renewed in time")
	}
	if !t.state.Holding() {
		t.mu.Unlock()
		return idleTick
	}
	effects := t.state.Tick(now, t.input(), nil)
	confirmations := t.state.Confirm(now, t.options.VM)
	inTransition := t.state.InTransition()
	statusesDue := now.Sub(t.statusesSentAt) >= primaryStatusInterval
	if statusesDue {
		t.statusesSentAt = now
	}
	t.mu.Unlock()
	for i := range confirmations {
		t.cluster.Observe(&replicaset.Event{
			Kind: replicaset.EventConfirmed, Upstream: confirmations[i].Upstream, Term: confirmations[i].Term, Successor: confirmations[i].Successor,
			SentAt: now, Until: now.Add(promotion.ConfirmationTTL),
		})
	}
	if statusesDue {
		t.requestStatuses(ctx)
	}
	for i := range effects {
		t.execute(ctx, &effects[i])
	}
	if inTransition {
		return transitionTick
	}
	return idleTick
}

// dropLeaseLocked ends the role of the lease holder. The caller holds mu.
func (t *transitions) dropLeaseLocked(cause string) {
	t.state.Lose()
	t.holdEndedAt = boottime.Now()
	t.leaseHeld.Store(false)
	t.lease, t.markPending = 0, false
	t.log.Warn().Str("cause", cause).Msg("promotion duty lost")
}

// input returns the state of the deployment that a decision depends on. The caller
// holds mu.
func (t *transitions) input() *promotion.Input {
	t.cluster.mu.Lock()
	defer t.cluster.mu.Unlock()
	replicas := t.cluster.replicas
	evidence := map[catalog.Service]replicaset.Evidence{}
	views := t.cluster.viewsLocked()
	evacuated := map[model.Zone]bool{}
	for i := range views {
		if e, ok := replicas.NewestEvidence(views[i].Service); ok {
			evidence[views[i].Service] = e
		}
		for j := range views[i].Members {
			zone := views[i].Members[j].Zone
			evacuated[zone] = replicas.Evacuated(zone)
		}
	}
	configuration := t.cluster.Catalog()
	return &promotion.Input{
		Views:       views,
		Evacuated:   func(z model.Zone) bool { return evacuated[z] },
		PeerContact: func(id model.UpstreamID) model.Time { return t.contacts[id] },
		Evidence: func(s catalog.Service) (replicaset.Evidence, bool) {
			e, ok := evidence[s]
			return e, ok
		},
		EvidenceUpTo: func(s catalog.Service, p model.Position) (replicaset.Evidence, bool) {
			t.cluster.mu.Lock()
			defer t.cluster.mu.Unlock()
			return replicas.EvidenceUpTo(s, p)
		},
		Isolated:      t.members.isolated(),
		FencesChecked: t.options.TokensChecked,
		Voters:        append(t.members.topology().voters, t.options.VM),
		// See replicaset.State.SetVoting.
		OnlyVotersPassOn: true,
		SyncReplicas: func(s catalog.Service) int {
			if configuration == nil || configuration.Service(s) == nil {
				return 0
			}
			return configuration.Service(s).SyncReplicas
		},
	}
}

// requestStatuses queries the status of the primaries, whose answers are evidence for
// reads, and of the other upstreams less often; see replicaStatusInterval.
func (t *transitions) requestStatuses(ctx context.Context) {
	t.cluster.mu.Lock()
	views := t.cluster.viewsLocked()
	t.cluster.mu.Unlock()
	for i := range views {
		for j := range views[i].Members {
			m := &views[i].Members[j]
			if m.ID != views[i].Primary && boottime.Now().Sub(m.StatusAt) < replicaStatusInterval && !m.Failing() {
				continue
			}
			t.sendCommand(ctx, m.ID, promotion.CommandStatus, 0)
		}
	}
}

// sendCommand sends a command or a status query to an upstream, unless the last one is
// not answered yet.
func (t *transitions) sendCommand(ctx context.Context, id model.UpstreamID, k promotion.CommandKind, term uint64) {
	t.mu.Lock()
	busy := t.commandInFlight[id]
	t.commandInFlight[id] = true
	t.mu.Unlock()
	if busy {
		return
	}
	panics.Go(t.log, "command to an upstream", func() {
		defer func() {
			t.mu.Lock()
			delete(t.commandInFlight, id)
			t.mu.Unlock()
		}()
		err := t.cluster.probes.send(ctx, id, k, term)
		if k != promotion.CommandStatus {
			t.log.Info().Err(err).Str("upstream", string(id)).Str("order", k.String()).Uint64("term", term).Msg("command sent to upstream")
		}
	})
}

func (t *transitions) execute(ctx context.Context, e *promotion.Effect) {
	switch e.Kind {
	case promotion.EffectCommand:
		t.sendCommand(ctx, e.Upstream, e.Command, e.Term)
	case promotion.EffectPromote:
		call := *e
		panics.Go(t.log, "promotion call", func() { t.promote(ctx, call) })
	case promotion.EffectWithdraw:
		t.executeWithdraw(ctx, e)
	case promotion.EffectRecord:
		call := *e
		panics.Go(t.log, "record of a promotion", func() { t.record(ctx, call) })
	case promotion.EffectListNeeded:
		t.refreshLists()
	case promotion.EffectTransitionStarted:
		t.log.Info().Str("service", string(e.Service)).Str("primary", string(e.Upstream)).Str("cause", e.Cause).
			Uint64("fence_term", e.Term).Int("upstreams", e.Members).Msg("change of primary started")
	case promotion.EffectTargetSelected:
		t.log.Info().Str("service", string(e.Service)).Str("upstream", string(e.Upstream)).Str("cause", e.Cause).
			Uint64("received", uint64(e.Position.Pos)).Uint64("old_received", uint64(e.OldPosition.Pos)).Bool("stepped_down", e.SteppedDown).
			Int("upstreams", e.Members).EmbedObject(groupLog{e.Group}).Msg("new primary chosen")
	case promotion.EffectTargetLeads:
		t.log.Info().Str("service", string(e.Service)).Str("upstream", string(e.Upstream)).Str("cause", e.Cause).Uint64("term", e.Term).
			Str("position", lineproto.FormatPosition(e.Position)).Dur("elapsed", e.Elapsed).EmbedObject(groupLog{e.Group}).Msg("new primary leads")
	case promotion.EffectTargetBlocked:
		t.log.Info().Str("service", string(e.Service)).Str("cause", e.Cause).Str("upstream", string(e.Upstream)).Str("target", string(e.Target)).
			Dur("elapsed", e.Elapsed).EmbedObject(groupLog{e.Group}).Msg("no target is safe yet")
	case promotion.EffectTransitionEnded:
		t.log.Info().Str("service", string(e.Service)).Str("upstream", string(e.Upstream)).Str("cause", e.Cause).
			Dur("elapsed", e.Elapsed).EmbedObject(groupLog{e.Group}).Msg("change of primary ended")
	}
}

// confirmations returns the confirmations for a VM that asks for them; none unless this
// VM holds the lease.
func (t *transitions) confirmations(vm model.VMID) []promotion.Confirmation {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := boottime.Now()
	if now >= t.leaseUntil {
		return nil
	}
	return t.state.Confirm(now, vm)
}

// executeWithdraw ends the confirmation of a service's primary on a VM, which may be
// this one.
func (t *transitions) executeWithdraw(ctx context.Context, e *promotion.Effect) {
	if e.VM == t.options.VM {
		t.reportWithdrawn(e, t.cluster.withdrawConfirmation(e.Service, e.Upstream))
		return
	}
	go func(e promotion.Effect) {
		w, err := t.withdraw(ctx, e.Service, e.Upstream, e.VM)
		if err != nil {
			// The confirmation ends by itself.
			t.log.Debug().Err(err).Str("vm", string(e.VM)).Msg("withdrawal of a confirmation not answered")
			return
		}
		t.reportWithdrawn(&e, w)
	}(*e)
}

func (t *transitions) reportWithdrawn(e *promotion.Effect, w promotion.Withdrawal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.ReportWithdrawn(boottime.Now(), e.Service, e.VM, e.SentAt, w)
}

// record writes the record of an ended promotion. Without it, the next holder of the
// lease finds out by itself that the promotion has ended.
func (t *transitions) record(ctx context.Context, e promotion.Effect) {
	err := t.writeRecord(ctx, e.Service, e.Record)
	t.log.Info().Err(err).Str("service", string(e.Service)).Str("upstream", string(e.Record.Upstream)).
		Uint64("term", e.Record.Term).Msg("end of promotion recorded")
}

// promote calls the platform to promote an upstream and reports the outcome to the
// state.
func (t *transitions) promote(ctx context.Context, e promotion.Effect) {
	outcome, err := t.callPromoter(ctx, &e)
	t.log.Info().Err(err).Str("service", string(e.Service)).Str("upstream", string(e.Upstream)).
		Uint64("token", e.Token).Msg("promotion called")
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.ReportPromotion(boottime.Now(), e.Service, e.Token, outcome)
}

// callPromoter writes the record of a promotion and calls the platform, if this VM
// still holds the lease then. An error of the store means that the call was not made.
func (t *transitions) callPromoter(ctx context.Context, e *promotion.Effect) (promotion.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	if err := t.writeRecord(ctx, e.Service, e.Record); err != nil {
		return promotion.OutcomeRejected, err
	}
	if t.leaseHolder() == "" {
		return promotion.OutcomeRejected, errNotLeaseHolder
	}
	err := t.options.Promoter.Promote(ctx, e.Service, e.Upstream, e.Token)
	return t.outcome(err), err
}

// outcome returns the outcome that an error of Promoter.Promote stands for.
func (t *transitions) outcome(err error) promotion.Outcome {
	switch {
	case err == nil:
		return promotion.OutcomeAccepted
	case errors.Is(err, t.options.Formats.PromotionRefused):
		return promotion.OutcomeRefused
	case errors.Is(err, store.ErrRejected):
		return promotion.OutcomeRejected
	}
	return promotion.OutcomeUnknown
}

// maintainLease renews the lease while this VM holds it, and otherwise tries to
// acquire it if no VM has reported to be the holder for leaseHolderTimeout.
func (t *transitions) maintainLease(ctx context.Context) {
	for ctx.Err() == nil {
		t.mu.Lock()
		holding, lease, stopping := t.state.Holding(), t.lease, t.stopping
		silent := boottime.Now().Sub(t.leaseHolderHeardAt) > leaseHolderTimeout
		t.mu.Unlock()
		switch {
		case stopping:
			return
		case holding && !t.members.mayHoldLease():
			t.giveUpLease(ctx, "a hub has to hold the duty")
		case holding:
			t.renewLease(ctx, lease)
			t.settleMark(ctx)
		case silent && t.members.known() && t.members.mayHoldLease():
			t.awaitTurn(ctx)
			t.acquireLease(ctx)
		}
		pause.For(ctx, promotionLeaseRenewInterval)
	}
}

// renewLease extends the lease. On an error of the store, this VM remains the holder
// until leaseUntil.
func (t *transitions) renewLease(ctx context.Context, lease int64) {
	sent := boottime.Now()
	err := t.options.Store.LeaseKeepAlive(ctx, lease)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.lease != lease:
		// It was dropped while the call was under way.
	case err == nil:
		t.leaseUntil = sent.Add(promotionLeaseTTL - promotionLeaseMargin)
		if t.state.TokensExhausted() {
			t.dropLeaseLocked("all fencing tokens are used")
		}
	case errors.Is(err, store.ErrLeaseNotFound):
		t.dropLeaseLocked("lease ended")
	}
}

// releaseLease gives the lease up for good before the VM stops.
func (t *transitions) releaseLease(ctx context.Context) {
	t.mu.Lock()
	t.stopping = true
	t.mu.Unlock()
	t.giveUpLease(ctx, "the VM stops")
}

// giveUpLease revokes the lease if this VM holds it, so that another VM need not wait
// until it expires.
func (t *transitions) giveUpLease(ctx context.Context, cause string) {
	t.mu.Lock()
	holding, lease := t.state.Holding(), t.lease
	if holding {
		t.dropLeaseLocked(cause)
	}
	t.mu.Unlock()
	if holding {
		t.revokeLease(ctx, lease)
	}
}

// revokeLease revokes a lease in the store.
func (t *transitions) revokeLease(ctx context.Context, lease int64) {
	if err := t.options.Store.LeaseRevoke(ctx, lease); err != nil {
		t.log.Warn().Err(err).Msg("promotion duty not released; its lease will expire")
	}
}
