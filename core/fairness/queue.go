package fairness

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// slotTimeEWMADivisor is the inverse weight of a new sample in the moving
// averages of the slot time.
const slotTimeEWMADivisor = 8

// request is a waiting or running request, or an unused one in State.freeList.
type request struct {
	id       uint64
	key      model.KeyID
	deadline model.Time
	flow     *flow
	running  bool
	// started is when the request got its slot.
	started model.Time
	// charged is the slot time in nanoseconds that was charged to the flow for the
	// request in period.
	charged int64
	period  uint64
	// prev and next link the requests of a list or of State.freeList.
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
	// running is the number of running requests.
	running int
	weight  int64
	// startTag is the virtual start time of the flow's next request in period: the
	// slot time charged to the flow in units of 1/tagScale ns, divided by its
	// weight. A flow that becomes active later starts at the virtual time.
	startTag int64
	period   uint64
	// slotTime is a moving average of the slot time of requests.
	slotTime time.Duration
	// activeIndex is the index in upstream.activeFlows, -1 if the flow is not
	// active.
	activeIndex int
}

// charge adds slot time, in nanoseconds, to the flow's start tag.
func (f *flow) charge(used int64) {
	step := used * tagScale / f.weight
	f.startTag += step
	if f.activeIndex >= 0 {
		f.upstream.weightedTags += step * f.weight
	}
}

// virtualDeadline returns the expected start tag after the flow's next request.
func (f *flow) virtualDeadline() int64 {
	return f.startTag + int64(f.slotTime)*tagScale/f.weight
}

// recordSlotTime adds the slot time of a finished request to the moving averages
// of the flow and its upstream.
func (f *flow) recordSlotTime(used time.Duration) {
	f.slotTime += (used - f.slotTime) / slotTimeEWMADivisor
	f.slotTime = max(f.slotTime, minSlotTime)
	u := f.upstream
	u.slotTime += (used - u.slotTime) / slotTimeEWMADivisor
	u.slotTime = max(u.slotTime, minSlotTime)
}

// precedes reports whether f gets the next slot rather than g, by virtual
// deadline. Ties are broken by workspace, so that the order is deterministic.
func (f *flow) precedes(g *flow) bool {
	if a, b := f.virtualDeadline(), g.virtualDeadline(); a != b {
		return a < b
	}
	return f.workspace < g.workspace
}
