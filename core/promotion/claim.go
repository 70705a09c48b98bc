package promotion

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Mark is kept in the store next to the promotion lease and written by each acquisition.
// A store that has come back from an older copy of itself is in a new generation; the
// mark then tells whether the lease was acquired in that one before.
type Mark struct {
	// Generation is the generation of the store in which the lease was acquired last.
	Generation int64 `json:"generation"`
	// Settled is true once the records in the store are complete: no promotion call whose
	// record was lost with an earlier generation can still be executed.
	Settled bool `json:"settled"`
	// Holder is the VM that acquired the lease last, empty if that is not recorded.
	Holder model.VMID `json:"holder,omitempty"`
}

// Claim is what a VM knows when it tries to acquire the promotion lease.
type Claim struct {
	// Generation is the store's generation, and SeenAt when this VM first saw the store
	// in it. SawEarlier is true if it has seen an earlier one.
	Generation int64
	SeenAt     model.Time
	SawEarlier bool
	// HeldUntilSeen is true if this VM held the lease until it saw Generation.
	HeldUntilSeen bool
	// Exists is true if the lease's key exists, and Own if this VM has written it.
	Exists bool
	Own    bool
	// Mark is the mark in the store, nil if there is none.
	Mark *Mark
	// VM is this VM. Its last hold ended at HoldEndedAt, 0 if it has not held the lease.
	VM          model.VMID
	HoldEndedAt model.Time
	// Period is the time within which no two VMs may take turns as the holder, 0 if they
	// may.
	Period time.Duration
}

// succeeded reports whether another VM has acquired the lease after this one's last hold,
// which ended less than Period ago. This VM then does not acquire it: its acts before and
// after those of the other would be within Period.
func (c *Claim) succeeded(now model.Time) bool {
	return c.HoldEndedAt != 0 && now < c.HoldEndedAt.Add(c.Period) && c.Mark != nil && c.Mark.Holder != c.VM
}

// Verdict is what a VM may do about a Claim.
type Verdict struct {
	// Acquire is true if it may acquire the lease. Cause tells why not, and NotBefore, if
	// it is not 0, when that ends.
	Acquire   bool
	Cause     string
	NotBefore model.Time
	// KeepRecords is true if its own records of promotions are complete and those in the
	// store may not be.
	KeepRecords bool
	// CallsUnknown is true if promotion calls may still be executed of which neither the
	// store nor this VM has a record.
	CallsUnknown bool
}

// Decide returns what the VM may do. ttl is the lifetime of the lease after its last
// renewal. In a new generation the lease of the former one does not keep other VMs from
// acquiring it, so all but its holder wait until that one has certainly stopped.
func (c *Claim) Decide(now model.Time, ttl time.Duration) Verdict {
	switch {
	case c.succeeded(now):
		return Verdict{Cause: "another VM has held it since this one", NotBefore: c.HoldEndedAt.Add(c.Period)}
	case c.Mark != nil && c.Mark.Generation == c.Generation:
		if c.Exists && !c.Own {
			return Verdict{Cause: "held by another VM"}
		}
		return Verdict{Acquire: true, CallsUnknown: !c.Mark.Settled}
	case c.HeldUntilSeen:
		return Verdict{Acquire: true, KeepRecords: true}
	case c.Mark == nil && c.Exists && !c.Own:
		return Verdict{Cause: "held by another VM"}
	case now < c.SeenAt.Add(ttl):
		return Verdict{Cause: "a holder of the former generation may still act", NotBefore: c.SeenAt.Add(ttl)}
	}
	// Without a mark, an entry or an earlier generation, this is the first holder of all.
	return Verdict{Acquire: true, CallsUnknown: c.Mark != nil || c.Exists || c.SawEarlier}
}
