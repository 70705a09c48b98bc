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

// checkWithFixedSeed checks a property with a fixed seed, so that its result in CI
// is reproducible.
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

// rng is a splitmix64 generator into which each step mixes one number drawn from
// rapid. All random choices of the step come from the generator, because the
// integers of rapid are biased towards small values.
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

// chance returns true with a probability of the given percentage.
func (r *rng) chance(percent int) bool { return r.intN(100) < percent }

// entry is one log entry. write is 0 for the first entry of a term.
type entry struct {
	term  model.Term
	write uint64
}

// upstreamModel models one upstream as specified in the comments of package
// dbgroup. All fields except up survive a crash.
type upstreamModel struct {
	id       model.UpstreamID
	up       bool
	role     dbgroup.Role
	promised model.Term
	log      []entry
	applied  int
	// following is the index of the primary of a replica; -1 if it has none yet.
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

// position returns the position of the last entry of the log.
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

// groupModel models a group of three upstreams and records which primaries and
// writes they have had.
type groupModel struct {
	t         *rapid.T
	upstreams []*upstreamModel
	// partitioned[i][j] is true while upstreams i and j cannot reach each other.
	partitioned [3][3]bool
	// primaries has the primary of each term.
	primaries map[model.Term]int
	// committed is the longest log that a majority has ever had.
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

// promote promotes upstream i if it is fenced in the term, and returns whether it
// is the primary of the term afterwards. It fails the test if the term has another
// primary, or if the log of the upstream lacks committed entries.
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

// follow makes upstream i a replica of primary. It returns false if the upstream
// has promised a higher term or is itself the primary of the term.
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

// commit appends a write to the log of upstream i and returns its position; false
// if the upstream is down or not a primary.
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

// replicate sends up to n log entries to replica i from its primary. If the log of
// the replica has diverged, it is instead replaced by that of the primary up to
// the start of the primary's term.
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

// updateCommitted records the log that a majority has received in the term of
// primary p.
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

// injectFault takes an upstream down or up, or partitions or reconnects two
// upstreams.
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

// replicateSome lets a random upstream receive and apply a part of the log.
func (m *groupModel) replicateSome(r *rng) {
	i := r.intN(3)
	m.replicate(i, r.intN(4))
	u := m.upstreams[i]
	if u.up {
		u.applied = min(len(u.log), u.applied+r.intN(4))
	}
}

// heal ends all faults of the upstreams and of the network between them.
func (m *groupModel) heal() {
	m.partitioned = [3][3]bool{}
	for _, u := range m.upstreams {
		u.up = true
	}
}
