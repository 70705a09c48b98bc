package platform

import (
	"sort"
	"strings"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	platformv1 "github.com/chervilhatch/chervilhatch/proto/platform/v1"
)

const (
	// maxValueBytes is the maximum size of a value.
	maxValueBytes = 1 << 20
	// maxHistory is the number of revisions that are kept for watches.
	maxHistory = 1000
	// firstRevision is the revision of an empty store. It is above 0, because
	// a mod_revision of 0 means that the key is absent.
	firstRevision = 1
)

// store is the state of the key-value service. It is guarded by the server's
// mutex.
type store struct {
	revision int64
	keys     map[string]*platformv1.KeyValue
	leases   map[int64]*lease
	// nextLease is the id of the next lease.
	nextLease int64
	// history has the changes of the last maxHistory revisions in ascending
	// order.
	history []*platformv1.WatchResponse
	// changed is closed and replaced with each revision.
	changed chan struct{}
}

// lease is a lease and the keys that are deleted when it ends.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
	keys  map[string]struct{}
}

func newStore() *store {
	return &store{
		revision:  firstRevision,
		keys:      make(map[string]*platformv1.KeyValue),
		leases:    make(map[int64]*lease),
		nextLease: 1,
		changed:   make(chan struct{}),
	}
}

// get returns the key, or one with mod_revision 0 if it does not exist.
func (st *store) get(key string) *platformv1.KeyValue {
	if kv := st.keys[key]; kv != nil {
		return kv
	}
	return &platformv1.KeyValue{Key: key}
}

// scan returns the keys with the prefix, sorted. A limit of 0 means no limit.
func (st *store) scan(prefix string, limit int64) []*platformv1.KeyValue {
	var kvs []*platformv1.KeyValue
	for key, kv := range st.keys {
		if strings.HasPrefix(key, prefix) {
			kvs = append(kvs, kv)
		}
	}
	sort.Slice(kvs, func(i, j int) bool { return kvs[i].Key < kvs[j].Key })
	if limit > 0 && int64(len(kvs)) > limit {
		kvs = kvs[:limit]
	}
	return kvs
}

// txn applies the writes if all conditions are met. Otherwise it returns the
// current keys of the conditions.
func (st *store) txn(req *platformv1.TxnRequest) (*platformv1.TxnResponse, error) {
	if err := st.validate(req.Writes); err != nil {
		return nil, err
	}
	if !st.holds(req.Conditions) {
		resp := &platformv1.TxnResponse{Revision: st.revision}
		for _, c := range req.Conditions {
			resp.Current = append(resp.Current, st.get(c.Key))
		}
		return resp, nil
	}
	st.apply(req.Writes)
	return &platformv1.TxnResponse{Succeeded: true, Revision: st.revision}, nil
}

func (st *store) holds(conditions []*platformv1.Condition) bool {
	for _, c := range conditions {
		if st.get(c.Key).ModRevision != c.ModRevision {
			return false
		}
	}
	return true
}

// validate checks the sizes of the values and that the leases exist.
func (st *store) validate(writes []*platformv1.Write) error {
	for _, w := range writes {
		if len(w.Value) > maxValueBytes {
			return status.Errorf(codes.InvalidArgument, "value of %q is larger than %d bytes", w.Key, maxValueBytes)
		}
		if w.LeaseId != 0 && st.leases[w.LeaseId] == nil {
			return status.Errorf(codes.NotFound, "lease %d does not exist", w.LeaseId)
		}
	}
	return nil
}

// apply applies the writes as one new revision and wakes the watches.
func (st *store) apply(writes []*platformv1.Write) {
	if len(writes) == 0 {
		return
	}
	st.revision++
	change := &platformv1.WatchResponse{Revision: st.revision}
	for _, w := range writes {
		change.Changes = append(change.Changes, st.write(w))
	}
	st.history = append(st.history, change)
	if len(st.history) > maxHistory {
		st.history = st.history[len(st.history)-maxHistory:]
	}
	close(st.changed)
	st.changed = make(chan struct{})
}

// write applies one write and returns the key as a watch reports it. A deleted
// key has mod_revision 0.
func (st *store) write(w *platformv1.Write) *platformv1.KeyValue {
	if old := st.keys[w.Key]; old != nil && st.leases[old.LeaseId] != nil {
		delete(st.leases[old.LeaseId].keys, w.Key)
	}
	if w.Delete {
		delete(st.keys, w.Key)
		return &platformv1.KeyValue{Key: w.Key}
	}
	kv := &platformv1.KeyValue{
		Key:         w.Key,
		Value:       w.Value,
		ModRevision: st.revision,
		LeaseId:     w.LeaseId,
	}
	st.keys[w.Key] = kv
	if w.LeaseId != 0 {
		st.leases[w.LeaseId].keys[w.Key] = struct{}{}
	}
	return kv
}

// since returns the changes of revision start and later. ok is false if start
// is no longer in the history.
func (st *store) since(start int64) (changes []*platformv1.WatchResponse, ok bool) {
	if start > st.revision {
		return nil, true
	}
	// The first revision has no changes, so a watch may skip it.
	start = max(start, firstRevision+1)
	oldest := st.revision + 1 - int64(len(st.history))
	if start < oldest {
		return nil, false
	}
	return st.history[start-oldest:], true
}

// endLease deletes the lease and its keys.
func (st *store) endLease(id int64) {
	l := st.leases[id]
	if l == nil {
		return
	}
	l.timer.Stop()
	delete(st.leases, id)
	var writes []*platformv1.Write
	for key := range l.keys {
		writes = append(writes, &platformv1.Write{Key: key, Delete: true})
	}
	sort.Slice(writes, func(i, j int) bool { return writes[i].Key < writes[j].Key })
	st.apply(writes)
}

func (st *store) stopLeases() {
	for _, l := range st.leases {
		l.timer.Stop()
	}
}
