package membership

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// maxHistory bounds the epochs that are remembered. A VM that forgets one only
// waits longer before it owns something.
const maxHistory = 16

// historyEntry is a record and when this VM learned it.
type historyEntry struct {
	record    Record
	learnedAt model.Time
}

// zoneState is what this VM knows of one zone.
type zoneState struct {
	zone model.Zone
	// history has consecutive epochs, newest last. It is empty until the first
	// record is learned.
	history []historyEntry
	// revision is the store revision of the record of epoch revisionEpoch.
	revision      int64
	revisionEpoch uint64
	hasRevision   bool
	// confirmedAt is the time of the newest evidence that the newest epoch was
	// current.
	confirmedAt model.Time
	confirmed   bool
	// pending has the writes of the next epoch whose outcome is not known.
	pending *pendingWrite
}

// pendingWrite is what may have been written as the next epoch.
type pendingWrite struct {
	// members is the union of the members of all attempts.
	members []Member
	// inFlight is true until the newest attempt has an answer.
	inFlight bool
}

// record returns the newest record.
func (z *zoneState) record() Record {
	if len(z.history) == 0 {
		return Record{Zone: z.zone}
	}
	return z.history[len(z.history)-1].record
}

// isKnown reports whether a record, or its absence, was learned.
func (z *zoneState) isKnown() bool { return len(z.history) > 0 }

// learn takes a record and reports whether it is newer than the known one.
func (z *zoneState) learn(now model.Time, r Record) bool {
	if z.isKnown() && r.Epoch <= z.record().Epoch {
		return false
	}
	if z.isKnown() && r.Epoch != z.record().Epoch+1 {
		// The owners in between are not known.
		z.history = z.history[:0]
	}
	if len(z.history) == maxHistory {
		z.history = append(z.history[:0], z.history[1:]...)
	}
	z.history = append(z.history, historyEntry{record: r, learnedAt: now})
	z.confirmed = false
	z.pending = nil
	return true
}

// confirm takes evidence that epoch was current at t.
func (z *zoneState) confirm(epoch uint64, t model.Time) {
	if !z.isKnown() || epoch != z.record().Epoch {
		return
	}
	if !z.confirmed || t > z.confirmedAt {
		z.confirmed = true
		z.confirmedAt = t
	}
}

// confirmedUntil returns when the newest epoch may not be acted on any more.
func (z *zoneState) confirmedUntil(ttl time.Duration) (model.Time, bool) {
	if !z.confirmed {
		return 0, false
	}
	return z.confirmedAt.Add(ttl), true
}

// setRevision notes the store revision of an epoch.
func (z *zoneState) setRevision(epoch uint64, revision int64) {
	if z.hasRevision && epoch < z.revisionEpoch {
		return
	}
	z.revision = revision
	z.revisionEpoch = epoch
	z.hasRevision = true
}

// memberIndex returns the index of the VM in members, or -1.
func memberIndex(members []Member, vm model.VMID) int {
	for i := range members {
		if members[i].VM == vm {
			return i
		}
	}
	return -1
}

// hasMember reports whether m with its incarnation is in members.
func hasMember(members []Member, m Member) bool {
	i := memberIndex(members, m.VM)
	return i >= 0 && members[i] == m
}
