package replicaset

import (
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// newSyncFixture returns a fixture in which commits are acknowledged by a replica and
// the primary a has been at 10.
func newSyncFixture() *fixture {
	f := newFixture()
	f.apply(Event{Kind: EventSyncReplicas, Service: "db", SyncReplicas: 1})
	f.status("a", true, 1, pos(1, 10))
	f.advance(3 * time.Second)
	f.setRegistrations(registration("a", true), registration("b", false), registration("c", false))
	return f
}

// expectEvidence fails if the newest evidence is below a position that was acknowledged
// before it.
func (f *fixture) expectEvidence(t *testing.T, name string, acknowledged model.Position) {
	t.Helper()
	if e, _ := f.NewestEvidence("db"); e.Position.Compare(acknowledged) < 0 {
		t.Errorf("%s: evidence %v, %v old, although %v was acknowledged", name, e.Position, f.now.Sub(e.At), acknowledged)
	}
}

// Guards against a primary that completes its own group: its late status, overtaken by
// a commit, must not make the one replica left, which has received nothing for long,
// count as all replicas once the other one was replaced.
func TestLateStatusOfThePrimaryDoesNotCompleteTheGroup(t *testing.T) {
	f := newSyncFixture()
	f.apply(Event{Kind: EventReplaced, Upstream: "c"})
	f.advance(100 * ms)
	f.status("a", true, 1, pos(1, 20))
	f.advance(100 * ms)
	f.status("b", false, 1, pos(1, 10))
	asked := f.now
	f.advance(100 * ms)
	f.apply(Event{Kind: EventCommitted, Upstream: "a", SentAt: f.now, Position: pos(1, 22)})
	f.apply(Event{Kind: EventStatus, Upstream: "a", SentAt: asked, Status: Status{Primary: true, Term: 1, Received: pos(1, 21)}})
	if v := f.Views()[0]; !v.Incomplete {
		t.Error("the group is complete, although no replica has received the log since")
	}
	if f.primary() != "a" {
		t.Error("the primary is lost by a late status")
	}
	f.advance(100 * ms)
	f.status("b", false, 1, pos(1, 10))
	f.expectEvidence(t, "only b left", pos(1, 20))
}

// Guards against a replica that takes the place of another one without its commits: a
// group in which as many upstreams are known as before may still lack the one that had
// received the last commits.
func TestNoReplicaEvidenceAfterAReplicaLostItsLog(t *testing.T) {
	restarted := registration("c", false)
	restarted.Incarnation = 2
	for name, next := range map[string][]Registration{
		"c restarted":        {registration("a", true), registration("b", false), restarted},
		"c gone, d is there": {registration("a", true), registration("b", false), registration("d", false)},
	} {
		f := newSyncFixture()
		f.status("a", true, 1, pos(1, 20))
		f.apply(Event{Kind: EventFailed, Upstream: "a"})
		if next[2].ID != "c" {
			f.apply(Event{Kind: EventReplaced, Upstream: "c"})
		}
		f.advance(100 * ms)
		f.setRegistrations(next...)
		f.status("b", false, 1, pos(1, 12))
		f.status(string(next[2].ID), false, 1, pos(1, 12))
		f.expectEvidence(t, name, pos(1, 20))
	}
}

// Guards against evidence from replicas that leaves out the last known primary although that
// upstream answers as a replica of a later term, in which it may be the only one that has
// received a commit.
func TestNoReplicaEvidenceBesideALaterTerm(t *testing.T) {
	f := newSyncFixture()
	f.status("a", true, 1, pos(1, 10))
	f.status("b", false, 1, pos(1, 10))
	f.status("c", false, 1, pos(1, 10))
	if f.Views()[0].Incomplete {
		t.Fatal("fixture: incomplete")
	}
	// d, added since the last list, becomes the primary of term 2; its commits reach a first.
	f.advance(300 * ms)
	f.setRegistrations(registration("a", false), registration("b", false), registration("c", false))
	f.status("a", false, 2, pos(2, 15))
	f.status("b", false, 1, pos(1, 10))
	f.status("c", false, 1, pos(1, 10))
	e, _ := f.NewestEvidence("db")
	if e.At == f.now && e.Position.Compare(pos(2, 15)) < 0 {
		t.Errorf("evidence %v of now in term %d, although a answers with %v in term 2", e.Position, e.Term, pos(2, 15))
	}
}

// Guards against evidence from a replica that has restarted without its log and was never asked
// for its status before, as on VMs that do not hold the promotion lease: nothing shows that its
// log has become shorter.
func TestNoReplicaEvidenceFromARestartedReplica(t *testing.T) {
	f := newSyncFixture()
	f.status("a", true, 1, pos(1, 20))
	f.status("b", false, 1, pos(1, 20)) // completes the group
	if f.Views()[0].Incomplete {
		t.Fatal("fixture: incomplete")
	}
	f.advance(200 * ms)
	// Commits 21 to 30 are acknowledged through c; a crashes; c restarts empty.
	acknowledged := f.now
	f.apply(Event{Kind: EventServed, Upstream: "c", Position: pos(1, 30)}) // a read on c showed its log
	f.apply(Event{Kind: EventFailed, Upstream: "a"})
	f.advance(300 * ms)
	f.setRegistrations(registration("a", true), registration("b", false), registration("c", false))
	f.status("b", false, 1, pos(1, 20))
	f.apply(Event{Kind: EventStatus, Upstream: "c", SentAt: f.now, Status: Status{}})
	e, _ := f.NewestEvidence("db")
	if e.At > acknowledged && e.Position.Compare(pos(1, 30)) < 0 {
		t.Errorf("evidence %v dated %v after 30 was acknowledged, from an empty replica of term 0 whose reads had seen 30", e.Position, e.At.Sub(acknowledged))
	}
}

// Guards against a former primary that completes its own group on a VM that has not seen it as
// the primary of its term: only the registration says so, and the evidence comes from a peer.
func TestFormerPrimaryDoesNotCompleteItsGroup(t *testing.T) {
	f := &fixture{State: New(), now: start}
	f.apply(Event{Kind: EventSyncReplicas, Service: "db", SyncReplicas: 1})
	f.setRegistrations(registration("a", true), registration("b", false), registration("d", false))
	f.advance(100 * ms)
	// A peer that knows no primary at the moment has evidence of commits 11 to 15, which were
	// acknowledged through a replica that has left.
	f.apply(Event{Kind: EventEvidence, Service: "db", Position: pos(1, 15), Term: 1, SentAt: f.now})
	f.advance(100 * ms)
	f.status("b", false, 1, pos(1, 10))
	f.status("d", false, 1, pos(1, 10))
	f.status("a", false, 1, pos(1, 15)) // stepped down
	if !f.Views()[0].Incomplete {
		t.Error("the group is complete, although only the former primary has the log")
	}
}

// Guards against evidence dated by a list that lacks a replica which had started before it
// was read and registers up to 630 ms later.
func TestNoReplicaEvidenceBesideLateRegistration(t *testing.T) {
	f := newSyncFixture()
	f.status("a", true, 1, pos(1, 10))
	f.status("b", false, 1, pos(1, 10))
	f.status("c", false, 1, pos(1, 10))
	if f.Views()[0].Incomplete {
		t.Fatal("fixture: incomplete")
	}
	// d starts now; commits 11 to 15 are acknowledged through d alone within 300 ms.
	f.advance(300 * ms)
	acknowledged := f.now
	f.advance(50 * ms)
	f.setRegistrations(registration("a", true), registration("b", false), registration("c", false)) // d not written yet
	f.apply(Event{Kind: EventFailed, Upstream: "a"})
	f.status("b", false, 1, pos(1, 10))
	f.status("c", false, 1, pos(1, 10))
	e, _ := f.NewestEvidence("db")
	if e.At > acknowledged && e.Position.Compare(pos(1, 15)) < 0 {
		t.Errorf("evidence %v dated %v after commit 15 was acknowledged through d", e.Position, e.At.Sub(acknowledged))
	}
}

// Guards against evidence that lacks the commits of a replica which starts beside a primary that is
// cut off from the others and registers late. The evidence allows for such commits being passed on for lateReceiptWindow.
func TestReplicaEvidenceCoversReplicasThatRegisterLate(t *testing.T) {
	for _, delay := range []time.Duration{50 * ms, 630 * ms, 1100 * ms, RegistrationTimeout} {
		for begin := 50 * ms; begin <= lateReceiptWindow; begin += 50 * ms {
			playLateRegistration(t, begin, delay)
		}
	}
}

// playLateRegistration plays a primary a that is cut off from b and c at time 0, and a replica d
// that starts at begin and is listed after delay.
func playLateRegistration(t *testing.T, begin, delay time.Duration) {
	t.Helper()
	f := newSyncFixture()
	f.status("a", true, 1, pos(1, 10))
	f.status("b", false, 1, pos(1, 10))
	f.status("c", false, 1, pos(1, 10))
	f.apply(Event{Kind: EventFailed, Upstream: "a"})
	d, passedOnAt := uint64(10), model.Time(0)
	for at := 50 * ms; at < 5*time.Second; at += 50 * ms {
		f.advance(50 * ms)
		if at >= begin && at <= lateReceiptWindow {
			d, passedOnAt = d+1, f.now
		}
		entries := []Registration{registration("a", true), registration("b", false), registration("c", false)}
		if at >= begin+delay {
			entries = append(entries, registration("d", false))
		}
		f.setRegistrations(entries...)
		f.status("b", false, 1, pos(1, 10))
		f.status("c", false, 1, pos(1, 10))
		if len(entries) == 4 {
			f.status("d", false, 1, pos(1, d))
		}
		e, _ := f.NewestEvidence("db")
		if e.At > passedOnAt && e.Position.Compare(pos(1, d)) < 0 {
			t.Fatalf("d started at %v, listed %v later: at %v evidence %v of %v ago, commit %d was passed on %v ago",
				begin, delay, at, e.Position, f.now.Sub(e.At), d, f.now.Sub(passedOnAt))
		}
	}
	if e, _ := f.NewestEvidence("db"); e.At != f.now {
		t.Errorf("evidence of %v ago once all replicas are listed", f.now.Sub(e.At))
	}
}

// Guards against a list that counts as complete right after an outage of the store on a VM that
// runs on: a replica that started during the outage is not known from before, and writes its
// first entry up to two seconds after the return.
func TestListAfterAnOutageIsNotCompleteAtOnce(t *testing.T) {
	f := newSyncFixture()
	f.advance(500 * ms)
	for range 10 {
		f.apply(Event{Kind: EventStoreUnavailable})
		f.advance(time.Second)
	}
	f.setRegistrations(registration("a", true), registration("b", false), registration("c", false))
	if f.Views()[0].ListComplete {
		t.Error("the first list after an outage of 10 s is complete at once")
	}
}

// Guards against refusing reads while the primary is lost, only since its last status had
// commits that no replica has received (so that they were never acknowledged).
func TestReplicaEvidenceDespiteUnreplicatedCommits(t *testing.T) {
	f := newSyncFixture()
	f.status("a", true, 1, pos(1, 10))
	f.status("b", false, 1, pos(1, 10))
	f.status("c", false, 1, pos(1, 10))
	f.advance(100 * ms)
	f.status("a", true, 1, pos(1, 12)) // 11 and 12 reach no replica
	f.apply(Event{Kind: EventFailed, Upstream: "a"})
	for range 4 {
		f.advance(500 * ms)
		f.setRegistrations(registration("a", true), registration("b", false), registration("c", false))
		f.status("b", false, 1, pos(1, 10))
		f.status("c", false, 1, pos(1, 10))
	}
	if _, ok := f.floor(time.Second, model.Position{}); !ok {
		t.Error("no evidence for 2 s, although all replicas of a complete group answer")
	}
}

// Guards against evidence from replicas below a commit that one of them had: it may have restarted
// and received an older part of the log again, which the list shows later, or the commit is newer
// than what they were asked about.
func TestNoReplicaEvidenceBelowACommitThatAReplicaMayHaveHad(t *testing.T) {
	for name, play := range map[string]func(f *fixture, round int){
		"a replica had started again": func(f *fixture, round int) {
			if round == 3 {
				again := registration("c", false)
				again.Incarnation = 2
				f.setRegistrations(registration("a", true), registration("b", false), again)
			}
		},
		"a peer learns of later commits": func(f *fixture, round int) {
			f.apply(Event{Kind: EventEvidence, Service: "db", Position: pos(1, uint64(12+round)), Term: 1, SentAt: f.now.Add(-50 * ms)})
			f.advance(10 * ms)
		},
	} {
		f := newSyncFixture()
		f.status("a", true, 1, pos(1, 10))
		f.status("b", false, 1, pos(1, 10))
		f.status("c", false, 1, pos(1, 10))
		f.advance(100 * ms)
		f.status("a", true, 1, pos(1, 12))
		f.apply(Event{Kind: EventFailed, Upstream: "a"})
		for round := range 8 {
			f.advance(500 * ms)
			if round < 3 || name != "a replica had started again" {
				f.setRegistrations(registration("a", true), registration("b", false), registration("c", false))
			}
			play(f, round)
			f.status("b", false, 1, pos(1, 10))
			f.status("c", false, 1, pos(1, 10))
			f.expectEvidence(t, name, pos(1, 12))
		}
	}
}
