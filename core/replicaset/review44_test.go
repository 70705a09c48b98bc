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
