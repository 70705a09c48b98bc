package core

import (
	"github.com/chervilhatch/chervilhatch/core/connshare"
	"github.com/chervilhatch/chervilhatch/core/fairness"
	"github.com/chervilhatch/chervilhatch/core/limits"
	"github.com/chervilhatch/chervilhatch/core/membership"
	"github.com/chervilhatch/chervilhatch/core/model"
)

// seatOf returns the seat that corresponds to a membership item.
func seatOf(item membership.Item) connshare.Seat {
	if item.Kind == membership.StandbySeat {
		return connshare.Standby
	}
	return connshare.Main
}

// itemGained tells the reducer that uses an item that this VM now owns it.
func (s *State) itemGained(now model.Time, e *membership.Effect, out *Effects) {
	if e.Item.Kind == membership.Tokens {
		ev := limits.Event{
			Kind: limits.EventGained, Workspace: model.Workspace(e.Item.Name),
			Zone: e.Item.Zone, Epoch: e.Epoch, Balance: e.Balance, Until: e.Until,
		}
		out.Limits = s.Limits.Apply(now, &ev, out.Limits)
		return
	}
	s.dispatchState.seats[e.Item] = true
	u := model.UpstreamID(e.Item.Name)
	ev := connshare.Event{
		Kind: connshare.EventGained, Upstream: u, Seat: seatOf(e.Item),
		Zone: e.Zone, Epoch: e.Epoch, Until: e.Until,
	}
	out.ConnShare = s.ConnShare.Apply(now, &ev, out.ConnShare)
	s.setSlots(now, u, out)
}

// itemLost tells the reducer that uses an item that this VM has lost it. That
// reducer releases the item once it no longer uses it.
func (s *State) itemLost(now model.Time, e *membership.Effect, out *Effects) {
	if e.Item.Kind == membership.Tokens {
		ev := limits.Event{
			Kind: limits.EventLost, Workspace: model.Workspace(e.Item.Name),
			Zone: e.Item.Zone, Epoch: e.Epoch, VM: e.To,
		}
		out.Limits = s.Limits.Apply(now, &ev, out.Limits)
		return
	}
	delete(s.dispatchState.seats, e.Item)
	u := model.UpstreamID(e.Item.Name)
	ev := connshare.Event{
		Kind: connshare.EventLost, Upstream: u, Seat: seatOf(e.Item),
		Zone: e.Zone, Epoch: e.Epoch, VM: e.To,
	}
	out.ConnShare = s.ConnShare.Apply(now, &ev, out.ConnShare)
	s.setSlots(now, u, out)
}

// ownershipConfirmed extends the ownership of the items that this VM owns under a
// zone's record. A VM never owns tokens of other zones.
func (s *State) ownershipConfirmed(now model.Time, e *membership.Effect, out *Effects) {
	if e.Zone == s.config.Zone {
		limitsEvent := limits.Event{Kind: limits.EventConfirmed, Until: e.Until}
		out.Limits = s.Limits.Apply(now, &limitsEvent, out.Limits)
	}
	connShareEvent := connshare.Event{Kind: connshare.EventConfirmed, Zone: e.Zone, Until: e.Until}
	out.ConnShare = s.ConnShare.Apply(now, &connShareEvent, out.ConnShare)
}

// setSlots configures the slots of an upstream's fair queue while this VM owns a
// seat of the upstream, and removes the queue otherwise.
func (s *State) setSlots(now model.Time, u model.UpstreamID, out *Effects) {
	ev := fairness.Event{Kind: fairness.EventUpstreamRemoved, Upstream: u}
	if configured, db := s.document().Upstream(u); configured != nil && s.ownsSeat(u, configured.Zone) {
		ev = fairness.Event{Kind: fairness.EventUpstreamSet, Upstream: u, Slots: db.Slots}
	}
	out.Fairness = s.Fairness.Apply(now, &ev, out.Fairness)
}

func (s *State) ownsSeat(u model.UpstreamID, zone model.Zone) bool {
	return s.dispatchState.seats[membership.Item{Kind: membership.MainSeat, Zone: zone, Name: string(u)}] ||
		s.dispatchState.seats[membership.Item{Kind: membership.StandbySeat, Zone: zone, Name: string(u)}]
}
