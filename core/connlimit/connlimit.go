// Package connlimit divides the connection limit of an upstream among the VMs that
// connect to it. Two VMs hold the connections that all others use; see Rank. The
// package is pure: it performs no I/O, and the time is passed in.
package connlimit

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Rank is the place of a VM among those that connect to an upstream.
type Rank uint8

// Ranks.
const (
	// First is the first holder, through which statements pass.
	First Rank = iota
	// Second is the second holder, which is used while the first is unusable.
	Second
	// Other is any other VM. It connects only while it reaches no holder.
	Other
)

// Holders is the number of holders of an upstream's connections.
const Holders = 2

// Division is a way to divide a connection limit.
type Division uint8

// Divisions.
const (
	// Fixed gives the first holder half of the limit at all times, so that what the
	// upstream still counts of a first holder that has lost power and the connections
	// of its successor fit into the limit together.
	Fixed Division = iota
	// Adaptive gives the first holder more than half once the upstream can no longer
	// count connections of a former one, and keeps the additional connections open
	// while they are idle. The shares of all VMs together may then exceed the limit; a
	// VM whose connection is refused opens no more for a while.
	Adaptive
)

// Share limits the connections of one VM to an upstream.
type Share struct {
	// Base is the VM's part of the connection limit: it may always use it.
	Base int
	// Max is what the VM may open as long as the upstream accepts more connections.
	Max int
	// Keep is the number of connections that stay open while they are idle; others are
	// closed for VMs that may need them.
	Keep int
	// Overlapping is true if the shares of all VMs together may exceed the limit. While
	// the upstream refuses connections, the VM then keeps those that it has, and falls
	// back to Base otherwise.
	Overlapping bool
}

const (
	// minReserved is the minimum number of connections of an upstream's limit that are
	// reserved for status queries, and for VMs that start and stop. The reserve of a
	// large limit is limit/reservedDivisor.
	minReserved     = 2
	reservedDivisor = 10
	// settleTime is how long a VM has to be the first holder before it uses more than
	// its base. Upstreams count the connections of a VM that has lost power for 3 s.
	settleTime = 4 * time.Second
	// The first holder leaves 1/firstSpareDivisor of the limit to others in Adaptive,
	// where those that reach no holder have 1/othersDivisor of it together.
	firstSpareDivisor = 4
	othersDivisor     = 8
)

// Usable returns how many of an upstream's connections are for statements.
func Usable(limit int) int { return limit - max(minReserved, limit/reservedDivisor) }

// Seat is the rank of this VM at one upstream, and since when it has had it. The zero
// value is that of a VM whose rank is unknown.
type Seat struct {
	division Division
	rank     Rank
	since    model.Time
	known    bool
}

// NewSeat returns a seat at an upstream that this VM has just learned of.
func NewSeat(d Division) *Seat { return &Seat{division: d} }

// Share returns this VM's share of an upstream's connection limit, given its rank now
// and the number of VMs.
func (s *Seat) Share(now model.Time, limit, vms int, rank Rank) Share {
	if !s.known || s.rank != rank {
		s.rank, s.since, s.known = rank, now, true
	}
	fixed := fixedShare(Usable(limit), vms, rank)
	if s.division == Fixed {
		return fixed
	}
	return s.adaptiveShare(now, Usable(limit), vms, fixed)
}

// fixedShare divides the usable connections as Fixed does. Each VM that is not a holder
// may open at least one connection, even if that exceeds the limit, since it opens it
// only while it reaches no holder.
func fixedShare(usable, vms int, rank Rank) Share {
	first := usable / 2
	// others is the number of VMs that are not holders, direct the number of connections
	// that they may open together.
	others := max(vms-Holders, 1)
	direct := usable / 4
	if others < usable-first {
		direct = max(direct, others)
	}
	switch rank {
	case First:
		return Share{Base: first, Max: max(first, 1), Keep: first}
	case Second:
		return Share{Max: max(usable-first-direct, 1)}
	}
	return Share{Max: max(direct/others, 1)}
}

// adaptiveShare divides the usable connections as Adaptive does.
func (s *Seat) adaptiveShare(now model.Time, usable, vms int, fixed Share) Share {
	direct := usable / othersDivisor
	switch {
	case s.rank == Second:
		return Share{Max: max(usable-usable/2-direct, 1), Overlapping: true}
	case s.rank == Other:
		return Share{Max: max(direct/max(vms-Holders, 1), 1), Overlapping: true}
	case now.Sub(s.since) < settleTime:
		return fixed
	}
	settled := max(usable-usable/firstSpareDivisor, fixed.Max)
	return Share{Base: fixed.Base, Max: settled, Keep: settled, Overlapping: true}
}
