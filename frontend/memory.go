package frontend

import (
	"sync/atomic"

	"github.com/chervilhatch/chervilhatch/sqlstate"
)

// unreservedBatchSize is the size, in bytes, up to which a batch takes nothing
// from the memory budget.
const unreservedBatchSize = 16 << 10

// memoryBudget bounds the memory that large messages and batches of all
// sessions use together.
type memoryBudget struct {
	limit int64
	used  atomic.Int64
}

// reserve takes delta bytes, or returns them if delta is negative. It reports
// whether the budget sufficed.
func (m *memoryBudget) reserve(delta int) bool {
	if m.used.Add(int64(delta)) <= m.limit || delta <= 0 {
		return true
	}
	m.used.Add(-int64(delta))
	return false
}

// reserveBatchMemory reserves memory for n more bytes of the batch.
func (s *session) reserveBatchMemory(n int) *sqlstate.Error {
	b := &s.batch
	wanted := max(len(b.messages)+n-unreservedBatchSize, 0)
	if !s.server.memory.reserve(wanted - b.reservedBytes) {
		return outOfMemory()
	}
	b.reservedBytes = wanted
	return nil
}

// discardBatch replaces the batch with an empty one and returns its memory to
// the budget.
func (s *session) discardBatch() {
	s.server.memory.reserve(-s.batch.reservedBytes)
	s.batch = newBatch()
}

func outOfMemory() *sqlstate.Error {
	return sqlstate.Refuse(sqlstate.OutOfMemory, "this proxy has no memory left for large requests")
}
