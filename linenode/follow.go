package linenode

import (
	"context"
	"errors"
	"slices"
	"strings"

	"github.com/cenkalti/backoff/v5"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/pause"
	"github.com/chervilhatch/chervilhatch/store"
)

// storeHealth tracks whether the calls to the store for one purpose succeed. It logs
// when they begin to fail and when they succeed again, and spaces the retries.
type storeHealth struct {
	c *cluster
	// use names the purpose in the log.
	use string
	// unavailable is true if the last call failed.
	unavailable bool
	retry       *backoff.ExponentialBackOff
}

func newStoreHealth(c *cluster, use string) *storeHealth {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval, retry.Multiplier = storeRetryDelay, maxStoreRetryDelay, 2
	return &storeHealth{c: c, use: use, retry: retry}
}

// wait pauses after a failed call, longer after each further failure.
func (h *storeHealth) wait(ctx context.Context) { pause.For(ctx, h.retry.NextBackOff()) }

// record takes the result of a call.
func (h *storeHealth) record(err error) {
	if err == nil {
		h.retry.Reset()
	}
	switch {
	case err != nil && !h.unavailable:
		h.c.log.Warn().Err(err).Str("use", h.use).Msg("platform store lost")
	case err == nil && h.unavailable:
		h.c.log.Info().Str("use", h.use).Msg("platform store regained")
	}
	h.unavailable = err != nil
}

// followOperators keeps the configuration and the evacuated zones up to date until ctx
// ends. While a hub passes them on to this VM, it does not use the store.
func (c *cluster) followOperators(ctx context.Context) {
	health := newStoreHealth(c, "configuration")
	c.awaitHub(ctx)
	for ctx.Err() == nil {
		if c.followsHub() {
			pause.For(ctx, storeRetryDelay)
			continue
		}
		zones, revision, err := c.readOperators(ctx)
		health.record(err)
		// After a start, a hub may answer in the meantime, which makes the watch unnecessary.
		pause.For(ctx, initialWatchDelay)
		for err == nil && !c.followsHub() {
			err = c.watchOperators(ctx, zones, &revision, health)
			if errors.Is(err, store.ErrCompacted) {
				// The store has answered.
				health.retry.Reset()
				break
			}
			if err != nil && ctx.Err() == nil {
				health.record(err)
				health.wait(ctx)
				err = ctx.Err()
			}
		}
		health.wait(ctx)
	}
}

// awaitHub waits after the start until a hub has passed the configuration on to this VM,
// for at most initialHubWait. A VM that gets nothing from a hub does not wait longer than
// it takes to learn that from the list of VMs.
func (c *cluster) awaitHub(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, initialHubWait)
	defer cancel()
	for c.awaitsHub() && !(c.followsHub() && c.Catalog() != nil) && pause.For(ctx, initialHubPoll) {
	}
}

// readOperators reads all keys that operators write. It returns the evacuated zones
// and the revision from which to watch.
func (c *cluster) readOperators(ctx context.Context) (map[model.Zone]bool, int64, error) {
	kvs, revision, err := c.store.Range(ctx, c.formats.OperatorsPrefix, 0)
	if err != nil {
		return nil, 0, err
	}
	zones := map[model.Zone]bool{}
	for i := range kvs {
		c.applyOperatorKey(&kvs[i], zones, "read")
	}
	c.setEvacuatedZones(revision, zones)
	return zones, revision, nil
}

// watchOperators applies changes to the keys that operators write until a call to the
// store fails, or until a hub passes them on, in which case it returns nil. It keeps
// zones and revision up to date.
func (c *cluster) watchOperators(ctx context.Context, zones map[model.Zone]bool, revision *int64, health *storeHealth) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	err := c.store.Watch(ctx, c.formats.OperatorsPrefix, *revision, func(change store.Change) {
		health.record(nil)
		for i := range change.KVs {
			c.applyOperatorKey(&change.KVs[i], zones, "watch")
		}
		if len(change.KVs) > 0 {
			c.setEvacuatedZones(change.Revision, zones)
		}
		*revision = change.Revision
		if c.followsHub() {
			cancel()
		}
	})
	if c.followsHub() {
		return nil
	}
	return err
}

// applyOperatorKey applies the value of one key: it puts a configuration in force, or
// adds or removes an evacuated zone in zones. ModRevision is 0 for a deleted key.
func (c *cluster) applyOperatorKey(kv *store.KeyValue, zones map[model.Zone]bool, source string) {
	if kv.Key == c.formats.ConfigurationKey {
		if kv.ModRevision != 0 {
			c.install(kv.Value, source)
		}
		return
	}
	zone, found := strings.CutPrefix(kv.Key, c.formats.EvacuationsPrefix)
	if !found {
		return
	}
	if kv.ModRevision == 0 {
		delete(zones, model.Zone(zone))
		return
	}
	zones[model.Zone(zone)] = true
}

// setEvacuatedZones applies the evacuated zones as of a revision of the store.
func (c *cluster) setEvacuatedZones(revision int64, zones map[model.Zone]bool) {
	names := make([]string, 0, len(zones))
	for z := range zones {
		names = append(names, string(z))
	}
	c.applyEvacuations(revision, names)
}

// applyEvacuations is setEvacuatedZones for a list of names. It ignores a revision
// that is not newer than the current one. A zone that is missing because the store has
// come back from an older copy remains evacuated for replicaset.MissingGracePeriod.
func (c *cluster) applyEvacuations(revision int64, zones []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision <= c.operatorsRevision {
		return
	}
	if c.operatorsRevision != 0 && store.Generation(revision) != store.Generation(c.operatorsRevision) {
		c.keepMissingZones(zones)
	}
	c.operatorsRevision, c.evacuated = revision, zones
	c.updateEvacuations()
}

// keepMissingZones keeps the evacuation of the zones that are in force and not in next.
// The caller holds mu.
func (c *cluster) keepMissingZones(next []string) {
	until := c.Now().Add(replicaset.MissingGracePeriod)
	for _, z := range c.evacuated {
		if !slices.Contains(next, z) {
			c.keptZones[z] = until
			c.log.Warn().Str("zone", z).Dur("for", replicaset.MissingGracePeriod).Msg("evacuation is missing from an older copy of the store and kept")
		}
	}
}

// dropKeptZones ends the evacuations that keepMissingZones has kept for long enough.
func (c *cluster) dropKeptZones() {
	c.mu.Lock()
	defer c.mu.Unlock()
	dropped := false
	for z, until := range c.keptZones {
		if c.Now() >= until {
			delete(c.keptZones, z)
			dropped = true
			c.log.Info().Str("zone", z).Bool("written_again", slices.Contains(c.evacuated, z)).Msg("evacuation no longer kept")
		}
	}
	if dropped {
		c.updateEvacuations()
	}
}

// updateEvacuations applies the evacuated zones and those that are kept. The caller holds
// mu.
func (c *cluster) updateEvacuations() {
	ev := replicaset.Event{Kind: replicaset.EventEvacuations}
	for _, z := range c.evacuated {
		ev.Zones = append(ev.Zones, model.Zone(z))
	}
	for z := range c.keptZones {
		ev.Zones = append(ev.Zones, model.Zone(z))
	}
	c.applyLocked(&ev)
}

// evacuations returns the evacuated zones and the revision of the store that they are
// from.
func (c *cluster) evacuations() (int64, []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.operatorsRevision, c.evacuated
}
