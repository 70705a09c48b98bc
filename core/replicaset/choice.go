package replicaset

import (
	"cmp"
	"slices"
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
)

// Primary returns the upstream that gets the writes of a service. It returns false
// if no primary is known, or if the primary is failing or not eligible.
func (s *State) Primary(now model.Time, service catalog.Service) (Member, bool) {
	g := s.groups[service]
	if g == nil || g.primary == "" {
		return Member{}, false
	}
	m := g.members[g.primary]
	return *m, s.eligible(now, g, m) && !m.Failing()
}

// Eligible reports whether an upstream may get new requests: it is known, its zone
// is not evacuated, and it is not past leavingExcludeAfter if it is leaving.
func (s *State) Eligible(now model.Time, id model.UpstreamID) bool {
	m, g := s.member(id)
	return m != nil && s.eligible(now, g, m)
}

func (s *State) eligible(now model.Time, g *group, m *Member) bool {
	return !s.evacuated[m.Zone] && !g.leavingExpired(now, m)
}

// leavingExpired reports whether an upstream has been leaving for longer than
// leavingExcludeAfter.
func (g *group) leavingExpired(now model.Time, m *Member) bool {
	return m.Leaving && now.Sub(m.LeavingAt) > leavingExcludeAfter
}

// Candidate is an upstream that may serve a read.
type Candidate struct {
	Member
	// rank is one of the ranks below; candidates with the lowest are tried first.
	rank int
	load float64
	// Choice says why the candidate is where it is, zero unless reads are balanced
	// evenly.
	Choice Choice
}

// Choice is the reason for the place of a candidate, for the log.
type Choice struct {
	// Cause names the reason.
	Cause string
	// Estimate is how long the read was expected to take there.
	Estimate time.Duration
	// FigureAge is the age of the figures behind Estimate, negative if there were none.
	FigureAge time.Duration
}

// Rank returns the rank of the candidate; those with the lowest are tried first.
func (c *Candidate) Rank() int { return c.rank }

// RankName returns the name of the candidate's rank, for operators.
func (c *Candidate) RankName() string {
	return [...]string{"replica", "primary", "lagging", "leaving", "failing"}[c.rank]
}

// ServesAsPrimary reports whether the candidate is the primary and no upstream to be
// avoided.
func (c *Candidate) ServesAsPrimary() bool { return c.rank == rankPrimary }

// LastResort reports whether the candidate is failing or about to stop.
func (c *Candidate) LastResort() bool { return c.rank >= rankLeaving }

// Ranks of candidates, in the order in which they are tried.
const (
	rankReplica = iota
	rankPrimary
	rankLagging
	rankLeaving
	rankFailed
)

// ReadCandidates returns the upstreams that may serve a read at floor, in the
// order in which they are to be tried. load estimates how long a statement takes on
// an upstream; candidates of the same rank are ordered by it. An upstream whose
// registration has been missing for half of MissingGracePeriod is left out.
func (s *State) ReadCandidates(now model.Time, service catalog.Service, floor model.Position, load func(*Member) float64) []Candidate {
	g := s.groups[service]
	if g == nil {
		return nil
	}
	list := make([]Candidate, 0, len(g.members))
	for _, id := range g.ids() {
		m := g.members[id]
		if !s.eligible(now, g, m) || m.missingSince != 0 && now.Sub(m.missingSince) > MissingGracePeriod/2 {
			continue
		}
		list = append(list, Candidate{Member: *m, rank: g.rank(now, m, floor), load: load(m)})
	}
	slices.SortStableFunc(list, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.load, b.load))
	})
	return list
}

func (g *group) rank(now model.Time, m *Member, floor model.Position) int {
	switch {
	case m.Failing():
		return rankFailed
	case m.Leaving && now.Sub(m.LeavingAt) > leavingDemoteAfter:
		return rankLeaving
	case m.ID == g.primary:
		return rankPrimary
	case m.LaggingAt != 0 && now.Sub(m.LaggingAt) < laggingPenalty && m.LaggingBehind.Compare(floor) <= 0 && m.Applied.Compare(floor) < 0:
		return rankLagging
	}
	return rankReplica
}

// PrimaryID returns the known primary of a service, empty if there is none.
func (s *State) PrimaryID(service catalog.Service) model.UpstreamID {
	g := s.groups[service]
	if g == nil {
		return ""
	}
	return g.primary
}

// PrimaryGap returns how long a service has had no known primary.
func (s *State) PrimaryGap(now model.Time, service catalog.Service) time.Duration {
	g := s.groups[service]
	if g == nil || g.primary != "" {
		return 0
	}
	return now.Sub(g.primaryLostAt)
}

// Replicas returns the upstreams of a service except its last known primary.
func (s *State) Replicas(service catalog.Service) []model.UpstreamID {
	g := s.groups[service]
	if g == nil {
		return nil
	}
	ids := g.ids()
	return slices.DeleteFunc(ids, func(id model.UpstreamID) bool { return id == g.lastPrimary })
}

// Upstreams returns the upstreams of a service.
func (s *State) Upstreams(service catalog.Service) []model.UpstreamID {
	g := s.groups[service]
	if g == nil {
		return nil
	}
	return g.ids()
}

// Evacuated reports whether a zone is evacuated, so that its upstreams get no new
// requests.
func (s *State) Evacuated(z model.Zone) bool { return s.evacuated[z] }

// Member returns the view of an upstream. It returns false if the upstream is not
// known.
func (s *State) Member(id model.UpstreamID) (Member, bool) {
	m, _ := s.member(id)
	if m == nil {
		return Member{}, false
	}
	return *m, true
}

// View is the view of a service that the promotion of a primary works on.
type View struct {
	Service     catalog.Service
	Members     []Member
	Primary     model.UpstreamID
	PrimaryTerm uint64
	// Incomplete is true after the removal or restart of an upstream that may have
	// received commits that the remaining replicas have not. MemberLost is true if this VM
	// saw that, false if it may have been before the VM started. ReplicaLostAt is when it last
	// saw that of another upstream than the last known primary, 0 if it has not.
	Incomplete    bool
	MemberLost    bool
	ReplicaLostAt model.Time
	// Whole is true if the group was known to be complete at a time since the start of this VM, so that
	// it saw all losses since.
	Whole bool
	// PassedOn is State.PassedOn.
	PassedOn model.Position
	// LastPrimary is the last known primary. Inherited is the end of the log with which the primary of InheritedTerm
	// began, as far as known.
	LastPrimary   model.UpstreamID
	Inherited     model.Position
	InheritedTerm uint64
	// ListedAt is the time when the list of upstreams was read. ListComplete is false while
	// it may lack upstreams that run, as after the start of this VM.
	ListedAt     model.Time
	ListComplete bool
}

// Views returns the views of all services that have upstreams, in order of their
// names.
func (s *State) Views() []View {
	var views []View
	for _, g := range s.sortedGroups() {
		if len(g.members) == 0 {
			continue
		}
		v := View{
			Service: g.name, Primary: g.primary, PrimaryTerm: g.primaryTerm,
			Incomplete: g.incompleteSince != 0, MemberLost: g.memberLost, ReplicaLostAt: g.replicaLostAt,
			Whole: g.whole, PassedOn: s.PassedOn(g.name), LastPrimary: g.lastPrimary, Inherited: g.inherited.position, InheritedTerm: g.inherited.term, ListedAt: s.listedAt, ListComplete: s.listComplete(),
		}
		for _, id := range g.ids() {
			v.Members = append(v.Members, *g.members[id])
		}
		views = append(views, v)
	}
	return views
}

// StoreUnavailable reports whether the last attempt of this VM to read the registrations
// failed.
func (s *State) StoreUnavailable() bool { return s.storeUnavailable }

// HasUpstreams reports whether a service has a known upstream.
func (s *State) HasUpstreams(service catalog.Service) bool {
	g := s.groups[service]
	return g != nil && len(g.members) > 0
}
