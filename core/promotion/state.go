package promotion

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
)

// tokensPerTerm is how many tokens one holder may use; the next holder's are above.
const tokensPerTerm = 1024

// State is the state of the duty on the VM that holds it.
type State struct {
	holding   bool
	since     model.Time
	nextToken uint64
	lastToken uint64
	services  map[catalog.Service]*service
}

// service is what the holder knows of a service between ticks.
type service struct {
	name catalog.Service
	move *move
	// pausedUntil is when the next move may start after one that failed.
	pausedUntil model.Time
	// noPrimarySince is when no primary was known first, 0 if one is.
	noPrimarySince model.Time
	// stalledSince is when the replicas stopped receiving at stalledAt.
	stalledSince model.Time
	stalledAt    model.Position
	// strayFenceSince is when a fence without a move was seen first.
	strayFenceSince model.Time
	orders          map[model.UpstreamID]model.Time
}

// New returns the state of a VM without the duty.
func New() *State { return &State{services: map[catalog.Service]*service{}} }

// Acquire starts the duty. revision is unique to this acquisition and above
// those of all earlier holders.
func (s *State) Acquire(now model.Time, revision uint64) {
	s.holding, s.since = true, now
	s.nextToken = revision * tokensPerTerm
	s.lastToken = s.nextToken + tokensPerTerm - 1
	s.services = map[catalog.Service]*service{}
}

// Lose ends the duty: nothing more is ordered.
func (s *State) Lose() {
	s.holding = false
	s.services = map[catalog.Service]*service{}
}

// Holding reports whether this VM has the duty.
func (s *State) Holding() bool { return s.holding }

// Spent reports whether all tokens of this acquisition are used.
func (s *State) Spent() bool { return s.nextToken >= s.lastToken }

// Moving reports whether a move is in progress.
func (s *State) Moving() bool {
	for _, svc := range s.services {
		if svc.move != nil {
			return true
		}
	}
	return false
}

func (s *State) token() uint64 {
	s.nextToken++
	return s.nextToken
}

// Promoted reports the outcome of a promotion call.
func (s *State) Promoted(now model.Time, name catalog.Service, token uint64, o Outcome) {
	svc := s.services[name]
	if svc == nil {
		return
	}
	if m := svc.move; m != nil && m.token == token {
		m.called(now, o)
	}
}

// Tick decides what to do now and appends it to out.
func (s *State) Tick(now model.Time, in *Input, out []Effect) []Effect {
	if !s.holding {
		return out
	}
	for i := range in.Views {
		v := &in.Views[i]
		svc := s.services[v.Service]
		if svc == nil {
			svc = &service{name: v.Service, orders: map[model.UpstreamID]model.Time{}}
			s.services[v.Service] = svc
		}
		out = s.tickService(now, svc, v, in, out)
	}
	return out
}

func (s *State) tickService(now model.Time, svc *service, v *replicaset.View, in *Input, out []Effect) []Effect {
	svc.observe(now, v)
	if svc.move != nil {
		return s.advance(now, svc, v, in, out)
	}
	if now < svc.pausedUntil {
		return out
	}
	cause, planned := s.reason(now, svc, v, in)
	if cause == "" {
		return s.releaseStrayFences(now, svc, v, out)
	}
	m := &move{planned: planned, cause: cause, startedAt: now, phase: phaseFence, old: v.Primary, fenceTerm: newestTerm(v) + 1}
	for i := range v.Members {
		m.members = append(m.members, v.Members[i].ID)
	}
	if planned && !m.chooseTarget(now, v, in) {
		return out
	}
	svc.move = m
	svc.orders = map[model.UpstreamID]model.Time{}
	out = append(out, Effect{Kind: EffectMoveStarted, Service: svc.name, Upstream: v.Primary, Cause: cause, Term: m.fenceTerm})
	return s.advance(now, svc, v, in, out)
}

// observe keeps what needs time: the lack of a primary and stalled replicas.
func (svc *service) observe(now model.Time, v *replicaset.View) {
	if v.Primary != "" {
		svc.noPrimarySince = 0
	} else if svc.noPrimarySince == 0 {
		svc.noPrimarySince = now
	}
	furthest, behind := furthestReplica(v)
	if !behind || furthest != svc.stalledAt {
		svc.stalledAt, svc.stalledSince = furthest, now
	}
}

// furthestReplica returns the furthest position that a replica has received;
// behind is true when the primary has written more.
func furthestReplica(v *replicaset.View) (furthest model.Position, behind bool) {
	primary := model.Position{}
	for i := range v.Members {
		m := &v.Members[i]
		if m.ID == v.Primary {
			primary = m.Status.Received
			continue
		}
		furthest = furthest.Max(m.Status.Received)
	}
	return furthest, furthest.Compare(primary) < 0
}

// newestTerm returns the newest term that any upstream knows.
func newestTerm(v *replicaset.View) uint64 {
	newest := v.PrimaryTerm
	for i := range v.Members {
		newest = max(newest, v.Members[i].Status.Term, v.Members[i].Status.FencedTerm)
	}
	return newest
}

func find(v *replicaset.View, id model.UpstreamID) *replicaset.Member {
	for i := range v.Members {
		if v.Members[i].ID == id {
			return &v.Members[i]
		}
	}
	return nil
}

// reason returns why the primary has to move, or "".
func (s *State) reason(now model.Time, svc *service, v *replicaset.View, in *Input) (cause string, planned bool) {
	if now.Sub(s.since) < lookAfter {
		// A new holder first has to see for itself.
		return "", false
	}
	if v.Primary == "" {
		if svc.noPrimarySince != 0 && now.Sub(svc.noPrimarySince) > noPrimaryAfter {
			return "no primary", false
		}
		return "", false
	}
	m := find(v, v.Primary)
	if lost(now, m, in) {
		return "primary lost", false
	}
	if m.Leaving {
		return "primary leaves", true
	}
	if in.Evacuated(m.Zone) {
		return "zone evacuated", true
	}
	if !v.Incomplete && svc.stalled(now, v, in) {
		return causeStalled, false
	}
	return "", false
}

// lost reports whether neither this VM nor a peer reaches the upstream.
func lost(now model.Time, m *replicaset.Member, in *Input) bool {
	if m.FailedSince == 0 {
		return false
	}
	last := max(m.ContactAt, in.PeerContact(m.ID))
	if m.RefusedSince != 0 && now.Sub(m.RefusedSince) > refusedAfter && last < m.RefusedSince {
		return true
	}
	limit := lostAfter
	if in.FewVMs {
		limit = lostToFewAfter
	}
	return now.Sub(m.FailedSince) > limit/2 && now.Sub(last) > limit
}

// stalled reports whether the primary's commits reach no replica although all
// replicas can be reached, so that a change would help.
func (svc *service) stalled(now model.Time, v *replicaset.View, in *Input) bool {
	if in.SyncReplicas(svc.name) == 0 || svc.stalledSince == 0 || now.Sub(svc.stalledSince) < stalledAfter {
		return false
	}
	replicas := 0
	for i := range v.Members {
		m := &v.Members[i]
		if m.ID == v.Primary {
			continue
		}
		if !reachable(now, m) || m.Status.FencedTerm != 0 || m.StatusAt <= svc.stalledSince {
			return false
		}
		replicas++
	}
	return replicas > 0
}

func reachable(now model.Time, m *replicaset.Member) bool {
	return m.FailedSince == 0 && m.ContactAt != 0 && now.Sub(m.ContactAt) < recentContact
}

// releaseStrayFences ends fences that a move left behind. When an earlier
// holder's call may still be carried out, the present primary is promoted
// anew first: that changes nothing but the token which later calls must exceed.
func (s *State) releaseStrayFences(now model.Time, svc *service, v *replicaset.View, out []Effect) []Effect {
	primary := find(v, v.Primary)
	fenced := false
	for i := range v.Members {
		fenced = fenced || v.Members[i].Status.FencedTerm != 0
	}
	if !fenced || primary == nil || !reachable(now, primary) {
		svc.strayFenceSince = 0
		return out
	}
	if svc.strayFenceSince == 0 {
		svc.strayFenceSince = now
		return append(out, Effect{Kind: EffectPromote, Service: svc.name, Upstream: v.Primary, Token: s.token()})
	}
	if now.Sub(svc.strayFenceSince) < strayFenceAfter {
		return out
	}
	for i := range v.Members {
		if m := &v.Members[i]; m.Status.FencedTerm != 0 {
			out = svc.order(now, m.ID, OrderResume, m.Status.FencedTerm, orderRetry, out)
		}
	}
	return out
}

// order sends an order unless one was sent to the upstream within pause.
func (svc *service) order(now model.Time, id model.UpstreamID, k OrderKind, term uint64, pause time.Duration, out []Effect) []Effect {
	if last, sent := svc.orders[id]; sent && now.Sub(last) < pause {
		return out
	}
	svc.orders[id] = now
	return append(out, Effect{Kind: EffectOrder, Service: svc.name, Upstream: id, Order: k, Term: term})
}
