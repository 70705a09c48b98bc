package operator

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/chervilhatch/chervilhatch/store"
)

// fault is an injected fault of one call of memoryStore.
type fault uint8

const (
	none fault = iota
	// failed fails the call before it takes effect.
	failed
	// lostResponse fails the call after it has taken effect.
	lostResponse
)

var errFault = fmt.Errorf("%w: injected fault", store.ErrUnavailable)

// memoryStore is an in-memory Store. getFaults and txnFaults apply to the calls in
// order; calls after the last fault succeed.
type memoryStore struct {
	mu        sync.Mutex
	kvs       map[string]store.KeyValue
	revision  int64
	getFaults []fault
	txnFaults []fault
	txns      int
	// onTxn is called at the start of each Txn, before it takes effect.
	onTxn func()
}

func newMemoryStore() *memoryStore {
	return &memoryStore{kvs: map[string]store.KeyValue{}}
}

func next(faults *[]fault) fault {
	if len(*faults) == 0 {
		return none
	}
	f := (*faults)[0]
	*faults = (*faults)[1:]
	return f
}

func (m *memoryStore) Get(_ context.Context, key string) (store.KeyValue, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if next(&m.getFaults) != none {
		return store.KeyValue{}, errFault
	}
	return m.kvs[key], nil
}

func (m *memoryStore) Txn(_ context.Context, conditions []store.Condition, writes []store.Write) (store.TxnResult, error) {
	if m.onTxn != nil {
		m.onTxn()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.txns++
	f := next(&m.txnFaults)
	if f == failed {
		return store.TxnResult{}, errFault
	}
	result := m.compareAndSwap(conditions, writes)
	if f == lostResponse {
		return store.TxnResult{}, errors.Join(errFault)
	}
	return result, nil
}

func (m *memoryStore) compareAndSwap(conditions []store.Condition, writes []store.Write) store.TxnResult {
	for _, c := range conditions {
		if m.kvs[c.Key].ModRevision != c.ModRevision {
			return store.TxnResult{Revision: m.revision}
		}
	}
	m.revision++
	for _, w := range writes {
		delete(m.kvs, w.Key)
		if !w.Delete {
			m.kvs[w.Key] = store.KeyValue{Key: w.Key, Value: w.Value, ModRevision: m.revision}
		}
	}
	return store.TxnResult{Succeeded: true, Revision: m.revision}
}
