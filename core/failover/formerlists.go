package failover

import (
	"slices"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// formerListTime is how long VMs may take to learn of a change of a group's list of
// upstreams. Until then they may acknowledge writes by a majority of the former list.
const formerListTime = 5 * time.Second

// formerLists are the lists of upstreams that the group had before, as long as a write may
// have been acknowledged by a majority of one of them and be missing from a majority of the
// present list. Until then, a new term needs a majority of each. They are known only to a
// watcher that has seen the change.
type formerLists struct {
	lists     [][]model.UpstreamID
	changedAt model.Time
	// position is a position of the primary of term from after formerListTime. Once a
	// majority of the present list has received it, the former lists are not needed.
	position model.LogPos
	term     model.Term
}

// add records a change from a list of members to other upstreams.
func (f *formerLists) add(now model.Time, members []member, next []Upstream) {
	var former []model.UpstreamID
	changed := len(members) != len(next)
	for i := range members {
		former = append(former, members[i].ID)
		changed = changed || !slices.ContainsFunc(next, func(u Upstream) bool { return u.ID == members[i].ID })
	}
	if len(former) == 0 || !changed {
		return
	}
	f.lists = append(f.lists, former)
	f.changedAt, f.term = now, model.Term{}
}

// hasMajority reports whether the members i for which counts(i) is true are a majority of the
// group, and of each former list that is still needed.
func (g *group) hasMajority(counts func(i int) bool) bool {
	count := 0
	for i := range g.members {
		if counts(i) {
			count++
		}
	}
	if count < g.majority() {
		return false
	}
	for _, list := range g.former.lists {
		count := 0
		for _, id := range list {
			if i := memberIndex(g.members, id); i >= 0 && counts(i) {
				count++
			}
		}
		if count < len(list)/2+1 {
			return false
		}
	}
	return true
}

// updateFormerLists drops the former lists once a majority of the present one has what may have
// been acknowledged by theirs.
func (g *group) updateFormerLists() {
	f := &g.former
	if len(f.lists) == 0 {
		return
	}
	settled := f.changedAt.Add(formerListTime)
	if i := memberIndex(g.members, g.primary); f.term != g.term && i >= 0 {
		if p := &g.members[i]; p.known && p.sentAt >= settled && p.status.LastTerm == g.term {
			f.position, f.term = p.status.Received, g.term
		}
	}
	if f.term != g.term || f.term == (model.Term{}) {
		return
	}
	received := 0
	for i := range g.members {
		if m := &g.members[i]; m.known && m.status.LastTerm == f.term && m.status.Received >= f.position {
			received++
		}
	}
	if received >= g.majority() {
		g.former = formerLists{}
	}
}
