package fairness

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// smoothing is the divisor of the exponentially weighted service time.
const smoothing = 8

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
	// tag is the slot time that the flow has used in period, divided by its
	// weight; a flow that joins late starts at the average.
	tag    int64
	period uint64
	// service is the smoothed time that a request keeps its slot.
	service time.Duration
	// index is the flow's place in the upstream's active flows, -1 if it is not
	// active.
	index int
}

// pay adds slot time to the flow's tag.
func (f *flow) pay(used int64) {
	step := used * tagScale / f.weight
	f.tag += step
	if f.index >= 0 {
		f.upstream.sum += step * f.weight
	}
}

// deadline is the tag that the flow will have after its next request.
func (f *flow) deadline() int64 {
	return f.tag + int64(f.service)*tagScale/f.weight
}

// measure takes a finished request's slot time into the smoothed one.
func (f *flow) measure(used time.Duration) {
	f.service += (used - f.service) / smoothing
	f.service = max(f.service, minService)
	u := f.upstream
	u.service += (used - u.service) / smoothing
	u.service = max(u.service, minService)
}

// before orders the flows that may get the next slot by deadline.
func (f *flow) before(g *flow) bool {
	if a, b := f.deadline(), g.deadline(); a != b {
		return a < b
	}
	return f.workspace < g.workspace
}
