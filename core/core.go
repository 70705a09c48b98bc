// Package core combines the reducers of its subpackages into the reducer of a VM.
// It dispatches each event to the reducer that handles it, and forwards the effects
// that concern other reducers to them.
package core

import (
	"github.com/chervilhatch/chervilhatch/core/confsync"
	"github.com/chervilhatch/chervilhatch/core/connshare"
	"github.com/chervilhatch/chervilhatch/core/failover"
	"github.com/chervilhatch/chervilhatch/core/fairness"
	"github.com/chervilhatch/chervilhatch/core/limits"
	"github.com/chervilhatch/chervilhatch/core/membership"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replication"
	"github.com/chervilhatch/chervilhatch/core/routing"
)

// Event holds the event of exactly one reducer; the other fields are nil.
type Event struct {
	Confsync    *confsync.Event
	Membership  *membership.Event
	Limits      *limits.Event
	Fairness    *fairness.Event
	ConnShare   *connshare.Event
	Replication *replication.Event
	Failover    *failover.Event
	Routing     *routing.Event
	// Tick lets time pass in all reducers that keep deadlines.
	Tick *Tick
}

// Tick is the event that lets time pass.
type Tick struct {
	// Seed is a random number that differs between ticks.
	Seed uint64
}

// Effects holds the effects of all reducers, each in the order in which they were
// produced. Callers reuse it, so that the read path does not allocate.
type Effects struct {
	Confsync    []confsync.Effect
	Membership  []membership.Effect
	Limits      []limits.Effect
	Fairness    []fairness.Effect
	ConnShare   []connshare.Effect
	Replication []replication.Effect
	Failover    []failover.Effect
	Routing     []routing.Effect
}

// Reset empties the effects and keeps their memory for reuse.
func (e *Effects) Reset() {
	e.Confsync = e.Confsync[:0]
	e.Membership = e.Membership[:0]
	e.Limits = e.Limits[:0]
	e.Fairness = e.Fairness[:0]
	e.ConnShare = e.ConnShare[:0]
	e.Replication = e.Replication[:0]
	e.Failover = e.Failover[:0]
	e.Routing = e.Routing[:0]
}

// Config identifies this VM and sets options of its reducers.
type Config struct {
	Self        model.VMID
	Zone        model.Zone
	Incarnation uint64
	// StaticSplit disables the lending of tokens between zones.
	StaticSplit bool
}

// State is the state of one VM.
type State struct {
	config Config

	Confsync    *confsync.State
	Membership  *membership.State
	Limits      *limits.State
	Fairness    *fairness.State
	ConnShare   *connshare.State
	Replication *replication.State
	Failover    *failover.State
	Routing     *routing.State

	dispatchState dispatchState
}

// New returns the state of a VM that has just started.
func New(c Config) *State {
	return &State{
		config:   c,
		Confsync: confsync.New(c.Self),
		Membership: membership.New(membership.Config{
			Self: c.Self, Zone: c.Zone, Incarnation: c.Incarnation,
		}),
		Limits: limits.New(limits.Config{
			Self: c.Self, Zone: c.Zone, StaticSplit: c.StaticSplit, FirstRequestID: c.Incarnation << 20,
		}),
		Fairness:      fairness.New(fairness.Config{}),
		ConnShare:     connshare.New(),
		Replication:   replication.New(),
		Failover:      failover.New(c.Self, c.Incarnation),
		Routing:       routing.New(c.Zone),
		dispatchState: newDispatchState(),
	}
}

// Apply processes one event and appends the effects of all reducers to out.
func (s *State) Apply(now model.Time, ev *Event, out *Effects) {
	switch {
	case ev.Routing != nil:
		out.Routing = s.Routing.Apply(now, ev.Routing, out.Routing)
	case ev.Replication != nil:
		s.applyReplication(now, ev.Replication, out)
	case ev.Fairness != nil:
		out.Fairness = s.Fairness.Apply(now, ev.Fairness, out.Fairness)
	case ev.Limits != nil:
		out.Limits = s.Limits.Apply(now, ev.Limits, out.Limits)
	case ev.Failover != nil:
		s.applyFailover(now, ev.Failover, out)
	case ev.ConnShare != nil:
		out.ConnShare = s.ConnShare.Apply(now, ev.ConnShare, out.ConnShare)
	case ev.Membership != nil:
		s.applyMembership(now, ev.Membership, out)
	case ev.Confsync != nil:
		s.applyConfsync(now, ev.Confsync, out)
	case ev.Tick != nil:
		s.tick(now, ev.Tick, out)
	}
}

func (s *State) tick(now model.Time, t *Tick, out *Effects) {
	s.applyMembership(now, &membership.Event{Kind: membership.EventTick}, out)
	out.Limits = s.Limits.Apply(now, &limits.Event{Kind: limits.EventTick}, out.Limits)
	out.Fairness = s.Fairness.Apply(now, &fairness.Event{Kind: fairness.EventTick}, out.Fairness)
	out.ConnShare = s.ConnShare.Apply(now, &connshare.Event{Kind: connshare.EventTick}, out.ConnShare)
	s.applyReplication(now, &replication.Event{Kind: replication.Tick}, out)
	s.applyFailover(now, &failover.Event{Kind: failover.Tick, Seed: t.Seed}, out)
	out.Routing = s.Routing.Apply(now, &routing.Event{Kind: routing.Tick, Seed: t.Seed}, out.Routing)
}

// applyReplication applies a replication event and forwards a new primary to
// routing.
func (s *State) applyReplication(now model.Time, ev *replication.Event, out *Effects) {
	first := len(out.Replication)
	out.Replication = s.Replication.Apply(now, ev, out.Replication)
	for i := first; i < len(out.Replication); i++ {
		e := &out.Replication[i]
		if e.Kind == replication.PrimaryChanged {
			s.updateRoutingPrimary(now, e.Database, e.Upstream, e.Term, out)
		}
	}
}

// applyFailover applies a failover event and forwards a new primary to routing.
func (s *State) applyFailover(now model.Time, ev *failover.Event, out *Effects) {
	first := len(out.Failover)
	out.Failover = s.Failover.Apply(now, ev, out.Failover)
	for i := first; i < len(out.Failover); i++ {
		e := &out.Failover[i]
		if e.Kind == failover.PrimaryChanged {
			s.updateRoutingPrimary(now, e.Database, e.Primary, e.Term, out)
		}
	}
}

func (s *State) updateRoutingPrimary(now model.Time, db model.Database, u model.UpstreamID, t model.Term, out *Effects) {
	ev := routing.Event{Kind: routing.PrimaryKnown, Database: db, Primary: u, PrimaryTerm: t}
	out.Routing = s.Routing.Apply(now, &ev, out.Routing)
}

// applyConfsync applies a confsync event and puts a new configuration into force
// in all reducers.
func (s *State) applyConfsync(now model.Time, ev *confsync.Event, out *Effects) {
	first := len(out.Confsync)
	out.Confsync = s.Confsync.Apply(now, ev, out.Confsync)
	for i := first; i < len(out.Confsync); i++ {
		e := &out.Confsync[i]
		if e.Kind == confsync.Apply {
			s.configure(now, e.Version, e.Config, out)
		}
	}
	s.notifyRolledOut(now, out)
}

// applyMembership applies a membership event and forwards changes of ownership to
// the reducers that use the owned items.
func (s *State) applyMembership(now model.Time, ev *membership.Event, out *Effects) {
	first := len(out.Membership)
	out.Membership = s.Membership.Apply(now, ev, out.Membership)
	changed := false
	for i := first; i < len(out.Membership); i++ {
		e := out.Membership[i]
		switch e.Kind {
		case membership.EffectGained:
			s.itemGained(now, &e, out)
		case membership.EffectLost:
			s.itemLost(now, &e, out)
		case membership.EffectConfirmed:
			s.ownershipConfirmed(now, &e, out)
		case membership.EffectRecordChanged:
			changed = true
		}
	}
	if changed {
		s.updatePlacement(now, out)
	}
}
