package fairness

import (
	"math"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

const (
	// tagScale keeps the division of slot time by weights precise.
	tagScale = 1024
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
type upstream struct {
	id      model.UpstreamID
	slots   int
	removed bool
	flows   map[model.Workspace]*flow
	// order has the flows as they were added, so that effects do not depend
	// on map order.
	order []*flow
	// heap has the flows with waiting requests.
	heap    []*flow
	running list
	waiting int
	// weights is the sum of the weights of the flows in heap.
	weights int64
	period  uint64
	// periodStart is when the period started.
	periodStart model.Time
	// virtual is the tag of the request that got a slot last in the period.
	virtual int64
	service time.Duration
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
	weight = max(weight, 1)
	if f.index >= 0 {
		u.weights += weight - f.weight
	}
	f.weight = weight
	return f
}

// enter puts a waiting request into its flow's queue.
func (u *upstream) enter(now model.Time, r *request) {
	if u.waiting == 0 {
		u.period++
		u.periodStart = now
		u.virtual = 0
		u.minDeadline = noDeadline
	}
	f := r.flow
	f.join()
	f.waiting.pushBack(r)
	u.waiting++
	u.minDeadline = min(u.minDeadline, r.deadline)
	if f.index < 0 {
		f.tag = max(f.tag, u.virtual)
		u.weights += f.weight
		u.push(f)
	}
}

// join resets the flow's tag when a new period has started.
func (f *flow) join() {
	if f.period != f.upstream.period {
		f.period = f.upstream.period
		f.tag = 0
	}
}

// leave takes a waiting request out of its flow's queue.
func (u *upstream) leave(r *request) {
	f := r.flow
	f.waiting.remove(r)
	u.waiting--
	if f.waiting.size == 0 {
		u.weights -= f.weight
		u.drop(f)
	}
}

// charge makes the flow of a running request pay for the slot time used since
// the period started.
func (u *upstream) charge(now model.Time, r *request, settle bool) {
	if u.waiting == 0 {
		return
	}
	r.flow.join()
	from := r.started
	if r.period != u.period {
		r.period = u.period
		r.charged = 0
	}
	from = max(from, u.periodStart)
	used := int64(now.Sub(from))
	if used > r.charged || settle {
		r.flow.pay(used - r.charged)
		r.charged = used
	}
}

// start gives a request that is in no queue a slot.
func (u *upstream) start(now model.Time, r *request) {
	r.running = true
	r.started = now
	r.period = u.period
	r.charged = 0
	u.running.pushBack(r)
}

// startHead gives the head of flow f a slot; f pays its estimated slot time.
func (u *upstream) startHead(now model.Time, f *flow) *request {
	r := f.waiting.head
	u.virtual = max(u.virtual, f.tag)
	u.leave(r)
	u.start(now, r)
	r.charged = int64(f.service)
	f.pay(r.charged)
	return r
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
