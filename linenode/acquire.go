package linenode

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/chervilhatch/chervilhatch/boottime"
	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/promotion"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/pause"
	"github.com/chervilhatch/chervilhatch/store"
)

// maxRecordsPerTxn limits the records that are written with an acquisition of the
// promotion lease, since the store limits the entries of a transaction.
const maxRecordsPerTxn = 24

// handleGeneration records that the store was seen in a generation. The lease of a former
// one has ended; this VM may take it back if it still held it.
func (t *transitions) handleGeneration(now model.Time, g *store.GenerationChange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.generation, t.generationSeenAt, t.claimNotBefore = g.New, now, 0
	if g.First {
		return
	}
	t.sawEarlier = true
	if !t.state.Holding() {
		return
	}
	if now < t.leaseUntil {
		t.heldUntilGeneration, t.heldRecords = g.New, t.state.Records(now)
		t.log.Info().Int("records", len(t.heldRecords)).Msg("records of promotions kept")
	}
	t.dropLeaseLocked("the store has come back from an older copy")
}

// awaitTurn waits before an attempt to acquire the lease, longer on VMs of higher rank.
// The holder of the former generation does not wait.
func (t *transitions) awaitTurn(ctx context.Context) {
	t.mu.Lock()
	first := t.heldUntilGeneration != 0 && t.heldUntilGeneration == t.generation
	t.mu.Unlock()
	if !first {
		pause.For(ctx, time.Duration(t.members.rank())*acquireStagger)
	}
}

// leaseKeys are the keys of the promotion lease as read from the store.
type leaseKeys struct {
	revision    int64
	lease, mark store.KeyValue
}

func (t *transitions) readLeaseKeys(ctx context.Context) (leaseKeys, error) {
	kvs, revision, err := t.options.Store.Range(ctx, promotionLeaseKey, 0)
	keys := leaseKeys{revision: revision}
	for _, kv := range kvs {
		switch kv.Key {
		case promotionLeaseKey:
			keys.lease = kv
		case promotionMarkKey:
			keys.mark = kv
		}
	}
	return keys, err
}

// claim returns what this VM knows of the lease.
func (t *transitions) claim(keys *leaseKeys) *promotion.Claim {
	t.mu.Lock()
	defer t.mu.Unlock()
	generation := store.Generation(keys.revision)
	c := &promotion.Claim{
		Generation: generation, SeenAt: t.generationSeenAt, SawEarlier: t.sawEarlier,
		HeldUntilSeen: t.heldUntilGeneration != 0 && t.heldUntilGeneration == generation,
		Exists:        keys.lease.ModRevision != 0, Own: string(keys.lease.Value) == string(t.options.VM),
		VM: t.options.VM, HoldEndedAt: t.holdEndedAt, Period: t.options.leasePeriod(),
	}
	if keys.mark.ModRevision == 0 {
		return c
	}
	c.Mark = &promotion.Mark{}
	if err := json.Unmarshal(keys.mark.Value, c.Mark); err != nil {
		t.log.Error().Err(err).Str("key", promotionMarkKey).Msg("undecodable mark of the promotion duty; it counts as one of another generation")
		c.Mark = &promotion.Mark{Generation: generation - 1}
	}
	return c
}

// maySeekLease reports whether it is time to try to acquire the lease.
func (t *transitions) maySeekLease() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := boottime.Now()
	return now.Sub(t.leaseHolderHeardAt) > leaseHolderTimeout && now >= t.claimNotBefore
}

// decide returns what this VM may do about the lease, and its own records of promotions
// if they are to be kept.
func (t *transitions) decide(claim *promotion.Claim) (promotion.Verdict, map[catalog.Service]promotion.Record) {
	verdict := claim.Decide(boottime.Now(), promotionLeaseTTL)
	if !verdict.Acquire {
		t.log.Debug().Str("cause", verdict.Cause).Int64("generation", claim.Generation).Msg("promotion duty not claimed")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.claimNotBefore = verdict.NotBefore
	if !verdict.KeepRecords {
		return verdict, nil
	}
	return verdict, t.heldRecords
}

// acquireLease writes the key of the lease if this VM may. The fencing tokens of the
// holder are derived from the revision of that write, so that they are higher than those
// of all earlier holders.
func (t *transitions) acquireLease(ctx context.Context) {
	if !t.maySeekLease() {
		return
	}
	keys, err := t.readLeaseKeys(ctx)
	if err != nil {
		return
	}
	claim := t.claim(&keys)
	verdict, kept := t.decide(claim)
	if !verdict.Acquire {
		return
	}
	mark := promotion.Mark{Generation: claim.Generation, Settled: !verdict.CallsUnknown && len(kept) <= maxRecordsPerTxn, Holder: t.options.markHolder()}
	sent := boottime.Now()
	lease, err := t.options.Store.LeaseGrant(ctx, promotionLeaseTTL)
	if err != nil {
		return
	}
	result, err := t.writeLease(ctx, &keys, lease, mark, kept)
	if err != nil || !result.Succeeded {
		t.log.Info().Err(err).Bool("held", err == nil).Msg("promotion duty not acquired")
		return
	}
	revision, records, err := t.readBack(ctx, mark.Generation)
	if err != nil {
		t.log.Warn().Err(err).Msg("the promotion duty is given back")
		t.revokeLease(ctx, lease)
		return
	}
	for service, r := range kept {
		records[service] = r
	}
	t.startHolding(sent, lease, revision, mark, promotion.Acquisition{
		Revision: uint64(result.Revision), Records: records, CallsUnknown: verdict.CallsUnknown,
	})
}

// errLeaseLost means that the lease was acquired in another generation of the store than
// the decision to do so was made for.
var errLeaseLost = errors.New("the store has come back from an older copy meanwhile")

// readBack reads the revision of the lease's key after an acquisition, which need not be
// that of the transaction, and the records of promotions.
func (t *transitions) readBack(ctx context.Context, generation int64) (int64, map[catalog.Service]promotion.Record, error) {
	keys, err := t.readLeaseKeys(ctx)
	if err != nil {
		return 0, nil, err
	}
	if store.Generation(keys.lease.ModRevision) != generation || string(keys.lease.Value) != string(t.options.VM) {
		return 0, nil, errLeaseLost
	}
	records, err := t.readRecords(ctx)
	return keys.lease.ModRevision, records, err
}

// writeLease writes the key of the lease, the mark and the kept records, if nobody else
// has since keys was read.
func (t *transitions) writeLease(ctx context.Context, keys *leaseKeys, lease int64, mark promotion.Mark, kept map[catalog.Service]promotion.Record) (store.TxnResult, error) {
	value, err := json.Marshal(mark)
	if err != nil {
		return store.TxnResult{}, err
	}
	writes := []store.Write{
		{Key: promotionLeaseKey, Value: []byte(t.options.VM), Lease: lease},
		{Key: promotionMarkKey, Value: value},
	}
	for service, r := range kept {
		if len(kept) > maxRecordsPerTxn {
			break
		}
		w, err := recordWrite(service, r)
		if err != nil {
			return store.TxnResult{}, err
		}
		writes = append(writes, w)
	}
	return t.options.Store.Txn(ctx, []store.Condition{
		{Key: promotionLeaseKey, ModRevision: keys.lease.ModRevision}, {Key: promotionMarkKey, ModRevision: keys.mark.ModRevision},
	}, writes)
}

// startHolding starts the role of the lease holder, with a lease that was requested at
// sent. revision is that of the lease's key.
func (t *transitions) startHolding(sent model.Time, lease, revision int64, mark promotion.Mark, a promotion.Acquisition) {
	for service, r := range a.Records {
		if r.Done {
			t.cluster.Observe(&replicaset.Event{Kind: replicaset.EventPrimary, Service: service, Upstream: r.Upstream, Term: r.Term})
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.generation != store.Generation(revision) {
		t.log.Info().Msg("promotion duty not taken, since the store has come back from an older copy")
		return
	}
	t.lease, t.leaseRevision = lease, revision
	t.leaseUntil = sent.Add(promotionLeaseTTL - promotionLeaseMargin)
	t.markPending = !mark.Settled
	t.state.Acquire(boottime.Now(), a)
	t.leaseHeld.Store(true)
	t.log.Info().Int64("revision", revision).Int64("generation", mark.Generation).Bool("settled", mark.Settled).
		Bool("calls_unknown", a.CallsUnknown).Int("records", len(a.Records)).Msg("promotion duty acquired")
}

// settleMark records in the store that no promotion call without a record can be executed
// any more, once that is so.
func (t *transitions) settleMark(ctx context.Context) {
	t.mu.Lock()
	due := t.markPending && t.state.Holding() && t.state.Settled(boottime.Now())
	revision := t.leaseRevision
	t.mu.Unlock()
	if !due {
		return
	}
	value, err := json.Marshal(promotion.Mark{Generation: store.Generation(revision), Settled: true, Holder: t.options.markHolder()})
	if err != nil {
		t.log.Error().Err(err).Msg("mark of the promotion duty not encoded")
		return
	}
	result, err := t.options.Store.Txn(ctx,
		[]store.Condition{{Key: promotionLeaseKey, ModRevision: revision}},
		[]store.Write{{Key: promotionMarkKey, Value: value}})
	t.log.Info().Err(err).Bool("written", result.Succeeded).Msg("promotion calls of the former generation have ended")
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil && result.Succeeded && t.leaseRevision == revision {
		t.markPending = false
	}
}
