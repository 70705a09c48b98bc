package failover

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Defaults of Event.Detect, Event.BackoffMin and Event.BackoffMax.
const (
	DefaultDetect     = 600 * time.Millisecond
	DefaultBackoffMin = 100 * time.Millisecond
	DefaultBackoffMax = 2 * time.Second
)

// State is the failover state of one VM. Use New to create one; the zero value
// is not usable.
type State struct {
	self model.VMID
	// proposer is the Proposer of the terms of this VM. It includes the
	// incarnation because a VM does not know after a restart which terms it has
	// proposed before.
	proposer string
	// groups is sorted by database, so that ticks process groups in a
	// deterministic order.
	groups     []*group
	byDatabase map[model.Database]*group
	random     uint64
}

// New returns the State of the VM self, without groups. The incarnation must be
// different after each restart of the VM.
func New(self model.VMID, incarnation uint64) *State {
	return &State{
		self:       self,
		proposer:   string(self) + "#" + strconv.FormatUint(incarnation, 10),
		byDatabase: make(map[model.Database]*group),
	}
}

// transition is the context in which one event is processed.
type transition struct {
	now   model.Time
	state *State
	out   []Effect
}

func (t *transition) emit(e Effect) { t.out = append(t.out, e) }

// jitter returns a random duration in [0, limit). The generator is splitmix64.
func (t *transition) jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	t.state.random += 0x9e3779b97f4a7c15
	x := t.state.random
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	return time.Duration(x % uint64(limit))
}

// Apply processes one event, appends its effects to out and returns the result.
func (s *State) Apply(now model.Time, ev *Event, out []Effect) []Effect {
	t := transition{now: now, state: s, out: out}
	g := s.byDatabase[ev.Database]
	switch {
	case ev.Kind == Tick:
		s.random ^= ev.Seed
		for _, g := range s.groups {
			g.tick(&t)
		}
	case ev.Kind == GroupConfigured:
		s.configure(&t, ev)
	case g == nil:
		if ev.Kind == SwitchoverRequested {
			t.emit(Effect{Kind: SwitchoverFailed, Database: ev.Database, Reason: ReasonNotWatcher})
		}
	case ev.Kind == GroupRemoved:
		s.remove(&t, g)
	default:
		g.apply(&t, ev)
	}
	return t.out
}

// configure adds or replaces a group. It removes the group if this VM does not
// monitor it.
func (s *State) configure(t *transition, ev *Event) {
	g := s.byDatabase[ev.Database]
	if !ev.Watcher {
		if g != nil {
			s.remove(t, g)
		}
		return
	}
	if g == nil {
		g = &group{database: ev.Database, monitoredSince: t.now, lastTick: t.now}
		s.byDatabase[ev.Database] = g
		at, _ := slices.BinarySearchFunc(s.groups, ev.Database, compareDatabase)
		s.groups = slices.Insert(s.groups, at, g)
	}
	g.configure(t, ev)
}

func (s *State) remove(t *transition, g *group) {
	g.abort(t, ReasonNotWatcher)
	delete(s.byDatabase, g.database)
	if at, found := slices.BinarySearchFunc(s.groups, g.database, compareDatabase); found {
		s.groups = slices.Delete(s.groups, at, at+1)
	}
}

func compareDatabase(g *group, db model.Database) int {
	return cmp.Compare(g.database, db)
}

// NextTick returns when the next Tick is due. Earlier ticks are harmless. If
// more than two thirds of a group's Detect pass between two ticks, the VM is
// assumed to have been paused, and the detection restarts.
func (s *State) NextTick(now model.Time) model.Time {
	next := model.Time(math.MaxInt64)
	for _, g := range s.groups {
		next = min(next, g.nextTick())
	}
	return max(next, now)
}

// Primary returns the known primary of a database and its term. The ID is empty
// if no primary is known.
func (s *State) Primary(db model.Database) (model.UpstreamID, model.Term) {
	if g := s.byDatabase[db]; g != nil {
		return g.primary, g.term
	}
	return "", model.Term{}
}
