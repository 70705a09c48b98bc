package fairness

import (
	"math"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

const (
	// tagScale keeps the division of slot time by weights precise.
	tagScale = 64
	// maxTag keeps the sum of weighted tags within int64.
	maxTag = 1 << 40
	// maxIdleFlows is how many flows an upstream has before the idle ones are
	// forgotten, so that removed workspaces do not add up.
	maxIdleFlows = 256
	// minService keeps a request of no measured length from being free of charge.
	minService = time.Microsecond
	// noDeadline is later than every deadline.
	noDeadline = model.Time(math.MaxInt64)
)

// upstream has the slots and queues of one upstream.
//
// Virtual time exists only while requests wait: a period starts when the first
// request has to wait, with all tags at 0, and ends when none waits. Slot time
// used while nobody waited harms nobody, so it is not charged.
//
// A flow is active in a period while it has waiting or running requests. The
// virtual time is the average tag of the active flows, by weight. A slot goes
// to the flow with the earliest deadline of those that are not ahead of the
// virtual time (earliest eligible virtual deadline first): the order by
// deadline favors large weights in a tie, and the condition keeps a flow from
// running ahead of its share.
type upstream struct {
	id      model.UpstreamID
	slots   int
	removed bool
	flows   map[model.Workspace]*flow
	// order has the flows as they were added, so that effects do not depend
	// on map order.
	order   []*flow
	running list
	waiting int
	// weights is the sum of the weights of the flows with waiting requests.
	weights int64
	period  uint64
	// periodStart is when the period started.
	periodStart model.Time
	// active has the active flows, sum and activeWeight the sums of their
	// weighted tags and of their weights.
	active       []*flow
	sum          int64
	activeWeight int64
	service      time.Duration
	// minDeadline is at most the smallest deadline of the waiting requests.
	minDeadline model.Time
}

// flowOf returns the workspace's flow, with its weight set.
func (u *upstream) flowOf(w model.Workspace, weight int64) *flow {
	f := u.flows[w]
	if f == nil {
		f = &flow{workspace: w, upstream: u, service: u.service, index: -1, weight: 1}
		u.flows[w] = f
		u.order = append(u.order, f)
	}
	if weight = max(weight, 1); weight != f.weight {
		u.setWeight(f, weight)
	}
	return f
}

func (u *upstream) setWeight(f *flow, weight int64) {
	change := weight - f.weight
	f.weight = weight
	if f.waiting.size > 0 {
		u.weights += change
	}
	if f.index >= 0 {
		u.activeWeight += change
		u.sum += change * f.tag
	}
}

// virtual returns the virtual time.
func (u *upstream) virtual() int64 {
	if u.activeWeight == 0 {
		return 0
	}
	return u.sum / u.activeWeight
}

// startPeriod starts a period in which the running requests' flows are active.
func (u *upstream) startPeriod(now model.Time) {
	u.period++
	u.periodStart = now
	u.minDeadline = noDeadline
	for _, f := range u.active {
		f.index = -1
	}
	u.active = u.active[:0]
	u.sum, u.activeWeight = 0, 0
	for r := u.running.head; r != nil; r = r.next {
		r.charged = 0
		r.period = u.period
		u.activate(r.flow)
	}
}

// activate makes a flow active; it starts at the virtual time if it is behind.
func (u *upstream) activate(f *flow) {
	if f.index >= 0 {
		return
	}
	if f.period != u.period {
		f.period = u.period
		f.tag = 0
	}
	f.tag = max(f.tag, u.virtual())
	f.index = len(u.active)
	u.active = append(u.active, f)
	u.activeWeight += f.weight
	u.sum += f.weight * f.tag
}

// deactivate takes a flow without requests out of the active ones.
func (u *upstream) deactivate(f *flow) {
	if f.index < 0 || f.waiting.size > 0 || f.running > 0 {
		return
	}
	u.activeWeight -= f.weight
	u.sum -= f.weight * f.tag
	last := len(u.active) - 1
	u.active[f.index] = u.active[last]
	u.active[f.index].index = f.index
	u.active = u.active[:last]
	f.index = -1
}

// enter puts a waiting request into its flow's queue.
func (u *upstream) enter(now model.Time, r *request) {
	if u.waiting == 0 {
		u.startPeriod(now)
	}
	f := r.flow
	if f.index < 0 {
		u.chargeAll(now)
		u.activate(f)
	}
	if f.waiting.size == 0 {
		u.weights += f.weight
	}
	f.waiting.pushBack(r)
	u.waiting++
	u.minDeadline = min(u.minDeadline, r.deadline)
}

// leave takes a waiting request that will not run out of its flow's queue.
func (u *upstream) leave(r *request) {
	u.unqueue(r)
	u.deactivate(r.flow)
}

func (u *upstream) unqueue(r *request) {
	f := r.flow
	f.waiting.remove(r)
	u.waiting--
	if f.waiting.size == 0 {
		u.weights -= f.weight
	}
}

// chargeAll charges the running requests for the slot time that exceeds what
// they have paid.
func (u *upstream) chargeAll(now model.Time) {
	if u.waiting == 0 {
		return
	}
	for r := u.running.head; r != nil; r = r.next {
		if used := u.used(now, r); used > r.charged {
			r.flow.pay(used - r.charged)
			r.charged = used
		}
	}
	if u.virtual() > maxTag {
		u.rebase()
	}
}

// used returns the slot time of a running request since the period started.
func (u *upstream) used(now model.Time, r *request) int64 {
	return int64(now.Sub(max(r.started, u.periodStart)))
}

// rebase lowers all tags of the period by the virtual time.
func (u *upstream) rebase() {
	base := u.virtual()
	for _, f := range u.order {
		f.tag -= base
	}
	u.sum -= base * u.activeWeight
}

// prune forgets the flows without requests.
func (u *upstream) prune() {
	kept := u.order[:0]
	for _, f := range u.order {
		if f.waiting.size == 0 && f.running == 0 {
			delete(u.flows, f.workspace)
			continue
		}
		kept = append(kept, f)
	}
	clear(u.order[len(kept):])
	u.order = kept
}

// start gives a request that is in no queue a slot.
func (u *upstream) start(now model.Time, r *request) {
	r.running = true
	r.started = now
	r.period = u.period
	r.flow.running++
	u.running.pushBack(r)
}

// startHead gives the head of flow f a slot; f pays its estimated slot time.
func (u *upstream) startHead(now model.Time, f *flow) *request {
	r := f.waiting.head
	r.charged = int64(f.service)
	f.pay(r.charged)
	u.unqueue(r)
	u.start(now, r)
	return r
}

// stop takes the slot of a request back. Its flow pays the difference between
// the slot time and what it has paid.
func (u *upstream) stop(now model.Time, r *request) {
	if u.waiting > 0 && r.period == u.period {
		r.flow.pay(u.used(now, r) - r.charged)
	}
	u.running.remove(r)
	r.flow.running--
	u.deactivate(r.flow)
}

// next returns the flow whose head gets the next slot; a request waits.
func (u *upstream) next(now model.Time) *flow {
	if len(u.active) > 1 {
		u.chargeAll(now)
	}
	virtual := u.virtual()
	var eligible, least *flow
	for _, f := range u.active {
		if f.waiting.size == 0 {
			continue
		}
		if least == nil || f.tag < least.tag {
			least = f
		}
		if f.tag <= virtual && (eligible == nil || f.before(eligible)) {
			eligible = f
		}
	}
	if eligible != nil {
		return eligible
	}
	return least
}

// expectedWait estimates how long a request that joins f waits. It is 0 for
// the first of a queue, so that an outdated estimate cannot refuse everything.
func (u *upstream) expectedWait(f *flow) time.Duration {
	if f.waiting.size == 0 || u.slots <= 0 {
		return 0
	}
	own := int64(f.waiting.size) * int64(f.service) * u.weights / f.weight
	all := int64(u.waiting) * int64(u.service)
	return time.Duration(min(own, all) / int64(u.slots))
}
