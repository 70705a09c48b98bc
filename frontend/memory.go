package frontend

import (
	"sync/atomic"

	"github.com/chervilhatch/chervilhatch/sqlstate"
)

// smallBatch is the size of a batch that needs no reservation.
const smallBatch = 16 << 10

// memoryBudget bounds the memory for large messages over all sessions.
type memoryBudget struct {
	limit int64
	used  atomic.Int64
}

// reserve takes delta bytes, or gives them back if delta is negative. It
// reports whether the budget has room.
func (m *memoryBudget) reserve(delta int) bool {
	if m.used.Add(int64(delta)) <= m.limit || delta <= 0 {
		return true
	}
	m.used.Add(-int64(delta))
	return false
}

// growBatch reserves memory before the batch grows by n bytes.
func (s *session) growBatch(n int) *sqlstate.Error {
	b := &s.batch
	wanted := max(len(b.messages)+n-smallBatch, 0)
	if !s.server.memory.reserve(wanted - b.reserved) {
		return noMemory()
	}
	b.reserved = wanted
	return nil
}

// dropBatch starts a new batch and gives back the memory of the old one.
func (s *session) dropBatch() {
	s.server.memory.reserve(-s.batch.reserved)
	s.batch = newBatch()
}

func noMemory() *sqlstate.Error {
	return sqlstate.Refuse(sqlstate.OutOfMemory, "this proxy has no memory left for large requests")
}
