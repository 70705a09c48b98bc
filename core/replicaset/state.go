package replicaset

import (
	"slices"
	"strings"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
)

// State is one VM's view of the upstreams of all services.
type State struct {
	groups    map[catalog.Service]*group
	services  map[model.UpstreamID]catalog.Service
	evacuated map[model.Zone]bool
	// storeUnavailableAt is the time when the store last failed to answer.
	storeUnavailableAt model.Time
	storeUnavailable   bool
	// listedAt is the time when the read that returned the current registrations
	// was sent, firstListedAt that of the first answer since the start of the VM or a long
	// outage of the store, 0 before.
	listedAt      model.Time
	firstListedAt model.Time
	// replaced has the incarnations of upstreams that were replaced while the store
	// still lists them.
	replaced map[model.UpstreamID]int64
	// departed has the upstreams that were removed within departedRetention.
	departed map[model.UpstreamID]departure
	// voters are the other VMs whose vouchers count.
	voters []model.VMID
	// voteless is true if this VM is no voter.
	voteless bool
	// peerListedAt is when the newest list of a voter was read, as far as known.
	peerListedAt map[model.VMID]model.Time
}

// departure is the last that was known of a removed upstream, at the time at.
type departure struct {
	incarnation int64
	sequence    int64
	at          model.Time
	// reported is true once an older entry was ignored.
	reported bool
}

// group is the set of upstreams of one service.
type group struct {
	name     catalog.Service
	members  map[model.UpstreamID]*Member
	evidence []evidence
	// primaryTerm is the newest term in which a primary was observed, and primary
	// that primary; it is empty if none is known.
	primaryTerm uint64
	primary     model.UpstreamID
	// lastPrimary is the last known primary, and primaryLostAt the time when it
	// ceased to be the primary.
	lastPrimary   model.UpstreamID
	primaryLostAt model.Time
	syncReplicas  int
	// incompleteSince is the time when an upstream last was removed or restarted, at first
	// when this VM learned of the group, since others may have left before. It is 0 once a
	// replica has received the log that the primary had after that.
	incompleteSince model.Time
	// memberLost is true if this VM saw an upstream removed or restarted since then.
	// replicaLostAt is when that was last another one than the last known primary, 0 if never.
	memberLost    bool
	replicaLostAt model.Time
	// whole is true once the group was known to be complete.
	whole bool
	// peakMembers is the largest number of members since the group was last known
	// to be complete.
	peakMembers int
	// fullMembers is the largest number of members, without those that have left after
	// they announced it. One that has only lost its registration may still run; after
	// departureTimeout from removedAt, the last removal of a member, it counts as gone.
	fullMembers int
	removedAt   model.Time
	// confirmed is the confirmation of the primary, and withdrawnAt the time of the
	// last withdrawal of one.
	confirmed   confirmation
	withdrawnAt model.Time
	// promised is what the holder of the promotion lease or vouchers have promised last; see
	// State.PromisedUntil.
	promised confirmation
	// inherited is the end of the log with which the last known primary began, as far as known.
	inherited inheritedLog
	// passedOn is the end of the newest commit that this VM or a peer is known to have passed on.
	passedOn model.Position
	// heard is the last confirmation by a holder of the promotion lease, which was asked
	// for at heardAt.
	heard   confirmation
	heardAt model.Time
	// vouchers has the last voucher of each other VM; vouchedUntil is when the last
	// voucher that this VM has given ends.
	vouchers     map[model.VMID]voucher
	vouchedUntil model.Time
	// observedLog is the newest observation of the primary's log. It becomes evidence
	// as far as the primary is confirmed.
	observedLog evidence
	// replicaLog is the longest log that a replica has reported, and when it first did.
	replicaLog logReport
	// shortfall is the newest evidence that no replica had reached when all had answered
	// after this VM had learned of it, and when that was.
	shortfall logReport
	// evidenceFromReplicas is true after evidence was derived from the replicas, until
	// the primary's log is observed again.
	evidenceFromReplicas bool
}

// logReport is a log position and the time when this VM first learned of it.
type logReport struct {
	position model.Position
	at       model.Time
}

// New returns an empty state.
func New() *State {
	return &State{
		groups:    map[catalog.Service]*group{},
		services:  map[model.UpstreamID]catalog.Service{},
		evacuated: map[model.Zone]bool{},
		replaced:  map[model.UpstreamID]int64{},
		departed:  map[model.UpstreamID]departure{},

		peerListedAt: map[model.VMID]model.Time{},
	}
}

// Apply processes one event and appends the effects to out.
func (s *State) Apply(now model.Time, ev *Event, out []Effect) []Effect {
	switch ev.Kind {
	case EventRegistrations:
		return s.applyRegistrations(now, ev, out)
	case EventStoreUnavailable:
		s.storeUnavailable, s.storeUnavailableAt = true, now
		// An upstream that has started during a longer outage is not known from before, and
		// takes up to MissingGracePeriod to register once the store is back.
		if age := now.Sub(s.listedAt); age > MissingGracePeriod || !s.listComplete() && age > maxListAge {
			s.firstListedAt = 0
		}
		return out
	case EventEvacuations:
		return s.applyEvacuations(ev, out)
	case EventSyncReplicas:
		s.group(ev.Service).syncReplicas = ev.SyncReplicas
		return out
	case EventEvidence:
		s.group(ev.Service).addEvidence(now, evidence{at: ev.SentAt, position: ev.Position, term: ev.Term})
		return out
	case EventWithdrawn:
		s.group(ev.Service).applyWithdrawn(now, ev.Successor)
		return out
	case EventPeerListed:
		s.applyPeerListed(now, ev)
		return out
	case EventPassedOn:
		s.group(ev.Service).recordPassedOn(ev.Position)
		return out
	}
	m, g := s.member(ev.Upstream)
	if m == nil {
		return out
	}
	if ev.Kind == EventReplaced {
		s.replaced[m.ID] = m.Incarnation
		return s.remove(now, m.ID, out)
	}
	before := g.primary
	switch ev.Kind {
	case EventStatus:
		g.applyStatus(now, m, ev)
		s.confirmByStatuses(now, g)
		if g.primary != m.ID {
			out = s.addReplicaEvidence(now, g, out)
		}
	case EventCommitted:
		g.applyCommitted(now, m, ev)
	case EventServed:
		m.recordServed(now, ev.Position)
	case EventNotPrimary:
		g.recordNotPrimary(now, m)
	case EventLagging:
		m.recordContact(now)
		m.LaggingAt, m.LaggingBehind = now, ev.Position
	case EventFailed:
		m.recordFailure(now, ev.Refused)
	case EventConfirmed:
		s.applyConfirmed(now, g, m, ev)
	case EventVouched:
		s.applyVouched(now, g, ev)
	case EventPrimary:
		if ev.Term > m.steppedDownTerm || m.steppedDownTerm == 0 {
			g.recordPrimary(now, m, ev.Term)
		}
	}
	return g.primaryEffect(now, before, out)
}

func (s *State) group(name catalog.Service) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{name: name, members: map[model.UpstreamID]*Member{}}
		s.groups[name] = g
	}
	return g
}

func (s *State) member(id model.UpstreamID) (*Member, *group) {
	service, found := s.services[id]
	if !found {
		return nil, nil
	}
	g := s.groups[service]
	return g.members[id], g
}

// applyRegistrations updates the members from the complete list of registrations.
func (s *State) applyRegistrations(now model.Time, ev *Event, out []Effect) []Effect {
	if s.storeUnavailable {
		// Restart the grace period of missing registrations when the store
		// answers again.
		s.storeUnavailable = false
		s.resetMissingSince(now)
	}
	s.listedAt = ev.SentAt
	if s.firstListedAt == 0 {
		s.firstListedAt = now
	}
	present := make(map[model.UpstreamID]bool, len(ev.Registrations))
	for i := range ev.Registrations {
		r := &ev.Registrations[i]
		present[r.ID] = true
		if incarnation, replaced := s.replaced[r.ID]; !replaced || incarnation != r.Incarnation {
			out = s.register(now, r, out)
		}
	}
	for id := range s.replaced {
		if !present[id] {
			delete(s.replaced, id)
		}
	}
	out = s.removeMissing(now, present, out)
	s.retire(now)
	return out
}

// listComplete reports whether the list has all upstreams that run and reach the store.
// A VM that has started does not know whether the store was unavailable shortly before;
// registrations that have expired meanwhile are back within MissingGracePeriod. Later,
// upstreams whose registrations are missing remain members for that long.
func (s *State) listComplete() bool {
	return s.firstListedAt != 0 && s.listedAt.Sub(s.firstListedAt) >= MissingGracePeriod
}

func (s *State) resetMissingSince(now model.Time) {
	for _, g := range s.groups {
		for _, m := range g.members {
			if m.missingSince != 0 {
				m.missingSince = now
			}
		}
	}
}

func (s *State) register(now model.Time, r *Registration, out []Effect) []Effect {
	if old, found := s.services[r.ID]; found && old != r.Service {
		out = s.remove(now, r.ID, out)
	}
	g := s.group(r.Service)
	m := g.members[r.ID]
	if m == nil && s.hasDeparted(r) {
		return s.reportDeparted(r, out)
	}
	if len(g.members) == 0 {
		g.incompleteSince, g.whole = now, false
	}
	if m == nil {
		m = &Member{Registration: *r}
		g.members[r.ID] = m
		s.services[r.ID] = r.Service
		g.peakMembers = max(g.peakMembers, len(g.members))
		g.fullMembers = max(g.fullMembers, len(g.members))
		if r.Leaving {
			m.LeavingAt = now
		}
		m.recordLeaving(now)
		out = append(out, Effect{Kind: EffectAdded, Service: g.name, Upstream: r.ID, Member: *m})
		out = g.warmupEffect(m, out)
		return g.applyRegisteredRole(now, m, true, out)
	}
	old := m.Registration
	m.missingSince = 0
	restarted := r.Incarnation != old.Incarnation
	if !restarted && r.Sequence < old.Sequence {
		m.recordOlderEntry()
		return out
	}
	m.Registration = *r
	if restarted {
		*m = Member{Registration: *r}
		g.recordLoss(now, now, m.ID)
	}
	if r.Leaving && m.LeavingAt == 0 {
		m.LeavingAt = now
	}
	m.recordLeaving(now)
	if restarted || old.Address != r.Address || old.Leaving != r.Leaving {
		out = append(out, Effect{Kind: EffectChanged, Service: g.name, Upstream: r.ID, Member: *m})
	}
	if r.WarmupLeft != old.WarmupLeft {
		out = g.warmupEffect(m, out)
	}
	return g.applyRegisteredRole(now, m, restarted || old.Primary != r.Primary, out)
}

func (g *group) warmupEffect(m *Member, out []Effect) []Effect {
	if m.WarmupLeft <= 0 {
		return out
	}
	return append(out, Effect{Kind: EffectWarmup, Service: g.name, Upstream: m.ID, Member: *m})
}

// applyRegisteredRole takes over the role in a registration only if it has changed,
// because an upstream's own answers are newer than its registration.
func (g *group) applyRegisteredRole(now model.Time, m *Member, changed bool, out []Effect) []Effect {
	if !changed {
		return out
	}
	before := g.primary
	switch {
	case m.Primary && g.primary == "":
		m.IsPrimary, m.RoleAt = true, now
		g.primary = m.ID
	case !m.Primary && g.primary == m.ID && m.StatusAt == 0:
		g.primary = ""
	}
	return g.primaryEffect(now, before, out)
}

func (s *State) removeMissing(now model.Time, present map[model.UpstreamID]bool, out []Effect) []Effect {
	for _, g := range s.sortedGroups() {
		for _, id := range g.ids() {
			m := g.members[id]
			switch {
			case present[id]:
				m.missingSince = 0
			case m.missingSince == 0:
				m.missingSince = now
			case now.Sub(m.missingSince) >= MissingGracePeriod:
				s.departed[id] = departure{incarnation: m.Incarnation, sequence: m.Sequence, at: now}
				out = s.remove(now, id, out)
			}
		}
	}
	for id, d := range s.departed {
		if now.Sub(d.at) > departedRetention {
			delete(s.departed, id)
		}
	}
	return out
}

// hasDeparted reports whether a registration is no newer than the last one of an upstream
// that was removed, as in an older copy of the store.
func (s *State) hasDeparted(r *Registration) bool {
	d, found := s.departed[r.ID]
	// An upstream without a sequence does not tell which of its entries is newer.
	return found && d.sequence > 0 && d.incarnation == r.Incarnation && r.Sequence <= d.sequence
}

// reportDeparted reports the first ignored registration of an upstream that was removed.
func (s *State) reportDeparted(r *Registration, out []Effect) []Effect {
	d := s.departed[r.ID]
	if d.reported {
		return out
	}
	d.reported = true
	s.departed[r.ID] = d
	return append(out, Effect{Kind: EffectIgnored, Service: r.Service, Upstream: r.ID, Member: Member{Registration: *r}})
}

func (s *State) remove(now model.Time, id model.UpstreamID, out []Effect) []Effect {
	m, g := s.member(id)
	delete(g.members, id)
	delete(s.services, id)
	if m.Leaving {
		g.fullMembers--
	}
	if m.RetiredAt != 0 {
		g.recordLoss(now, m.RetiredAt, id)
	} else {
		g.recordLoss(now, now, id)
	}
	g.removedAt = now
	out = append(out, Effect{Kind: EffectRemoved, Service: g.name, Upstream: id, Member: *m})
	before := g.primary
	if g.primary == id {
		g.primary = ""
	}
	return g.primaryEffect(now, before, out)
}

// recordLoss records that an upstream was removed, or has restarted without its log. It has proved no
// commits since provedUntil. What the last primary had acknowledged is on a replica as well.
func (g *group) recordLoss(now, provedUntil model.Time, id model.UpstreamID) {
	g.incompleteSince, g.memberLost = now, true
	g.shortfall = logReport{}
	if id != g.lastPrimary {
		g.replicaLostAt = max(g.replicaLostAt, provedUntil)
	}
}

func (s *State) applyEvacuations(ev *Event, out []Effect) []Effect {
	zones := make(map[model.Zone]bool, len(ev.Zones))
	for _, z := range ev.Zones {
		zones[z] = true
	}
	if len(zones) == len(s.evacuated) {
		same := true
		for z := range zones {
			same = same && s.evacuated[z]
		}
		if same {
			return out
		}
	}
	s.evacuated = zones
	return append(out, Effect{Kind: EffectEvacuated})
}

func (g *group) primaryEffect(now model.Time, before model.UpstreamID, out []Effect) []Effect {
	if g.primary == before {
		return out
	}
	if g.primary == "" {
		g.primaryLostAt = now
	} else {
		g.lastPrimary = g.primary
	}
	return append(out, Effect{Kind: EffectPrimary, Service: g.name, Upstream: g.primary, Term: g.primaryTerm})
}

// applyStatus updates the role, position and evidence from an upstream's status.
func (g *group) applyStatus(now model.Time, m *Member, ev *Event) {
	m.recordContact(now)
	if m.lostLog(ev) {
		// The registration will show the restart later.
		g.recordLoss(now, now, m.ID)
		m.Applied = model.Position{}
	}
	m.Status, m.StatusAt = ev.Status, ev.SentAt
	m.recordApplied(now, ev.Status.Applied)
	switch {
	case !ev.Status.Primary:
		g.recordNotPrimary(now, m)
		if p := ev.Status.Received; g.replicaLog.at == 0 || p.Compare(g.replicaLog.position) > 0 {
			g.replicaLog = logReport{position: p, at: now}
		}
		g.clearIncomplete(m)
		return
	case g.lostLogEntries(m):
		g.recordNotPrimary(now, m)
		return
	}
	g.recordPrimary(now, m, ev.Status.Term)
	g.recordInherited(&ev.Status)
	g.observePrimaryLog(now, m, evidence{at: ev.SentAt, position: ev.Status.Received, term: ev.Status.Term})
}

// lostLog reports whether the log that an upstream reports is shorter than it was known to
// be in its term, so that it has restarted without it.
func (m *Member) lostLog(ev *Event) bool {
	known := m.Status.Received
	if ev.SentAt > m.appliedAt {
		known = known.Max(m.Applied)
	}
	next := &ev.Status
	return next.Term <= max(m.Status.Term, known.Term.Counter) && next.Received.Compare(known) < 0
}

// clearIncomplete marks the group as complete if replica m has reached a position
// that another upstream had as the primary after the group became incomplete.
func (g *group) clearIncomplete(m *Member) {
	if m.ID == g.lastPrimary {
		return
	}
	for i := range g.evidence {
		e := &g.evidence[i]
		if g.incompleteSince != 0 && e.at > g.incompleteSince && m.RoleTerm != e.term && m.Status.Received.Compare(e.position) >= 0 {
			g.incompleteSince, g.memberLost, g.replicaLostAt, g.whole = 0, false, 0, true
			g.peakMembers = len(g.members)
		}
	}
}

// lostLogEntries reports whether an upstream that reports itself as the primary has
// a shorter log than had been observed for its term or a later one when it was asked. Its
// answer may be older than what this VM has learned since.
func (g *group) lostLogEntries(m *Member) bool {
	shorter := func(e evidence) bool {
		return e.at != 0 && e.learnedAt < m.StatusAt && m.Status.Term <= e.term && m.Status.Received.Compare(e.position) < 0
	}
	return shorter(g.observedLog) || len(g.evidence) > 0 && shorter(g.evidence[len(g.evidence)-1])
}

func (g *group) applyCommitted(now model.Time, m *Member, ev *Event) {
	m.recordServed(now, ev.Position)
	g.recordPrimary(now, m, ev.Position.Term.Counter)
	g.observePrimaryLog(now, m, evidence{at: ev.SentAt, position: ev.Position, term: ev.Position.Term.Counter})
}

// recordPrimary records m as the primary of a term, unless a primary of a newer
// term or another primary of this term is known.
func (g *group) recordPrimary(now model.Time, m *Member, term uint64) {
	if term < g.primaryTerm {
		return
	}
	if term == g.primaryTerm && g.primary != "" && g.primary != m.ID && g.members[g.primary].RoleTerm == term {
		return
	}
	if old := g.members[g.primary]; old != nil && old != m {
		old.IsPrimary = false
	}
	g.primaryTerm, g.primary = term, m.ID
	m.IsPrimary, m.RoleTerm, m.RoleAt = true, term, now
}

func (g *group) recordNotPrimary(now model.Time, m *Member) {
	m.recordContact(now)
	m.IsPrimary, m.RoleAt = false, now
	if g.primary == m.ID {
		g.primary = ""
		m.steppedDownTerm = max(m.steppedDownTerm, g.primaryTerm)
	}
}

func (m *Member) recordContact(now model.Time) {
	m.ContactAt = now
	m.FailedSince, m.RefusedSince = 0, 0
}

func (m *Member) recordServed(now model.Time, p model.Position) {
	m.recordContact(now)
	m.recordApplied(now, p)
}

func (m *Member) recordApplied(now model.Time, p model.Position) {
	if p.Compare(m.Applied) > 0 {
		m.Applied, m.appliedAt = p, now
	}
}

func (m *Member) recordFailure(now model.Time, refused bool) {
	m.FailedAt = now
	if m.FailedSince == 0 {
		m.FailedSince = now
	}
	if refused && m.RefusedSince == 0 {
		m.RefusedSince = now
	}
}

// sortedGroups returns the groups in order of their names.
func (s *State) sortedGroups() []*group {
	list := make([]*group, 0, len(s.groups))
	for _, g := range s.groups {
		list = append(list, g)
	}
	slices.SortFunc(list, func(a, b *group) int { return strings.Compare(string(a.name), string(b.name)) })
	return list
}

// ids returns the members' IDs in ascending order.
func (g *group) ids() []model.UpstreamID {
	list := make([]model.UpstreamID, 0, len(g.members))
	for id := range g.members {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}
