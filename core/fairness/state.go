// Package fairness assigns the slots of each upstream to waiting requests with
// weighted max-min fairness between workspaces (fair queueing of slot time by
// virtual deadline). It is a pure reducer.
package fairness

import (
	"sort"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// State has the queues of all upstreams that this VM holds. Use New to create one.
type State struct {
	config    Config
	upstreams map[model.UpstreamID]*upstream
	// ordered has the upstreams in the order of their IDs, so that the order
	// of effects does not depend on that of a map.
	ordered  []*upstream
	requests map[uint64]*request
	// freeList links the unused requests by next, so that they are reused.
	freeList *request
}

// New returns a State without upstreams.
func New(c Config) *State {
	if c.QueueLimit <= 0 {
		c.QueueLimit = DefaultQueueLimit
	}
	if c.ServiceTime <= 0 {
		c.ServiceTime = DefaultServiceTime
	}
	return &State{
		config:    c,
		upstreams: make(map[model.UpstreamID]*upstream),
		requests:  make(map[uint64]*request),
	}
}

// Apply processes one event and appends its effects to out.
func (s *State) Apply(now model.Time, ev *Event, out []Effect) []Effect {
	switch ev.Kind {
	case EventTick:
		return s.tick(now, out)
	case EventUpstreamSet:
		return s.setUpstream(now, ev, out)
	case EventUpstreamRemoved:
		return s.removeUpstream(ev.Upstream, out)
	case EventEnqueue:
		return s.enqueue(now, ev, out)
	case EventFinished:
		return s.finish(now, ev.ID, out)
	case EventCancel:
		s.cancel(ev.ID)
	case EventWithdraw:
		return s.withdraw(ev, out)
	case EventConfigure:
		if ev.QueueLimit > 0 {
			s.config.QueueLimit = ev.QueueLimit
		}
	}
	return out
}

// Load returns the number of running and of waiting requests of the upstream.
func (s *State) Load(id model.UpstreamID) (running, waiting int) {
	u := s.upstreams[id]
	if u == nil {
		return 0, 0
	}
	return u.running.size, u.waiting
}

// ExpectedServiceTime returns the moving average of the slot time of the
// upstream's requests.
func (s *State) ExpectedServiceTime(id model.UpstreamID) time.Duration {
	u := s.upstreams[id]
	if u == nil {
		return s.config.ServiceTime
	}
	return u.slotTime
}

// setUpstream adds an upstream or changes its slots, and assigns the free ones.
func (s *State) setUpstream(now model.Time, ev *Event, out []Effect) []Effect {
	u := s.upstreams[ev.Upstream]
	if u == nil {
		u = &upstream{
			id:       ev.Upstream,
			flows:    make(map[model.Workspace]*flow),
			slotTime: s.config.ServiceTime,
		}
		s.upstreams[u.id] = u
		s.insertSorted(u)
	}
	u.removed = false
	u.slots = ev.Slots
	return s.dispatch(now, u, out)
}

// insertSorted adds an upstream to State.ordered, which it keeps sorted.
func (s *State) insertSorted(u *upstream) {
	i := sort.Search(len(s.ordered), func(i int) bool { return s.ordered[i].id >= u.id })
	s.ordered = append(s.ordered, nil)
	copy(s.ordered[i+1:], s.ordered[i:])
	s.ordered[i] = u
}

// removeUpstream marks an upstream as removed and refuses its waiting requests.
func (s *State) removeUpstream(id model.UpstreamID, out []Effect) []Effect {
	u := s.upstreams[id]
	if u == nil {
		return out
	}
	u.removed = true
	u.slots = 0
	for _, f := range u.ordered {
		for f.waiting.size > 0 {
			out = s.refuse(f.waiting.head, UpstreamGone, out)
		}
	}
	s.deleteIfUnused(u)
	return out
}

// deleteIfUnused deletes a removed upstream once its last request has finished.
// Until then, its running requests occupy slots if the upstream is set again.
func (s *State) deleteIfUnused(u *upstream) {
	if !u.removed || u.running.size > 0 {
		return
	}
	delete(s.upstreams, u.id)
	for i, o := range s.ordered {
		if o == u {
			s.ordered = append(s.ordered[:i], s.ordered[i+1:]...)
			return
		}
	}
}

// enqueue refuses a new request, gives it a slot, or adds it to its queue.
func (s *State) enqueue(now model.Time, ev *Event, out []Effect) []Effect {
	if s.requests[ev.ID] != nil {
		return out
	}
	u := s.upstreams[ev.Upstream]
	if u == nil || u.removed {
		return append(out, Effect{Kind: EffectRefuse, ID: ev.ID, Upstream: ev.Upstream, Reason: UpstreamGone})
	}
	f := u.flowFor(ev.Workspace, ev.Weight)
	if reason := s.admissionFailure(now, f, ev.Deadline); reason != 0 {
		return append(out, Effect{Kind: EffectRefuse, ID: ev.ID, Upstream: u.id, Reason: reason})
	}
	r := s.newRequest(ev, f)
	if u.waiting == 0 && u.running.size < u.slots {
		u.start(now, r)
		return append(out, Effect{Kind: EffectRun, ID: r.id, Upstream: u.id})
	}
	u.addWaiting(now, r)
	return out
}

// admissionFailure returns why a request with the deadline cannot be admitted to
// f, or 0 if it can.
func (s *State) admissionFailure(now model.Time, f *flow, deadline model.Time) Reason {
	switch {
	case now >= deadline:
		return DeadlinePassed
	case f.waiting.size >= s.config.QueueLimit:
		return QueueFull
	case now.Add(f.upstream.expectedWait(f)) >= deadline:
		return DeadlineTooClose
	}
	return 0
}

// newRequest takes a request from the free list or allocates one.
func (s *State) newRequest(ev *Event, f *flow) *request {
	r := s.freeList
	if r == nil {
		r = new(request)
	} else {
		s.freeList = r.next
	}
	*r = request{id: ev.ID, key: ev.Key, deadline: ev.Deadline, flow: f}
	s.requests[r.id] = r
	return r
}

// recycle removes a request and puts it on the free list.
func (s *State) recycle(r *request) {
	delete(s.requests, r.id)
	*r = request{next: s.freeList}
	s.freeList = r
}

// refuse removes a waiting request with an EffectRefuse.
func (s *State) refuse(r *request, reason Reason, out []Effect) []Effect {
	u := r.flow.upstream
	out = append(out, Effect{Kind: EffectRefuse, ID: r.id, Upstream: u.id, Reason: reason})
	u.removeWaiting(r)
	s.recycle(r)
	return out
}

// finish releases the slot of a running request and assigns it again.
func (s *State) finish(now model.Time, id uint64, out []Effect) []Effect {
	r := s.requests[id]
	if r == nil || !r.running {
		return out
	}
	f := r.flow
	u := f.upstream
	f.recordSlotTime(now.Sub(r.started))
	u.releaseSlot(now, r)
	s.recycle(r)
	s.deleteIfUnused(u)
	return s.dispatch(now, u, out)
}

// cancel removes a waiting request.
func (s *State) cancel(id uint64) {
	r := s.requests[id]
	if r == nil || r.running {
		return
	}
	r.flow.upstream.removeWaiting(r)
	s.recycle(r)
}

// dispatch assigns the free slots of an upstream in the order of nextFlow, and
// refuses requests whose deadline has passed.
func (s *State) dispatch(now model.Time, u *upstream, out []Effect) []Effect {
	for u.running.size < u.slots && u.waiting > 0 {
		f := u.nextFlow(now)
		if now >= f.waiting.head.deadline {
			out = s.refuse(f.waiting.head, DeadlinePassed, out)
			continue
		}
		r := u.startHead(now, f)
		out = append(out, Effect{Kind: EffectRun, ID: r.id, Upstream: u.id})
	}
	return out
}

// withdraw refuses the waiting requests of a withdrawn key.
func (s *State) withdraw(ev *Event, out []Effect) []Effect {
	for _, u := range s.ordered {
		f := u.flows[ev.Workspace]
		if f == nil {
			continue
		}
		for r := f.waiting.head; r != nil; {
			next := r.next
			if r.key == ev.Key {
				out = s.refuse(r, KeyWithdrawn, out)
			}
			r = next
		}
	}
	return out
}

// tick charges running requests, refuses those past their deadline, and prunes
// idle flows.
func (s *State) tick(now model.Time, out []Effect) []Effect {
	for _, u := range s.ordered {
		u.chargeRunning(now)
		if u.waiting > 0 && now >= u.minDeadline {
			out = s.expire(now, u, out)
		}
		if len(u.ordered) > pruneThreshold && u.waiting == 0 {
			u.pruneIdleFlows()
		}
	}
	return out
}

// expire refuses the waiting requests of an upstream whose deadline has passed,
// and recomputes minDeadline.
func (s *State) expire(now model.Time, u *upstream, out []Effect) []Effect {
	u.minDeadline = noDeadline
	for _, f := range u.ordered {
		out = s.expireFlow(now, f, out)
	}
	return out
}

// expireFlow refuses the waiting requests of a flow whose deadline has passed.
func (s *State) expireFlow(now model.Time, f *flow, out []Effect) []Effect {
	for r := f.waiting.head; r != nil; {
		next := r.next
		if now >= r.deadline {
			out = s.refuse(r, DeadlinePassed, out)
		} else {
			f.upstream.minDeadline = min(f.upstream.minDeadline, r.deadline)
		}
		r = next
	}
	return out
}
