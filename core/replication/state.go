package replication

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// DefaultConfirmationTimeout is the default maximum age of the last confirmed
// round when a write starts. Above it, the write waits for a new round.
const DefaultConfirmationTimeout = time.Second

// State is the replication state of one VM. The zero value is not usable; see New.
type State struct {
	// groups is sorted by database, so that a tick processes them in a fixed order.
	groups []*group
	byName map[model.Database]*group
	// lastRound is the number of the last round. All groups share it, so that no
	// number is reused, even if a group is removed and configured again.
	lastRound uint64
}

// New returns a state without groups.
func New() *State {
	return &State{byName: make(map[model.Database]*group)}
}

// Apply processes one event and appends its effects to out.
func (s *State) Apply(now model.Time, ev *Event, out []Effect) []Effect {
	if ev.Kind == Tick {
		return s.tick(now, out)
	}
	if ev.Kind == GroupConfigured {
		return s.configure(now, ev, out)
	}
	g := s.byName[ev.Database]
	if g == nil {
		return refuseUnknown(ev, out)
	}
	switch ev.Kind {
	case GroupRemoved:
		return s.remove(g, out)
	case StatusAnswered:
		out = g.statusAnswered(now, ev, out)
	case StatusFailed:
		g.statusFailed(ev)
	case ReadCheck, WriteCheck:
		out = g.check(now, ev, out)
	case WriteWaiting:
		out = g.awaitMajority(ev, out)
	case Canceled:
		g.cancel(ev.ID)
	}
	return g.pollIfDue(s, now, out)
}

func (s *State) tick(now model.Time, out []Effect) []Effect {
	for _, g := range s.groups {
		out = g.expire(now, out)
		out = g.pollIfDue(s, now, out)
	}
	return out
}

func (s *State) configure(now model.Time, ev *Event, out []Effect) []Effect {
	g := s.byName[ev.Database]
	if g == nil {
		g = &group{database: ev.Database, nextDeadline: never}
		s.byName[ev.Database] = g
		at, _ := slices.BinarySearchFunc(s.groups, ev.Database, compareDatabase)
		s.groups = slices.Insert(s.groups, at, g)
	}
	g.configure(ev)
	out = g.resolve(now, out)
	return g.pollIfDue(s, now, out)
}

func compareDatabase(g *group, db model.Database) int {
	return cmp.Compare(g.database, db)
}

func (s *State) remove(g *group, out []Effect) []Effect {
	delete(s.byName, g.database)
	if at, found := slices.BinarySearchFunc(s.groups, g.database, compareDatabase); found {
		s.groups = slices.Delete(s.groups, at, at+1)
	}
	for i := range g.checks {
		out = append(out, g.checks[i].refusal(g.database, ReasonUnknownUpstream))
	}
	for i := range g.writes {
		out = append(out, Effect{Kind: WriteUnknown, Database: g.database, ID: g.writes[i].id})
	}
	return out
}

// refuseUnknown refuses a check or write of a group that is not configured.
func refuseUnknown(ev *Event, out []Effect) []Effect {
	e := Effect{Database: ev.Database, ID: ev.ID, Reason: ReasonUnknownUpstream}
	switch ev.Kind {
	case ReadCheck:
		e.Kind = ReadRefused
	case WriteCheck:
		e.Kind = WriteRefused
	case WriteWaiting:
		e.Kind = WriteUnknown
	default:
		return out
	}
	return append(out, e)
}

// NextTick returns when the next Tick is due. An earlier Tick is harmless. The
// cost of the call is proportional to the number of groups.
func (s *State) NextTick(now model.Time) model.Time {
	next := model.Time(math.MaxInt64)
	for _, g := range s.groups {
		next = min(next, g.nextDeadline, g.nextPoll())
	}
	return max(next, now)
}

// Hint returns the last known applied position of an upstream, and the primary
// and term of its group. Unknown values are zero.
func (s *State) Hint(db model.Database, u model.UpstreamID) (applied model.Position, primary model.UpstreamID, term model.Term) {
	g := s.byName[db]
	if g == nil {
		return model.Position{}, "", model.Term{}
	}
	if i := g.find(u); i >= 0 {
		applied = g.members[i].applied
	}
	return applied, g.lastConfirmed.primary, g.lastConfirmed.position.Term
}
