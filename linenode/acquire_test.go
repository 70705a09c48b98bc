package linenode

import (
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/chervilhatch/chervilhatch/boottime"
	"github.com/chervilhatch/chervilhatch/core/model"
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

