package upstream

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/dbgroup"
	"github.com/chervilhatch/chervilhatch/standin/upstream/internal/store"
)

// durable is the state of an upstream that survives a restart.
type durable struct {
	log replicationLog
	// promised is the highest term that the upstream has accepted.
	promised model.Term
	role     dbgroup.Role
	// primary is the address of the primary that a replica follows.
	primary string
	// synced is true on a replica once its log was compared with the log of the
	// primary of the promised term, and rewound if necessary. Until then, the
	// replica serves no reads, as its data may include entries that the primary
	// does not have.
	synced bool
}

// node is the state of one upstream.
//
// The lock order is writeTx.mu, node.mu, the mutex of the store.
type node struct {
	data *store.Store
	// writeLock is a semaphore of size 1, held by the open write transaction.
	writeLock chan struct{}
	// generation changes whenever the upstream leaves its term, rebuilds its
	// data or stops. Transactions, streams and observed positions of an earlier
	// generation are invalid. It is written with mu held.
	generation atomic.Uint64
	// visible is the applied position for readers that do not hold mu. It is
	// written with the mutex of data held.
	visible atomic.Pointer[model.Position]
	schema  atomic.Pointer[cachedSchema]

	mu sync.Mutex
	durable
	applied model.LogPos
	// receivedAt has the times at which the entries after applied were received.
	receivedAt []time.Time
	// open is the write transaction that holds writeLock.
	open *writeTx
	// changed is closed and replaced whenever the log, the role or a hook
	// changes.
	changed chan struct{}
	hooks   replicationHooks
}

// replicationHooks are the replication faults that a test can inject.
type replicationHooks struct {
	// lagEntries and lagTime keep the applied position behind the received one,
	// by a number of entries and by a time.
	lagEntries model.LogPos
	lagTime    time.Duration
	// receiveStopped keeps a replica from receiving entries.
	receiveStopped bool
	// partitioned stops replication to and from this upstream.
	partitioned bool
}

func newNode(initial durable) (*node, error) {
	data, err := store.Open()
	if err != nil {
		return nil, err
	}
	n := &node{
		data:      data,
		writeLock: make(chan struct{}, 1),
		changed:   make(chan struct{}),
	}
	n.durable = initial
	return n, nil
}

// load builds the data from the log when the upstream starts.
func (n *node) load() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rebuild()
}

// saved returns the state and the hooks that a restart keeps.
func (n *node) saved() (durable, replicationHooks) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.durable, n.hooks
}

// rebuild discards the data and applies the whole log. The caller holds mu.
func (n *node) rebuild() error {
	n.generation.Add(1)
	n.applied = n.log.end()
	n.receivedAt = nil
	return n.data.Rebuild(n.log.statements(), n.updateVisible)
}

// notify wakes the goroutines that wait for a change. The caller holds mu.
func (n *node) notify() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// status returns the fields of dbgroup.Status.
func (n *node) status() dbgroup.Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.statusLocked()
}

func (n *node) statusLocked() dbgroup.Status {
	last := n.log.last()
	return dbgroup.Status{
		Role:        n.role,
		Promised:    n.promised,
		LastTerm:    last.Term,
		TermStart:   last.Start,
		Received:    n.log.end(),
		Applied:     n.applied,
		AppliedTerm: n.log.position(n.applied).Term,
	}
}

// fence accepts term t if it is above every accepted term. A repeated fence for
// the accepted term succeeds again, so that a caller can retry after a lost
// response.
func (n *node) fence(t model.Term) (bool, dbgroup.Status) {
	n.mu.Lock()
	if n.promised == t && n.role == dbgroup.Fenced {
		defer n.mu.Unlock()
		return true, n.statusLocked()
	}
	if !n.promised.Less(t) {
		defer n.mu.Unlock()
		return false, n.statusLocked()
	}
	n.promised = t
	open := n.leaveTerm(dbgroup.Fenced)
	n.mu.Unlock()
	open.abort(errFenced)
	return true, n.status()
}

// leaveTerm changes the role and returns the open write transaction, which the
// caller must abort after unlocking mu. The change of generation ensures that
// the transaction can no longer commit.
func (n *node) leaveTerm(role dbgroup.Role) *writeTx {
	n.role = role
	n.primary = ""
	n.synced = false
	n.generation.Add(1)
	n.notify()
	return n.open
}

// promote makes the upstream the primary of t, for which it must be fenced.
// Repeating it on the primary of t has no effect.
func (n *node) promote(t model.Term) (dbgroup.Status, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.role == dbgroup.Primary && n.promised == t {
		return n.statusLocked(), nil
	}
	if n.role != dbgroup.Fenced || n.promised != t {
		return n.statusLocked(), n.refusal("promote", t)
	}
	if err := n.publishUpTo(n.log.end()); err != nil {
		return n.statusLocked(), err
	}
	n.role = dbgroup.Primary
	n.log.append(entry{Term: t})
	if err := n.publishUpTo(n.log.end()); err != nil {
		return n.statusLocked(), err
	}
	n.notify()
	return n.statusLocked(), nil
}

// follow makes the upstream a replica of the primary of t, which must not be
// below the accepted term.
func (n *node) follow(t model.Term, primary string) (dbgroup.Status, error) {
	n.mu.Lock()
	if t.Less(n.promised) || n.role == dbgroup.Primary && n.promised == t {
		defer n.mu.Unlock()
		return n.statusLocked(), n.refusal("follow", t)
	}
	if n.role == dbgroup.Replica && n.promised == t && n.primary == primary {
		defer n.mu.Unlock()
		return n.statusLocked(), nil
	}
	n.promised = t
	open := n.leaveTerm(dbgroup.Replica)
	n.primary = primary
	n.mu.Unlock()
	open.abort(errFenced)
	return n.status(), nil
}

// refusal returns the error for an action that the role or term does not allow.
func (n *node) refusal(action string, t model.Term) *pgError {
	return &pgError{codeNotInRequiredState, "cannot " + action + " in term " + t.String() +
		": this upstream is a " + n.role.String() + " and has accepted term " + n.promised.String()}
}

// publishUpTo makes the entries up to p visible to reads. The caller holds mu.
func (n *node) publishUpTo(p model.LogPos) error {
	for n.applied < p {
		e := n.log.entries[n.applied]
		n.applied++
		if err := n.data.Publish(e.Statements, n.updateVisible); err != nil {
			return err
		}
		if len(n.receivedAt) > 0 {
			n.receivedAt = n.receivedAt[1:]
		}
	}
	return nil
}

// updateVisible sets visible to the applied position.
func (n *node) updateVisible() {
	p := n.log.position(n.applied)
	n.visible.Store(&p)
}

// wait blocks until changed is closed or ctx is done.
func wait(ctx context.Context, changed <-chan struct{}) {
	select {
	case <-changed:
	case <-ctx.Done():
	}
}

// stop rolls back the open write transaction and ends the replication streams.
// It interrupts a running statement and waits for it.
func (n *node) stop() {
	n.mu.Lock()
	n.generation.Add(1)
	open := n.open
	n.notify()
	n.mu.Unlock()
	open.abort(&pgError{codeCannotConnectNow, "the upstream is stopping"})
}

// servesReads reports whether the data may be read.
func (n *node) servesReads() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.role != dbgroup.Replica || n.synced
}
