package replicaset

import (
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Guards against evidence from a former primary that does not know of the promotion of
// another upstream and continues to report itself as the primary.
func TestFormerPrimaryGivesNoEvidence(t *testing.T) {
	f := newFixture()
	f.status("a", true, 1, pos(1, 10))
	f.advance(2 * time.Second)
	f.unconfirmedStatus("a", true, 1, pos(1, 20))
	f.apply(Event{Kind: EventCommitted, Upstream: "a", SentAt: f.now, Position: pos(1, 21)})
	if _, ok := f.floor(900*ms, model.Position{}); ok {
		t.Error("an unconfirmed primary gave evidence of its log")
	}
	f.confirm("a", 1, time.Second)
	if got, ok := f.floor(900*ms, model.Position{}); !ok || got.Pos < 20 {
		t.Errorf("floor %v, %t after the confirmation", got, ok)
	}
}

// Guards against evidence that is dated later than the primary is confirmed.
func TestEvidenceIsDatedByTheConfirmation(t *testing.T) {
	f := newFixture()
	f.status("a", true, 1, pos(1, 10))
	f.advance(1500 * ms)
	f.unconfirmedStatus("a", true, 1, pos(1, 20))
	_, age, ok := f.Floor(f.now, "db", 3*time.Second, model.Position{})
	e, _ := f.NewestEvidence("db")
	if !ok || e.At > f.now.Add(-500*ms) {
		t.Errorf("evidence at %v, %v before now, age %v, %t", e.At, f.now.Sub(e.At), age, ok)
	}
}

// Guards against a confirmation that outlives its withdrawal: an answer on its way
// while the withdrawal arrives must not renew it.
func TestWithdrawnConfirmation(t *testing.T) {
	f := newFixture()
	f.status("a", true, 1, pos(1, 10))
	asked := f.now
	f.advance(100 * ms)
	f.apply(Event{Kind: EventWithdrawn, Service: "db"})
	withdrawn := f.now
	f.advance(10 * ms)
	f.apply(Event{Kind: EventConfirmed, Upstream: "a", Term: 1, SentAt: asked, Until: asked.Add(time.Second)})
	if got := f.ConfirmedUntil("a"); got > withdrawn {
		t.Errorf("confirmed until %v after the withdrawal", got.Sub(withdrawn))
	}
	f.apply(Event{Kind: EventConfirmed, Upstream: "b", Term: 2, SentAt: f.now, Until: f.now.Add(time.Second)})
	if f.ConfirmedUntil("b") <= f.now || f.ConfirmedUntil("a") != 0 || f.primary() != "b" {
		t.Errorf("confirmed %v and %v, primary %q, want b", f.ConfirmedUntil("a"), f.ConfirmedUntil("b"), f.primary())
	}
}

// Guards against a former primary that counts as confirmed because some of the
// upstreams do not know of the promotion: without the holder of the promotion lease,
// all others have to answer, and none of them may know a later term.
func TestConfirmationByStatuses(t *testing.T) {
	for name, tt := range map[string]struct {
		others func(*fixture)
		want   bool
	}{
		"all replicas in the same term": {func(f *fixture) {
			f.status("b", false, 1, pos(1, 9))
			f.status("c", false, 1, pos(1, 10))
		}, true},
		"one replica silent": {func(f *fixture) { f.status("b", false, 1, pos(1, 9)) }, false},
		"one replica in a later term": {func(f *fixture) {
			f.status("b", false, 2, pos(1, 9))
			f.status("c", false, 1, pos(1, 10))
		}, false},
		"one promoted": {func(f *fixture) {
			f.unconfirmedStatus("b", true, 2, pos(1, 9))
			f.status("c", false, 1, pos(1, 10))
		}, false},
		"one replaced by an upstream that is not listed yet": {func(f *fixture) {
			f.apply(Event{Kind: EventReplaced, Upstream: "c"})
			f.status("b", false, 1, pos(1, 9))
		}, false},
		"fenced, the list of upstreams out of date": {func(f *fixture) {
			f.advance(2 * time.Second)
			f.apply(Event{Kind: EventStatus, Upstream: "b", SentAt: f.now, Status: Status{Term: 1, FencedTerm: 2}})
			f.status("c", false, 1, pos(1, 10))
		}, false},
	} {
		f := newFixture()
		f.unconfirmedStatus("a", true, 1, pos(1, 10))
		f.advance(5 * ms)
		tt.others(f)
		if got := f.ConfirmedUntil("a"); got != 0 != tt.want {
			t.Errorf("%s: confirmed until %v", name, got)
		}
	}
}

// Guards against a confirmation that is later than the oldest of the statuses behind
// it.
func TestConfirmationByStatusesIsAsOldAsTheOldest(t *testing.T) {
	f := newFixture()
	f.unconfirmedStatus("a", true, 1, pos(1, 10))
	f.status("b", false, 1, pos(1, 10))
	oldest := f.now
	f.advance(300 * ms)
	f.status("c", false, 1, pos(1, 10))
	if got := f.ConfirmedUntil("a"); got != oldest {
		t.Errorf("confirmed until %v after the oldest status", got.Sub(oldest))
	}
}

// Guards against the confirmation of a former primary by a replica that has restarted without
// its fence and its term.
func TestRestartedReplicaDoesNotConfirm(t *testing.T) {
	f := newSyncFixture()
	f.advance(2 * time.Second)
	f.unconfirmedStatus("a", true, 1, pos(1, 10))
	f.unconfirmedStatus("b", false, 1, pos(1, 10))
	f.apply(Event{Kind: EventStatus, Upstream: "c", SentAt: f.now, Status: Status{}})
	if f.ConfirmedUntil("a") >= f.now {
		t.Error("a is confirmed by a replica of term 0 with an empty log")
	}
}

// Guards against a record of commits that names the wrong source of a confirmation: the one that
// lasts longest counts.
func TestSourceOfAConfirmation(t *testing.T) {
	f := newFixture()
	f.unconfirmedStatus("a", true, 1, pos(1, 10))
	f.unconfirmedStatus("b", false, 1, pos(1, 10))
	f.unconfirmedStatus("c", false, 1, pos(1, 10))
	if _, source := f.Confirmation("a"); source != SourceStatuses {
		t.Errorf("confirmed by %v after a round of statuses", source)
	}
	f.confirm("a", 1, time.Second)
	f.advance(100 * ms)
	f.unconfirmedStatus("b", false, 1, pos(1, 10))
	f.unconfirmedStatus("c", false, 1, pos(1, 10))
	if until, source := f.Confirmation("a"); source != SourceHolder || until <= f.now {
		t.Errorf("confirmed by %v for %v, want by the holder", source, until.Sub(f.now))
	}
	f.advance(2 * time.Second)
	f.unconfirmedStatus("b", false, 1, pos(1, 10))
	f.unconfirmedStatus("c", false, 1, pos(1, 10))
	if until, source := f.Confirmation("a"); source != SourceStatuses || until > f.now {
		t.Errorf("confirmed by %v for %v, want by statuses", source, until.Sub(f.now))
	}
	if _, source := f.Confirmation("b"); source != SourceNone {
		t.Errorf("a replica is confirmed by %v", source)
	}
}
