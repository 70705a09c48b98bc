package linenode

import (
	"encoding/json"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/chervilhatch/chervilhatch/boottime"
	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/promotion"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/store"
)

// newCandidate returns a VM that knows the service s with the upstreams a and b. It has
// seen the store but does not try to acquire the promotion lease by itself.
func newCandidate(t *testing.T, vm model.VMID, s *memoryStore) *Node {
	t.Helper()
	n := New(Options{VM: vm, Zone: "z", Store: s.client(), Log: zerolog.Nop(), Registry: metrics.NewRegistry()})
	n.cluster.Observe(&replicaset.Event{Kind: replicaset.EventRegistrations, SentAt: boottime.Now(), Registrations: []replicaset.Registration{
		{ID: "a", Service: "s", Zone: "z", Slots: 1, Primary: true}, {ID: "b", Service: "s", Zone: "z", Slots: 1},
	}})
	n.look(t)
	return n
}

// look lets a VM see the generation of the store.
func (n *Node) look(t *testing.T) {
	t.Helper()
	if _, err := n.options.Store.Get(t.Context(), "any"); err != nil {
		t.Fatal(err)
	}
}

func (n *Node) holds() bool { return n.transitions.leaseHolder() == n.options.VM }

// awaitLease lets a VM try to acquire the lease until it holds it.
func (n *Node) awaitLease(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(3 * promotionLeaseTTL); !n.holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s does not acquire the lease", n.options.VM)
		}
		n.transitions.acquireLease(t.Context())
	}
}

// recordsOf returns the records of promotions in the store.
func recordsOf(t *testing.T, n *Node) map[catalog.Service]promotion.Record {
	t.Helper()
	records, err := n.transitions.readRecords(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return records
}

// decodeMark decodes the mark in the store.
func decodeMark(t *testing.T, s *memoryStore, into *promotion.Mark) {
	t.Helper()
	if err := json.Unmarshal(s.copy()[promotionMarkKey].Value, into); err != nil {
		t.Fatal(err)
	}
}

func newMemoryStore() *memoryStore {
	return &memoryStore{generation: 1, kvs: map[string]store.KeyValue{}}
}

// Guards against two holders of the promotion lease: the store came back from a copy
// without the lease, and its holder, which has not seen that yet, still acts.
func TestLeaseIsNotTakenWhileFormerHolderActs(t *testing.T) {
	s := newMemoryStore()
	holder, other := newCandidate(t, "vm-0", s), newCandidate(t, "vm-1", s)
	empty := s.copy()
	holder.awaitLease(t)
	s.restore(empty)
	for holder.holds() {
		other.transitions.acquireLease(t.Context())
		if other.holds() && holder.holds() {
			t.Fatal("two VMs hold the lease")
		}
		time.Sleep(20 * time.Millisecond)
	}
	other.awaitLease(t)
}

// Guards against a holder that confirms primaries, although records of promotion calls
// that may still be executed were lost when the store came back from a copy.
func TestFirstHolderAfterRestoreConfirmsNothing(t *testing.T) {
	s := newMemoryStore()
	holder, other := newCandidate(t, "vm-0", s), newCandidate(t, "vm-1", s)
	holder.awaitLease(t)
	c := s.copy()
	s.restore(c)
	time.Sleep(promotionLeaseTTL)
	other.look(t)
	other.awaitLease(t)
	mark := promotion.Mark{}
	decodeMark(t, s, &mark)
	if mark.Settled || mark.Generation != 2 {
		t.Errorf("mark %+v, want an unsettled one of generation 2", mark)
	}
	other.transitions.mu.Lock()
	defer other.transitions.mu.Unlock()
	if other.transitions.state.Settled(boottime.Now()) {
		t.Error("calls of the former holder count as ended")
	}
}

// Guards against a holder that waits, or forgets its promotion calls, after it has seen
// that the store came back from a copy.
func TestHolderTakesLeaseBackWithItsRecords(t *testing.T) {
	s := newMemoryStore()
	empty := s.copy()
	holder := newCandidate(t, "vm-0", s)
	holder.awaitLease(t)
	record := promotion.Record{Upstream: "b", Term: 7}
	if err := holder.transitions.writeRecord(t.Context(), "s", record); err != nil {
		t.Fatal(err)
	}
	holder.transitions.mu.Lock()
	holder.transitions.state.Acquire(boottime.Now(), promotion.Acquisition{Revision: 9, Records: recordsOf(t, holder)})
	holder.transitions.mu.Unlock()
	s.restore(empty)
	holder.transitions.renewLease(t.Context(), holder.transitions.lease)
	if holder.holds() {
		t.Error("the lease of the former generation is still held")
	}
	holder.transitions.acquireLease(t.Context())
	if !holder.holds() {
		t.Fatal("the lease was not taken back at once")
	}
	if got := recordsOf(t, holder)["s"]; got.Upstream != "b" || got.Term != 7 || got.Done {
		t.Errorf("record in the store %+v, want %+v", got, record)
	}
	mark := promotion.Mark{}
	decodeMark(t, s, &mark)
	if !mark.Settled || mark.Generation != 2 {
		t.Errorf("mark %+v, want a settled one of generation 2", mark)
	}
}
