package property

import (
	"flag"
	"slices"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/dbgroup"
)

// checkWithFixedSeed runs a property with a fixed seed, so that CI gives the same
// verdict every run.
func checkWithFixedSeed(t *testing.T, checks int, prop func(*rapid.T)) {
	t.Helper()
	set := map[string]string{
		"rapid.seed": "20240117", "rapid.checks": strconv.Itoa(checks),
		"rapid.nofailfile": "true", "rapid.shrinktime": "5s",
	}
	for name, value := range set {
		old := flag.Lookup(name).Value.String()
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
		defer flag.Set(name, old)
	}
	rapid.Check(t, prop)
}

// rng draws one number per step and derives all choices of the step from it.
// The mixing removes the bias of rapid's integers towards small values.
type rng struct{ x uint64 }

func (r *rng) draw(t *rapid.T) { r.x += rapid.Uint64().Draw(t, "step") }

func (r *rng) uint64() uint64 {
	r.x += 0x9e3779b97f4a7c15
	x := r.x
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (r *rng) intN(n int) int { return int(r.uint64() % uint64(n)) }

// chance returns true with the given probability.
func (r *rng) chance(percent int) bool { return r.intN(100) < percent }

// entry is one entry of a log; write is 0 for the first entry of a term.
type entry struct {
	term  model.Term
	write uint64
}

// upstreamModel is one upstream as the comments of dbgroup describe it. All
// but up survives a crash.
type upstreamModel struct {
	id        model.UpstreamID
	up        bool
	role      dbgroup.Role
	promised  model.Term
	log       []entry
	applied   int
	following int
}

func (u *upstreamModel) lastTerm() model.Term {
	if len(u.log) == 0 {
		return model.Term{}
	}
	return u.log[len(u.log)-1].term
}

// termStart returns the position of the first entry of the last term.
func (u *upstreamModel) termStart() int {
	last := u.lastTerm()
	i := len(u.log)
	for i > 0 && u.log[i-1].term == last {
		i--
	}
	return i + 1
}

// position returns the end of the log.
func (u *upstreamModel) position() model.Position {
	return model.Position{Term: u.lastTerm(), Pos: model.LogPos(len(u.log))}
}

func (u *upstreamModel) status() dbgroup.Status {
	s := dbgroup.Status{
		Role: u.role, Promised: u.promised, LastTerm: u.lastTerm(), TermStart: model.LogPos(u.termStart()),
		Received: model.LogPos(len(u.log)), Applied: model.LogPos(u.applied),
	}
	if u.applied > 0 {
		s.AppliedTerm = u.log[u.applied-1].term
	}
	return s
}

func (u *upstreamModel) fence(term model.Term) {
	if u.promised.Less(term) {
		u.promised = term
		u.role = dbgroup.Fenced
	}
}

// groupModel is a group of three upstreams, and the truth about it.
type groupModel struct {
	t         *rapid.T
	upstreams []*upstreamModel
	// partitioned[i][j] is true while upstreams i and j cannot reach each other.
	partitioned [3][3]bool
	// primaries has the primary of each term.
	primaries map[model.Term]int
	// committed is the log that a majority has held.
	committed []entry
	writes    uint64
}

func newGroupModel(t *rapid.T) *groupModel {
	m := &groupModel{t: t, primaries: make(map[model.Term]int)}
	for i := range 3 {
		u := &upstreamModel{id: model.UpstreamID("u" + strconv.Itoa(i)), up: true, following: -1}
		m.upstreams = append(m.upstreams, u)
	}
	return m
}

func (m *groupModel) index(id model.UpstreamID) int {
	return slices.IndexFunc(m.upstreams, func(u *upstreamModel) bool { return u.id == id })
}

// promote returns whether the upstream is the primary of the term afterwards.
func (m *groupModel) promote(i int, term model.Term) bool {
	u := m.upstreams[i]
	if u.promised != term {
		return false
	}
	if u.role != dbgroup.Fenced {
		return u.role == dbgroup.Primary
	}
	if j, found := m.primaries[term]; found && j != i {
		m.t.Fatalf("term %v has the primaries %d and %d", term, j, i)
	}
	m.primaries[term] = i
	if len(u.log) < len(m.committed) || !slices.Equal(u.log[:len(m.committed)], m.committed) {
		m.t.Fatalf("primary %d of %v lacks acknowledged writes", i, term)
	}
	u.log = append(u.log, entry{term: term})
	u.role = dbgroup.Primary
	u.applied = len(u.log)
	return true
}

func (m *groupModel) follow(i int, term model.Term, primary model.UpstreamID) bool {
	u := m.upstreams[i]
	if term.Less(u.promised) || (u.role == dbgroup.Primary && u.promised == term) {
		return false
	}
	u.promised = term
	u.role = dbgroup.Replica
	u.following = m.index(primary)
	return true
}

// commit appends a write to a primary.
func (m *groupModel) commit(i int) (model.Position, bool) {
	u := m.upstreams[i]
	if !u.up || u.role != dbgroup.Primary {
		return model.Position{}, false
	}
	m.writes++
	u.log = append(u.log, entry{term: u.promised, write: m.writes})
	u.applied = len(u.log)
	m.updateCommitted(u)
	return u.position(), true
}

// replicate sends up to n entries to a replica, or rewinds it to the start of
// the primary's term.
func (m *groupModel) replicate(i, n int) {
	u := m.upstreams[i]
	if u.role != dbgroup.Replica || !u.up || u.following < 0 || m.partitioned[i][u.following] {
		return
	}
	p := m.upstreams[u.following]
	if !p.up || p.role != dbgroup.Primary || p.promised != u.promised {
		return
	}
	if len(u.log) > len(p.log) || !slices.Equal(u.log, p.log[:len(u.log)]) {
		u.log = slices.Clone(p.log[:p.termStart()])
		u.applied = len(u.log)
	} else {
		u.log = slices.Clone(p.log[:min(len(u.log)+n, len(p.log))])
	}
	m.updateCommitted(p)
}

// updateCommitted records what a majority holds in the term of primary p.
func (m *groupModel) updateCommitted(p *upstreamModel) {
	var lengths []int
	for _, u := range m.upstreams {
		if u.promised == p.promised && u.lastTerm() == p.promised {
			lengths = append(lengths, len(u.log))
		}
	}
	slices.Sort(lengths)
	if len(lengths) < 2 {
		return
	}
	held := lengths[len(lengths)-2]
	if held > len(m.committed) {
		m.committed = slices.Clone(p.log[:held])
	}
}

// injectFault changes the state of an upstream or of a link between two.
func (m *groupModel) injectFault(r *rng) {
	i, j := r.intN(3), r.intN(3)
	switch r.intN(4) {
	case 0:
		m.upstreams[i].up = false
	case 1, 2:
		m.upstreams[i].up = true
	case 3:
		partitioned := r.chance(40) && i != j
		m.partitioned[i][j], m.partitioned[j][i] = partitioned, partitioned
	}
}

// replicateSome lets a replica receive and apply a part of the log.
func (m *groupModel) replicateSome(r *rng) {
	i := r.intN(3)
	m.replicate(i, r.intN(4))
	u := m.upstreams[i]
	if u.up {
		u.applied = min(len(u.log), u.applied+r.intN(4))
	}
}

// heal ends all faults of the upstreams.
func (m *groupModel) heal() {
	m.partitioned = [3][3]bool{}
	for _, u := range m.upstreams {
		u.up = true
	}
}
