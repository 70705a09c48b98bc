package upstreampool

import (
	"context"
	"errors"
	"time"

	"github.com/chervilhatch/chervilhatch/lineproto"
)

// dialResult is the result of a connection attempt.
type dialResult struct {
	conn *Conn
	err  error
}

// dial opens a connection in reserved capacity. If the request cannot wait for
// it, the connection is kept for a later request, because the upstream has
// spent a slot on it.
func (p *Pool) dial(ctx context.Context, r Request) (*Conn, error) {
	u := &p.upstream
	t := dialTarget{upstream: u.ID, address: u.Address, service: u.Service, workspace: r.Workspace}
	result := make(chan dialResult, 1)
	go func() {
		c, err := open(context.WithoutCancel(ctx), t, dialTimeout)
		result <- dialResult{c, err}
	}()
	timer := time.NewTimer(max(r.Wait, minDialWait))
	defer timer.Stop()
	select {
	case d := <-result:
		return p.finishDial(&r, d)
	case <-timer.C:
	case <-ctx.Done():
	}
	go func() {
		if c, err := p.finishDial(&r, <-result); err == nil {
			p.Release(c, true)
		}
	}()
	return nil, ErrAcquireTimeout
}

// finishDial returns the connection of a successful attempt. After a failed one
// it frees the reserved capacity for the next waiter.
func (p *Pool) finishDial(r *Request, d dialResult) (*Conn, error) {
	if d.err == nil {
		d.conn.slot = r.slot
		return d.conn, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decInUse(r.Workspace)
	p.open--
	var refused *RefusedError
	if errors.As(d.err, &refused) {
		if refused.Code == lineproto.TooMany {
			p.connLimitedUntil, p.openAtLimit = time.Now().Add(connLimitBackoff), p.open
		}
		p.narrowIfFull(refused)
	}
	p.leave(r.slot, refused != nil)
	p.grantNext()
	return nil, d.err
}
