// Package fairness assigns the slots of each upstream to waiting requests by
// weighted max-min fairness over workspaces (fair queueing of slot time by
// virtual deadlines). It is pure: Apply is its only way to change.
package fairness

import (
	"sort"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// State has the queues of all upstreams that this VM holds.
type State struct {
	config    Config
	upstreams map[model.UpstreamID]*upstream
	// order has the upstreams by id, so that effects do not depend on map order.
	order    []*upstream
	requests map[uint64]*request
	free     *request
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

// Load returns how many requests run on and wait for the upstream.
func (s *State) Load(id model.UpstreamID) (running, waiting int) {
	u := s.upstreams[id]
	if u == nil {
		return 0, 0
	}
	return u.running.size, u.waiting
}

// ExpectedServiceTime returns the smoothed slot time of the upstream's requests.
func (s *State) ExpectedServiceTime(id model.UpstreamID) time.Duration {
	u := s.upstreams[id]
	if u == nil {
		return s.config.ServiceTime
	}
	return u.service
}

func (s *State) setUpstream(now model.Time, ev *Event, out []Effect) []Effect {
	u := s.upstreams[ev.Upstream]
	if u == nil {
		u = &upstream{
			id:      ev.Upstream,
			flows:   make(map[model.Workspace]*flow),
			service: s.config.ServiceTime,
		}
		s.upstreams[u.id] = u
		s.insert(u)
	}
	u.removed = false
	u.slots = ev.Slots
	return s.dispatch(now, u, out)
}

func (s *State) insert(u *upstream) {
	i := sort.Search(len(s.order), func(i int) bool { return s.order[i].id >= u.id })
	s.order = append(s.order, nil)
	copy(s.order[i+1:], s.order[i:])
	s.order[i] = u
}

func (s *State) removeUpstream(id model.UpstreamID, out []Effect) []Effect {
	u := s.upstreams[id]
	if u == nil {
		return out
	}
	u.removed = true
	u.slots = 0
	for _, f := range u.order {
		for f.waiting.size > 0 {
			out = s.refuse(f.waiting.head, UpstreamGone, out)
		}
	}
	s.dropIfUnused(u)
	return out
}

// dropIfUnused forgets a removed upstream once its last request has finished.
// Until then, its running requests count against its slots if it is set again.
func (s *State) dropIfUnused(u *upstream) {
	if !u.removed || u.running.size > 0 {
		return
	}
	delete(s.upstreams, u.id)
	for i, o := range s.order {
		if o == u {
			s.order = append(s.order[:i], s.order[i+1:]...)
			return
		}
	}
}

func (s *State) enqueue(now model.Time, ev *Event, out []Effect) []Effect {
	if s.requests[ev.ID] != nil {
		return out
	}
	u := s.upstreams[ev.Upstream]
	if u == nil || u.removed {
		return append(out, Effect{Kind: EffectRefuse, ID: ev.ID, Upstream: ev.Upstream, Reason: UpstreamGone})
	}
	f := u.flowOf(ev.Workspace, ev.Weight)
	if reason := s.admissible(now, f, ev.Deadline); reason != 0 {
		return append(out, Effect{Kind: EffectRefuse, ID: ev.ID, Upstream: u.id, Reason: reason})
	}
	r := s.newRequest(ev, f)
	if u.waiting == 0 && u.running.size < u.slots {
		u.start(now, r)
		return append(out, Effect{Kind: EffectRun, ID: r.id, Upstream: u.id})
	}
	u.enter(now, r)
	return out
}

// admissible returns why a request with the deadline must not join f, or 0.
func (s *State) admissible(now model.Time, f *flow, deadline model.Time) Reason {
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

func (s *State) newRequest(ev *Event, f *flow) *request {
	r := s.free
	if r == nil {
		r = new(request)
	} else {
		s.free = r.next
	}
	*r = request{id: ev.ID, key: ev.Key, deadline: ev.Deadline, flow: f}
	s.requests[r.id] = r
	return r
}

func (s *State) forget(r *request) {
	delete(s.requests, r.id)
	*r = request{next: s.free}
	s.free = r
}

// refuse takes a waiting request out of its queue.
func (s *State) refuse(r *request, reason Reason, out []Effect) []Effect {
	u := r.flow.upstream
	out = append(out, Effect{Kind: EffectRefuse, ID: r.id, Upstream: u.id, Reason: reason})
	u.leave(r)
	s.forget(r)
	return out
}

func (s *State) finish(now model.Time, id uint64, out []Effect) []Effect {
	r := s.requests[id]
	if r == nil || !r.running {
		return out
	}
	f := r.flow
	u := f.upstream
	f.measure(now.Sub(r.started))
	u.stop(now, r)
	s.forget(r)
	s.dropIfUnused(u)
	return s.dispatch(now, u, out)
}

func (s *State) cancel(id uint64) {
	r := s.requests[id]
	if r == nil || r.running {
		return
	}
	r.flow.upstream.leave(r)
	s.forget(r)
}

// dispatch assigns the free slots, smallest tag first.
func (s *State) dispatch(now model.Time, u *upstream, out []Effect) []Effect {
	for u.running.size < u.slots && u.waiting > 0 {
		f := u.next(now)
		if now >= f.waiting.head.deadline {
			out = s.refuse(f.waiting.head, DeadlinePassed, out)
			continue
		}
		r := u.startHead(now, f)
		out = append(out, Effect{Kind: EffectRun, ID: r.id, Upstream: u.id})
	}
	return out
}

func (s *State) withdraw(ev *Event, out []Effect) []Effect {
	for _, u := range s.order {
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

func (s *State) tick(now model.Time, out []Effect) []Effect {
	for _, u := range s.order {
		u.chargeAll(now)
		if u.waiting > 0 && now >= u.minDeadline {
			out = s.expire(now, u, out)
		}
		if len(u.order) > maxIdleFlows && u.waiting == 0 {
			u.prune()
		}
	}
	return out
}

// expire refuses the waiting requests whose deadline has passed.
func (s *State) expire(now model.Time, u *upstream, out []Effect) []Effect {
	u.minDeadline = noDeadline
	for _, f := range u.order {
		out = s.expireFlow(now, f, out)
	}
	return out
}

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
