// Package admission decides which statement an upstream runs next, and which are
// refused because they cannot be run in time. It is a pure reducer: time and random
// numbers are passed in.
//
// The entries of a queue are in bands. For each priority there is one of statements of
// open transactions and one of new statements that can still meet their objective;
// behind these, one for each priority of statements that are late. Within a band, the
// workspaces share the service time by virtual start tags (start-time fair queueing),
// and the statement of a workspace that has to start first is the next. A fixed share
// of the service time goes to those that have waited for longest, whatever their band,
// so that nothing starves: an entry with k older ones starts at the latest when others
// have got (k+1) * agedDivisor of the mean service time.
package admission

import (
	"math"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// bands is the number of bands of a queue.
const bands = 3 * Priorities

// bandOf returns the band of an entry.
func bandOf(e *Entry, now model.Time) int {
	p := min(max(e.Priority, 0), Priorities-1)
	switch {
	case e.Open:
		return 2 * p
	case e.StartBy >= now:
		return 2*p + 1
	}
	return 2*Priorities + p
}

// band has the entries of one urgency.
type band struct {
	flows map[string]*flow
	// active has the flows with entries, by tag.
	active heap[*flow]
	// work is the expected service time of all entries.
	work time.Duration
	// virtual is the tag of the flow that was served last.
	virtual int64
}

// flow has the entries of one workspace in one band.
type flow struct {
	workspace string
	band      *band
	// tag is the service time in nanoseconds that the workspace has got, or that of
	// the band's virtual time when the workspace became active again.
	tag     int64
	entries heap[*Entry]
	work    time.Duration
	// index is the position in band.active, -1 for a flow without entries.
	index int
}

// Queue has the statements that wait for one upstream.
type Queue struct {
	config Config
	bands  [bands]band
	// onTime has the entries that can meet their objective, by StartBy; deadlines has
	// all entries, by Deadline.
	onTime, deadlines heap[*Entry]
	oldest, newest    *Entry
	size              int
	sequence          uint64
	// service is the moving average of the service time of each priority, which is
	// the time between the grant of a slot and its release.
	service [Priorities]time.Duration
	// demand is the decaying sum of the service time of the statements of each priority
	// that were admitted as in time, as of demandAt.
	demand   [Priorities]float64
	demandAt model.Time
	// agedCredit is the service time that the oldest entries may still take.
	agedCredit time.Duration
}

// New returns an empty queue.
func New(c Config) *Queue {
	if c.Limit <= 0 {
		c.Limit = DefaultLimit
	}
	q := &Queue{config: c}
	for i := range q.bands {
		q.bands[i].flows = map[string]*flow{}
		q.bands[i].active = heap[*flow]{less: flowBefore, index: func(f *flow) *int { return &f.index }}
	}
	q.onTime = heap[*Entry]{less: startsBefore, index: func(e *Entry) *int { return &e.startIndex }}
	q.deadlines = heap[*Entry]{
		less: func(a, b *Entry) bool {
			return a.Deadline < b.Deadline || a.Deadline == b.Deadline && a.sequence < b.sequence
		},
		index: func(e *Entry) *int { return &e.deadlineIndex },
	}
	for p := range q.service {
		q.service[p] = initialService
	}
	return q
}

func flowBefore(a, b *flow) bool {
	return a.tag < b.tag || a.tag == b.tag && a.workspace < b.workspace
}

func startsBefore(a, b *Entry) bool {
	return a.StartBy < b.StartBy || a.StartBy == b.StartBy && a.sequence < b.sequence
}

// Len returns the number of entries.
func (q *Queue) Len() int { return q.size }

// Newest returns the entry that arrived last, or nil.
func (q *Queue) Newest() *Entry { return q.newest }

// Oldest returns the entry that has waited for longest, or nil.
func (q *Queue) Oldest() *Entry { return q.oldest }

// Service returns the expected service time of a priority.
func (q *Queue) Service(priority int) time.Duration {
	return q.service[min(max(priority, 0), Priorities-1)]
}

// Offer adds an entry, or refuses it if it is not expected to start in time. If the
// queue is full, it may evict a less urgent entry instead. random is uniform in [0, 1).
func (q *Queue) Offer(now model.Time, e *Entry, c Capacity, random float64) (refusal Refusal, evicted *Entry, ok bool) {
	q.demote(now)
	q.decay(now)
	e.cost = q.Service(e.Priority)
	b := bandOf(e, now)
	e.estimate = q.estimate(b, e, c)
	if !e.Open {
		if r := q.judge(now, e, b, c, random); r.Cause != 0 {
			return r, nil, false
		}
		if q.size >= q.config.Limit {
			if evicted = q.lastBehind(b); evicted == nil {
				return q.refusal(Full, e, e.estimate, random), nil, false
			}
			q.Remove(evicted)
			refusal = q.refusal(Full, evicted, e.estimate, random)
		}
	}
	if e.Open || e.estimate <= e.StartBy.Sub(now) {
		q.demand[min(max(e.Priority, 0), Priorities-1)] += float64(e.cost)
	}
	q.add(now, e)
	return refusal, evicted, true
}

// judge refuses an entry that is not expected to start in time.
func (q *Queue) judge(now model.Time, e *Entry, b int, c Capacity, random float64) Refusal {
	switch {
	case e.Elsewhere && !c.Connections:
		return q.refusal(Busy, e, e.cost, random)
	case e.estimate == 0 && c.Free > 0:
		return Refusal{}
	case e.Elsewhere && e.estimate > e.StartBy.Sub(now):
		return q.refusal(Busy, e, e.estimate-e.StartBy.Sub(now), random)
	case e.estimate <= e.StartBy.Sub(now):
		return Refusal{}
	}
	// If the caller comes back, its statement has the time of a new one.
	after := e.estimate - max(e.StartBy.Sub(now), 0)
	late := 2*Priorities + min(max(e.Priority, 0), Priorities-1)
	if b < late {
		e.estimate = max(e.estimate, q.estimate(late, e, c))
	}
	if e.estimate > e.Deadline.Sub(now) {
		return q.refusal(TooLate, e, after, random)
	}
	return Refusal{}
}

// refusal returns the refusal of an entry that could be served if it came after the
// given time.
func (q *Queue) refusal(cause Cause, e *Entry, after time.Duration, random float64) Refusal {
	after = min(max(after, minRetryAfter), maxRetryAfter)
	after += time.Duration(random * retrySpread * float64(after))
	return Refusal{Cause: cause, RetryAfter: after, Estimate: e.estimate, Service: e.cost, Waiting: q.size}
}

// estimate returns the expected wait of a new entry in a band: the work ahead of it,
// served by the part of the slots that more urgent work to come leaves. Within the
// band, each other workspace goes ahead with no more than the entry's own has waiting.
func (q *Queue) estimate(b int, e *Entry, c Capacity) time.Duration {
	ahead := time.Duration(0)
	for i := range b {
		ahead += q.bands[i].work
	}
	own := time.Duration(0)
	if f := q.bands[b].flows[e.Workspace]; f != nil {
		own = f.work
	}
	ahead += min(q.bands[b].work, (own+e.cost)*time.Duration(len(q.bands[b].active.items)))
	if ahead == 0 && c.Free > 0 && (e.Open || c.Connections) {
		return 0
	}
	slots := float64(max(c.Slots, 1))
	rest := max(1-q.urgentLoad(b, slots), 1.0/agedDivisor)
	wait := time.Duration(float64(ahead) / (slots * rest))
	// The slots are busy now, for up to a service time.
	return wait + wait/estimateMarginDivisor + e.cost
}

// urgentLoad returns the load of the slots, 1 for all of them, by statements that are
// more urgent than those of a band.
func (q *Queue) urgentLoad(b int, slots float64) float64 {
	load := 0.0
	for p := range Priorities {
		if b >= 2*Priorities || p < b/2 {
			// What waits is counted as work ahead.
			load += max(q.demand[p]-float64(q.bands[2*p].work+q.bands[2*p+1].work), 0)
		}
	}
	return load / (float64(demandPeriod) * slots)
}

// decay brings the averages of demand up to date.
func (q *Queue) decay(now model.Time) {
	if elapsed := now.Sub(q.demandAt); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / demandPeriod.Seconds())
		for p := range q.demand {
			q.demand[p] *= factor
		}
		q.demandAt = now
	}
}

// add puts an entry into the band that it belongs to.
func (q *Queue) add(now model.Time, e *Entry) {
	q.sequence++
	e.sequence = q.sequence
	e.queued = true
	e.startIndex, e.deadlineIndex, e.flowIndex = -1, -1, -1
	e.older, e.newer = q.newest, nil
	if q.newest == nil {
		q.oldest = e
	} else {
		q.newest.newer = e
	}
	q.newest = e
	q.size++
	q.deadlines.push(e)
	if !e.Open && e.StartBy >= now {
		q.onTime.push(e)
	}
	q.enter(bandOf(e, now), e)
}

// enter adds an entry to its flow in a band.
func (q *Queue) enter(index int, e *Entry) {
	b := &q.bands[index]
	f := b.flows[e.Workspace]
	if f == nil {
		b.forgetIdle()
		f = &flow{workspace: e.Workspace, band: b, index: -1}
		f.entries = heap[*Entry]{less: startsBefore, index: func(e *Entry) *int { return &e.flowIndex }}
		b.flows[e.Workspace] = f
	}
	e.flow = f
	f.entries.push(e)
	f.work += e.cost
	b.work += e.cost
	if f.index < 0 {
		f.tag = max(f.tag, b.virtual)
		b.active.push(f)
	}
}

// leave removes an entry from its flow.
func (e *Entry) leave() {
	f := e.flow
	f.entries.remove(e)
	f.work -= e.cost
	f.band.work -= e.cost
	if len(f.entries.items) == 0 {
		f.band.active.remove(f)
	}
}

// forgetIdle removes flows without entries that are not ahead of the others.
func (b *band) forgetIdle() {
	if len(b.flows) < maxIdleFlows+len(b.active.items) {
		return
	}
	for name, f := range b.flows {
		if f.index < 0 && f.tag <= b.virtual {
			delete(b.flows, name)
		}
	}
}

// Remove removes an entry, and reports whether it was in the queue.
func (q *Queue) Remove(e *Entry) bool {
	if !e.queued {
		return false
	}
	e.queued = false
	e.leave()
	q.onTime.remove(e)
	q.deadlines.remove(e)
	if e.older == nil {
		q.oldest = e.newer
	} else {
		e.older.newer = e.newer
	}
	if e.newer == nil {
		q.newest = e.older
	} else {
		e.newer.older = e.older
	}
	e.older, e.newer = nil, nil
	q.size--
	return true
}

// Withdraw removes an entry whose deadline has passed. It returns false if the entry is
// not in the queue.
func (q *Queue) Withdraw(e *Entry, c Capacity, random float64) (Refusal, bool) {
	if !e.queued {
		return Refusal{}, false
	}
	refusal := q.refusal(Expired, e, q.drained(e, c), random)
	return refusal, q.Remove(e)
}

// demote moves the entries that can no longer meet their objective behind those that
// can.
func (q *Queue) demote(now model.Time) {
	for len(q.onTime.items) > 0 && q.onTime.items[0].StartBy < now {
		e := q.onTime.items[0]
		q.onTime.remove(e)
		e.leave()
		q.enter(bandOf(e, now), e)
	}
}

// lastBehind returns an entry of the least urgent band behind band b, or nil.
func (q *Queue) lastBehind(b int) *Entry {
	for i := bands - 1; i > b; i-- {
		flows := q.bands[i].active.items
		if len(flows) == 0 || i < 2*Priorities && i%2 == 0 {
			continue
		}
		entries := flows[len(flows)-1].entries.items
		return entries[len(entries)-1]
	}
	return nil
}

// Expire removes and returns an entry that cannot start by its deadline any more, or
// nil if there is none.
func (q *Queue) Expire(now model.Time, c Capacity, random float64) (*Entry, Refusal) {
	if len(q.deadlines.items) == 0 {
		return nil, Refusal{}
	}
	e := q.deadlines.items[0]
	left := e.Deadline.Sub(now)
	if left < 0 {
		refusal, _ := q.Withdraw(e, c, random)
		return e, refusal
	}
	if e.Open || c.Free > 0 {
		return nil, Refusal{}
	}
	if wait := q.drained(e, c); wait > left {
		q.Remove(e)
		return e, q.refusal(Crowded, e, wait-left, random)
	}
	return nil, Refusal{}
}

// drained returns how long the work that is more urgent than a waiting entry takes. It
// leaves out the work of its own band, and so is a lower bound of the wait.
func (q *Queue) drained(e *Entry, c Capacity) time.Duration {
	ahead := time.Duration(0)
	for i := range q.bands {
		if &q.bands[i] == e.flow.band {
			break
		}
		ahead += q.bands[i].work
	}
	return ahead / time.Duration(max(c.Slots, 1))
}

// Next removes and returns the entry that gets the next free slot, or nil if none can
// start. Finish is to be called with it when the slot is free again.
func (q *Queue) Next(now model.Time, c Capacity) *Entry {
	q.demote(now)
	if e := q.oldest; e != nil && q.agedCredit >= e.cost && (e.Open || c.Connections) {
		q.agedCredit -= e.cost
		q.take(e)
		return e
	}
	for i := range q.bands {
		b := &q.bands[i]
		if len(b.active.items) == 0 || !c.Connections && (i >= 2*Priorities || i%2 == 1) {
			continue
		}
		f := b.active.items[0]
		if i >= 2*Priorities || i%2 == 1 {
			f = q.withConnection(now, b)
		}
		e := f.entries.items[0]
		// The credit is bounded, so that a long calm does not let many old entries
		// go ahead at once.
		q.agedCredit = min(q.agedCredit+e.cost/agedDivisor, 2*max(e.cost, q.oldest.cost))
		q.take(e)
		return e
	}
	return nil
}

// withConnection returns the flow that is next in a band. A workspace with an idle
// connection is preferred as long as the entry that is next has waited for less than
// affinityWindow, has more than that left until it has to start, or is late anyway.
func (q *Queue) withConnection(now model.Time, b *band) *flow {
	first := b.active.items[0]
	if q.config.Idle == nil || q.config.Idle(first.workspace) {
		return first
	}
	e := first.entries.items[0]
	left := e.StartBy.Sub(now)
	if now.Sub(e.Arrival) >= affinityWindow && left >= 0 && left <= affinityWindow {
		return first
	}
	var best *flow
	for _, f := range b.active.items[1:min(len(b.active.items), affinityScan)] {
		if (best == nil || flowBefore(f, best)) && q.config.Idle(f.workspace) {
			best = f
		}
	}
	if best == nil {
		return first
	}
	return best
}

// take removes an entry that gets a slot, and charges its workspace.
func (q *Queue) take(e *Entry) {
	f := e.flow
	q.Remove(e)
	f.band.virtual = max(f.band.virtual, f.tag)
	f.charge(e.cost)
}

// charge adds service time to the tag of a flow.
func (f *flow) charge(used time.Duration) {
	f.tag += int64(used)
	f.band.active.fix(f)
}

// Restore puts back an entry that could not use its slot after all.
func (q *Queue) Restore(now model.Time, e *Entry) {
	e.flow.charge(-e.cost)
	q.add(now, e)
}

// Finish records that a statement that got a slot has released it after used.
func (q *Queue) Finish(e *Entry, used time.Duration) {
	used = max(used, minService)
	e.flow.charge(used - e.cost)
	p := min(max(e.Priority, 0), Priorities-1)
	q.service[p] = max(q.service[p]+(used-q.service[p])/serviceDivisor, minService)
}
