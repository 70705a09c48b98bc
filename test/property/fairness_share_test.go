package property

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chervilhatch/chervilhatch/core/fairness"
	"github.com/chervilhatch/chervilhatch/core/model"
)

// shareModel simulates one upstream, a first workspace that always has waiting
// requests, and others that send at random. It measures the first one's share.
type shareModel struct {
	t     *rapid.T
	state *fairness.State
	now   model.Time
	slots int
	// equalLengths is true if all requests take maxServiceTime, which is also the
	// initial estimate.
	equalLengths bool
	weights      []int64
	// waiting is the number of waiting requests of each workspace, owner the
	// workspace of each request that has not ended.
	waiting []int
	owner   map[uint64]int
	running []runningRequest
	lastID  uint64
	// firstUsed is the slot time used by the first workspace, totalUsed that used
	// by all.
	firstUsed time.Duration
	totalUsed time.Duration
	// maxLead is the largest lead of firstUsed over the fair share so far.
	maxLead time.Duration
	out     []fairness.Effect
}

// runningRequest is a request that occupies a slot until end.
type runningRequest struct {
	id  uint64
	end model.Time
}

const (
	maxServiceTime = 50 * time.Millisecond
	// firstQueueLength is larger than the number of requests that can start at the
	// same time, so that the first workspace always has waiting requests.
	firstQueueLength = 12
	noDeadline       = model.Time(1 << 62)
	// phaseSteps is the number of steps during which the set of senders stays.
	phaseSteps = 200
)

func newShareModel(t *rapid.T) *shareModel {
	m := &shareModel{
		t:            t,
		state:        fairness.New(fairness.Config{ServiceTime: maxServiceTime}),
		equalLengths: rapid.Bool().Draw(t, "equal"),
		slots:        rapid.IntRange(1, 5).Draw(t, "slots"),
		owner:        map[uint64]int{},
	}
	for range rapid.IntRange(2, 5).Draw(t, "workspaces") {
		m.weights = append(m.weights, int64(rapid.IntRange(1, 4).Draw(t, "weight")))
	}
	m.waiting = make([]int, len(m.weights))
	m.apply(fairness.Event{Kind: fairness.EventUpstreamSet, Upstream: "u", Slots: m.slots})
	return m
}

// apply applies an event and starts the requests that get a slot.
func (m *shareModel) apply(ev fairness.Event) {
	m.out = m.state.Apply(m.now, &ev, m.out[:0])
	for _, e := range m.out {
		w := m.owner[e.ID]
		m.waiting[w]--
		if e.Kind == fairness.EffectRefuse {
			delete(m.owner, e.ID)
			continue
		}
		m.running = append(m.running, runningRequest{id: e.ID, end: m.now.Add(m.drawServiceTime())})
	}
}

// drawServiceTime returns the slot time of the next request.
func (m *shareModel) drawServiceTime() time.Duration {
	if m.equalLengths {
		return maxServiceTime
	}
	longest := int(maxServiceTime / time.Microsecond)
	return time.Duration(rapid.IntRange(1, longest).Draw(m.t, "service")) * time.Microsecond
}

// send enqueues a request of workspace w.
func (m *shareModel) send(w int) {
	m.lastID++
	m.owner[m.lastID] = w
	m.waiting[w]++
	m.apply(fairness.Event{
		Kind: fairness.EventEnqueue, ID: m.lastID, Upstream: "u", Deadline: noDeadline,
		Workspace: model.Workspace(rune('a' + w)), Weight: m.weights[w],
	})
}

// advance moves the time forward to the end of the next request, but by no more
// than limit.
func (m *shareModel) advance(limit time.Duration) {
	until := m.now.Add(limit)
	first := -1
	for i, r := range m.running {
		if r.end <= until {
			until = r.end
			first = i
		}
	}
	for _, r := range m.running {
		m.totalUsed += until.Sub(m.now)
		if m.owner[r.id] == 0 {
			m.firstUsed += until.Sub(m.now)
		}
	}
	m.now = until
	if first < 0 {
		return
	}
	id := m.running[first].id
	m.running = append(m.running[:first], m.running[first+1:]...)
	m.apply(fairness.Event{Kind: fairness.EventFinished, ID: id})
	delete(m.owner, id)
}

// refillFirst fills the queue of the first workspace to firstQueueLength.
func (m *shareModel) refillFirst() {
	for m.waiting[0] < firstQueueLength {
		m.send(0)
	}
}

// checkShare checks the slot time of the first workspace in every window that ends
// now against its weighted share. It may lag behind by one request per slot, plus
// the one by which it was ahead when the window began. If lengths are not known in
// advance, it may lag by one more request per other workspace, since a request of
// any of these may take longer than estimated. If all lengths are equal, it may
// lag by at most one request since the start.
func (m *shareModel) checkShare() {
	sum := int64(0)
	for _, w := range m.weights {
		sum += w
	}
	lead := m.firstUsed - time.Duration(int64(m.totalUsed)*m.weights[0]/sum)
	m.maxLead = max(m.maxLead, lead)
	slack := maxServiceTime * time.Duration(m.slots+1)
	if !m.equalLengths {
		slack += maxServiceTime * time.Duration(len(m.weights)-1)
	}
	if lag := m.maxLead - lead; lag > slack {
		m.t.Fatalf("share lags by %v in a window, slots %d, weights %v, equal lengths %v", lag, m.slots, m.weights, m.equalLengths)
	}
	if m.equalLengths && -lead > maxServiceTime {
		m.t.Fatalf("share lags by %v since the start, slots %d, weights %v", -lead, m.slots, m.weights)
	}
}

// TestFairnessShare guards against a workspace that gets less than its share
// because others send more, have longer requests, or return after an idle time.
//
// It has been verified to fail with these mutations of core/fairness and messages:
//   - activate a flow with its old start tag instead of the virtual time: "share
//     lags by 160ms in a window"
//   - do not divide tags by weights: "share lags by 105ms"
//   - do not charge slot time: "share lags by 200ms"
func TestFairnessShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newShareModel(t)
		m.refillFirst()
		senders := 0
		for step := range fairnessSteps {
			if step%phaseSteps == 0 {
				senders = rapid.IntRange(0, 1<<len(m.weights)-1).Draw(t, "senders")
			}
			switch n := rapid.IntRange(0, 9).Draw(t, "action"); {
			case n < 4:
				w := rapid.IntRange(1, len(m.weights)-1).Draw(t, "sender")
				m.burst(w, senders)
			case n < 5:
				m.apply(fairness.Event{Kind: fairness.EventTick})
			default:
				m.advance(10 * time.Millisecond)
			}
			m.refillFirst()
			m.checkShare()
		}
	})
}

// burst sends up to 8 requests of w if it is one of the senders of the phase.
// senders is a bit set of workspaces.
func (m *shareModel) burst(w, senders int) {
	if senders&(1<<w) == 0 {
		return
	}
	for range rapid.IntRange(1, 8).Draw(m.t, "burst") {
		m.send(w)
	}
}
