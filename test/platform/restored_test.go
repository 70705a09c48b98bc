package platform

import (
	"context"
	"errors"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/store"
)

const leaseTTL = 5 * time.Second

func put(key, value string) []store.Write { return []store.Write{{Key: key, Value: []byte(value)}} }

// mustTxn makes an unconditional change and returns its revision.
func mustTxn(t *testing.T, client store.Store, writes []store.Write) int64 {
	t.Helper()
	r, err := client.Txn(t.Context(), nil, writes)
	if err != nil || !r.Succeeded {
		t.Fatalf("Txn = %+v, %v", r, err)
	}
	return r.Revision
}

// Guards against changes that a watch misses, because its revision was given out again
// after the store came back from a copy.
func TestWatchFromBeforeRestoreFails(t *testing.T) {
	s, client := newStore(t)
	c := s.Copy()
	s.Put("op/a", []byte("lost"))
	_, revision, err := client.Range(t.Context(), "op/", 0)
	if err != nil {
		t.Fatal(err)
	}
	s.Restore(c)
	for range 5 {
		s.Put("op/b", []byte("new"))
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if err := client.Watch(ctx, "op/", revision, func(store.Change) { cancel() }); !errors.Is(err, store.ErrCompacted) {
		t.Errorf("watch from a revision before the restore: %v", err)
	}
}

// Guards against a watch that waits while the store comes back from a copy, and goes on
// as if no change had been lost.
func TestWaitingWatchEndsAtRestore(t *testing.T) {
	s, client := newStore(t)
	_, revision, err := client.Range(t.Context(), "op/", 0)
	if err != nil {
		t.Fatal(err)
	}
	c := s.Copy()
	ended := make(chan error, 1)
	go func() { ended <- client.Watch(t.Context(), "op/", revision, func(store.Change) {}) }()
	time.Sleep(100 * time.Millisecond)
	s.Restore(c)
	s.Put("op/b", []byte("new"))
	select {
	case err := <-ended:
		if !errors.Is(err, store.ErrCompacted) {
			t.Errorf("watch during the restore: %v", err)
		}
	case <-time.After(2 * time.Second):
		t.Error("the watch goes on")
	}
}

// Guards against revisions that go back: evacuations, lists and fencing tokens are
// ordered by them, so that new ones were ignored and promotions refused.
func TestRevisionsIncreaseOverRestore(t *testing.T) {
	s, client := newStore(t)
	mustTxn(t, client, put("k", "copied"))
	c := s.Copy()
	last := int64(0)
	for range 5 {
		last = mustTxn(t, client, put("k", "lost"))
	}
	s.Restore(c)
	kv, err := client.Get(t.Context(), "k")
	if err != nil || string(kv.Value) != "copied" || kv.ModRevision <= last {
		t.Errorf("Get = %+v, %v after revision %d", kv, err, last)
	}
	kvs, revision, err := client.Range(t.Context(), "k", 0)
	if err != nil || len(kvs) != 1 || kvs[0].ModRevision != kv.ModRevision || revision <= last {
		t.Errorf("Range = %+v at %d, %v after revision %d", kvs, revision, err, last)
	}
	if r := mustTxn(t, client, put("k", "new")); r <= last {
		t.Errorf("change in revision %d after %d", r, last)
	}
	if r, err := client.Txn(t.Context(), []store.Condition{{Key: "k", ModRevision: revision}}, put("k", "x")); err != nil || r.Succeeded ||
		len(r.Current) != 1 || r.Current[0].ModRevision <= last {
		t.Errorf("Txn on a condition that fails = %+v, %v", r, err)
	}
}

// Guards against a condition from before a restore that holds by coincidence, because
// another change was given the same revision.
func TestConditionFromBeforeRestoreFails(t *testing.T) {
	for _, seen := range []bool{false, true} {
		s, client := newStore(t)
		c := s.Copy()
		revision := mustTxn(t, client, put("k", "lost"))
		s.Restore(c)
		s.Put("k", []byte("of another"))
		if seen {
			if _, err := client.Get(t.Context(), "k"); err != nil {
				t.Fatal(err)
			}
		}
		r, err := client.Txn(t.Context(), []store.Condition{{Key: "k", ModRevision: revision}}, put("k", "overwritten"))
		if err == nil && r.Succeeded {
			t.Errorf("restore seen: %t: the condition held", seen)
		}
		kv, err := client.Get(t.Context(), "k")
		if err != nil || seen && string(kv.Value) != "of another" {
			t.Errorf("restore seen: %t: value %q, %v", seen, kv.Value, err)
		}
	}
}

// Guards against a VM that renews, uses or revokes the lease of another one, which was
// given the same id after a restore.
func TestLeaseFromBeforeRestoreHasEnded(t *testing.T) {
	s, client := newStore(t)
	other := newClient(s)
	c := s.Copy()
	lease, err := client.LeaseGrant(t.Context(), leaseTTL)
	if err != nil {
		t.Fatal(err)
	}
	s.Restore(c)
	theirs, err := other.LeaseGrant(t.Context(), leaseTTL)
	if err != nil {
		t.Fatal(err)
	}
	mustTxn(t, other, []store.Write{{Key: "theirs", Value: []byte("1"), Lease: theirs}})
	if err := client.LeaseKeepAlive(t.Context(), lease); !errors.Is(err, store.ErrLeaseNotFound) {
		t.Errorf("LeaseKeepAlive: %v", err)
	}
	if _, err := client.Txn(t.Context(), nil, []store.Write{{Key: "mine", Lease: lease}}); !errors.Is(err, store.ErrLeaseNotFound) {
		t.Errorf("Txn: %v", err)
	}
	if err := client.LeaseRevoke(t.Context(), lease); !errors.Is(err, store.ErrLeaseNotFound) {
		t.Errorf("LeaseRevoke: %v", err)
	}
	if kv, err := other.Get(t.Context(), "theirs"); err != nil || kv.ModRevision == 0 {
		t.Errorf("the other VM's key: %+v, %v", kv, err)
	}
	if kv, err := other.Get(t.Context(), "mine"); err != nil || kv.ModRevision != 0 {
		t.Errorf("key with the other VM's lease: %+v, %v", kv, err)
	}
}

// Guards against a lease id that is given to the same VM again after a restore: the user
// of the former lease then renewed the new one.
func TestOwnLeasesOverRestoreAreDistinct(t *testing.T) {
	s, client := newStore(t)
	c := s.Copy()
	before, err := client.LeaseGrant(t.Context(), leaseTTL)
	if err != nil {
		t.Fatal(err)
	}
	s.Restore(c)
	after, err := client.LeaseGrant(t.Context(), leaseTTL)
	if err != nil || after == before {
		t.Errorf("leases %d and %d, %v", before, after, err)
	}
	if err := client.LeaseKeepAlive(t.Context(), before); !errors.Is(err, store.ErrLeaseNotFound) {
		t.Errorf("LeaseKeepAlive of the former lease: %v", err)
	}
	if err := client.LeaseKeepAlive(t.Context(), after); err != nil {
		t.Errorf("LeaseKeepAlive: %v", err)
	}
}

// Guards against a restore that nobody is told of, and against one that is reported more
// than once.
func TestRestoreIsReportedOnce(t *testing.T) {
	s, client := newStore(t)
	var changes []store.GenerationChange
	client.OnGeneration(func(c store.GenerationChange) { changes = append(changes, c) })
	get := func() {
		if _, err := client.Get(t.Context(), "k"); err != nil {
			t.Fatal(err)
		}
	}
	get()
	get()
	s.Restore(s.Copy())
	get()
	get()
	want := []store.GenerationChange{{First: true, New: 1, Call: "get"}, {Old: 1, New: 2, Call: "get"}}
	if !slices.Equal(changes, want) {
		t.Errorf("changes %+v, want %+v", changes, want)
	}
}

// longWait is a time for which the store holds a watch without changes back; a watch that
// ends within promptly has not waited for it.
const (
	longWait = 5 * time.Second
	promptly = time.Second
)

// endsCompacted fails the test unless a watch ends promptly with store.ErrCompacted.
func endsCompacted(t *testing.T, ended <-chan error) {
	t.Helper()
	select {
	case err := <-ended:
		if !errors.Is(err, store.ErrCompacted) {
			t.Errorf("watch: %v", err)
		}
	case <-time.After(promptly):
		t.Error("the watch goes on")
	}
}

// Guards against a VM that learns seconds late that the store came back from a copy, since
// its next watch waits for a change in a revision that was given out again.
func TestFirstCallOfWatchDoesNotWait(t *testing.T) {
	s, client := newStore(t)
	client.WatchWait = longWait
	c := s.Copy()
	_, revision, err := client.Range(t.Context(), "op/", 0)
	if err != nil {
		t.Fatal(err)
	}
	s.Restore(c)
	ended := make(chan error, 1)
	go func() { ended <- client.Watch(t.Context(), "op/", revision, func(store.Change) {}) }()
	endsCompacted(t, ended)
}

// Guards against a watch that waits on although another call has shown that the store
// came back from a copy.
func TestWaitingWatchEndsOnceRestoreIsSeen(t *testing.T) {
	s, client := newStore(t)
	client.WatchWait = longWait
	c := s.Copy()
	_, revision, err := client.Range(t.Context(), "op/", 0)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- client.Watch(t.Context(), "op/", revision, func(store.Change) {}) }()
	time.Sleep(2 * 150 * time.Millisecond)
	s.Restore(c)
	if _, err := client.Get(t.Context(), "any"); err != nil {
		t.Fatal(err)
	}
	endsCompacted(t, ended)
}

// Guards against a store that counts as unavailable because its eras begin at a high
// number, such as a time.
func TestHighEra(t *testing.T) {
	s, client := newStore(t)
	s.SetEra(1_774_494_050_022)
	c := s.Copy()
	revision := mustTxn(t, client, put("k", "1"))
	if revision <= 0 || revision > math.MaxInt64/1024 {
		t.Errorf("revision %d is not positive, or too high for fencing tokens", revision)
	}
	s.Restore(c)
	if next := mustTxn(t, client, put("k", "2")); next <= revision {
		t.Errorf("revision %d after %d", next, revision)
	}
}
