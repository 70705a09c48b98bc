package property

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replication"
)

const (
	replicationChecks = 200
	replicationSteps  = 1000
)

// expireAll advances the time past all deadlines and checks that every request
// has ended. It does so twice, because a write that the first tick admits starts
// another wait.
func (w *replicationSimulation) expireAll() {
	for range 2 {
		w.now = w.now.Add(requestTimeout)
		w.tickAll()
	}
	if len(w.pending) != 0 {
		w.t.Fatalf("%d requests are pending after their deadlines", len(w.pending))
	}
}

func (w *replicationSimulation) tickAll() {
	for h := range w.holders {
		w.apply(h, replication.Event{Kind: replication.Tick})
	}
}

// checkRecovery ends all faults, changes the primary once more, and checks that
// afterwards each holder gets a write acknowledged and a read from every upstream.
func (w *replicationSimulation) checkRecovery() {
	w.group.heal()
	w.inFlight = nil
	w.fence = nil
	for terms := len(w.group.primaries); len(w.group.primaries) == terms; {
		w.isolated = 3
		w.changePrimary()
	}
	p := w.highestPrimary()
	for i, u := range w.group.upstreams {
		if i != p {
			w.group.follow(i, w.group.upstreams[p].promised, w.group.upstreams[p].id)
		}
		w.submitReads(u.id)
	}
	acknowledged := w.acknowledged
	for h := range w.holders {
		ev := replication.Event{Kind: replication.WriteCheck, Upstream: w.group.upstreams[p].id, Deadline: w.now.Add(requestTimeout)}
		w.submit(&request{holder: h, ev: ev})
	}
	w.runWithoutFaults()
	if len(w.pending) != 0 || w.acknowledged != acknowledged+len(w.holders) {
		w.t.Fatalf("%d writes acknowledged and %d requests open after the faults", w.acknowledged-acknowledged, len(w.pending))
	}
}

// submitReads submits a read of a new session at each holder.
func (w *replicationSimulation) submitReads(u model.UpstreamID) {
	for h := range w.holders {
		ev := replication.Event{Kind: replication.ReadCheck, Upstream: u, MaxAge: requestTimeout, Deadline: w.now.Add(requestTimeout)}
		w.submit(&request{holder: h, ev: ev})
	}
}

// runWithoutFaults simulates half of requestTimeout without faults.
func (w *replicationSimulation) runWithoutFaults() {
	for end := w.now.Add(requestTimeout / 2); w.now < end; w.now = w.now.Add(time.Millisecond) {
		for i, u := range w.group.upstreams {
			w.group.replicate(i, 1000)
			u.applied = len(u.log)
		}
		w.tickAll()
		for n := len(w.inFlight); n > 0; n-- {
			p := w.inFlight[0]
			w.inFlight = w.inFlight[1:]
			w.deliverMessage(&p)
		}
	}
}

// TestReplication guards against acknowledging a write that a majority has not
// replicated or that is lost later, against reads on a replica or a replaced
// primary that are below their floor or older than their freshness bound, and
// against requests that end twice, never, or with a refusal after the faults have
// ended.
//
// Mutations of core/replication that the test detects, with the failure:
//   - a later term, the primary alone, or a fenced upstream counts for a write:
//     "acknowledged without a majority"
//   - the primary alone confirms a round; a round that started before the check
//     counts; MaxAge is ignored; answers of an older round replace newer ones:
//     "read misses write"
//   - the floor is ignored; every replica counts as caught up after a round:
//     "sees ..., below its floor"
//   - rounds are as rare as those of an idle group: "requests open after the
//     faults"
func TestReplication(t *testing.T) {
	admitted, acknowledged := 0, 0
	checkWithFixedSeed(t, replicationChecks, func(rt *rapid.T) {
		w := newReplicationSimulation(rt)
		w.draw(rt)
		changes := 1 + w.intN(6)
		for range replicationSteps {
			w.draw(rt)
			w.step(changes)
		}
		w.expireAll()
		w.checkRecovery()
		admitted += w.admitted
		acknowledged += w.acknowledged
	})
	if admitted < replicationChecks*10 || acknowledged < replicationChecks {
		t.Errorf("only %d reads admitted and %d writes acknowledged", admitted, acknowledged)
	}
	t.Logf("%d reads admitted, %d writes acknowledged", admitted, acknowledged)
}
