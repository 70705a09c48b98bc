package limits

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// waiter is a queued request.
type waiter struct {
	id       uint64
	cost     int64
	deadline model.Time
}

// owner is the VM that owns a zone's share, as far as this VM knows.
type owner struct {
	zone  model.Zone
	vm    model.VMID
	epoch uint64
	// retryAt is when the owner may be asked again after a response without
	// tokens.
	retryAt model.Time
	// unreachableUntil is when the owner may be asked again after a failed
	// request.
	unreachableUntil model.Time
}

// pending is a token request of this VM without a response.
type pending struct {
	id     uint64
	zone   model.Zone
	amount int64
	sentAt model.Time
	borrow bool
}

// peerRequest is a token request of a peer that waits for tokens of the owned
// share.
type peerRequest struct {
	vm        model.VMID
	id        uint64
	remaining int64
	granted   int64
	arrivedAt model.Time
}

// response is the amount that a token request of a peer was granted.
type response struct {
	vm     model.VMID
	id     uint64
	amount int64
}

// workspace is the state of one workspace at this VM.
type workspace struct {
	name        model.Workspace
	version     uint64
	rate        int64
	burst       int64
	targetShare share
	bucket      bucket
	grants      grants
	demand      demand

	// waiters[head:] is the queue of requests that wait for tokens, in order of
	// arrival.
	waiters []waiter
	head    int
	// queuedCost is the total cost of the queued requests.
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

// validityForShare returns the validity of grants of a share. It is at most
// half the time in which the rate of the share, and that of the workspace,
// fills the burst, so that at least about half of the burst remains for the
// bucket's capacity.
func (w *workspace) validityForShare(sh share, configured time.Duration) time.Duration {
	v := capAtHalfFillTime(configured, w.rate, w.burst)
	return capAtHalfFillTime(v, sh.rate, sh.burst)
}

// capAtHalfFillTime returns half the time in which rate fills burst, but at
// most longest.
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

// idle reports whether a tick has nothing to do for the workspace. The refill
// of the balance can wait until it is next used.
func (w *workspace) idle() bool {
	return len(w.queued()) == 0 && len(w.peerRequests) == 0 && len(w.pending) == 0 &&
		w.grants.total == 0 && w.demand.rate == 0 && w.demand.arrivals == 0
}

// tokensInFlight returns the sum of the amounts of the pending token requests.
func (w *workspace) tokensInFlight() int64 {
	sum := int64(0)
	for i := range w.pending {
		sum += w.pending[i].amount
	}
	return sum
}

// requestedByPeers returns the tokens that the peers' waiting requests still
// lack.
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

// hasPending reports whether a token request to the zone's owner is pending.
func (w *workspace) hasPending(z model.Zone) bool {
	for i := range w.pending {
		if w.pending[i].zone == z {
			return true
		}
	}
	return false
}

// queued returns the queued requests in order of arrival.
func (w *workspace) queued() []waiter { return w.waiters[w.head:] }

// popWaiter removes and returns the head of the queue.
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

// removeWaiter removes the request at index i of queued.
func (w *workspace) removeWaiter(i int) {
	i += w.head
	w.queuedCost -= w.waiters[i].cost
	w.waiters = append(w.waiters[:i], w.waiters[i+1:]...)
}

// takePending removes and returns the pending token request with the id.
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
