package replicaset

import (
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Guards against a replica that counts as retired while a voter's list does not say yet that it leaves: that voter
// still passes commits on that only this replica has.
func TestReplicaIsNotRetiredByAListThatWasReadEarlier(t *testing.T) {
	f := newFixture()
	f.SetVoters([]model.VMID{"vm"})
	f.advance(time.Second)
	// The read is sent now and answered slowly; the replica announces that it leaves 300 ms later, in time for the
	// answer.
	sentAt := f.now
	leaving := registration("b", false)
	leaving.Leaving, leaving.Sequence = true, 2
	f.advance(400 * ms)
	f.apply(Event{Kind: EventRegistrations, SentAt: sentAt, Registrations: []Registration{registration("a", true), leaving, registration("c", false)}})
	// The voter has read its list before the announcement.
	f.apply(Event{Kind: EventPeerListed, VM: "vm", SentAt: sentAt.Add(100 * ms)})
	if m, _ := f.Member("b"); m.RetiredAt != 0 {
		t.Errorf("the replica counts as retired, by a list that was read %v before it announced that it leaves", 200*ms)
	}
}

// Guards against a replica that counts as retired after the store has come back from a copy that lacks its announcement: a VM that
// starts then passes commits on that only this replica has.
func TestReplicaIsNotRetiredOnceTheListGoesBack(t *testing.T) {
	f := newFixture()
	f.SetVoters([]model.VMID{"vm"})
	f.advance(time.Second)
	leaving := registration("b", false)
	leaving.Leaving, leaving.Sequence = true, 2
	f.setRegistrations(registration("a", true), leaving, registration("c", false))
	f.apply(Event{Kind: EventPeerListed, VM: "vm", SentAt: f.now})
	if m, _ := f.Member("b"); m.RetiredAt == 0 {
		t.Fatal("fixture: the replica is not retired")
	}
	f.advance(time.Second)
	restored := f.now
	entries := []Registration{registration("a", true), registration("b", false), registration("c", false)}
	f.setRegistrations(entries...)
	// The voter has restarted and knows that list alone.
	voter := &fixture{State: New(), now: f.now}
	voter.setRegistrations(entries...)
	voter.advance(ms)
	voter.status("a", true, 1, pos(1, 9))
	voter.status("b", false, 1, pos(1, 9))
	commit := AcknowledgedCommit{Service: "db", Primary: "a", AcknowledgedAt: voter.now, Position: pos(1, 9)}
	if !voter.CommitProof(voter.now, &commit).Sufficient() {
		t.Fatal("fixture: the voter does not pass the commit on")
	}
	if m, _ := f.Member("b"); m.RetiredAt != 0 && m.RetiredAt < restored {
		t.Errorf("the replica has been retired for %v, while a VM passes commits on that only this replica has", f.now.Sub(m.RetiredAt))
	}
}
