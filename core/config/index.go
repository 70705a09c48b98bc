package config

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// index has the document's items by name.
type index struct {
	presets    map[string]*Preset
	zones      map[model.Zone]*Zone
	databases  map[model.Database]*Database
	upstreams  map[model.UpstreamID]upstreamRef
	workspaces map[model.Workspace]*Workspace
	jobs       map[model.Job]*Job
	keys       map[keyRef]*Key
}

type upstreamRef struct {
	database *Database
	upstream *Upstream
}

type keyRef struct {
	workspace model.Workspace
	key       model.KeyID
}

func newIndex(d *Document) index {
	idx := index{
		presets:    byName(d.Presets, func(p *Preset) string { return p.Name }),
		zones:      byName(d.Zones, func(z *Zone) model.Zone { return z.Name }),
		databases:  byName(d.Databases, func(b *Database) model.Database { return b.Name }),
		workspaces: byName(d.Workspaces, func(w *Workspace) model.Workspace { return w.Name }),
		jobs:       byName(d.Jobs, func(j *Job) model.Job { return j.Name }),
		upstreams:  map[model.UpstreamID]upstreamRef{},
		keys:       map[keyRef]*Key{},
	}
	for i := range d.Databases {
		db := &d.Databases[i]
		for j := range db.Upstreams {
			idx.upstreams[db.Upstreams[j].ID] = upstreamRef{db, &db.Upstreams[j]}
		}
	}
	for i := range d.Workspaces {
		w := &d.Workspaces[i]
		for j := range w.Keys {
			idx.keys[keyRef{w.Name, w.Keys[j].ID}] = &w.Keys[j]
		}
	}
	return idx
}

func byName[K comparable, T any](items []T, name func(*T) K) map[K]*T {
	m := make(map[K]*T, len(items))
	for i := range items {
		m[name(&items[i])] = &items[i]
	}
	return m
}

// Zone returns the zone with the name, or nil if there is none.
func (d *Document) Zone(name model.Zone) *Zone { return d.index.zones[name] }

// Database returns the database with the name, or nil if there is none.
func (d *Document) Database(name model.Database) *Database { return d.index.databases[name] }

// Workspace returns the workspace with the name, or nil if there is none.
func (d *Document) Workspace(name model.Workspace) *Workspace { return d.index.workspaces[name] }

// Job returns the job with the name, or nil if there is none.
func (d *Document) Job(name model.Job) *Job { return d.index.jobs[name] }

// Upstream returns the upstream with the id and its database, or nil and nil if
// there is none.
func (d *Document) Upstream(id model.UpstreamID) (*Upstream, *Database) {
	ref := d.index.upstreams[id]
	return ref.upstream, ref.database
}

// Key returns the workspace's key with the id, or nil if there is none.
func (d *Document) Key(w model.Workspace, id model.KeyID) *Key {
	return d.index.keys[keyRef{w, id}]
}

func (d *Document) PresetInForce() *Preset { return d.index.presets[d.Preset] }

// Rate returns the workspace's rate and burst under the preset in force.
func (d *Document) Rate(w *Workspace) (rate, burst float64) {
	factor := d.PresetInForce().RateFactor
	return w.Rate * factor, w.Burst * factor
}

// Freshness returns the job's freshness bound under the preset in force. A job
// whose own bound is 0 reads from the primary under every preset.
func (d *Document) Freshness(j *Job) time.Duration {
	override := d.PresetInForce().Freshness
	if override != nil && j.Freshness > 0 {
		return override.Std()
	}
	return j.Freshness.Std()
}

// QueueLength returns the maximum length of a workspace's queue for one upstream
// under the preset in force.
func (d *Document) QueueLength() int {
	if override := d.PresetInForce().QueueLength; override != nil {
		return *override
	}
	return d.Timing.QueueLength
}
