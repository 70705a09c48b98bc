package membership

import (
	"math"
	"sort"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// maxTime is the latest representable time.
const maxTime = model.Time(math.MaxInt64)

// ownership is the owner of an item according to the newest known records.
type ownership struct {
	member Member
	// zone is the owner's zone: the item's zone or, if that is empty, another
	// one.
	zone  model.Zone
	found bool
}

// releaseKey identifies a released ownership: of item, in an epoch of zone.
type releaseKey struct {
	item  Item
	zone  model.Zone
	epoch uint64
}

// release is the state that the previous owner passed on with a release.
type release struct{ balance int64 }

// tracked is an item for which EffectGained and EffectLost are emitted.
type tracked struct {
	item  Item
	owned bool
	// waiting is true while the item is assigned to this VM but its previous
	// owner may still use it.
	waiting bool
	// epoch is the own zone's epoch at the last evaluation that found the item
	// owned by this VM.
	epoch uint64
}

// Owner returns the VM to which the newest known records assign the item, and its
// zone. The VM may still be waiting for the previous owner to expire.
func (s *State) Owner(it Item) (model.VMID, model.Zone, bool) {
	o := s.ownerOf(it)
	return o.member.VM, o.zone, o.found
}

// Owns reports whether this VM may act as the owner of the item at now.
func (s *State) Owns(now model.Time, it Item) bool {
	now = max(now, s.now)
	if s.stopping || s.ownerOf(it).member != s.self {
		return false
	}
	if now >= s.usableUntil(it) {
		return false
	}
	owns, _ := s.canTakeOver(now, it)
	return owns
}

// ownerOf returns the owner according to the newest records. The result is cached
// until a record changes.
func (s *State) ownerOf(it Item) ownership {
	if o, cached := s.owners[it]; cached {
		return o
	}
	o := s.findOwner(it)
	s.owners[it] = o
	return o
}

func (s *State) findOwner(it Item) ownership {
	zone, found := s.owningZone(it)
	if !found {
		return ownership{}
	}
	m, found := ownerIn(s.zones[zone].record().Members, it)
	return ownership{member: m, zone: zone, found: found}
}

// owningZone returns the zone whose members own the item. If the item's zone is
// empty, a seat is owned by another zone, and tokens have no owner.
func (s *State) owningZone(it Item) (model.Zone, bool) {
	if z := s.zones[it.Zone]; z != nil && len(z.record().Members) > 0 {
		return it.Zone, true
	}
	if it.Kind == Tokens {
		return "", false
	}
	return topZone(s.zonesWithMembers(), itemHash(it))
}

func (s *State) zonesWithMembers() []model.Zone {
	var zones []model.Zone
	for _, z := range s.sortedZones {
		if len(z.record().Members) > 0 {
			zones = append(zones, z.zone)
		}
	}
	return zones
}

// canTakeOver reports whether no other VM can still act as the item's owner,
// provided that the newest records assign the item to this VM. It also returns
// the token balance passed on by the previous owner.
func (s *State) canTakeOver(now model.Time, it Item) (bool, int64) {
	if it.Zone != s.config.Zone && !s.emptyZonesExpired(now, it) {
		return false, 0
	}
	history := s.ownZone().history
	for k := len(history) - 1; k >= 0; k-- {
		if now >= history[k].learnedAt.Add(s.takeoverDelay()) {
			return true, 0
		}
		if k == 0 {
			return false, 0
		}
		previous := history[k-1].record
		owner, found := ownerIn(previous.Members, it)
		if found && owner == s.self {
			continue
		}
		return s.wasReleased(it, previous, owner, found)
	}
	return false, 0
}

// wasReleased reports whether the owner in the previous record released the item,
// and returns the token balance passed on with the release.
func (s *State) wasReleased(it Item, previous Record, owner Member, found bool) (bool, int64) {
	if r, ok := s.released[releaseKey{item: it, zone: previous.Zone, epoch: previous.Epoch}]; ok {
		return true, r.balance
	}
	if !found {
		return false, 0
	}
	p := s.peers[owner.VM]
	released := p != nil && p.incarnation == owner.Incarnation && p.releasedEpoch == previous.Epoch
	return released, 0
}

// emptyZonesExpired reports whether the former members of all empty zones can no
// longer act as the item's owner: takeoverDelay has passed since the empty record
// was learned, or the item was released in the epoch before it.
func (s *State) emptyZonesExpired(now model.Time, it Item) bool {
	for _, z := range s.sortedZones {
		if len(z.record().Members) > 0 {
			continue
		}
		if !z.isKnown() {
			return false
		}
		newest := z.history[len(z.history)-1]
		if now >= newest.learnedAt.Add(s.takeoverDelay()) {
			continue
		}
		key := releaseKey{item: it, zone: z.zone, epoch: newest.record.Epoch - 1}
		if _, ok := s.released[key]; !ok {
			return false
		}
	}
	return true
}

// usableUntil returns the time until which this VM may act as the item's owner.
func (s *State) usableUntil(it Item) model.Time {
	until := s.ConfirmedUntil()
	if it.Zone == s.config.Zone {
		return until
	}
	return min(until, s.emptyZonesConfirmedUntil())
}

// emptyZonesConfirmedUntil returns the time until which the records of all empty
// zones are confirmed, or maxTime if no zone is empty.
func (s *State) emptyZonesConfirmedUntil() model.Time {
	earliest := maxTime
	for _, z := range s.sortedZones {
		if len(z.record().Members) > 0 {
			continue
		}
		confirmedUntil, _ := z.confirmedUntil(s.config.EpochTTL)
		earliest = min(earliest, confirmedUntil)
	}
	return earliest
}

func (s *State) track(it Item, out []Effect) []Effect {
	i := s.trackedIndex(it)
	if i < len(s.items) && s.items[i].item == it {
		return out
	}
	s.zone(it.Zone)
	s.items = append(s.items, nil)
	copy(s.items[i+1:], s.items[i:])
	t := &tracked{item: it}
	s.items[i] = t
	return s.updateItem(t, out)
}

func (s *State) untrack(it Item, out []Effect) []Effect {
	i := s.trackedIndex(it)
	if i == len(s.items) || s.items[i].item != it {
		return out
	}
	if s.items[i].owned {
		out = append(out, Effect{Kind: EffectLost, Item: it, Zone: s.config.Zone, Epoch: s.items[i].epoch})
	}
	if s.items[i].waiting {
		s.waiting--
	}
	s.items = append(s.items[:i], s.items[i+1:]...)
	return out
}

// trackedIndex returns the index in items at which the item is or would be
// inserted.
func (s *State) trackedIndex(it Item) int {
	return sort.Search(len(s.items), func(i int) bool { return !s.items[i].item.less(it) })
}

func (it Item) less(other Item) bool {
	if it.Kind != other.Kind {
		return it.Kind < other.Kind
	}
	if it.Zone != other.Zone {
		return it.Zone < other.Zone
	}
	return it.Name < other.Name
}

func (s *State) release(ev *Event) {
	key := releaseKey{item: ev.Item, zone: ev.Zone, epoch: ev.Epoch}
	if _, known := s.released[key]; !known {
		s.released[key] = release{balance: ev.Balance}
		s.ownersChanged = true
	}
	s.pruneReleases(s.zone(ev.Zone))
}

// pruneReleases removes the releases of epochs that are older than a zone's
// history.
func (s *State) pruneReleases(z *zoneState) {
	newest := z.record().Epoch
	for key := range s.released {
		if key.zone == z.zone && key.epoch+maxHistory < newest {
			delete(s.released, key)
		}
	}
}

// updateItems evaluates the ownership of all tracked items again.
func (s *State) updateItems(out []Effect) []Effect {
	s.ownersChanged = false
	for _, t := range s.items {
		out = s.updateItem(t, out)
	}
	return out
}

func (s *State) updateItem(t *tracked, out []Effect) []Effect {
	owned, balance := s.ownsTracked(t)
	switch {
	case owned && !t.owned:
		out = append(out, s.gainedEffect(t, balance))
	case !owned && t.owned:
		out = append(out, s.lostEffect(t))
	}
	t.owned = owned
	if owned {
		t.epoch = s.ownZone().record().Epoch
	}
	waiting := !owned && !s.stopping && s.ownerOf(t.item).member == s.self
	if waiting != t.waiting {
		t.waiting = waiting
		if waiting {
			s.waiting++
		} else {
			s.waiting--
		}
	}
	return out
}

// ownsTracked reports whether the item is assigned to this VM and no other VM can
// still act as its owner, and returns the token balance passed on. It does not
// check that the epoch is still confirmed: EffectConfirmed carries that limit.
func (s *State) ownsTracked(t *tracked) (bool, int64) {
	if s.stopping || s.ownerOf(t.item).member != s.self {
		return false, 0
	}
	if t.owned && t.epoch == s.ownZone().record().Epoch {
		return true, 0
	}
	return s.canTakeOver(s.now, t.item)
}

func (s *State) gainedEffect(t *tracked, balance int64) Effect {
	return Effect{
		Kind: EffectGained, Item: t.item, Zone: s.config.Zone,
		Epoch: s.ownZone().record().Epoch, Balance: balance, Until: s.usableUntil(t.item),
	}
}

// lostEffect returns the EffectLost of an item, with the next owner and the
// ownership (Zone and Epoch) that the release to it has to name.
func (s *State) lostEffect(t *tracked) Effect {
	e := Effect{Kind: EffectLost, Item: t.item, Zone: s.config.Zone, Epoch: t.epoch}
	if s.stopping {
		e.To = s.ownerWithoutSelf(t.item)
		return e
	}
	next := s.ownerOf(t.item)
	e.To = next.member.VM
	if next.found && next.zone != s.config.Zone && t.epoch == s.ownZone().record().Epoch {
		// The item moves to a zone that was empty in its previous epoch.
		e.Zone = next.zone
		e.Epoch = s.zones[next.zone].record().Epoch - 1
	}
	return e
}

// ownerWithoutSelf returns the VM to which the item is assigned once this VM has
// left the record.
func (s *State) ownerWithoutSelf(it Item) model.VMID {
	var rest []Member
	for _, m := range s.ownZone().record().Members {
		if m != s.self {
			rest = append(rest, m)
		}
	}
	next, _ := ownerIn(rest, it)
	return next.VM
}

// announceDivisor sets the smallest extension, EpochTTL/announceDivisor, that is
// announced by EffectConfirmed while the time announced before has not passed.
// Otherwise every peer report would have to be passed on to all owned items.
const announceDivisor = 20

// announceConfirmed emits EffectConfirmed, which extends the use of owned items,
// for the own zone and for empty zones.
func (s *State) announceConfirmed(out []Effect) []Effect {
	own := s.ConfirmedUntil()
	for _, z := range s.sortedZones {
		until := own
		if z.zone != s.config.Zone {
			if len(z.record().Members) > 0 {
				continue
			}
			until = min(own, s.emptyZonesConfirmedUntil())
		}
		announced := s.announcedUntil[z.zone]
		step := s.config.EpochTTL / announceDivisor
		if until > s.now && until > announced && (s.now >= announced || until.Sub(announced) >= step) {
			s.announcedUntil[z.zone] = until
			out = append(out, Effect{Kind: EffectConfirmed, Zone: z.zone, Until: until})
		}
	}
	return out
}
