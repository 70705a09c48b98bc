package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Rendezvous hashing: each candidate gets a score from its own hash and the
// key's hash, and the candidates with the highest scores are chosen. A change
// of the candidates moves only the keys of those that came or went.

// score combines the hashes of a candidate and a key.
func score(candidate, key uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], candidate)
	binary.LittleEndian.PutUint64(b[8:], key)
	return xxhash.Sum64(b[:])
}

// itemHash returns the hash of an item. Both seats of an upstream have the same
// key, so that they go to the first and the second choice.
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

// topTwo returns the indices of the members with the highest scores, -1 for
// those that do not exist.
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

// ownerIn returns the owner of an item among the members.
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

// relayHash returns the hash by which a zone's relay is chosen.
func relayHash(z model.Zone) uint64 { return xxhash.Sum64String("relay/" + string(z)) }

// zoneHash returns the hash of a zone's name as a candidate.
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
