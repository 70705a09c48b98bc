package property

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chervilhatch/chervilhatch/core/fairness"
	"github.com/chervilhatch/chervilhatch/core/model"
)

// shareModel has one upstream, a workspace that always has work, and others
// that send as they like.
type shareModel struct {
	t     *rapid.T
	state *fairness.State
	now   model.Time
	slots int
	// equalLengths is true when all requests have the same, known length.
	equalLengths bool
	weights      []int64
	// waiting and finish have the requests of each workspace.
	waiting []int
	owner   map[uint64]int
	running []runningRequest
	lastID  uint64
	// firstUsed is the slot time that the first workspace got, total that all got.
	firstUsed time.Duration
	totalUsed time.Duration
	// maxLead is the largest lead of used over the fair share so far.
	maxLead time.Duration
	out     []fairness.Effect
}

type runningRequest struct {
	id  uint64
	end model.Time
}

const (
	maxServiceTime = 50 * time.Millisecond
	// firstQueueLength is more than can start at one instant, so that the first
	// workspace always has work.
	firstQueueLength = 12
	noDeadline       = model.Time(1 << 62)
	// phaseSteps is how long the same workspaces send.
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

func (m *shareModel) drawServiceTime() time.Duration {
	if m.equalLengths {
		return maxServiceTime
	}
	longest := int(maxServiceTime / time.Microsecond)
	return time.Duration(rapid.IntRange(1, longest).Draw(m.t, "service")) * time.Microsecond
}

func (m *shareModel) send(w int) {
	m.lastID++
	m.owner[m.lastID] = w
	m.waiting[w]++
	m.apply(fairness.Event{
		Kind: fairness.EventEnqueue, ID: m.lastID, Upstream: "u", Deadline: noDeadline,
		Workspace: model.Workspace(rune('a' + w)), Weight: m.weights[w],
	})
}

// advance moves the time on by at most limit, to the next end of a request.
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

// refillFirst gives the first workspace work.
func (m *shareModel) refillFirst() {
	for m.waiting[0] < firstQueueLength {
		m.send(0)
	}
}

// checkShare checks the first workspace's slot time in every window against its
// weighted share. It may miss one request for each slot, and the one by which it
// was ahead when the window began; since it began to send, it misses at most one
// if all are of the same length. If lengths are not known in advance, it may also
// miss one for each other workspace, since any of these may take longer than
// estimated.
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
		m.t.Fatalf("%v missed in a window, slots %d, weights %v, equal %v", lag, m.slots, m.weights, m.equalLengths)
	}
	if m.equalLengths && -lead > maxServiceTime {
		m.t.Fatalf("%v missed since the start, slots %d, weights %v", -lead, m.slots, m.weights)
	}
}

// Guards against a workspace that gets less than its share because others send
// more, have longer requests, or come back after an idle time.
//
// Shown to fail with: a flow that joins at its old tag instead of the virtual
// time ("160ms missed in a window"); tags not divided by weights ("105ms
// missed"); slot time not charged ("200ms missed").
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

// burst sends some requests of w if it is one of the phase's senders.
func (m *shareModel) burst(w, senders int) {
	if senders&(1<<w) == 0 {
		return
	}
	for range rapid.IntRange(1, 8).Draw(m.t, "burst") {
		m.send(w)
	}
}
