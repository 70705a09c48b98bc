package core

import (
	"slices"

	"github.com/chervilhatch/chervilhatch/core/config"
	"github.com/chervilhatch/chervilhatch/core/connshare"
	"github.com/chervilhatch/chervilhatch/core/failover"
	"github.com/chervilhatch/chervilhatch/core/fairness"
	"github.com/chervilhatch/chervilhatch/core/limits"
	"github.com/chervilhatch/chervilhatch/core/membership"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replication"
	"github.com/chervilhatch/chervilhatch/core/routing"
)

// dispatchState is the state that core itself keeps between events.
type dispatchState struct {
	// document is the configuration in force and version its version. rolledOut
	// is the newest version reported as rolled out.
	document  *config.Document
	version   uint64
	rolledOut uint64
	// tracked holds the items that membership tracks.
	tracked map[membership.Item]bool
	// seats holds the seats that this VM owns.
	seats map[membership.Item]bool
	// groups holds the databases that replication and failover are configured with.
	groups map[model.Database]bool
}

func newDispatchState() dispatchState {
	return dispatchState{
		tracked: map[membership.Item]bool{},
		seats:   map[membership.Item]bool{},
		groups:  map[model.Database]bool{},
	}
}

// document returns the document in force, or an empty one if there is none yet.
func (s *State) document() *config.Document {
	if s.dispatchState.document == nil {
		return &config.Document{}
	}
	return s.dispatchState.document
}

// configure puts a document into force. Events are applied in the order of the
// document, so that the effects do not depend on the iteration order of maps.
func (s *State) configure(now model.Time, version uint64, d *config.Document, out *Effects) {
	old := s.dispatchState.document
	s.dispatchState.document = d
	s.dispatchState.version = version
	s.configureZones(now, out)
	queues := fairness.Event{Kind: fairness.EventConfigure, QueueLimit: d.QueueLength()}
	out.Fairness = s.Fairness.Apply(now, &queues, out.Fairness)
	s.cancelWithdrawnKeys(now, old, out)
	// A reducer must know a workspace or an upstream before it can gain its items.
	s.configureLimits(now, old, out)
	s.configureUpstreams(now, old, out)
	s.configureTracking(now, old, out)
	s.updatePlacement(now, out)
}

func (s *State) configureZones(now model.Time, out *Effects) {
	ev := membership.Event{Kind: membership.EventZones}
	for i := range s.dispatchState.document.Zones {
		ev.Zones = append(ev.Zones, s.dispatchState.document.Zones[i].Name)
	}
	s.applyMembership(now, &ev, out)
}

// zonesInService returns the zones that are not drained.
func zonesInService(d *config.Document) []model.Zone {
	var zones []model.Zone
	for i := range d.Zones {
		if !d.Zones[i].Drained {
			zones = append(zones, d.Zones[i].Name)
		}
	}
	return zones
}

// configureTracking starts and stops the tracking of seats and token shares in
// membership.
func (s *State) configureTracking(now model.Time, old *config.Document, out *Effects) {
	wanted := s.items(s.dispatchState.document)
	inForce := make(map[membership.Item]bool, len(wanted))
	for _, item := range wanted {
		inForce[item] = true
	}
	if old != nil {
		for _, item := range s.items(old) {
			if !inForce[item] {
				s.applyMembership(now, &membership.Event{Kind: membership.EventUntrack, Item: item}, out)
			}
		}
	}
	for _, item := range wanted {
		if !s.dispatchState.tracked[item] {
			s.applyMembership(now, &membership.Event{Kind: membership.EventTrack, Item: item}, out)
		}
	}
	s.dispatchState.tracked = inForce
}

// items returns the items that this VM may own under a document.
func (s *State) items(d *config.Document) []membership.Item {
	var items []membership.Item
	for i := range d.Databases {
		for _, u := range d.Databases[i].Upstreams {
			items = append(items, seatItem(u, membership.MainSeat), seatItem(u, membership.StandbySeat))
		}
	}
	for i := range d.Workspaces {
		items = append(items, tokensItem(d.Workspaces[i].Name, s.config.Zone))
	}
	return items
}

func seatItem(u config.Upstream, kind membership.ItemKind) membership.Item {
	return membership.Item{Kind: kind, Zone: u.Zone, Name: string(u.ID)}
}

func tokensItem(w model.Workspace, zone model.Zone) membership.Item {
	return membership.Item{Kind: membership.Tokens, Zone: zone, Name: string(w)}
}

func (s *State) configureLimits(now model.Time, old *config.Document, out *Effects) {
	d := s.dispatchState.document
	zones := zonesInService(d)
	for i := range d.Workspaces {
		w := &d.Workspaces[i]
		rate, burst := d.Rate(w)
		ev := limits.Event{
			Kind:      limits.EventConfigure,
			Workspace: w.Name,
			Zones:     zones,
			Version:   s.dispatchState.version,
			Rate:      int64(rate * limits.Token),
			Burst:     int64(burst * limits.Token),
		}
		out.Limits = s.Limits.Apply(now, &ev, out.Limits)
	}
	if old == nil {
		return
	}
	for i := range old.Workspaces {
		if name := old.Workspaces[i].Name; d.Workspace(name) == nil {
			ev := limits.Event{Kind: limits.EventRemove, Workspace: name}
			out.Limits = s.Limits.Apply(now, &ev, out.Limits)
		}
	}
}

// cancelWithdrawnKeys cancels the queued requests of withdrawn keys.
func (s *State) cancelWithdrawnKeys(now model.Time, old *config.Document, out *Effects) {
	for _, withdrawn := range Withdrawn(old, s.dispatchState.document) {
		ev := fairness.Event{Kind: fairness.EventWithdraw, Workspace: withdrawn.Workspace, Key: withdrawn.Key}
		out.Fairness = s.Fairness.Apply(now, &ev, out.Fairness)
	}
}

// WorkspaceKey identifies a key of a workspace.
type WorkspaceKey struct {
	Workspace model.Workspace
	Key       model.KeyID
}

// Withdrawn returns the keys of old that next lacks or has with another verifier.
func Withdrawn(old, next *config.Document) []WorkspaceKey {
	if old == nil {
		return nil
	}
	var withdrawn []WorkspaceKey
	for i := range old.Workspaces {
		w := &old.Workspaces[i]
		for _, k := range w.Keys {
			kept := next.Key(w.Name, k.ID)
			if kept == nil || kept.Verifier != k.Verifier {
				withdrawn = append(withdrawn, WorkspaceKey{w.Name, k.ID})
			}
		}
	}
	return withdrawn
}

func (s *State) configureUpstreams(now model.Time, old *config.Document, out *Effects) {
	d := s.dispatchState.document
	if old != nil {
		s.removeUpstreams(now, old, out)
	}
	for i := range d.Databases {
		db := &d.Databases[i]
		s.configureRouting(now, db, out)
		for _, u := range db.Upstreams {
			ev := connshare.Event{Kind: connshare.EventUpstreamSet, Upstream: u.ID, Zone: u.Zone, Limit: db.Connections, Slots: db.Slots}
			out.ConnShare = s.ConnShare.Apply(now, &ev, out.ConnShare)
		}
	}
}

func (s *State) removeUpstreams(now model.Time, old *config.Document, out *Effects) {
	for i := range old.Databases {
		db := &old.Databases[i]
		for _, u := range db.Upstreams {
			if kept, _ := s.dispatchState.document.Upstream(u.ID); kept != nil {
				continue
			}
			ev := connshare.Event{Kind: connshare.EventUpstreamRemoved, Upstream: u.ID}
			out.ConnShare = s.ConnShare.Apply(now, &ev, out.ConnShare)
		}
		if s.dispatchState.document.Database(db.Name) == nil {
			ev := routing.Event{Kind: routing.GroupRemoved, Database: db.Name}
			out.Routing = s.Routing.Apply(now, &ev, out.Routing)
		}
	}
}

func (s *State) configureRouting(now model.Time, db *config.Database, out *Effects) {
	ev := routing.Event{Kind: routing.GroupConfigured, Database: db.Name}
	for _, u := range db.Upstreams {
		ev.Upstreams = append(ev.Upstreams, routing.Upstream{
			ID: u.ID, Zone: u.Zone, Drained: s.drained(u.Zone), Leaving: u.Leaving,
		})
	}
	out.Routing = s.Routing.Apply(now, &ev, out.Routing)
}

func (s *State) drained(zone model.Zone) bool {
	z := s.dispatchState.document.Zone(zone)
	return z != nil && z.Drained
}

// updatePlacement forwards the owners of all items to the reducers that use them.
// It is called after a change of a zone record or of the document.
func (s *State) updatePlacement(now model.Time, out *Effects) {
	d := s.dispatchState.document
	if d == nil {
		return
	}
	s.updateTokenOwners(now, d, out)
	for i := range d.Databases {
		s.updateGroup(now, &d.Databases[i], out)
	}
	s.removeGroups(now, d, out)
}

func (s *State) updateTokenOwners(now model.Time, d *config.Document, out *Effects) {
	for i := range d.Workspaces {
		for j := range d.Zones {
			item := tokensItem(d.Workspaces[i].Name, d.Zones[j].Name)
			owner, zone, ok := s.Membership.Owner(item)
			if !ok {
				continue
			}
			ev := limits.Event{
				Kind: limits.EventOwner, Workspace: d.Workspaces[i].Name,
				Zone: d.Zones[j].Name, VM: owner, Epoch: s.Membership.Record(zone).Epoch,
			}
			out.Limits = s.Limits.Apply(now, &ev, out.Limits)
		}
	}
}

// updateGroup configures a database in replication and failover if this VM holds
// a seat of one of its upstreams.
func (s *State) updateGroup(now model.Time, db *config.Database, out *Effects) {
	members := make([]replication.Upstream, 0, len(db.Upstreams))
	failoverEvent := failover.Event{Kind: failover.GroupConfigured, Database: db.Name, Detect: s.dispatchState.document.Timing.Detect.Std()}
	holdsUpstream := false
	for _, u := range db.Upstreams {
		main, _, _ := s.Membership.Owner(seatItem(u, membership.MainSeat))
		standby, _, _ := s.Membership.Owner(seatItem(u, membership.StandbySeat))
		holdsUpstream = holdsUpstream || main == s.config.Self || standby == s.config.Self
		members = append(members, replication.Upstream{ID: u.ID, Zone: u.Zone})
		failoverEvent.Upstreams = append(failoverEvent.Upstreams, failover.Upstream{
			ID: u.ID, Zone: u.Zone, Holder: main, Drained: s.drained(u.Zone), Leaving: u.Leaving,
		})
		addWatcher(&failoverEvent, s.config.Self, main)
	}
	if !holdsUpstream {
		return
	}
	s.dispatchState.groups[db.Name] = true
	ev := replication.Event{
		Kind: replication.GroupConfigured, Database: db.Name, Upstreams: members,
		ConfirmationTimeout: s.dispatchState.document.Timing.ConfirmationTimeout.Std(),
	}
	s.applyReplication(now, &ev, out)
	s.applyFailover(now, &failoverEvent, out)
}

// addWatcher adds the main holder of an upstream to the watchers of the group.
func addWatcher(ev *failover.Event, self, holder model.VMID) {
	switch {
	case holder == "":
	case holder == self:
		ev.Watcher = true
	case !slices.Contains(ev.Peers, holder):
		ev.Peers = append(ev.Peers, holder)
	}
}

// removeGroups removes the databases whose upstreams this VM no longer holds.
func (s *State) removeGroups(now model.Time, d *config.Document, out *Effects) {
	for _, name := range sortedGroups(s.dispatchState.groups) {
		if db := d.Database(name); db != nil && s.holdsAny(db) {
			continue
		}
		delete(s.dispatchState.groups, name)
		s.applyReplication(now, &replication.Event{Kind: replication.GroupRemoved, Database: name}, out)
		s.applyFailover(now, &failover.Event{Kind: failover.GroupRemoved, Database: name}, out)
	}
}

func sortedGroups(groups map[model.Database]bool) []model.Database {
	names := make([]model.Database, 0, len(groups))
	for name := range groups {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (s *State) holdsAny(db *config.Database) bool {
	for _, u := range db.Upstreams {
		for _, kind := range []membership.ItemKind{membership.MainSeat, membership.StandbySeat} {
			owner, _, _ := s.Membership.Owner(seatItem(u, kind))
			if owner == s.config.Self {
				return true
			}
		}
	}
	return false
}

// notifyRolledOut tells limits once a version has been rolled out to every VM.
func (s *State) notifyRolledOut(now model.Time, out *Effects) {
	version := s.Confsync.Version()
	if version == s.dispatchState.rolledOut || !s.Confsync.InForce(version) {
		return
	}
	s.dispatchState.rolledOut = version
	ev := limits.Event{Kind: limits.EventRolledOut, Version: version}
	out.Limits = s.Limits.Apply(now, &ev, out.Limits)
}
