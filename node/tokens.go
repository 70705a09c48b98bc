package node

import (
	"context"
	"sync"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/chervilhatch/chervilhatch/core"
	"github.com/chervilhatch/chervilhatch/core/limits"
	"github.com/chervilhatch/chervilhatch/core/membership"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/peer"
	peerv1 "github.com/chervilhatch/chervilhatch/proto/peer/v1"
)

// tokenRequestKey identifies a token request; retries of a request share the key.
type tokenRequestKey struct {
	vm model.VMID
	id uint64
}

// tokenServer implements peer.TokenHandler using the reducer.
type tokenServer struct {
	loop         *loop
	activeConfig *activeConfig

	mu sync.Mutex
	// pending holds the requests that have not been answered. A retry shares the
	// entry of the first call.
	pending map[tokenRequestKey]*pendingTokenRequest
}

type pendingTokenRequest struct {
	ready  chan struct{}
	answer *peerv1.TokensResponse
}

var _ peer.TokenHandler = (*tokenServer)(nil)

func newTokenServer(l *loop, a *activeConfig) *tokenServer {
	return &tokenServer{loop: l, activeConfig: a, pending: map[tokenRequestKey]*pendingTokenRequest{}}
}

// Tokens implements peer.TokenHandler.
func (t *tokenServer) Tokens(ctx context.Context, r *peerv1.TokensRequest) (*peerv1.TokensResponse, error) {
	key := tokenRequestKey{model.VMID(r.GetFromVm()), r.GetRequestId()}
	request := t.request(key)
	ev := limits.Event{
		Kind:      limits.EventTokenRequest,
		Workspace: model.Workspace(r.GetWorkspace()),
		VM:        key.vm,
		Zone:      model.Zone(r.GetZone()),
		RequestID: key.id,
		Amount:    r.GetAmountMilli(),
		Borrow:    r.GetBorrow(),
	}
	t.loop.apply(&core.Event{Limits: &ev})
	select {
	case <-request.ready:
		return request.answer, nil
	case <-ctx.Done():
		t.removePending(key)
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}

// request returns the pending entry of a call and creates it if necessary.
func (t *tokenServer) request(key tokenRequestKey) *pendingTokenRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.pending[key]
	if entry == nil {
		entry = &pendingTokenRequest{ready: make(chan struct{})}
		t.pending[key] = entry
	}
	return entry
}

func (t *tokenServer) removePending(key tokenRequestKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.pending, key)
}

// answer completes the call that an effect answers. If no call is pending, the
// tokens are lost, as they are when a response is lost on the network.
func (t *tokenServer) answer(e limits.Effect) {
	key := tokenRequestKey{e.VM, e.RequestID}
	t.mu.Lock()
	defer t.mu.Unlock()
	request := t.pending[key]
	if request == nil {
		return
	}
	delete(t.pending, key)
	request.answer = &peerv1.TokensResponse{
		AmountMilli:  e.Amount,
		ValidUs:      e.Validity.Microseconds(),
		RetryAfterUs: e.RetryAfter.Microseconds(),
	}
	close(request.ready)
}

// itemKinds maps the kinds of a release request to item kinds of membership.
var itemKinds = map[peerv1.ReleaseRequest_Kind]membership.ItemKind{
	peerv1.ReleaseRequest_KIND_MAIN_SEAT:    membership.MainSeat,
	peerv1.ReleaseRequest_KIND_STANDBY_SEAT: membership.StandbySeat,
	peerv1.ReleaseRequest_KIND_TOKENS:       membership.Tokens,
}

// itemZone returns the zone of a released item. For a seat this is the zone of the
// upstream, which differs from the releasing owner's zone when the upstream's zone
// has no VM.
func (t *tokenServer) itemZone(kind membership.ItemKind, r *peerv1.ReleaseRequest) model.Zone {
	zone := model.Zone(r.GetZone())
	if d := t.activeConfig.current(); d != nil && kind != membership.Tokens {
		if u, _ := d.Upstream(model.UpstreamID(r.GetName())); u != nil {
			return u.Zone
		}
	}
	return zone
}

// Release implements peer.TokenHandler.
func (t *tokenServer) Release(_ context.Context, r *peerv1.ReleaseRequest) error {
	kind, ok := itemKinds[r.GetKind()]
	if !ok {
		return status.Error(codes.InvalidArgument, "unknown kind of item")
	}
	ev := membership.Event{
		Kind:    membership.EventRelease,
		Item:    membership.Item{Kind: kind, Zone: t.itemZone(kind, r), Name: r.GetName()},
		Zone:    model.Zone(r.GetZone()),
		Epoch:   r.GetEpoch(),
		Balance: r.GetBalanceMilli(),
	}
	t.loop.apply(&core.Event{Membership: &ev})
	return nil
}
