package node

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/chervilhatch/chervilhatch/core"
	"github.com/chervilhatch/chervilhatch/core/config"
	"github.com/chervilhatch/chervilhatch/core/confsync"
	"github.com/chervilhatch/chervilhatch/core/membership"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/pause"
	"github.com/chervilhatch/chervilhatch/store"
)

// Intervals and timeout of a relay's calls to the store.
const (
	confirmInterval    = time.Second
	listInterval       = time.Second
	watchRetryInterval = 500 * time.Millisecond
	// storeCallTimeout bounds each call. A store that takes longer counts as
	// unreachable.
	storeCallTimeout = 2 * time.Second
)

// recordPrefix is the key prefix of the zone records.
const recordPrefix = "zones/"

// relay calls the store on behalf of its zone while membership designates this VM
// as the zone's relay. At startup it also makes the VM's first reads.
type relay struct {
	loop      *loop
	store     store.Store
	inventory store.Inventory
	directory *directory
	zone      model.Zone
	log       zerolog.Logger
	metrics   metrics.Registry
	ctx       context.Context

	mu     sync.Mutex
	cancel context.CancelFunc
	// revision is the store's revision of the newest known configuration, and
	// version is that configuration's version.
	revision int64
	version  uint64
	// failedAt is when the latest failed call was sent. It is valid while failing
	// is true.
	failedAt model.Time
	failing  bool
	wg       sync.WaitGroup
}

// start begins the periodic calls.
func (r *relay) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancel != nil {
		return
	}
	ctx, cancel := context.WithCancel(r.ctx)
	r.cancel = cancel
	r.wg.Add(3)
	go r.runPeriodically(ctx, confirmInterval, r.confirmConfig)
	go r.runPeriodically(ctx, listInterval, r.readList)
	go r.watch(ctx)
}

// stop ends the periodic calls.
func (r *relay) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancel != nil {
		r.cancel()
		r.cancel = nil
	}
	r.failing = false
}

// active reports whether this VM is its zone's relay.
func (r *relay) active() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cancel != nil
}

// bootstrap reads the configuration and the list of VMs, which a VM needs to find
// its peers.
func (r *relay) bootstrap(ctx context.Context) {
	r.confirmConfig(ctx)
	r.readList(ctx)
}

func (r *relay) runPeriodically(ctx context.Context, interval time.Duration, fn func(context.Context)) {
	defer r.wg.Done()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		fn(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// watch reads the configuration after each change, so that a change is known
// before the next periodic read.
func (r *relay) watch(ctx context.Context) {
	defer r.wg.Done()
	for ctx.Err() == nil {
		err := r.store.Watch(ctx, config.CurrentKey, r.knownRevision()+1, func(store.Change) {
			r.confirmConfig(ctx)
		})
		if err != nil {
			countMetric(r.metrics, "store.watch_ended")
		}
		pause.For(ctx, watchRetryInterval)
	}
}

func (r *relay) knownRevision() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// confirmConfig checks whether the known configuration is still the newest. The
// condition on the revision avoids transferring the whole document each time.
func (r *relay) confirmConfig(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	sentAt := r.loop.clock.Now()
	r.mu.Lock()
	revision, version := r.revision, r.version
	r.mu.Unlock()
	result, err := r.store.Txn(ctx, []store.Condition{{Key: config.CurrentKey, ModRevision: revision}}, nil)
	if err != nil {
		r.recordFailure(ctx, sentAt)
		return
	}
	r.recordSuccess()
	if result.Succeeded {
		r.loop.apply(&core.Event{Confsync: &confsync.Event{Kind: confsync.StoreRead, Version: version, At: sentAt}})
		return
	}
	for _, kv := range result.Current {
		if kv.Key == config.CurrentKey {
			r.applyStoredConfig(kv, sentAt)
		}
	}
}

func (r *relay) applyStoredConfig(kv store.KeyValue, sentAt model.Time) {
	record, err := config.DecodeRecord(kv.Value)
	if err != nil {
		r.log.Error().Err(err).Msg("the stored configuration cannot be read")
		return
	}
	document, list := record.Parse()
	if len(list) > 0 {
		r.log.Error().Err(list).Uint64("version", record.Version).Msg("the stored configuration is invalid")
		return
	}
	r.mu.Lock()
	r.revision, r.version = kv.ModRevision, record.Version
	r.mu.Unlock()
	r.loop.apply(&core.Event{Confsync: &confsync.Event{
		Kind:     confsync.StoreRead,
		Version:  record.Version,
		Document: kv.Value,
		Config:   document,
		At:       sentAt,
	}})
}

// readList reads the platform's list of VMs. The version of a list is the time at
// which it was read, so the wall clocks of the relays order their lists. A wrong
// order lasts until the next read.
func (r *relay) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	version := uint64(time.Now().UnixMilli())
	vms, err := r.inventory.ListVMs(ctx)
	if err != nil {
		countMetric(r.metrics, "platform.list_failed")
		return
	}
	r.directory.updateFromStore(version, vms)
}

// recordFailure records that the store did not answer. A call that was canceled
// because this VM stops being the relay says nothing about the store.
func (r *relay) recordFailure(ctx context.Context, sentAt model.Time) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	countMetric(r.metrics, "store.calls_failed")
	r.mu.Lock()
	changed := !r.failing
	r.failing = true
	r.failedAt = sentAt
	active := r.cancel != nil
	r.mu.Unlock()
	if changed {
		r.log.Warn().Msg("the platform's store is unreachable")
	}
	if active {
		r.loop.apply(&core.Event{Confsync: &confsync.Event{Kind: confsync.StoreUnreachable, Zone: r.zone, At: sentAt}})
	}
}

func (r *relay) recordSuccess() {
	r.mu.Lock()
	changed := r.failing
	r.failing = false
	r.mu.Unlock()
	if changed {
		r.log.Info().Msg("the platform's store is reachable again")
	}
}

// unreachableSince returns when the latest failed call was sent. It returns false
// unless this VM is the relay and the store does not answer.
func (r *relay) unreachableSince() (model.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failedAt, r.failing && r.cancel != nil
}

// storedRecord is the stored form of a zone record.
type storedRecord struct {
	Epoch   uint64              `json:"epoch"`
	Members []membership.Member `json:"members"`
}

func recordKey(zone model.Zone) string { return recordPrefix + string(zone) }

// readRecord reads a zone record and passes the result to membership.
func (r *relay) readRecord(ctx context.Context, zone model.Zone) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	ev := membership.Event{Kind: membership.EventRecordRead, SentAt: r.loop.clock.Now(), Zone: zone}
	kv, err := r.store.Get(ctx, recordKey(zone))
	if err == nil {
		ev.Record, err = decodeRecord(zone, kv)
		ev.Revision = kv.ModRevision
	}
	if err != nil {
		ev.Kind = membership.EventReadFailed
	}
	r.loop.apply(&core.Event{Membership: &ev})
}

func decodeRecord(zone model.Zone, kv store.KeyValue) (membership.Record, error) {
	record := membership.Record{Zone: zone}
	if kv.ModRevision == 0 {
		return record, nil
	}
	var stored storedRecord
	if err := json.Unmarshal(kv.Value, &stored); err != nil {
		return record, err
	}
	record.Epoch = stored.Epoch
	record.Members = stored.Members
	return record, nil
}

// writeRecord writes a zone record if the stored one has the given revision, and
// passes the outcome to membership.
func (r *relay) writeRecord(ctx context.Context, record membership.Record, revision int64) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	ev := membership.Event{
		Kind:    membership.EventWriteDone,
		Outcome: membership.WriteUnknown,
		SentAt:  r.loop.clock.Now(),
		Record:  membership.Record{Zone: record.Zone},
	}
	value, err := json.Marshal(storedRecord{Epoch: record.Epoch, Members: record.Members})
	if err != nil {
		return
	}
	key := recordKey(record.Zone)
	result, err := r.store.Txn(ctx,
		[]store.Condition{{Key: key, ModRevision: revision}},
		[]store.Write{{Key: key, Value: value}})
	switch {
	case err != nil:
		countMetric(r.metrics, "store.record_write_unknown")
	case result.Succeeded:
		ev.Outcome = membership.WriteDone
		ev.Record = record
		ev.Revision = result.Revision
	default:
		ev = conflictEvent(ev, record.Zone, result)
	}
	r.loop.apply(&core.Event{Membership: &ev})
}

// conflictEvent returns the event for a write that found another record in the
// store. If that record cannot be decoded, the outcome stays unknown and
// membership reads the record again.
func conflictEvent(ev membership.Event, zone model.Zone, result store.TxnResult) membership.Event {
	for _, kv := range result.Current {
		record, err := decodeRecord(zone, kv)
		if err == nil {
			ev.Outcome = membership.WriteConflict
			ev.Record = record
			ev.Revision = kv.ModRevision
		}
	}
	return ev
}
