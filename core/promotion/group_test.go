package promotion

import (
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
)

// groupHarness is a listHarness in which each upstream has its own log position and role.
type groupHarness struct {
	*listHarness
	received map[model.UpstreamID]uint64
	replica  map[model.UpstreamID]bool
}

func newGroupHarness() *groupHarness {
	return &groupHarness{listHarness: newListHarness(), received: map[model.UpstreamID]uint64{}, replica: map[model.UpstreamID]bool{}}
}

// completeGroup lists a, b and c until the lease holder knows them as the whole group.
func (h *groupHarness) completeGroup() {
	h.list("a", "b", "c")
	h.state.Acquire(h.now, Acquisition{Revision: 1})
	for range 4 {
		h.step(time.Second)
		h.list("a", "b", "c")
	}
}

func (h *groupHarness) status(id model.UpstreamID) {
	p := model.Position{Term: model.Term{Counter: 1}, Pos: model.LogPos(h.received[id])}
	h.view.Apply(h.now, &replicaset.Event{Kind: replicaset.EventStatus, Upstream: id, SentAt: h.now, Status: replicaset.Status{
		Primary: id == "a" && !h.replica[id], Term: 1, Received: p, Applied: p, FencedTerm: h.fenced[id],
	}}, nil)
	if id == "a" && !h.replica[id] {
		h.view.Apply(h.now, &replicaset.Event{Kind: replicaset.EventConfirmed, Upstream: "a", Term: 1, SentAt: h.now, Until: h.now.Add(100 * time.Millisecond)}, nil)
	}
}

// step lets all known upstreams answer or fail, ticks, and carries out commands, for d.
func (h *groupHarness) step(d time.Duration) {
	for end := h.now.Add(d); h.now < end; h.now = h.now.Add(50 * time.Millisecond) {
		for _, id := range h.view.Upstreams("db") {
			if h.down[id] {
				h.view.Apply(h.now, &replicaset.Event{Kind: replicaset.EventFailed, Upstream: id}, nil)
			} else {
				h.status(id)
			}
		}
		in := h.input()
		for _, e := range h.state.Tick(h.now, in, nil) {
			h.execute(&e)
		}
	}
}

// Guards against a switchover in a group that has lost the only replica with the last commits:
// the target has what the other replicas have, but not what the primary has acknowledged.
func TestNoSwitchoverInAnIncompleteGroup(t *testing.T) {
	h := newGroupHarness()
	h.received = map[model.UpstreamID]uint64{"a": 10, "b": 10, "c": 10, "d": 10}
	h.completeGroup()
	// Commits 11 to 15 reach c only and are acknowledged; the VM has evidence of them.
	h.received["a"], h.received["c"] = 15, 15
	h.step(300 * time.Millisecond)
	// c leaves and is replaced by d; the replicas that are left receive nothing for a while.
	h.view.Apply(h.now, &replicaset.Event{Kind: replicaset.EventReplaced, Upstream: "c"}, nil)
	h.list("a", "b", "d")
	h.step(200 * time.Millisecond)
	v := h.view.Views()[0]
	e, _ := h.view.NewestEvidence("db")
	if !v.Incomplete || e.Position.Pos != 15 {
		t.Fatalf("fixture: incomplete %t, evidence %v", v.Incomplete, e.Position)
	}
	// The primary announces that it leaves.
	ev := replicaset.Event{Kind: replicaset.EventRegistrations, SentAt: h.now}
	for _, id := range []model.UpstreamID{"a", "b", "d"} {
		ev.Registrations = append(ev.Registrations, replicaset.Registration{
			ID: id, Service: "db", Address: string(id) + ":1", Zone: model.Zone("zone-" + id), Slots: 3, Primary: id == "a", Leaving: id == "a", Sequence: 2, Incarnation: 1,
		})
	}
	h.view.Apply(h.now, &ev, nil)
	for range 3 {
		h.step(200 * time.Millisecond)
		ev.SentAt = h.now
		h.view.Apply(h.now, &ev, nil)
	}
	if h.promoted != "" {
		t.Errorf("%q was promoted at %d by a switchover, although 11 to 15 were acknowledged through c and the evidence has them", h.promoted, h.received[h.promoted])
	}
}

// Guards against a former primary that has restarted without its log and counts as stepped
// down with all acknowledged commits.
func TestFormerPrimaryWithoutItsLogProvesNothing(t *testing.T) {
	h := newGroupHarness()
	h.received = map[model.UpstreamID]uint64{"a": 20, "b": 10, "c": 20}
	h.completeGroup()
	// c, which alone has received 11 to 20, and a do not answer; a comes back empty.
	h.down["a"], h.down["c"] = true, true
	h.step(1500 * time.Millisecond)
	h.list("a", "b", "c")
	if h.promoted != "" {
		t.Fatalf("promoted %q already", h.promoted)
	}
	h.down["a"], h.replica["a"], h.received["a"] = false, true, 0
	h.step(1500 * time.Millisecond)
	if h.promoted != "" {
		t.Errorf("%q was promoted at %d; 11 to 20 were acknowledged through c, which is not fenced", h.promoted, h.received[h.promoted])
	}
}

// Guards against the promotion of a former primary that has restarted without its log, while no
// replica answers.
func TestFormerPrimaryWithoutItsLogIsNotPromoted(t *testing.T) {
	h := newGroupHarness()
	h.received = map[model.UpstreamID]uint64{"a": 20, "b": 20, "c": 20}
	h.completeGroup()
	h.down["a"], h.down["b"], h.down["c"] = true, true, true
	h.step(1500 * time.Millisecond)
	h.list("a", "b", "c")
	h.down["a"], h.replica["a"], h.received["a"] = false, true, 0
	h.step(1500 * time.Millisecond)
	if h.promoted != "" {
		t.Errorf("%q was promoted at %d; 20 commits were acknowledged", h.promoted, h.received[h.promoted])
	}
}

// Guards against a failover that waits for ever: the primary is lost to all VMs but still
// listed, and the lease holder, which has started lately, has evidence of a commit that no
// replica received.
func TestFailoverDespiteAnUnreplicatedCommit(t *testing.T) {
	for _, tail := range []uint64{0, 1} {
		h := newGroupHarness()
		h.received = map[model.UpstreamID]uint64{"b": 10, "c": 10}
		h.down["a"] = true
		h.list("a", "b", "c")
		h.state.Acquire(h.now, Acquisition{Revision: 1})
		h.step(50 * time.Millisecond)
		p := model.Position{Term: model.Term{Counter: 1}, Pos: model.LogPos(10 + tail)}
		h.view.Apply(h.now, &replicaset.Event{Kind: replicaset.EventPrimary, Service: "db", Upstream: "a", Term: 1, SentAt: h.now}, nil)
		h.view.Apply(h.now, &replicaset.Event{Kind: replicaset.EventEvidence, Service: "db", Position: p, Term: 1, SentAt: h.now}, nil)
		begin := h.now
		for h.promoted == "" && h.now.Sub(begin) < 20*time.Second {
			h.step(500 * time.Millisecond)
			h.list("a", "b", "c")
		}
		if h.promoted == "" {
			t.Errorf("no upstream was promoted within %v, with %d unreplicated commits", h.now.Sub(begin), tail)
		}
	}
}

// Guards against a failover that takes evidence from before the loss of a replica for
// everything that this replica may have received.
func TestNoFailoverOnEvidenceOlderThanTheLossOfAReplica(t *testing.T) {
	h := newGroupHarness()
	h.received = map[model.UpstreamID]uint64{"a": 10, "b": 10, "c": 10}
	h.completeGroup()
	h.step(200 * time.Millisecond)
	if v := h.view.Views()[0]; v.Incomplete || !v.ListComplete {
		t.Fatalf("fixture: incomplete %t, list complete %t", v.Incomplete, v.ListComplete)
	}
	// Commits 11 to 15 are acknowledged through c within the next 50 ms. Then the primary
	// crashes and c is replaced.
	h.down["a"] = true
	h.view.Apply(h.now, &replicaset.Event{Kind: replicaset.EventReplaced, Upstream: "c"}, nil)
	for range 6 {
		h.step(500 * time.Millisecond)
		h.list("a", "b")
	}
	if h.promoted == "b" {
		e, _ := h.view.NewestEvidence("db")
		t.Errorf("b was promoted at 10; the evidence %v is from before the loss of c, through which later commits were acknowledged", e.Position)
	}
}

// Guards against a failover that runs into its limit because a replica has left meanwhile, and
// then goes on as if that replica had never been there.
func TestNoFailoverAfterAReplicaLeftDuringIt(t *testing.T) {
	h := newGroupHarness()
	h.received = map[model.UpstreamID]uint64{"a": 10, "b": 10, "c": 15}
	h.completeGroup()
	// 11 to 15 were acknowledged through c after the last status of the primary; c does not
	// answer and leaves.
	h.down["a"], h.down["c"] = true, true
	h.step(1500 * time.Millisecond)
	h.view.Apply(h.now, &replicaset.Event{Kind: replicaset.EventReplaced, Upstream: "c"}, nil)
	for range 20 {
		h.step(500 * time.Millisecond)
		h.list("a", "b")
	}
	if h.promoted != "" {
		t.Errorf("%q was promoted at %d, although c may have received more after the newest evidence", h.promoted, h.received[h.promoted])
	}
}

// Guards against a promotion without fencing a replica that had started before the list was
// read and registers up to 630 ms later.
func TestFailoverAwaitsReplicasThatRegisterLate(t *testing.T) {
	h := newGroupHarness()
	h.received = map[model.UpstreamID]uint64{"a": 10, "b": 10, "c": 10, "d": 15}
	h.completeGroup()
	h.down["a"] = true
	for range 40 {
		h.step(50 * time.Millisecond)
		if h.started {
			break
		}
	}
	h.list("a", "b", "c") // the refresh; d, started 300 ms ago, writes its entry 300 ms later
	h.step(300 * time.Millisecond)
	early := h.promoted
	h.list("a", "b", "c", "d")
	h.step(time.Second)
	if early != "" && h.fenced["d"] == 0 {
		t.Errorf("%q was promoted within 300 ms of the list, without d, which had received 11 to 15", early)
	}
}

// Guards against a failover that waits for its limit because the former primary has come back
// without its log: it answers, and acknowledges nothing.
func TestFormerPrimaryWithoutItsLogIsReplacedInTime(t *testing.T) {
	h := newGroupHarness()
	h.received = map[model.UpstreamID]uint64{"a": 20, "b": 20, "c": 20}
	h.completeGroup()
	h.down["a"] = true
	lostAt := h.now
	h.step(900 * time.Millisecond)
	h.down["a"], h.replica["a"], h.received["a"] = false, true, 0
	for h.promoted == "" && h.now.Sub(lostAt) < 10*time.Second {
		h.list("a", "b", "c")
		h.step(250 * time.Millisecond)
	}
	if limit, elapsed := registrationTimeout+time.Second, h.now.Sub(lostAt); elapsed > limit || h.promoted != "b" && h.promoted != "c" {
		t.Errorf("%q is promoted after %v, want b or c within %v", h.promoted, elapsed, limit)
	}
}
