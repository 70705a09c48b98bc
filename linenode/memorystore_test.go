package linenode

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/chervilhatch/chervilhatch/store"
)

// memoryStore is a store in memory that can come back from a copy. Leases do not expire.
type memoryStore struct {
	mu         sync.Mutex
	generation int64
	number     int64
	kvs        map[string]store.KeyValue
	lease      int64
}

// memoryClient is a client of a memoryStore.
type memoryClient struct {
	*memoryStore
	known  bool
	seen   int64
	notify func(store.GenerationChange)
}

func (s *memoryStore) client() *memoryClient { return &memoryClient{memoryStore: s} }

// restore replaces the keys by kvs in a new generation.
func (s *memoryStore) restore(kvs map[string]store.KeyValue) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generation++
	s.kvs = map[string]store.KeyValue{}
	for key, kv := range kvs {
		kv.ModRevision = store.Revision(s.generation, store.Number(kv.ModRevision))
		s.kvs[key] = kv
	}
}

func (s *memoryStore) copy() map[string]store.KeyValue {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.kvs)
}

func (c *memoryClient) OnGeneration(fn func(store.GenerationChange)) { c.notify = fn }

// enter locks the store and reports its generation. The caller unlocks it.
func (c *memoryClient) enter() {
	c.mu.Lock()
	if c.known && c.seen == c.generation {
		return
	}
	change := store.GenerationChange{First: !c.known, Old: c.seen, New: c.generation}
	c.known, c.seen = true, c.generation
	if c.notify != nil {
		c.notify(change)
	}
}

func (c *memoryClient) Get(_ context.Context, key string) (store.KeyValue, error) {
	c.enter()
	defer c.mu.Unlock()
	kv := c.kvs[key]
	kv.Key = key
	return kv, nil
}

func (c *memoryClient) Range(_ context.Context, prefix string, _ int) ([]store.KeyValue, int64, error) {
	c.enter()
	defer c.mu.Unlock()
	var found []store.KeyValue
	for _, key := range slices.Sorted(maps.Keys(c.kvs)) {
		if strings.HasPrefix(key, prefix) {
			found = append(found, c.kvs[key])
		}
	}
	return found, store.Revision(c.generation, c.number), nil
}

func (c *memoryClient) Txn(_ context.Context, conditions []store.Condition, writes []store.Write) (store.TxnResult, error) {
	c.enter()
	defer c.mu.Unlock()
	for _, condition := range conditions {
		if c.kvs[condition.Key].ModRevision != condition.ModRevision {
			return store.TxnResult{}, nil
		}
	}
	for _, w := range writes {
		c.number++
		if w.Delete {
			delete(c.kvs, w.Key)
			continue
		}
		c.kvs[w.Key] = store.KeyValue{Key: w.Key, Value: w.Value, ModRevision: store.Revision(c.generation, c.number)}
	}
	return store.TxnResult{Succeeded: true, Revision: store.Revision(c.generation, c.number)}, nil
}

func (c *memoryClient) LeaseGrant(context.Context, time.Duration) (int64, error) {
	c.enter()
	defer c.mu.Unlock()
	c.memoryStore.lease++
	return store.Revision(c.generation, c.memoryStore.lease), nil
}

func (c *memoryClient) LeaseKeepAlive(_ context.Context, lease int64) error {
	c.enter()
	defer c.mu.Unlock()
	if store.Generation(lease) != c.generation {
		return store.ErrLeaseNotFound
	}
	return nil
}

func (c *memoryClient) LeaseRevoke(ctx context.Context, lease int64) error {
	return c.LeaseKeepAlive(ctx, lease)
}

func (c *memoryClient) Watch(ctx context.Context, _ string, _ int64, _ func(store.Change)) error {
	<-ctx.Done()
	return ctx.Err()
}
