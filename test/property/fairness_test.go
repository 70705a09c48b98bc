package property

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chervilhatch/chervilhatch/core/fairness"
	"github.com/chervilhatch/chervilhatch/core/model"
)

// fairnessSteps is the number of random events in one check.
const fairnessSteps = 2000

// requestModel is the expected state of one request.
type requestModel struct {
	upstream  model.UpstreamID
	workspace model.Workspace
	key       model.KeyID
	deadline  model.Time
	running   bool
}

// queueModel applies random events to a fairness.State and checks its effects.
type queueModel struct {
	t      *rapid.T
	state  *fairness.State
	now    model.Time
	lastID uint64
	slots  map[model.UpstreamID]int
	// requests has the requests that have not ended.
	requests map[uint64]*requestModel
	// ids has the IDs of the requests that have not ended, in the order of arrival.
	ids []uint64
	// ended has the outcome of each request that has ended.
	ended map[uint64]string
	out   []fairness.Effect
}

// modelQueueLimit is small enough that queues fill up.
const modelQueueLimit = 8

func newQueueModel(t *rapid.T) *queueModel {
	return &queueModel{
		t:        t,
		state:    fairness.New(fairness.Config{QueueLimit: modelQueueLimit}),
		slots:    map[model.UpstreamID]int{},
		requests: map[uint64]*requestModel{},
		ended:    map[uint64]string{},
	}
}

// apply applies an event and checks its effects.
func (m *queueModel) apply(ev fairness.Event) {
	m.out = m.state.Apply(m.now, &ev, m.out[:0])
	for _, e := range m.out {
		m.checkEffect(e)
	}
}

func (m *queueModel) checkEffect(e fairness.Effect) {
	r := m.requests[e.ID]
	if r == nil {
		m.t.Fatalf("effect %+v for request %d, which has ended: %q", e, e.ID, m.ended[e.ID])
	}
	if e.Kind == fairness.EffectRefuse {
		if r.running {
			m.t.Fatalf("request %d was refused while running", e.ID)
		}
		m.endRequest(e.ID, "refused")
		return
	}
	if r.running {
		m.t.Fatalf("request %d was run twice", e.ID)
	}
	if m.now >= r.deadline {
		m.t.Fatalf("request %d was run after its deadline", e.ID)
	}
	r.running = true
	if running := m.countRequests(e.Upstream, true); running > m.slots[e.Upstream] {
		m.t.Fatalf("%d requests run on %d slots", running, m.slots[e.Upstream])
	}
}

// endRequest removes a request and records its outcome.
func (m *queueModel) endRequest(id uint64, outcome string) {
	m.ended[id] = outcome
	delete(m.requests, id)
	for i := range m.ids {
		if m.ids[i] == id {
			m.ids = append(m.ids[:i], m.ids[i+1:]...)
			return
		}
	}
}

// countRequests returns the number of running or of waiting requests of u.
func (m *queueModel) countRequests(u model.UpstreamID, running bool) int {
	n := 0
	for _, r := range m.requests {
		if r.upstream == u && r.running == running {
			n++
		}
	}
	return n
}

func (m *queueModel) enqueue() {
	m.lastID++
	id := m.lastID
	r := &requestModel{
		upstream:  drawName[model.UpstreamID](m.t, "u", 2),
		workspace: drawName[model.Workspace](m.t, "w", 3),
		key:       drawName[model.KeyID](m.t, "k", 2),
		deadline:  m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(m.t, "deadline")) * time.Millisecond),
	}
	m.requests[id] = r
	m.ids = append(m.ids, id)
	m.apply(fairness.Event{
		Kind: fairness.EventEnqueue, ID: id, Upstream: r.upstream, Workspace: r.workspace,
		Key: r.key, Weight: int64(rapid.IntRange(1, 4).Draw(m.t, "weight")), Deadline: r.deadline,
	})
}

// finishOrCancel finishes a random request if it is running, otherwise cancels it.
// A running request is canceled first, which must have no effect.
func (m *queueModel) finishOrCancel() {
	if len(m.ids) == 0 {
		return
	}
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 5).Draw(m.t, "ms")) * time.Millisecond)
	id := m.ids[rapid.IntRange(0, len(m.ids)-1).Draw(m.t, "request")]
	kind, outcome := fairness.EventCancel, "cancelled"
	if m.requests[id].running {
		m.apply(fairness.Event{Kind: fairness.EventCancel, ID: id})
		kind, outcome = fairness.EventFinished, "finished"
	}
	m.endRequest(id, outcome)
	m.apply(fairness.Event{Kind: kind, ID: id})
}

func (m *queueModel) setUpstream() {
	u := drawName[model.UpstreamID](m.t, "u", 2)
	n := rapid.IntRange(0, 4).Draw(m.t, "slots")
	m.slots[u] = n
	if n == 0 {
		delete(m.slots, u)
		m.apply(fairness.Event{Kind: fairness.EventUpstreamRemoved, Upstream: u})
		if m.countRequests(u, false) > 0 {
			m.t.Fatalf("requests wait for the removed upstream %s", u)
		}
		return
	}
	m.apply(fairness.Event{Kind: fairness.EventUpstreamSet, Upstream: u, Slots: n})
}

func (m *queueModel) withdraw() {
	w, k := drawName[model.Workspace](m.t, "w", 3), drawName[model.KeyID](m.t, "k", 2)
	m.apply(fairness.Event{Kind: fairness.EventWithdraw, Workspace: w, Key: k})
	for id, r := range m.requests {
		if !r.running && r.workspace == w && r.key == k {
			m.t.Fatalf("request %d still waits with a withdrawn key", id)
		}
	}
}

func (m *queueModel) tick() {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(m.t, "ms")) * time.Millisecond)
	m.apply(fairness.Event{Kind: fairness.EventTick})
	for id, r := range m.requests {
		if !r.running && m.now >= r.deadline {
			m.t.Fatalf("request %d still waits after its deadline", id)
		}
	}
}

// checkInvariants checks that queues are bounded and that no slot is idle while
// requests wait.
func (m *queueModel) checkInvariants() {
	queues := map[string]int{}
	for _, r := range m.requests {
		if !r.running {
			queues[fmt.Sprint(r.upstream, r.workspace)]++
		}
	}
	for name, n := range queues {
		if n > modelQueueLimit {
			m.t.Fatalf("%d requests wait in queue %s, which is above its limit", n, name)
		}
	}
	for u, slots := range m.slots {
		if m.countRequests(u, false) > 0 && m.countRequests(u, true) < slots {
			m.t.Fatalf("a slot of %s is idle while requests wait", u)
		}
	}
}

// drawName returns the prefix followed by a random number below n.
func drawName[T ~string](t *rapid.T, prefix string, n int) T {
	return T(prefix + string(rune('0'+rapid.IntRange(0, n-1).Draw(t, prefix))))
}

// TestFairnessQueues guards against requests that are both run and refused,
// unbounded queues, idle slots, and requests that wait with a withdrawn key, for
// a removed upstream or after their deadline.
//
// It has been verified to fail with these mutations of core/fairness and messages:
//   - compare QueueLimit by >: "9 requests wait in queue"
//   - dispatch without checking the deadline: "was run after its deadline"
//   - cancel a running request; finish without dispatch: "a slot of ... is idle
//     while requests wait"
func TestFairnessQueues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newQueueModel(t)
		for range fairnessSteps {
			switch n := rapid.IntRange(0, 99).Draw(t, "action"); {
			case n < 45:
				m.enqueue()
			case n < 80:
				m.finishOrCancel()
			case n < 94:
				m.tick()
			case n < 97:
				m.setUpstream()
			default:
				m.withdraw()
			}
			m.checkInvariants()
		}
	})
}
