package fairness

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// slotTimeEWMADivisor is the divisor of the exponentially weighted service time.
const slotTimeEWMADivisor = 8

// request is a waiting or running request; free ones are linked by next.
type request struct {
	id       uint64
	key      model.KeyID
	deadline model.Time
	flow     *flow
	running  bool
	// started is when the request got its slot; charged is the part of its
	// slot time that its flow has paid in period.
	started    model.Time
	charged    int64
	period     uint64
	prev, next *request
}

// list is a doubly linked list of requests.
type list struct {
	head, tail *request
	size       int
}

func (l *list) pushBack(r *request) {
	r.prev, r.next = l.tail, nil
	if l.tail == nil {
		l.head = r
	} else {
		l.tail.next = r
	}
	l.tail = r
	l.size++
}

func (l *list) remove(r *request) {
	if r.prev == nil {
		l.head = r.next
	} else {
		r.prev.next = r.next
	}
	if r.next == nil {
		l.tail = r.prev
	} else {
		r.next.prev = r.prev
	}
	r.prev, r.next = nil, nil
	l.size--
}

// flow is the queue of one workspace at one upstream.
type flow struct {
	workspace model.Workspace
	upstream  *upstream
	waiting   list
	running   int
	weight    int64
	// startTag is the slot time that the flow has used in period, divided by its
	// weight; a flow that joins late starts at the average.
	startTag int64
	period   uint64
	// slotTime is the smoothed time that a request keeps its slot.
	slotTime time.Duration
	// activeIndex is the flow's place in the upstream's active flows, -1 if it is not
	// active.
	activeIndex int
}

// charge adds slot time to the flow's tag.
func (f *flow) charge(used int64) {
	step := used * tagScale / f.weight
	f.startTag += step
	if f.activeIndex >= 0 {
		f.upstream.weightedTags += step * f.weight
	}
}

// virtualDeadline is the tag that the flow will have after its next request.
func (f *flow) virtualDeadline() int64 {
	return f.startTag + int64(f.slotTime)*tagScale/f.weight
}

// recordSlotTime takes a finished request's slot time into the smoothed one.
func (f *flow) recordSlotTime(used time.Duration) {
	f.slotTime += (used - f.slotTime) / slotTimeEWMADivisor
	f.slotTime = max(f.slotTime, minSlotTime)
	u := f.upstream
	u.slotTime += (used - u.slotTime) / slotTimeEWMADivisor
	u.slotTime = max(u.slotTime, minSlotTime)
}

// precedes orders the flows that may get the next slot by deadline.
func (f *flow) precedes(g *flow) bool {
	if a, b := f.virtualDeadline(), g.virtualDeadline(); a != b {
		return a < b
	}
	return f.workspace < g.workspace
}
