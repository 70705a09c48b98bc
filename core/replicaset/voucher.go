package replicaset

import (
	"maps"
	"slices"
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
)

const (
	// VoucherTTL is how long a voucher may be used, counted from when it was asked for.
	VoucherTTL = 900 * time.Millisecond
	// VouchPeriod is how long after the last confirmation by a holder of the promotion
	// lease VMs vouch for a primary.
	VouchPeriod = 15 * time.Second
	// vouchAfter is the age of the last confirmation from which on VMs vouch. While the
	// lease holder answers, vouchers are not needed and would only delay a promotion.
	vouchAfter = 450 * time.Millisecond
)

// Voucher is the promise of a VM for the time in which no holder of the promotion lease
// answers: the last one confirmed Upstream as the primary of Term, and none has
// withdrawn that since. A primary for which more than half of the voters vouch is
// confirmed, because a lease holder promotes another upstream only after half of them
// have promised to vouch no more.
type Voucher struct {
	Service  catalog.Service
	Upstream model.UpstreamID
	Term     uint64
	// Valid is how long the voucher may be used from when it was asked for.
	Valid time.Duration
}

// voucher is a voucher of another VM.
type voucher struct {
	upstream model.UpstreamID
	term     uint64
	until    model.Time
}

// SetVoting sets whether this VM is a voter. Other VMs pass no commits on, so that a lease holder need not ask
// them before it chooses a successor.
func (s *State) SetVoting(voting bool) {
	s.voteless = !voting
	for _, g := range s.groups {
		if s.voteless {
			g.promised = confirmation{}
		}
	}
}

// SetVoters sets the other VMs whose vouchers count. There are no vouchers while it is
// empty.
func (s *State) SetVoters(others []model.VMID) {
	s.voters = slices.Clone(others)
	maps.DeleteFunc(s.peerListedAt, func(vm model.VMID, _ model.Time) bool { return !slices.Contains(others, vm) })
}

// applyPeerListed records how new the list of a voter is.
func (s *State) applyPeerListed(now model.Time, ev *Event) {
	if slices.Contains(s.voters, ev.VM) {
		s.peerListedAt[ev.VM] = max(s.peerListedAt[ev.VM], ev.SentAt)
		s.retire(now)
	}
}

// Vouch returns the vouchers for a VM that asks now.
func (s *State) Vouch(now model.Time) []Voucher {
	var list []Voucher
	for _, g := range s.sortedGroups() {
		valid := min(VoucherTTL, g.mayVouchFor(now))
		if valid <= 0 || now.Sub(g.heardAt) < vouchAfter {
			continue
		}
		g.vouchedUntil = max(g.vouchedUntil, now.Add(valid))
		list = append(list, Voucher{Service: g.name, Upstream: g.heard.upstream, Term: g.heard.term, Valid: valid})
	}
	return list
}

// Vouched returns for how long vouchers of this VM for a service may still be used.
func (s *State) Vouched(now model.Time, service catalog.Service) time.Duration {
	g := s.groups[service]
	if g == nil {
		return 0
	}
	return max(g.vouchedUntil.Sub(now), 0)
}

// mayVouchFor returns for how long this VM may vouch for the primary that was last
// confirmed to it, 0 if it may not.
func (g *group) mayVouchFor(now model.Time) time.Duration {
	if g.heardAt == 0 || g.heardAt <= g.withdrawnAt || g.heard.term != g.primaryTerm || g.heard.upstream != g.primary {
		return 0
	}
	return max(g.heardAt.Add(VouchPeriod).Sub(now), 0)
}

// applyVouched stores a voucher of another VM, and confirms the primary if more than
// half of the voters vouch for it, including this VM. A voucher that was asked for
// before the last withdrawal is void.
func (s *State) applyVouched(now model.Time, g *group, ev *Event) {
	if ev.SentAt <= g.withdrawnAt || !slices.Contains(s.voters, ev.VM) {
		return
	}
	if g.vouchers == nil {
		g.vouchers = map[model.VMID]voucher{}
	}
	g.vouchers[ev.VM] = voucher{upstream: ev.Upstream, term: ev.Term, until: ev.Until}
	own := g.mayVouchFor(now)
	if own == 0 {
		return
	}
	untils := []model.Time{now.Add(own)}
	for _, vm := range s.voters {
		if v, found := g.vouchers[vm]; found && v.upstream == g.heard.upstream && v.term == g.heard.term && v.until > now {
			untils = append(untils, v.until)
		}
	}
	needed := (len(s.voters)+1)/2 + 1
	if len(untils) < needed {
		return
	}
	slices.SortFunc(untils, func(a, b model.Time) int { return int(b.Sub(a)) })
	c := confirmation{upstream: g.heard.upstream, term: g.heard.term, until: untils[needed-1], source: SourceVouchers}
	s.promise(g, c)
	g.confirm(now, c)
}
