package membership

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// maxHistory is the number of epochs kept per zone. Dropping an epoch is safe: it
// can only make this VM wait longer before it owns an item.
const maxHistory = 16

// historyEntry is a record and the time at which this VM learned it.
type historyEntry struct {
	record    Record
	learnedAt model.Time
}

// zoneState is this VM's view of one zone's record.
type zoneState struct {
	zone model.Zone
	// history has the records of consecutive epochs, newest last. It is empty
	// until the first record is learned.
	history []historyEntry
	// revision is the store revision of the record of epoch revisionEpoch. It is
	// valid if hasRevision is set.
	revision      int64
	revisionEpoch uint64
	hasRevision   bool
	// confirmedAt is the time of the newest confirmation that the newest epoch
	// was current. It is valid if confirmed is set.
	confirmedAt model.Time
	confirmed   bool
	// pending is set while a write of the next epoch is in flight or has an
	// unknown outcome.
	pending *pendingWrite
}

// pendingWrite describes the attempts to write the next epoch, any of which may
// have taken effect.
type pendingWrite struct {
	// members is the union of the members in all attempts.
	members []Member
	// inFlight is set until the result of the newest attempt is known.
	inFlight bool
}

// record returns the newest known record, with epoch 0 if there is none.
func (z *zoneState) record() Record {
	if len(z.history) == 0 {
		return Record{Zone: z.zone}
	}
	return z.history[len(z.history)-1].record
}

// isKnown reports whether this VM has learned the zone's record or that the store
// has none.
func (z *zoneState) isKnown() bool { return len(z.history) > 0 }

// learn stores a record if it is newer than the known one, and reports whether it
// is.
func (z *zoneState) learn(now model.Time, r Record) bool {
	if z.isKnown() && r.Epoch <= z.record().Epoch {
		return false
	}
	if z.isKnown() && r.Epoch != z.record().Epoch+1 {
		// The owners in the skipped epochs are unknown.
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

// confirm records that epoch was confirmed to be current at t.
func (z *zoneState) confirm(epoch uint64, t model.Time) {
	if !z.isKnown() || epoch != z.record().Epoch {
		return
	}
	if !z.confirmed || t > z.confirmedAt {
		z.confirmed = true
		z.confirmedAt = t
	}
}

// confirmedUntil returns the time until which a VM may act on the newest epoch,
// and whether that epoch was ever confirmed.
func (z *zoneState) confirmedUntil(ttl time.Duration) (model.Time, bool) {
	if !z.confirmed {
		return 0, false
	}
	return z.confirmedAt.Add(ttl), true
}

// setRevision records the store revision of an epoch's record.
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

// hasMember reports whether members contains m in the same incarnation.
func hasMember(members []Member, m Member) bool {
	i := memberIndex(members, m.VM)
	return i >= 0 && members[i] == m
}
