// Package store defines the interfaces to the platform's key-value service and
// to its list of VMs and database groups. An adapter to another service
// implements Store and Inventory.
package store

import (
	"context"
	"errors"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Errors of a Store.
var (
	// ErrUnavailable means that the service did not answer. A change may have
	// taken effect.
	ErrUnavailable = errors.New("platform store unavailable")
	// ErrLeaseNotFound means that the lease has expired or was revoked.
	ErrLeaseNotFound = errors.New("lease expired")
	// ErrRejected means that the service answered that the call had no effect.
	ErrRejected = errors.New("platform store rejected the call")
	// ErrCompacted means that the changes since the start of a watch cannot be had any
	// more: the store has discarded them, or they are too many for one answer. The keys
	// have to be read again.
	ErrCompacted = errors.New("platform store has discarded its history")
)

// KeyValue is one key of the store. ModRevision is the revision of its last
// change, 0 if the key is absent.
type KeyValue struct {
	Key         string
	Value       []byte
	ModRevision int64
}

// Condition holds if the key's ModRevision equals the given one.
type Condition struct {
	Key         string
	ModRevision int64
}

// Write sets or deletes one key. If Lease is not 0, the key is deleted when
// that lease ends.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
	Lease  int64
}

// TxnResult tells whether all conditions held. If they did not, Current holds
// the conditions' keys.
type TxnResult struct {
	Succeeded bool
	Revision  int64
	Current   []KeyValue
}

// Change is one message of a watch.
type Change struct {
	Revision int64
	KVs      []KeyValue
}

// Store is the platform's key-value service.
type Store interface {
	Get(ctx context.Context, key string) (KeyValue, error)
	// Range returns at most limit keys with the prefix in key order, and the
	// store's revision. A limit of 0 means no limit.
	Range(ctx context.Context, prefix string, limit int) ([]KeyValue, int64, error)
	Txn(ctx context.Context, conditions []Condition, writes []Write) (TxnResult, error)
	LeaseGrant(ctx context.Context, ttl time.Duration) (int64, error)
	LeaseKeepAlive(ctx context.Context, lease int64) error
	LeaseRevoke(ctx context.Context, lease int64) error
	// Watch calls fn for each change of the prefix from revision start on, until
	// ctx ends or the stream fails.
	Watch(ctx context.Context, prefix string, start int64, fn func(Change)) error
}

// VM is one VM in the platform's list.
type VM struct {
	ID          model.VMID
	Zone        model.Zone
	PeerAddress string
	Leaving     bool
}

// Upstream is one server of a group in the platform's list.
type Upstream struct {
	ID      model.UpstreamID
	Zone    model.Zone
	Address string
	Leaving bool
}

// Group is one database group.
type Group struct {
	Database  model.Database
	Upstreams []Upstream
}

// Inventory is the platform's list of VMs and database groups. It lags behind
// their actual state.
type Inventory interface {
	ListVMs(ctx context.Context) ([]VM, error)
	ListGroups(ctx context.Context) ([]Group, error)
}
