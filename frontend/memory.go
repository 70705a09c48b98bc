package frontend

import (
	"sync/atomic"

	"github.com/chervilhatch/chervilhatch/sqlstate"
)

// unreservedBatchSize is the size of a batch that needs no reservation.
const unreservedBatchSize = 16 << 10

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

// reserveBatchMemory reserves memory before the batch grows by n bytes.
func (s *session) reserveBatchMemory(n int) *sqlstate.Error {
	b := &s.batch
	wanted := max(len(b.messages)+n-unreservedBatchSize, 0)
	if !s.server.memory.reserve(wanted - b.reservedBytes) {
		return outOfMemory()
	}
	b.reservedBytes = wanted
	return nil
}

// discardBatch starts a new batch and gives back the memory of the old one.
func (s *session) discardBatch() {
	s.server.memory.reserve(-s.batch.reservedBytes)
	s.batch = newBatch()
}

func outOfMemory() *sqlstate.Error {
	return sqlstate.Refuse(sqlstate.OutOfMemory, "this proxy has no memory left for large requests")
}
