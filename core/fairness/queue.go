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
	weight    int64
	// tag is the virtual time at which the head of the queue starts; it is
	// valid in period only.
	tag    int64
	period uint64
	// service is the smoothed time that a request keeps its slot.
	service time.Duration
	// index is the flow's place in the upstream's heap, -1 when it is not there.
	index int
}

// pay moves the flow's next start by the slot time used.
func (f *flow) pay(used int64) {
	f.tag += used * tagScale / f.weight
	if f.index >= 0 {
		f.upstream.fix(f.index)
	}
}

// measure takes a finished request's slot time into the smoothed one.
func (f *flow) measure(used time.Duration) {
	f.service += (used - f.service) / smoothing
	f.service = max(f.service, minService)
	u := f.upstream
	u.service += (used - u.service) / smoothing
	u.service = max(u.service, minService)
}

// The heap has the flows with waiting requests, smallest tag first.

func (u *upstream) before(i, j int) bool {
	a, b := u.heap[i], u.heap[j]
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	return a.workspace < b.workspace
}

func (u *upstream) swap(i, j int) {
	u.heap[i], u.heap[j] = u.heap[j], u.heap[i]
	u.heap[i].index = i
	u.heap[j].index = j
}

func (u *upstream) push(f *flow) {
	f.index = len(u.heap)
	u.heap = append(u.heap, f)
	u.up(f.index)
}

func (u *upstream) drop(f *flow) {
	i := f.index
	last := len(u.heap) - 1
	u.swap(i, last)
	u.heap = u.heap[:last]
	f.index = -1
	if i < last {
		u.fix(i)
	}
}

func (u *upstream) fix(i int) {
	u.up(i)
	u.down(i)
}

func (u *upstream) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !u.before(i, parent) {
			return
		}
		u.swap(i, parent)
		i = parent
	}
}

func (u *upstream) down(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(u.heap); child++ {
			if u.before(child, least) {
				least = child
			}
		}
		if least == i {
			return
		}
		u.swap(i, least)
		i = least
	}
}
