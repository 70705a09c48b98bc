package routing

import (
	"testing"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/sqlstate"
)

// writers is a set of concurrent writes to one group.
type writers struct {
	state *State
	// sends counts the attempts of all writes.
	sends int
	// inFlight has the attempts that have not ended.
	inFlight []Effect
}

// record takes over the attempts in out.
func (w *writers) record(out []Effect) {
	for _, e := range out {
		if e.Kind == Send {
			w.sends++
			w.inFlight = append(w.inFlight, e)
		}
	}
}

// refuseAll ends all attempts in flight with a refusal.
func (w *writers) refuseAll(now model.Time, code sqlstate.Code) {
	inFlight := w.inFlight
	w.inFlight = nil
	for _, e := range inFlight {
		w.record(apply(w.state, now, Event{
			Kind: AttemptEnded, ID: e.ID, Attempt: e.Attempt, Upstream: e.Upstream, Outcome: Refused, Code: code,
		}))
	}
}

// startWriters sends n writes to the known primary "a".
func startWriters(n int) *writers {
	w := &writers{state: newState()}
	apply(w.state, 0, Event{Kind: PrimaryKnown, Primary: "a", PrimaryTerm: model.Term{Counter: 1}})
	for id := range n {
		w.record(apply(w.state, 0, write(uint64(id+1))))
	}
	return w
}

// TestWaitingWritesReachNewPrimary guards against writes that exhaust the retry
// budget while there is no primary: then none of them finds the new primary, and
// all wait until their deadline.
func TestWaitingWritesReachNewPrimary(t *testing.T) {
	const writes = 300
	w := startWriters(writes)
	for now := 10 * ms; now < 600*ms; now += 10 * ms {
		w.refuseAll(now, sqlstate.UpstreamUnavailable)
		w.record(apply(w.state, now, Event{Kind: Tick}))
	}
	if retries := w.sends - writes; retries > writes/5+100 {
		t.Errorf("%d retries while there was no primary exceed the retry budget", retries)
	}
	w.refuseAll(600*ms, sqlstate.UpstreamUnavailable)
	w.inFlight = nil
	w.record(apply(w.state, 601*ms, Event{Kind: PrimaryKnown, Primary: "b", PrimaryTerm: model.Term{Counter: 2}}))
	if len(w.inFlight) < writes-3 {
		t.Errorf("only %d of %d waiting writes are sent to the new primary", len(w.inFlight), writes)
	}
}

// TestRefusedWritesConsumeBudget guards against a retry storm on a known primary
// that refuses writes.
func TestRefusedWritesConsumeBudget(t *testing.T) {
	const writes = 50
	w := startWriters(writes)
	for now := 10 * ms; now < 800*ms; now += 10 * ms {
		w.refuseAll(now, sqlstate.ZoneDrained)
		w.record(apply(w.state, now, Event{Kind: Tick}))
	}
	if retries := w.sends - writes; retries > writes/5+100 {
		t.Errorf("%d retries of %d refused writes exceed the retry budget", retries, writes)
	}
}
