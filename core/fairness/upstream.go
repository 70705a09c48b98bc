package fairness

import (
	"math"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

const (
	// tagScale keeps the division of slot time by weights precise.
	tagScale = 64
	// maxVirtualTime keeps the sum of weighted tags within int64.
	maxVirtualTime = 1 << 40
	// pruneThreshold is how many flows an upstream has before the idle ones are
	// forgotten, so that removed workspaces do not add up.
	pruneThreshold = 256
	// minSlotTime keeps a request of no measured length from being free of charge.
	minSlotTime = time.Microsecond
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
	// flowList has the flows as they were added, so that effects do not depend
	// on map order.
	flowList []*flow
	running  list
	waiting  int
	// waitingWeight is the sum of the weights of the flows with waiting requests.
	waitingWeight int64
	period        uint64
	// periodStart is when the period started.
	periodStart model.Time
	// activeFlows has the active flows, weightedTags and activeWeight the sums of their
	// weighted tags and of their weights.
	activeFlows  []*flow
	weightedTags int64
	activeWeight int64
	slotTime     time.Duration
	// minDeadline is at most the smallest deadline of the waiting requests.
	minDeadline model.Time
}

// flowFor returns the workspace's flow, with its weight set.
func (u *upstream) flowFor(w model.Workspace, weight int64) *flow {
	f := u.flows[w]
	if f == nil {
		f = &flow{workspace: w, upstream: u, slotTime: u.slotTime, activeIndex: -1, weight: 1}
		u.flows[w] = f
		u.flowList = append(u.flowList, f)
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
		u.waitingWeight += change
	}
	if f.activeIndex >= 0 {
		u.activeWeight += change
		u.weightedTags += change * f.startTag
	}
}

// virtualTime returns the virtual time.
func (u *upstream) virtualTime() int64 {
	if u.activeWeight == 0 {
		return 0
	}
	return u.weightedTags / u.activeWeight
}

// startPeriod starts a period in which the running requests' flows are active.
func (u *upstream) startPeriod(now model.Time) {
	u.period++
	u.periodStart = now
	u.minDeadline = noDeadline
	for _, f := range u.activeFlows {
		f.activeIndex = -1
	}
	u.activeFlows = u.activeFlows[:0]
	u.weightedTags, u.activeWeight = 0, 0
	for r := u.running.head; r != nil; r = r.next {
		r.charged = 0
		r.period = u.period
		u.activate(r.flow)
	}
}

// activate makes a flow active; it starts at the virtual time if it is behind.
func (u *upstream) activate(f *flow) {
	if f.activeIndex >= 0 {
		return
	}
	if f.period != u.period {
		f.period = u.period
		f.startTag = 0
	}
	f.startTag = max(f.startTag, u.virtualTime())
	f.activeIndex = len(u.activeFlows)
	u.activeFlows = append(u.activeFlows, f)
	u.activeWeight += f.weight
	u.weightedTags += f.weight * f.startTag
}

// deactivate takes a flow without requests out of the active ones.
func (u *upstream) deactivate(f *flow) {
	if f.activeIndex < 0 || f.waiting.size > 0 || f.running > 0 {
		return
	}
	u.activeWeight -= f.weight
	u.weightedTags -= f.weight * f.startTag
	last := len(u.activeFlows) - 1
	u.activeFlows[f.activeIndex] = u.activeFlows[last]
	u.activeFlows[f.activeIndex].activeIndex = f.activeIndex
	u.activeFlows = u.activeFlows[:last]
	f.activeIndex = -1
}

// enqueue puts a waiting request into its flow's queue.
func (u *upstream) enqueue(now model.Time, r *request) {
	if u.waiting == 0 {
		u.startPeriod(now)
	}
	f := r.flow
	if f.activeIndex < 0 {
		u.chargeRunning(now)
		u.activate(f)
	}
	if f.waiting.size == 0 {
		u.waitingWeight += f.weight
	}
	f.waiting.pushBack(r)
	u.waiting++
	u.minDeadline = min(u.minDeadline, r.deadline)
}

// removeWaiting takes a waiting request that will not run out of its flow's queue.
func (u *upstream) removeWaiting(r *request) {
	u.dequeue(r)
	u.deactivate(r.flow)
}

func (u *upstream) dequeue(r *request) {
	f := r.flow
	f.waiting.remove(r)
	u.waiting--
	if f.waiting.size == 0 {
		u.waitingWeight -= f.weight
	}
}

// chargeRunning charges the running requests for the slot time that exceeds what
// they have paid.
func (u *upstream) chargeRunning(now model.Time) {
	if u.waiting == 0 {
		return
	}
	for r := u.running.head; r != nil; r = r.next {
		if used := u.slotTimeUsed(now, r); used > r.charged {
			r.flow.charge(used - r.charged)
			r.charged = used
		}
	}
	if u.virtualTime() > maxVirtualTime {
		u.rebaseTags()
	}
}

// slotTimeUsed returns the slot time of a running request since the period started.
func (u *upstream) slotTimeUsed(now model.Time, r *request) int64 {
	return int64(now.Sub(max(r.started, u.periodStart)))
}

// rebaseTags lowers all tags of the period by the virtual time.
func (u *upstream) rebaseTags() {
	base := u.virtualTime()
	for _, f := range u.flowList {
		f.startTag -= base
	}
	u.weightedTags -= base * u.activeWeight
}

// pruneIdleFlows forgets the flows without requests.
func (u *upstream) pruneIdleFlows() {
	kept := u.flowList[:0]
	for _, f := range u.flowList {
		if f.waiting.size == 0 && f.running == 0 {
			delete(u.flows, f.workspace)
			continue
		}
		kept = append(kept, f)
	}
	clear(u.flowList[len(kept):])
	u.flowList = kept
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
	r.charged = int64(f.slotTime)
	f.charge(r.charged)
	u.dequeue(r)
	u.start(now, r)
	return r
}

// finish takes the slot of a request back. Its flow pays the difference between
// the slot time and what it has paid.
func (u *upstream) finish(now model.Time, r *request) {
	if u.waiting > 0 && r.period == u.period {
		r.flow.charge(u.slotTimeUsed(now, r) - r.charged)
	}
	u.running.remove(r)
	r.flow.running--
	u.deactivate(r.flow)
}

// nextFlow returns the flow whose head gets the next slot; a request waits.
func (u *upstream) nextFlow(now model.Time) *flow {
	if len(u.activeFlows) > 1 {
		u.chargeRunning(now)
	}
	virtual := u.virtualTime()
	var eligible, minTag *flow
	for _, f := range u.activeFlows {
		if f.waiting.size == 0 {
			continue
		}
		if minTag == nil || f.startTag < minTag.startTag {
			minTag = f
		}
		if f.startTag <= virtual && (eligible == nil || f.precedes(eligible)) {
			eligible = f
		}
	}
	if eligible != nil {
		return eligible
	}
	return minTag
}

// expectedWait estimates how long a request that joins f waits. It is 0 for
// the first of a queue, so that an outdated estimate cannot refuse everything.
func (u *upstream) expectedWait(f *flow) time.Duration {
	if f.waiting.size == 0 || u.slots <= 0 {
		return 0
	}
	own := int64(f.waiting.size) * int64(f.slotTime) * u.waitingWeight / f.weight
	all := int64(u.waiting) * int64(u.slotTime)
	return time.Duration(min(own, all) / int64(u.slots))
}
