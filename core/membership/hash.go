package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Rendezvous hashing: the score of a candidate for a key combines the hashes of
// both, and the candidates with the highest scores are chosen. Adding or
// removing a candidate moves only the keys assigned to that candidate.

// score returns a candidate's score for a key, both given as hashes.
func score(candidate, key uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], candidate)
	binary.LittleEndian.PutUint64(b[8:], key)
	return xxhash.Sum64(b[:])
}

// itemHash returns the hash of an item. Both seats of an upstream have the same
// hash: the main seat is assigned to the member with the highest score, the
// standby seat to the member with the second highest.
func itemHash(it Item) uint64 {
	kind := byte(it.Kind)
	if it.Kind == StandbySeat {
		kind = byte(MainSeat)
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write([]byte{kind})
	_, _ = d.WriteString(string(it.Zone))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(it.Name)
	return d.Sum64()
}

// topTwo returns the indices of the members with the highest and the second
// highest score for a key, or -1 if there is no such member.
func topTwo(members []Member, key uint64) (int, int) {
	first, second := -1, -1
	var firstScore, secondScore uint64
	for i, m := range members {
		s := score(xxhash.Sum64String(string(m.VM)), key)
		switch {
		case first < 0 || s > firstScore:
			second, secondScore = first, firstScore
			first, firstScore = i, s
		case second < 0 || s > secondScore:
			second, secondScore = i, s
		}
	}
	return first, second
}

// ownerIn returns the member to which an item is assigned, if there is one.
func ownerIn(members []Member, it Item) (Member, bool) {
	first, second := topTwo(members, itemHash(it))
	i := first
	if it.Kind == StandbySeat {
		i = second
	}
	if i < 0 {
		return Member{}, false
	}
	return members[i], true
}

// relayHash returns the key for which the members of a zone are scored to choose
// its relay.
func relayHash(z model.Zone) uint64 { return xxhash.Sum64String("relay/" + string(z)) }

// zoneHash returns the hash of a zone's name. It identifies the zone as a candidate,
// and is the key for which the zone that clears a dead zone's record is chosen.
func zoneHash(z model.Zone) uint64 { return xxhash.Sum64String(string(z)) }

// topZone returns the zone with the highest score for a key.
func topZone(zones []model.Zone, key uint64) (model.Zone, bool) {
	found := false
	var chosen model.Zone
	var best uint64
	for _, z := range zones {
		s := score(zoneHash(z), key)
		if !found || s > best {
			found, chosen, best = true, z, s
		}
	}
	return chosen, found
}
