package upstreampool

import (
	"context"
	"errors"
	"time"

	"github.com/chervilhatch/chervilhatch/lineproto"
)

// dialed is the outcome of a connection attempt.
type dialed struct {
	conn *Conn
	err  error
}

// dial opens a connection in a reserved place. When the request cannot wait for
// it, the connection is kept for the next one: the upstream has spent a slot on it.
func (p *Pool) dial(ctx context.Context, r Request) (*Conn, error) {
	u := &p.upstream
	t := target{upstream: u.ID, address: u.Address, service: u.Service, workspace: r.Workspace}
	result := make(chan dialed, 1)
	go func() {
		c, err := open(context.WithoutCancel(ctx), t, dialTimeout)
		result <- dialed{c, err}
	}()
	timer := time.NewTimer(max(r.Wait, leastDialWait))
	defer timer.Stop()
	select {
	case d := <-result:
		return p.dialedOne(r.Workspace, d)
	case <-timer.C:
	case <-ctx.Done():
	}
	go func() {
		if c, err := p.dialedOne(r.Workspace, <-result); err == nil {
			p.Release(c, true)
		}
	}()
	return nil, ErrAcquireTimeout
}

// dialedOne gives the place of a failed attempt to the next waiter.
func (p *Pool) dialedOne(workspace string, d dialed) (*Conn, error) {
	if d.err == nil {
		return d.conn, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var refused *RefusedError
	if errors.As(d.err, &refused) && refused.Code == lineproto.TooMany {
		p.fullUntil = time.Now().Add(fullPause)
	}
	p.leave(workspace)
	p.open--
	p.grantPlace()
	return nil, d.err
}
