package fairness

import (
	"math"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

const (
	// tagScale is the number of tag units per nanosecond. It reduces the rounding
	// error when slot time is divided by weights.
	tagScale = 64
	// maxVirtualTime is the virtual time from which on tags are rebased, so that
	// the sum of weighted tags does not overflow an int64.
	maxVirtualTime = 1 << 40
	// pruneThreshold is the number of flows above which idle ones are deleted, so
	// that flows of removed workspaces do not accumulate.
	pruneThreshold = 256
	// minSlotTime is the lower bound of the moving averages of the slot time, so
	// that requests of no measurable length are not free of charge.
	minSlotTime = time.Microsecond
	// noDeadline is later than every deadline.
	noDeadline = model.Time(math.MaxInt64)
)

// upstream has the slots and queues of one upstream.
//
// Virtual time is defined only while requests wait: a period starts when the
// first request has to wait, with all start tags at 0, and ends when none waits.
// Slot time used outside a period delays no other workspace, so it is not charged.
//
// A flow is active in a period while it has waiting or running requests. The
// virtual time is the average start tag of the active flows, weighted by their
// weights. A flow is eligible if its start tag is not ahead of the virtual time.
// A slot goes to the eligible flow with the earliest virtual deadline (earliest
// eligible virtual deadline first, EEVDF). Of flows with equal start tags, the
// deadline favors those with larger weights; eligibility keeps a flow from
// running ahead of its share.
type upstream struct {
	id    model.UpstreamID
	slots int
	// removed is true after EventUpstreamRemoved, while requests still run.
	removed bool
	flows   map[model.Workspace]*flow
	// ordered has the flows in the order in which they were added, so that the
	// order of effects does not depend on that of a map.
	ordered []*flow
	running list
	// waiting is the number of waiting requests of all flows.
	waiting int
	// waitingWeight is the sum of the weights of the flows with waiting requests.
	waitingWeight int64
	// period is the number of the current or last period, periodStart its start.
	period      uint64
	periodStart model.Time
	activeFlows []*flow
	// weightedTags is the sum of start tag times weight over activeFlows.
	weightedTags int64
	// activeWeight is the sum of the weights of activeFlows.
	activeWeight int64
	// slotTime is a moving average of the slot time of requests.
	slotTime time.Duration
	// minDeadline is a lower bound of the deadlines of the waiting requests.
	minDeadline model.Time
}

// flowFor returns the flow of the workspace and updates its weight. It adds the
// flow if there is none.
func (u *upstream) flowFor(w model.Workspace, weight int64) *flow {
	f := u.flows[w]
	if f == nil {
		f = &flow{workspace: w, upstream: u, slotTime: u.slotTime, activeIndex: -1, weight: 1}
		u.flows[w] = f
		u.ordered = append(u.ordered, f)
	}
	if weight = max(weight, 1); weight != f.weight {
		u.setWeight(f, weight)
	}
	return f
}

// setWeight changes the weight of a flow and the sums that depend on it.
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

// virtualTime returns the weighted average of the start tags of the active flows.
func (u *upstream) virtualTime() int64 {
	if u.activeWeight == 0 {
		return 0
	}
	return u.weightedTags / u.activeWeight
}

// startPeriod starts a period. Only the flows of running requests are active.
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

// activate makes a flow active. Its start tag is raised to the virtual time, so
// that it gets no credit for the time in which it was not active.
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

// deactivate removes a flow from the active ones if it has no requests left.
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

// addWaiting adds a request to the queue of its flow. It starts a period if no
// other request is waiting.
func (u *upstream) addWaiting(now model.Time, r *request) {
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

// removeWaiting removes a waiting request that will not run from its queue.
func (u *upstream) removeWaiting(r *request) {
	u.dequeue(r)
	u.deactivate(r.flow)
}

// dequeue removes a waiting request from the queue of its flow.
func (u *upstream) dequeue(r *request) {
	f := r.flow
	f.waiting.remove(r)
	u.waiting--
	if f.waiting.size == 0 {
		u.waitingWeight -= f.weight
	}
}

// chargeRunning charges the flows of running requests for the slot time that
// exceeds what was already charged, so that a long transaction counts before it
// ends.
func (u *upstream) chargeRunning(now model.Time) {
	if u.waiting == 0 {
		return
	}
	for r := u.running.head; r != nil; r = r.next {
		if slotTimeUsed := u.slotTimeUsed(now, r); slotTimeUsed > r.charged {
			r.flow.charge(slotTimeUsed - r.charged)
			r.charged = slotTimeUsed
		}
	}
	if u.virtualTime() > maxVirtualTime {
		u.rebaseTags()
	}
}

// slotTimeUsed returns the slot time in nanoseconds that a running request has
// used in the period.
func (u *upstream) slotTimeUsed(now model.Time, r *request) int64 {
	return int64(now.Sub(max(r.started, u.periodStart)))
}

// rebaseTags lowers all start tags by the virtual time.
func (u *upstream) rebaseTags() {
	base := u.virtualTime()
	for _, f := range u.ordered {
		f.startTag -= base
	}
	u.weightedTags -= base * u.activeWeight
}

// pruneIdleFlows deletes the flows without requests.
func (u *upstream) pruneIdleFlows() {
	kept := u.ordered[:0]
	for _, f := range u.ordered {
		if f.waiting.size == 0 && f.running == 0 {
			delete(u.flows, f.workspace)
			continue
		}
		kept = append(kept, f)
	}
	clear(u.ordered[len(kept):])
	u.ordered = kept
}

// start gives a slot to a request that is not in a queue.
func (u *upstream) start(now model.Time, r *request) {
	r.running = true
	r.started = now
	r.period = u.period
	r.flow.running++
	u.running.pushBack(r)
}

// startHead gives a slot to the first waiting request of f and charges f for the
// expected slot time in advance.
func (u *upstream) startHead(now model.Time, f *flow) *request {
	r := f.waiting.head
	r.charged = int64(f.slotTime)
	f.charge(r.charged)
	u.dequeue(r)
	u.start(now, r)
	return r
}

// releaseSlot releases the slot of a request. Its flow is charged for the
// difference between the slot time and what was already charged, which may be
// negative.
func (u *upstream) releaseSlot(now model.Time, r *request) {
	if u.waiting > 0 && r.period == u.period {
		r.flow.charge(u.slotTimeUsed(now, r) - r.charged)
	}
	u.running.remove(r)
	r.flow.running--
	u.deactivate(r.flow)
}

// nextFlow returns the flow whose first waiting request gets the next slot. At
// least one request must be waiting. If no flow is eligible, the one with the
// lowest start tag is chosen.
func (u *upstream) nextFlow(now model.Time) *flow {
	if len(u.activeFlows) > 1 {
		u.chargeRunning(now)
	}
	virtualTime := u.virtualTime()
	var eligible, minTag *flow
	for _, f := range u.activeFlows {
		if f.waiting.size == 0 {
			continue
		}
		if minTag == nil || f.startTag < minTag.startTag {
			minTag = f
		}
		if f.startTag <= virtualTime && (eligible == nil || f.precedes(eligible)) {
			eligible = f
		}
	}
	if eligible != nil {
		return eligible
	}
	return minTag
}

// expectedWait estimates how long a new request of f will wait. It is 0 if the
// queue of f is empty, so that an outdated estimate cannot refuse every request.
func (u *upstream) expectedWait(f *flow) time.Duration {
	if f.waiting.size == 0 || u.slots <= 0 {
		return 0
	}
	own := int64(f.waiting.size) * int64(f.slotTime) * u.waitingWeight / f.weight
	all := int64(u.waiting) * int64(u.slotTime)
	return time.Duration(min(own, all) / int64(u.slots))
}
