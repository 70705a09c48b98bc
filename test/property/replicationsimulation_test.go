package property

import (
	"slices"
	"strconv"
	"time"

	"pgregory.net/rapid"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replication"
	"github.com/chervilhatch/chervilhatch/dbgroup"
)

// requestTimeout is the time from the submission of a request to its deadline.
const requestTimeout = 150 * time.Millisecond

// ack is an acknowledged write.
type ack struct {
	write uint64
	at    model.Time
}

// request is a pending check or waiting write of a session at a holder.
type request struct {
	holder  int
	session int
	ev      replication.Event
	arrival model.Time
	// writes has the session's acknowledged writes at the arrival.
	writes []uint64
	// entry is the log entry of a waiting write.
	entry entry
}

// session is the session of one caller. floor is the highest position that the
// session has read or written, and writes has its acknowledged writes.
type session struct {
	floor    model.Position
	hasFloor bool
	writes   []uint64
}

// statusMessage is a status request of a holder, or the answer to one.
type statusMessage struct {
	holder int
	answer bool
	ev     replication.Event
}

// fenceModel is the proposal of a term: the upstreams that have accepted its
// fence, and the one of them with the highest position as the candidate.
type fenceModel struct {
	term      model.Term
	accepted  []int
	candidate int
}

// replicationSimulation simulates two holders, their callers, the database
// group, and a proposer that changes the primary at random.
type replicationSimulation struct {
	rng
	t        *rapid.T
	now      model.Time
	group    *groupModel
	holders  []*replication.State
	inFlight []statusMessage
	pending  map[uint64]*request
	nextID   uint64
	sessions [3]session
	acks     []ack
	fence    *fenceModel
	// isolated is the index of the upstream that the proposer cannot reach, 3 for
	// none. If it is the old primary, it does not learn that it was replaced.
	isolated     int
	admitted     int
	acknowledged int
}

func newReplicationSimulation(t *rapid.T) *replicationSimulation {
	w := &replicationSimulation{t: t, now: model.Time(time.Hour), group: newGroupModel(t), pending: make(map[uint64]*request)}
	for range 2 {
		w.holders = append(w.holders, replication.New())
	}
	ev := replication.Event{Kind: replication.GroupConfigured, ConfirmationTimeout: 30 * time.Millisecond}
	for _, u := range w.group.upstreams {
		ev.Upstreams = append(ev.Upstreams, replication.Upstream{ID: u.id})
	}
	for h := range w.holders {
		w.apply(h, ev)
	}
	return w
}

func (w *replicationSimulation) apply(h int, ev replication.Event) {
	ev.Database = "db"
	for _, e := range w.holders[h].Apply(w.now, &ev, nil) {
		switch e.Kind {
		case replication.PollRound:
			for _, u := range w.group.upstreams {
				query := replication.Event{Upstream: u.id, Round: e.Round}
				w.inFlight = append(w.inFlight, statusMessage{holder: h, ev: query})
			}
		case replication.PrimaryChanged, replication.RoundConfirmed:
		default:
			w.complete(h, &e)
		}
	}
}

// complete removes a pending request and checks its final effect.
func (w *replicationSimulation) complete(h int, e *replication.Effect) {
	r := w.pending[e.ID]
	if r == nil || r.holder != h {
		w.t.Fatalf("effect kind %d for request %d, which is not pending at holder %d", e.Kind, e.ID, h)
	}
	delete(w.pending, e.ID)
	switch e.Kind {
	case replication.ReadAdmitted:
		w.checkRead(r, e)
	case replication.WriteAdmitted:
		w.runWrite(r)
	case replication.WriteAcknowledged:
		w.checkAcknowledged(r)
	}
}

// checkRead runs an admitted read and checks what it sees: nothing below its
// floor, every write acknowledged before its freshness bound, and, if it has a
// floor, the writes of its own session.
func (w *replicationSimulation) checkRead(r *request, e *replication.Effect) {
	u := w.group.upstreams[w.group.index(r.ev.Upstream)]
	if !u.up {
		return
	}
	w.admitted++
	st := u.status()
	seen := model.Position{Term: st.AppliedTerm, Pos: st.Applied}
	if seen.Compare(e.Floor) < 0 || (r.ev.HasFloor && seen.Compare(r.ev.Floor) < 0) {
		w.t.Fatalf("read on %s sees %v, below its floor %v", u.id, seen, e.Floor)
	}
	cutoff := w.now.Add(-r.ev.MaxAge)
	if r.ev.MaxAge == 0 || !r.ev.HasFloor {
		cutoff = r.arrival
	}
	for _, a := range w.acks {
		if a.at < cutoff && !contains(u.log[:u.applied], a.write) {
			w.t.Fatalf("read on %s misses write %d, acknowledged %v before the freshness bound", u.id, a.write, cutoff.Sub(a.at))
		}
	}
	s := &w.sessions[r.session]
	for _, write := range r.writes {
		if r.ev.HasFloor && !contains(u.log[:u.applied], write) {
			w.t.Fatalf("read on %s misses write %d of its own session", u.id, write)
		}
	}
	s.floor = s.floor.Max(seen)
	s.hasFloor = true
}

func contains(log []entry, write uint64) bool {
	return slices.ContainsFunc(log, func(e entry) bool { return e.write == write })
}

// runWrite runs an admitted write and submits the wait for its majority.
func (w *replicationSimulation) runWrite(r *request) {
	i := w.group.index(r.ev.Upstream)
	p, done := w.group.commit(i)
	if !done {
		return
	}
	u := w.group.upstreams[i]
	ev := replication.Event{Kind: replication.WriteWaiting, Position: p, Deadline: w.now.Add(requestTimeout)}
	w.submit(&request{holder: r.holder, session: r.session, ev: ev, entry: u.log[len(u.log)-1]})
}

// checkAcknowledged checks that a majority has replicated an acknowledged write.
func (w *replicationSimulation) checkAcknowledged(r *request) {
	p := int(r.ev.Position.Pos)
	if len(w.group.committed) < p || w.group.committed[p-1] != r.entry {
		w.t.Fatalf("write %d at %v was acknowledged without a majority", r.entry.write, r.ev.Position)
	}
	w.acknowledged++
	w.acks = append(w.acks, ack{write: r.entry.write, at: w.now})
	s := &w.sessions[r.session]
	s.writes = append(s.writes, r.entry.write)
	s.floor = s.floor.Max(r.ev.Position)
	s.hasFloor = true
}

func (w *replicationSimulation) submit(r *request) {
	w.nextID++
	r.ev.ID = w.nextID
	r.arrival = w.now
	r.writes = w.sessions[r.session].writes
	w.pending[w.nextID] = r
	w.apply(r.holder, r.ev)
}

// startRequest submits a read or a write of a random session.
func (w *replicationSimulation) startRequest() {
	n := w.intN(len(w.sessions))
	r := &request{holder: w.intN(len(w.holders)), session: n}
	r.ev = replication.Event{Kind: replication.WriteCheck, Upstream: w.group.upstreams[w.intN(3)].id, Deadline: w.now.Add(requestTimeout)}
	if i := w.highestPrimary(); i >= 0 && w.chance(80) {
		r.ev.Upstream = w.group.upstreams[i].id
	}
	if w.chance(60) {
		r.ev.Upstream = w.group.upstreams[w.intN(3)].id
		ages := []time.Duration{0, 5, 20, 100}
		r.ev.Kind = replication.ReadCheck
		r.ev.MaxAge = ages[w.intN(len(ages))] * time.Millisecond
		r.ev.Floor = w.sessions[n].floor
		r.ev.HasFloor = w.sessions[n].hasFloor && w.chance(80)
	}
	w.submit(r)
}

// deliverRandom delivers a random message. Some messages are lost, and some stay
// in flight to be delivered again.
func (w *replicationSimulation) deliverRandom() {
	if len(w.inFlight) == 0 {
		return
	}
	k := w.intN(len(w.inFlight))
	p := w.inFlight[k]
	if !w.chance(5) {
		w.inFlight[k] = w.inFlight[len(w.inFlight)-1]
		w.inFlight = w.inFlight[:len(w.inFlight)-1]
	}
	if w.chance(4) {
		return
	}
	w.deliverMessage(&p)
}

// deliverMessage delivers a status request to its upstream, whose answer it puts
// in flight, or an answer to its holder.
func (w *replicationSimulation) deliverMessage(p *statusMessage) {
	if p.answer {
		w.apply(p.holder, p.ev)
		return
	}
	u := w.group.upstreams[w.group.index(p.ev.Upstream)]
	p.answer = true
	p.ev.Kind = replication.StatusFailed
	if u.up {
		p.ev.Kind = replication.StatusAnswered
		p.ev.Status = u.status()
	}
	w.inFlight = append(w.inFlight, *p)
}

// changePrimary executes one step of a correct change of the primary: it begins a
// proposal, fences an upstream, promotes the candidate once a majority is fenced,
// or gives the proposal up.
func (w *replicationSimulation) changePrimary() {
	if w.fence == nil {
		w.beginFence()
		return
	}
	f := w.fence
	i := w.intN(3)
	u := w.group.upstreams[i]
	switch {
	case i == w.isolated:
	case u.up && !slices.Contains(f.accepted, i) && u.promised.Less(f.term):
		u.fence(f.term)
		f.accepted = append(f.accepted, i)
		if f.candidate < 0 || w.group.upstreams[f.candidate].position().Compare(u.position()) < 0 {
			f.candidate = i
		}
	case len(f.accepted) >= 2 && w.group.upstreams[f.candidate].up:
		w.group.promote(f.candidate, f.term)
		w.fence = nil
	case w.chance(10):
		w.fence = nil
	}
}

func (w *replicationSimulation) beginFence() {
	w.isolated = w.intN(4)
	var highest model.Term
	for _, u := range w.group.upstreams {
		if highest.Less(u.promised) {
			highest = u.promised
		}
	}
	w.fence = &fenceModel{term: highest.Next("p" + strconv.Itoa(w.intN(3))), candidate: -1}
}

// highestPrimary returns the primary of the highest term, or -1.
func (w *replicationSimulation) highestPrimary() int {
	best := -1
	for i, u := range w.group.upstreams {
		if u.role == dbgroup.Primary && (best < 0 || w.group.upstreams[best].promised.Less(u.promised)) {
			best = i
		}
	}
	return best
}

// followPrimary makes a random upstream follow the primary of the highest term.
func (w *replicationSimulation) followPrimary() {
	i := w.intN(3)
	if best := w.highestPrimary(); best >= 0 && i != w.isolated {
		w.group.follow(i, w.group.upstreams[best].promised, w.group.upstreams[best].id)
	}
}

// step executes one random step. changes is the percentage of the steps that
// belong to a change of the primary.
func (w *replicationSimulation) step(changes int) {
	w.now += model.Time(w.intN(1000)) * model.Time(time.Microsecond)
	switch n := w.intN(100); {
	case n < changes:
		w.changePrimary()
	case n < 15:
		w.followPrimary()
	case n < 17:
		w.group.injectFault(&w.rng)
	case n < 35:
		w.group.replicateSome(&w.rng)
	case n < 50:
		w.startRequest()
	case n < 60:
		w.apply(w.intN(len(w.holders)), replication.Event{Kind: replication.Tick})
	case n < 61:
		w.now = w.now.Add(30 * time.Millisecond)
	default:
		for range 1 + w.intN(4) {
			w.deliverRandom()
		}
	}
}
