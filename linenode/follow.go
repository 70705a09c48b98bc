package linenode

import (
	"context"
	"errors"
	"strings"

	"github.com/cenkalti/backoff/v5"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/pause"
	"github.com/chervilhatch/chervilhatch/store"
)

// dependency is one use of the store. It logs when the store is lost and
// regained, and spaces the calls that the store does not serve.
type dependency struct {
	c           *cluster
	name        string
	unavailable bool
	retry       *backoff.ExponentialBackOff
}

func newDependency(c *cluster, name string) *dependency {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval, retry.Multiplier = storeRetryDelay, maxStoreRetryDelay, 2
	return &dependency{c: c, name: name, retry: retry}
}

// wait pauses after a failed call.
func (d *dependency) wait(ctx context.Context) { pause.For(ctx, d.retry.NextBackOff()) }

func (d *dependency) record(err error) {
	if err == nil {
		d.retry.Reset()
	}
	switch {
	case err != nil && !d.unavailable:
		d.c.log.Warn().Err(err).Str("use", d.name).Msg("platform store lost")
	case err == nil && d.unavailable:
		d.c.log.Info().Str("use", d.name).Msg("platform store regained")
	}
	d.unavailable = err != nil
}

// followOperators keeps the configuration and the evacuations up to date.
func (c *cluster) followOperators(ctx context.Context) {
	state := newDependency(c, "configuration")
	for ctx.Err() == nil {
		if c.followsHub() {
			pause.For(ctx, storeRetryDelay)
			continue
		}
		zones, revision, err := c.readOperators(ctx)
		state.record(err)
		// A VM that has just started may hear from a hub before it needs a watch.
		pause.For(ctx, initialWatchDelay)
		for err == nil && !c.followsHub() {
			err = c.watchOperators(ctx, zones, &revision, state)
			if errors.Is(err, store.ErrHistoryGone) {
				break
			}
			if err != nil && ctx.Err() == nil {
				state.record(err)
				state.wait(ctx)
				err = ctx.Err()
			}
		}
		state.wait(ctx)
	}
}

// readOperators reads what the operators have written, and returns the
// evacuated zones and the revision from which to watch.
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

// watchOperators watches until a call fails, or until another VM tells what the
// operators write.
func (c *cluster) watchOperators(ctx context.Context, zones map[model.Zone]bool, revision *int64, state *dependency) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	err := c.store.Watch(ctx, c.formats.OperatorsPrefix, *revision, func(change store.Change) {
		state.record(nil)
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

// operatorKey takes over one key; zones gets the evacuated zones.
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

// setEvacuatedZones takes over the evacuated zones as of a revision of the store.
func (c *cluster) setEvacuatedZones(revision int64, zones map[model.Zone]bool) {
	names := make([]string, 0, len(zones))
	for z := range zones {
		names = append(names, string(z))
	}
	c.applyEvacuations(revision, names)
}

// evacuatedAsOf takes over the evacuated zones unless newer ones are known.
func (c *cluster) applyEvacuations(revision int64, zones []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision <= c.operatorsRevision {
		return
	}
	c.operatorsRevision, c.evacuated = revision, zones
	ev := replicaset.Event{Kind: replicaset.EventEvacuations}
	for _, z := range zones {
		ev.Zones = append(ev.Zones, model.Zone(z))
	}
	c.applyLocked(&ev)
}

// evacuations returns the evacuated zones and the revision that they are of.
func (c *cluster) evacuations() (int64, []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.operatorsRevision, c.evacuated
}
