package promotion

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
)

// listHarness runs a lease holder on a view that is built from lists of upstreams and
// from their answers.
type listHarness struct {
	now     model.Time
	view    *replicaset.State
	state   *State
	fenced  map[model.UpstreamID]uint64
	down    map[model.UpstreamID]bool
	started bool
	// leaving has the upstreams whose entries say that they leave.
	leaving map[model.UpstreamID]bool
	// promoted is the target of the first promotion call.
	promoted model.UpstreamID
}

func newListHarness() *listHarness {
	h := &listHarness{
		now: model.Time(time.Hour), view: replicaset.New(), state: New(),
		fenced: map[model.UpstreamID]uint64{}, down: map[model.UpstreamID]bool{},
	}
	h.view.Apply(h.now, &replicaset.Event{Kind: replicaset.EventSyncReplicas, Service: "db", SyncReplicas: 1}, nil)
	return h
}

// list reads a list of upstreams, of which "a" is the primary.
func (h *listHarness) list(ids ...model.UpstreamID) {
	ev := replicaset.Event{Kind: replicaset.EventRegistrations, SentAt: h.now}
	for _, id := range ids {
		ev.Registrations = append(ev.Registrations, replicaset.Registration{
			ID: id, Service: "db", Address: string(id) + ":1", Zone: model.Zone("zone-" + id), Slots: 3, Primary: id == "a", Leaving: h.leaving[id], Sequence: 1, Incarnation: 1,
		})
	}
	h.view.Apply(h.now, &ev, nil)
}

// run advances the time by d; all known upstreams answer in each step, and commands are
// carried out at once.
func (h *listHarness) run(d time.Duration) {
	for end := h.now.Add(d); h.now < end; h.now = h.now.Add(50 * time.Millisecond) {
		for _, id := range h.view.Upstreams("db") {
			h.answer(id)
		}
		in := h.input()
		for _, e := range h.state.Tick(h.now, in, nil) {
			h.execute(&e)
		}
	}
}

func (h *listHarness) input() *Input {
	return &Input{
		Views: h.view.Views(), Voters: []model.VMID{"vm"}, FencesChecked: true,
		Evacuated:    func(model.Zone) bool { return false },
		PeerContact:  func(model.UpstreamID) model.Time { return 0 },
		SyncReplicas: func(catalog.Service) int { return 1 },
		Evidence:     func(s catalog.Service) (replicaset.Evidence, bool) { return h.view.NewestEvidence(s) },
		EvidenceUpTo: h.view.EvidenceUpTo,
	}
}

func (h *listHarness) answer(id model.UpstreamID) {
	if h.down[id] {
		h.view.Apply(h.now, &replicaset.Event{Kind: replicaset.EventFailed, Upstream: id}, nil)
		return
	}
	position := model.Position{Term: model.Term{Counter: 1}, Pos: 10}
	h.view.Apply(h.now, &replicaset.Event{Kind: replicaset.EventStatus, Upstream: id, SentAt: h.now, Status: replicaset.Status{
		Primary: id == "a", Term: 1, Received: position, Applied: position, FencedTerm: h.fenced[id],
	}}, nil)
}

func (h *listHarness) execute(e *Effect) {
	switch {
	case e.Kind == EffectTransitionStarted:
		h.started = true
	case e.Kind == EffectPromote && h.promoted == "":
		h.promoted = e.Upstream
	case e.Kind == EffectWithdraw:
		h.state.ReportWithdrawn(h.now, e.Service, e.VM, e.SentAt, Withdrawal{})
	case e.Kind == EffectCommand && e.Command == CommandPause && !h.down[e.Upstream]:
		h.fenced[e.Upstream] = e.Term
	}
}

// Guards against lost commits after a start of all VMs while the entries of upstreams
// come back after an outage of the store: the lease holder took the upstreams of the
// first list for all, and promoted a replica although the primary was alive.
func TestNoFailoverOnFirstLists(t *testing.T) {
	h := newListHarness()
	h.list("b")
	h.state.Acquire(h.now, Acquisition{Revision: 1})
	h.run(time.Second)
	h.list("b", "c")
	h.run(time.Second)
	h.list("a", "b", "c")
	h.run(2 * time.Second)
	if h.started {
		t.Error("a failover was started while the primary was not listed yet")
	}
}

// Guards against a failover that waits for ever on a VM that has just started.
func TestFailoverOnceTheListIsComplete(t *testing.T) {
	h := newListHarness()
	h.down["a"] = true
	h.state.Acquire(h.now, Acquisition{Revision: 1})
	for range 6 {
		h.list("a", "b", "c")
		h.run(time.Second)
	}
	if h.promoted == "" {
		t.Error("no replica was promoted")
	}
}

// Guards against lost commits when a replica was added shortly before the primary is lost:
// it may be the only one that has received a commit, so it has to be fenced as well.
func TestFailoverFencesReplicasAddedSinceTheLastList(t *testing.T) {
	h := newListHarness()
	h.list("a", "b", "c")
	h.state.Acquire(h.now, Acquisition{Revision: 1})
	h.run(3 * time.Second)
	h.list("a", "b", "c")
	h.run(100 * time.Millisecond)
	h.down["a"] = true
	h.run(1500 * time.Millisecond)
	if !h.started || h.promoted != "" {
		t.Fatalf("started %t, promoted %q on a list from before the loss of the primary", h.started, h.promoted)
	}
	h.list("a", "b", "c", "d")
	h.run(2 * time.Second)
	if h.promoted == "" || h.fenced["d"] == 0 {
		t.Errorf("promoted %q; fenced %v", h.promoted, slices.Sorted(maps.Keys(h.fenced)))
	}
}
