package failover

import (
	"slices"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/dbgroup"
)

// group is the state of a watcher for one database group.
type group struct {
	database model.Database
	members  []member
	// former are the lists of upstreams that members have replaced and that still count.
	former     formerLists
	peers      []peer
	detect     time.Duration
	backoffMin time.Duration
	backoffMax time.Duration

	// primary is the primary of term, which is the highest term that is known
	// to have a primary.
	primary model.UpstreamID
	term    model.Term
	// highestTerm is the highest term observed, with or without a primary.
	highestTerm model.Term

	health         health
	stall          stall
	lag            lagSample
	proposal       proposal
	switchover     switchover
	autoSwitchover autoSwitchover

	// monitoredSince is when this VM started to monitor the group, last resumed
	// after a pause or learned of the primary, whichever is latest. The time for
	// which the primary is unresponsive is counted from here at the earliest.
	monitoredSince model.Time
	lastTick       model.Time
	nextPoll       model.Time
	// allPolledAt is when all members, not only the primary, were last polled.
	allPolledAt model.Time
	nextReport  model.Time

	// proposeAt is when to propose a term because the primary is lost; 0 while
	// it is not considered lost.
	proposeAt model.Time
	// notBefore is the earliest time of the next proposal after a failed one, or
	// after the term of another proposer.
	notBefore model.Time
	backoff   time.Duration
}

// member is the configuration of one upstream and its last known status.
type member struct {
	Upstream
	// known is true once a status has been received.
	known  bool
	status dbgroup.Status
	// sentAt is the send time of the latest status poll that was answered.
	sentAt model.Time
	// followAt is when the last Follow request was sent.
	followAt model.Time
}

// peer is another watcher and its last health report.
type peer struct {
	id            model.VMID
	reported      bool
	reportedAt    model.Time
	term          model.Term
	neverAnswered bool
	lastAnswer    model.Time
}

func (g *group) configure(t *transition, ev *Event) {
	if !sameMembers(g.members, ev.Upstreams) {
		g.abort(t, ReasonNotPromoted)
	}
	g.detect = orDefault(ev.Detect, DefaultDetect)
	g.backoffMin = orDefault(ev.BackoffMin, DefaultBackoffMin)
	g.backoffMax = orDefault(ev.BackoffMax, DefaultBackoffMax)
	old := g.members
	g.former.add(t.now, old, ev.Upstreams)
	g.members = make([]member, len(ev.Upstreams))
	for i, u := range ev.Upstreams {
		if j := memberIndex(old, u.ID); j >= 0 {
			g.members[i] = old[j]
		}
		g.members[i].Upstream = u
	}
	g.configurePeers(ev.Peers)
}

func (g *group) configurePeers(ids []model.VMID) {
	old := g.peers
	g.peers = make([]peer, len(ids))
	for i, id := range ids {
		g.peers[i].id = id
		if j := slices.IndexFunc(old, func(p peer) bool { return p.id == id }); j >= 0 {
			g.peers[i] = old[j]
		}
	}
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d <= 0 {
		return fallback
	}
	return d
}

func sameMembers(members []member, upstreams []Upstream) bool {
	return slices.EqualFunc(members, upstreams, func(m member, u Upstream) bool { return m.ID == u.ID })
}

func memberIndex(members []member, u model.UpstreamID) int {
	return slices.IndexFunc(members, func(m member) bool { return m.ID == u })
}

func (g *group) majority() int { return len(g.members)/2 + 1 }

// apply processes an event of this group.
func (g *group) apply(t *transition, ev *Event) {
	i := memberIndex(g.members, ev.Upstream)
	switch ev.Kind {
	case PeerHealth:
		g.recordPeerHealth(t, ev)
	case SwitchoverRequested:
		g.requestSwitchover(t, ev.Target)
	case WritesDrained:
		g.writesDrained(t)
	}
	if i >= 0 {
		g.applyAnswer(t, ev, i)
	}
	g.advance(t)
}

// applyAnswer processes the result of a request to member i.
func (g *group) applyAnswer(t *transition, ev *Event, i int) {
	switch ev.Kind {
	case StatusAnswered:
		if g.observe(t, i, &ev.Status, ev.SentAt) {
			g.repair(t, i)
		}
	case FenceAnswered:
		g.observe(t, i, &ev.Status, g.members[i].sentAt)
		g.fenceAnswered(t, ev, i)
	case FenceFailed:
		g.fenceFailed(ev, i)
	case PromoteAnswered, FollowAnswered:
		g.observe(t, i, &ev.Status, g.members[i].sentAt)
	}
}

// observe stores a status of member i unless a newer one is known, and returns
// whether it did so. Promised never decreases, so a status with a lower one is
// stale. Of two polls, the one that was sent later is newer.
func (g *group) observe(t *transition, i int, st *dbgroup.Status, sentAt model.Time) bool {
	m := &g.members[i]
	if m.known && (sentAt < m.sentAt || st.Promised.Less(m.status.Promised)) {
		return false
	}
	m.known = true
	m.sentAt = sentAt
	m.status = *st
	g.observeTerm(t, st.Promised)
	g.observeTerm(t, st.LastTerm)
	g.proposal.observe(i, st)
	if st.Role == dbgroup.Primary && st.LastTerm == st.Promised {
		g.primaryAnswered(t, i, sentAt)
	}
	return true
}

// observeTerm records a term. If it is higher than all known terms and belongs
// to another proposer, this VM delays its own proposals so that the other one
// can complete.
func (g *group) observeTerm(t *transition, term model.Term) {
	if term.Compare(g.highestTerm) <= 0 {
		return
	}
	g.highestTerm = term
	if g.proposal.phase != idle && g.proposal.term.Less(term) {
		g.proposal.superseded = true
	}
	if term.Proposer != t.state.proposer {
		g.notBefore = max(g.notBefore, t.now.Add(g.detect/2+t.jitter(g.detect/2)))
	}
}

// primaryAnswered processes the status of a member that is the primary of its
// promised term.
func (g *group) primaryAnswered(t *transition, i int, sentAt model.Time) {
	m := &g.members[i]
	term := m.status.LastTerm
	if g.term.Less(term) {
		g.setPrimary(t, m.ID, term)
	}
	if term == g.term && !g.deposed() {
		g.health.answered = true
		g.health.lastAnswer = max(g.health.lastAnswer, sentAt)
	}
	if term == g.term {
		g.stall.observePrimary(m.status.Received, t.now)
		g.lag.observePrimary(m.status.Received, t.now)
	}
}

// deposed reports whether a majority has accepted a fence with a higher term
// than that of the known primary, which can then no longer commit writes.
func (g *group) deposed() bool {
	return g.countPromisedAbove() >= g.majority()
}

func (g *group) countPromisedAbove() int {
	n := 0
	for i := range g.members {
		if g.members[i].known && g.term.Less(g.members[i].status.Promised) {
			n++
		}
	}
	return n
}

// setPrimary records the primary of a higher term.
func (g *group) setPrimary(t *transition, u model.UpstreamID, term model.Term) {
	g.health.primaryChanged(t.now, g)
	g.primary = u
	g.term = term
	g.monitoredSince = t.now
	g.stall = stall{}
	g.lag = lagSample{}
	g.proposeAt = 0
	g.backoff = 0
	if g.highestTerm.Less(term) {
		g.highestTerm = term
	}
	t.emit(Effect{Kind: PrimaryChanged, Database: g.database, Primary: u, Term: term})
	g.publishHealth(t)
	if term.Proposer == t.state.proposer {
		g.followAll(t)
	}
}

// followAll makes all other members follow a primary that this VM has promoted.
// Only the proposer does so; the other watchers repair the members that it
// misses.
func (g *group) followAll(t *transition) {
	for i := range g.members {
		if g.members[i].ID != g.primary {
			g.follow(t, i)
		}
	}
}

func (g *group) follow(t *transition, i int) {
	m := &g.members[i]
	m.followAt = t.now
	t.emit(Effect{Kind: SendFollow, Database: g.database, Upstream: m.ID, Primary: g.primary, Term: g.term})
}

// followInterval is the minimum time between two repairs of one upstream by
// Follow requests.
const followInterval = 200 * time.Millisecond

// repair makes a member follow the primary if its status shows that it does not.
// Either the member has missed the Follow request, or it is a former primary
// that has come back.
func (g *group) repair(t *transition, i int) {
	m := &g.members[i]
	if g.primary == "" || m.ID == g.primary || g.proposal.phase != idle {
		return
	}
	c := m.status.Promised.Compare(g.term)
	follows := c == 0 && m.status.Role == dbgroup.Replica
	if c > 0 || follows || t.now.Sub(m.followAt) < followInterval {
		return
	}
	g.follow(t, i)
}
