package linenode

import (
	"testing"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
)

// Guards against an isolated VM that keeps its callers because it has evidence of the
// few services whose primary is in its zone, or, while it does not reach the store
// either, of more of them, and against a VM that rejects its callers
// although it reaches most services or enough peers.
func TestVMWithoutPeersAndEvidenceIsIsolated(t *testing.T) {
	services := []catalog.Service{"one", "two", "three"}
	for withEvidence := range len(services) + 1 {
		c := newCluster(Options{VM: "vm", Log: zerolog.Nop(), Registry: metrics.NewRegistry()})
		ev := &replicaset.Event{Kind: replicaset.EventRegistrations, SentAt: c.Now()}
		for _, s := range services {
			ev.Registrations = append(ev.Registrations, replicaset.Registration{ID: model.UpstreamID("i-" + s), Service: s})
		}
		c.replicas.Apply(c.Now(), ev, nil)
		for _, s := range services[:withEvidence] {
			c.replicas.Apply(c.Now(), &replicaset.Event{Kind: replicaset.EventEvidence, Service: s, Term: 1, SentAt: c.Now()}, nil)
		}
		c.isolated = func() bool { return true }
		if got, want := c.Isolated(), withEvidence*2 < len(services); got != want {
			t.Errorf("evidence of %d of %d services: isolated %t, want %t", withEvidence, len(services), got, want)
		}
		c.Observe(&replicaset.Event{Kind: replicaset.EventStoreUnavailable})
		if !c.Isolated() {
			t.Errorf("evidence of %d of %d services: not isolated although it reaches neither peers nor the store", withEvidence, len(services))
		}
		c.isolated = func() bool { return false }
		if c.Isolated() {
			t.Error("isolated although it hears from its peers")
		}
	}
}
