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

// expireAll lets all deadlines pass, after which every request has ended. A
// write that was admitted by the first tick waits once more.
func (w *replicationWorld) expireAll() {
	for range 2 {
		w.now = w.now.Add(requestTimeout)
		w.tickAll()
	}
	if len(w.pending) != 0 {
		w.t.Fatalf("%d requests did not end", len(w.pending))
	}
}

func (w *replicationWorld) tickAll() {
	for h := range w.holders {
		w.apply(h, replication.Event{Kind: replication.Tick})
	}
}

// checkRecovery ends all faults, changes the primary once more, and checks that each
// holder then gets a write acknowledged and a read from every upstream.
func (w *replicationWorld) checkRecovery() {
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

// submitReads starts a read of a new session at each holder.
func (w *replicationWorld) submitReads(u model.UpstreamID) {
	for h := range w.holders {
		ev := replication.Event{Kind: replication.ReadCheck, Upstream: u, MaxAge: requestTimeout, Deadline: w.now.Add(requestTimeout)}
		w.submit(&request{holder: h, ev: ev})
	}
}

// runWithoutFaults lets half of a request's time pass without faults.
func (w *replicationWorld) runWithoutFaults() {
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

// TestReplication guards against the acknowledgement of a write that a
// majority does not hold or that is lost later, against reads below the floor
// or older than their bound, on a replica or an old primary, and against
// requests that end twice, never, or in a refusal once the faults have stopped.
//
// Mutations of core/replication that it was seen to reject, and how:
//   - a later term, the primary alone, or a fenced upstream counts for a write:
//     "acknowledged without a majority"
//   - a round confirmed by the primary alone; a round that started before the
//     check counts; MaxAge ignored; answers of an older round kept: "read
//     misses write"
//   - the floor ignored; every replica counts as fresh after a round: "sees ...,
//     below its floor"
//   - polls as rare as those of an idle group: "requests open after the faults"
func TestReplication(t *testing.T) {
	admitted, acknowledged := 0, 0
	checkFixed(t, replicationChecks, func(rt *rapid.T) {
		w := newReplicationWorld(rt)
		w.roll(rt)
		changes := 1 + w.below(6)
		for range replicationSteps {
			w.roll(rt)
			w.step(changes)
		}
		w.expireAll()
		w.checkRecovery()
		admitted += w.admitted
		acknowledged += w.acknowledged
	})
	if admitted < replicationChecks*10 || acknowledged < replicationChecks {
		t.Errorf("only %d reads were granted and %d writes acknowledged", admitted, acknowledged)
	}
	t.Logf("%d reads granted, %d writes acknowledged", admitted, acknowledged)
}
