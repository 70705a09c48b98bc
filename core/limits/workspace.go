package limits

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// waiter is a request that waits for tokens.
type waiter struct {
	id       uint64
	cost     int64
	deadline model.Time
}

// owner is the VM that owns a zone's share, as this VM knows it.
type owner struct {
	zone  model.Zone
	vm    model.VMID
	epoch uint64
	// retryAt is when the owner may be asked again after it had no tokens.
	retryAt model.Time
	// unreachableUntil is how long the owner counts as unreachable.
	unreachableUntil model.Time
}

// pending is a request for tokens that was not answered yet.
type pending struct {
	id     uint64
	zone   model.Zone
	amount int64
	sentAt model.Time
	borrow bool
}

// peerRequest is a peer's request that waits for tokens of an owned share.
type peerRequest struct {
	vm        model.VMID
	id        uint64
	remaining int64
	granted   int64
	arrivedAt model.Time
}

// response is what a request of a peer was given.
type response struct {
	vm     model.VMID
	id     uint64
	amount int64
}

// workspace has the tokens of one workspace.
type workspace struct {
	name        model.Workspace
	version     uint64
	rate        int64
	burst       int64
	targetShare share
	bucket      bucket
	grants      grants
	demand      demand

	// waiters[head:] wait for tokens, first come first.
	waiters []waiter
	head    int
	// queuedCost is the sum of the waiters' costs.
	queuedCost int64

	owners    []owner
	nextOwner int
	pending   []pending

	peerRequests    []peerRequest
	nextParty       int
	cachedResponses []response
	oldestResponse  int
}

// validity returns how long grants of this workspace may be used.
func (w *workspace) validity(configured time.Duration) time.Duration {
	return w.validityForShare(w.bucket.share, configured)
}

// validityForShare returns the validity of grants of a share: at most half the time in
// which its rate, and the workspace's, yields the burst, so that half of the
// burst stays for the balance.
func (w *workspace) validityForShare(sh share, configured time.Duration) time.Duration {
	v := capAtHalfFillTime(configured, w.rate, w.burst)
	return capAtHalfFillTime(v, sh.rate, sh.burst)
}

func capAtHalfFillTime(longest time.Duration, rate, burst int64) time.Duration {
	if rate <= 0 || burst <= 0 {
		return longest
	}
	if burst/rate > int64(maxRefillInterval/time.Second) {
		return longest
	}
	half := time.Duration(burst*microsPerSecond/rate/2) * time.Microsecond
	return min(longest, half)
}

// idle reports whether a tick changes nothing: the balance is refilled when it
// is needed next.
func (w *workspace) idle() bool {
	return len(w.queued()) == 0 && len(w.peerRequests) == 0 && len(w.pending) == 0 &&
		w.grants.total == 0 && w.demand.rate == 0 && w.demand.arrivals == 0
}

// tokensInFlight returns the tokens that were asked for and not yet answered.
func (w *workspace) tokensInFlight() int64 {
	sum := int64(0)
	for i := range w.pending {
		sum += w.pending[i].amount
	}
	return sum
}

// requestedByPeers returns the tokens that peers wait for.
func (w *workspace) requestedByPeers() int64 {
	sum := int64(0)
	for i := range w.peerRequests {
		sum += w.peerRequests[i].remaining
	}
	return sum
}

// ownerOf returns the known owner of the zone's share, or nil.
func (w *workspace) ownerOf(z model.Zone) *owner {
	for i := range w.owners {
		if w.owners[i].zone == z {
			return &w.owners[i]
		}
	}
	return nil
}

// hasPending reports whether a request to the zone's owner is unanswered.
func (w *workspace) hasPending(z model.Zone) bool {
	for i := range w.pending {
		if w.pending[i].zone == z {
			return true
		}
	}
	return false
}

// queued returns the waiting requests in the order of their arrival.
func (w *workspace) queued() []waiter { return w.waiters[w.head:] }

// popWaiter removes the first waiter.
func (w *workspace) popWaiter() waiter {
	first := w.waiters[w.head]
	w.head++
	w.queuedCost -= first.cost
	if w.head*2 >= len(w.waiters) {
		n := copy(w.waiters, w.waiters[w.head:])
		w.waiters = w.waiters[:n]
		w.head = 0
	}
	return first
}

// removeWaiter removes the waiter at index i of queued.
func (w *workspace) removeWaiter(i int) {
	i += w.head
	w.queuedCost -= w.waiters[i].cost
	w.waiters = append(w.waiters[:i], w.waiters[i+1:]...)
}

// takePending removes and returns the unanswered request with the id.
func (w *workspace) takePending(id uint64) (pending, bool) {
	for i := range w.pending {
		if w.pending[i].id == id {
			p := w.pending[i]
			w.pending = append(w.pending[:i], w.pending[i+1:]...)
			return p, true
		}
	}
	return pending{}, false
}
