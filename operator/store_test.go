package operator

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/chervilhatch/chervilhatch/platform"
)

// fault is what happens to one call of memoryStore.
type fault uint8

const (
	none fault = iota
	// refused fails the call before it takes effect.
	refused
	// lost fails the call after it took effect.
	lost
)

var errFault = fmt.Errorf("%w: injected fault", platform.ErrUnavailable)

// memoryStore is a Store in memory. Its faults apply to the calls in order;
// calls after the last fault succeed.
type memoryStore struct {
	mu        sync.Mutex
	kvs       map[string]platform.KeyValue
	revision  int64
	getFaults []fault
	txnFaults []fault
	txns      int
	// onTxn runs before each Txn takes effect.
	onTxn func()
}

func newMemoryStore() *memoryStore {
	return &memoryStore{kvs: map[string]platform.KeyValue{}}
}

func next(faults *[]fault) fault {
	if len(*faults) == 0 {
		return none
	}
	f := (*faults)[0]
	*faults = (*faults)[1:]
	return f
}

func (m *memoryStore) Get(_ context.Context, key string) (platform.KeyValue, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if next(&m.getFaults) != none {
		return platform.KeyValue{}, errFault
	}
	return m.kvs[key], nil
}

func (m *memoryStore) Txn(_ context.Context, conditions []platform.Condition, writes []platform.Write) (platform.TxnResult, error) {
	if m.onTxn != nil {
		m.onTxn()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.txns++
	f := next(&m.txnFaults)
	if f == refused {
		return platform.TxnResult{}, errFault
	}
	result := m.swap(conditions, writes)
	if f == lost {
		return platform.TxnResult{}, errors.Join(errFault)
	}
	return result, nil
}

func (m *memoryStore) swap(conditions []platform.Condition, writes []platform.Write) platform.TxnResult {
	for _, c := range conditions {
		if m.kvs[c.Key].ModRevision != c.ModRevision {
			return platform.TxnResult{Revision: m.revision}
		}
	}
	m.revision++
	for _, w := range writes {
		delete(m.kvs, w.Key)
		if !w.Delete {
			m.kvs[w.Key] = platform.KeyValue{Key: w.Key, Value: w.Value, ModRevision: m.revision}
		}
	}
	return platform.TxnResult{Succeeded: true, Revision: m.revision}
}
