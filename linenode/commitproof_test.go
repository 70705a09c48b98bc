package linenode

import (
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/upstreamrun"
)

func newReviewCluster() *cluster {
	o := Options{VM: "vm", Zone: "z", Log: zerolog.Nop(), Registry: metrics.NewRegistry()}
	c := newCluster(o)
	c.forward = newForwarder(c.probes.ctx, c, newMembers(o, c), newLinks())
	c.proofs = newCommitProofs(c)
	c.askForPromises = func() {}
	return c
}

// Guards against commits that are passed on without a proof by a VM that gets forwarded writes before it knows the
// configuration of their service.
func TestCommitsNeedAProofWithoutAConfiguration(t *testing.T) {
	c := newReviewCluster()
	position := model.Position{Term: model.Term{Counter: 1}, Pos: 7}
	c.Observe(&replicaset.Event{Kind: replicaset.EventRegistrations, SentAt: c.Now(), Registrations: []replicaset.Registration{
		{ID: "a", Service: "db", Primary: true}, {ID: "b", Service: "db"},
	}})
	place := &upstreamrun.Place{Service: "db", Upstream: "a", Deadline: time.Now().Add(100 * time.Millisecond)}
	if c.ConfirmCommit(place, position) {
		t.Error("a commit is passed on without a configuration, a promise or a proof")
	}
	c.catalog.Store((&catalog.Snapshot{Version: 1}).Index())
	if c.ConfirmCommit(place, position) {
		t.Error("a commit of a service that the configuration lacks is passed on without a promise or a proof")
	}
}

// Guards against writes that are sent although no replica could prove their commits, so that each ends with an unknown
// outcome after its whole time limit.
func TestWritesAreRefusedWhileNoReplicaCanProveThem(t *testing.T) {
	c := newReviewCluster()
	c.catalog.Store((&catalog.Snapshot{Version: 1, Services: []catalog.ServiceConfig{{Name: "db", SyncReplicas: 1}}}).Index())
	c.Observe(&replicaset.Event{Kind: replicaset.EventRegistrations, SentAt: c.Now(), Registrations: []replicaset.Registration{
		{ID: "a", Service: "db", Primary: true}, {ID: "b", Service: "db", Leaving: true},
	}})
	c.Observe(&replicaset.Event{Kind: replicaset.EventStatus, Upstream: "a", SentAt: c.Now(), Status: replicaset.Status{Primary: true, Term: 1}})
	c.Observe(&replicaset.Event{Kind: replicaset.EventConfirmed, Upstream: "a", Term: 1, SentAt: c.Now(), Until: c.Now().Add(time.Minute)})
	place := &upstreamrun.Place{Service: "db", Upstream: "a", Wait: 20 * time.Millisecond, Deadline: time.Now().Add(300 * time.Millisecond)}
	if !c.ConfirmCommits(place, c.Now()) {
		return
	}
	start := time.Now()
	proved := c.ConfirmCommit(place, model.Position{Term: model.Term{Counter: 1}, Pos: 7})
	t.Errorf("the write is sent; proved %t after %v", proved, time.Since(start))
}
