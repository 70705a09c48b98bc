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

// tokenCall identifies a request for tokens.
type tokenCall struct {
	vm model.VMID
	id uint64
}

// tokens implements peer.TokenHandler over the reducer.
type tokens struct {
	loop   *loop
	access *access

	mu sync.Mutex
	// waiting has a channel for each call that was not answered yet; a repeated
	// call shares that of the first.
	waiting map[tokenCall]*tokenWait
}

type tokenWait struct {
	ready  chan struct{}
	answer *peerv1.TokensResponse
}

var _ peer.TokenHandler = (*tokens)(nil)

func newTokens(l *loop, a *access) *tokens {
	return &tokens{loop: l, access: a, waiting: map[tokenCall]*tokenWait{}}
}

// Tokens implements peer.TokenHandler.
func (t *tokens) Tokens(ctx context.Context, r *peerv1.TokensRequest) (*peerv1.TokensResponse, error) {
	call := tokenCall{model.VMID(r.GetFromVm()), r.GetRequestId()}
	wait := t.wait(call)
	ev := limits.Event{
		Kind:      limits.EventTokenRequest,
		Workspace: model.Workspace(r.GetWorkspace()),
		VM:        call.vm,
		Zone:      model.Zone(r.GetZone()),
		RequestID: call.id,
		Amount:    r.GetAmountMilli(),
		Borrow:    r.GetBorrow(),
	}
	t.loop.apply(&core.Event{Limits: &ev})
	select {
	case <-wait.ready:
		return wait.answer, nil
	case <-ctx.Done():
		t.forget(call)
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}

func (t *tokens) wait(call tokenCall) *tokenWait {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.waiting[call]
	if known == nil {
		known = &tokenWait{ready: make(chan struct{})}
		t.waiting[call] = known
	}
	return known
}

func (t *tokens) forget(call tokenCall) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiting, call)
}

// answer ends the call that an effect answers. Without a waiting call the
// tokens are lost, as with a lost answer.
func (t *tokens) answer(e limits.Effect) {
	call := tokenCall{e.VM, e.RequestID}
	t.mu.Lock()
	defer t.mu.Unlock()
	wait := t.waiting[call]
	if wait == nil {
		return
	}
	delete(t.waiting, call)
	wait.answer = &peerv1.TokensResponse{
		AmountMilli:  e.Amount,
		ValidUs:      e.Validity.Microseconds(),
		RetryAfterUs: e.RetryAfter.Microseconds(),
	}
	close(wait.ready)
}

// itemKinds maps the kinds of a release to those of membership.
var itemKinds = map[peerv1.ReleaseRequest_Kind]membership.ItemKind{
	peerv1.ReleaseRequest_KIND_MAIN_SEAT:    membership.MainSeat,
	peerv1.ReleaseRequest_KIND_STANDBY_SEAT: membership.StandbySeat,
	peerv1.ReleaseRequest_KIND_TOKENS:       membership.Tokens,
}

// itemZone returns the zone of a released item. A seat's zone is that of the
// upstream; it differs from the releasing owner's zone when the upstream's zone
// has no VM.
func (t *tokens) itemZone(kind membership.ItemKind, r *peerv1.ReleaseRequest) model.Zone {
	zone := model.Zone(r.GetZone())
	if d := t.access.current(); d != nil && kind != membership.Tokens {
		if u, _ := d.Upstream(model.UpstreamID(r.GetName())); u != nil {
			return u.Zone
		}
	}
	return zone
}

// Release implements peer.TokenHandler.
func (t *tokens) Release(_ context.Context, r *peerv1.ReleaseRequest) error {
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
