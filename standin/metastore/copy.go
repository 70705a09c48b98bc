package metastore

import "maps"

// Copy is the state of a Store at one time: its items, leases and counters.
type Copy struct {
	items     map[string]Item
	leases    map[int64]lease
	revision  int64
	nextLease int64
}

// Copy returns a copy of the current state.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return Copy{items: maps.Clone(s.items), leases: maps.Clone(s.leases), revision: s.revision, nextLease: s.nextLease}
}

// Restore replaces the state by a copy, in a new era: what was written since is gone,
// and revisions and lease ids are given out again. The leases run on from their last
// renewal before the copy. History starts at the copy's revision; a watch from a later
// one gets 410.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era.Add(1)
	s.items, s.leases = maps.Clone(c.items), maps.Clone(c.leases)
	s.revision, s.nextLease = c.revision, c.nextLease
	s.events, s.compactedRevision = nil, c.revision
	s.expire()
	s.notifyWatchers()
}

// Era returns the era of the store.
func (s *Store) Era() int64 { return s.era.Load() }

// SetEra sets the era, which is 1 at first.
func (s *Store) SetEra(era int64) { s.era.Store(era) }
