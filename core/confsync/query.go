package confsync

import (
	"slices"
	"time"

	"github.com/chervilhatch/chervilhatch/core/config"
	"github.com/chervilhatch/chervilhatch/core/model"
)

// Version returns the version in force on this VM, or 0 if there is none.
func (s *State) Version() uint64 { return s.version }

// Document returns the stored form of the version in force.
func (s *State) Document() []byte { return s.document }

// Config returns the parsed form of the version in force, or nil if there is none.
func (s *State) Config() *config.Document { return s.config }

// ConfirmedAge returns the age of the evidence that the version in force is the
// newest, and false if there is none. It is also the age that this VM reports to
// its peers.
func (s *State) ConfirmedAge(now model.Time) (age time.Duration, ok bool) {
	if !s.confirmed {
		return 0, false
	}
	return now.Sub(s.confirmedAt), true
}

// StoreUnreachableAge returns the time since the zone last failed to reach the
// store, and false if this VM must not report it to its peers. The report states
// that the sender has every change made through the zone before the failure, so a
// VM that has a lower version in force must not send it.
func (s *State) StoreUnreachableAge(zone model.Zone, now model.Time) (age time.Duration, ok bool) {
	o := s.outages[zone]
	if !o.known || o.version > s.version {
		return 0, false
	}
	return now.Sub(o.at), true
}

// LastHeard returns the version that a VM last reported, and when, or false if
// the VM has not reported any.
func (s *State) LastHeard(vm model.VMID) (version uint64, at model.Time, ok bool) {
	p := s.peers[vm]
	if p == nil {
		return 0, 0, false
	}
	return p.version, p.lastHeard, true
}

// Progress divides the live VMs into those that reported the version or a higher
// one in force, and the rest. Both lists are in name order.
func (s *State) Progress(version uint64) (confirmed, missing []model.VMID) {
	for _, m := range s.members {
		if s.reportedVersion(m.VM) >= version {
			confirmed = append(confirmed, m.VM)
			continue
		}
		missing = append(missing, m.VM)
	}
	slices.Sort(confirmed)
	slices.Sort(missing)
	return confirmed, missing
}

// InForce reports whether every live VM has the version or a higher one in force.
func (s *State) InForce(version uint64) bool {
	for _, m := range s.members {
		if s.reportedVersion(m.VM) < version {
			return false
		}
	}
	return len(s.members) > 0
}

// reportedVersion returns the version that a VM last reported, or 0 if there is none.
func (s *State) reportedVersion(vm model.VMID) uint64 {
	if vm == s.self {
		return s.version
	}
	if p := s.peers[vm]; p != nil {
		return p.version
	}
	return 0
}
