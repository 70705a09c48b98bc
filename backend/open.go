package backend

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/chervilhatch/chervilhatch/backend/wire"
)

const defaultConnectTimeout = 5 * time.Second

// openMore starts opening connections as long as there are waiters or fewer
// connections than the warm target, within the budget and MaxOpening. The lock
// is held.
func (p *Pool) openMore() {
	if p.ctx.Err() != nil || time.Now().Before(p.retryAt) {
		return
	}
	for p.opening < p.options.MaxOpening && p.open+p.opening < p.budget {
		needed := p.opening < len(p.waiters) || p.open+p.opening < p.warm
		if !needed {
			return
		}
		p.opening++
		go p.openOne()
	}
}

// openOne opens one connection and gives it to a waiter or the idle list.
func (p *Pool) openOne() {
	c, err := Dial(p.ctx, p.options.Config)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	if err != nil {
		p.openFailed(err)
		return
	}
	p.open++
	p.failedOpens = 0
	p.stats.Opens++
	if p.ctx.Err() != nil || p.open > p.budget {
		p.drop(c, CloseBudget)
		return
	}
	p.assign(c)
	p.openMore()
}

// openFailed records a failed attempt and schedules the next one after a backoff.
// If the pool has no open connection, all waiters get the error instead of
// waiting for the next attempt. The lock is held.
func (p *Pool) openFailed(err error) {
	p.stats.OpenFailures++
	p.failedOpens++
	p.lastOpenErr = err
	if p.open == 0 {
		p.refuseWaiters(err)
	}
	if p.ctx.Err() != nil {
		return
	}
	wait := backoff(p.failedOpens)
	p.retryAt = time.Now().Add(wait)
	if p.retryTimer != nil {
		p.retryTimer.Stop()
	}
	p.retryTimer = time.AfterFunc(wait, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.openMore()
	})
}

// checkLoop periodically checks connections that have been idle for CheckAfter.
func (p *Pool) checkLoop() {
	ticker := time.NewTicker(p.options.CheckAfter)
	defer ticker.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-ticker.C:
			p.checkIdle()
		}
	}
}

func (p *Pool) checkIdle() {
	for {
		c := p.takeIdleForCheck()
		if c == nil {
			return
		}
		c.check(p.ctx)
		p.Put(c)
	}
}

// takeIdleForCheck removes and returns a connection that has been idle for
// CheckAfter, or returns nil if there is none.
func (p *Pool) takeIdleForCheck() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range p.idle {
		if time.Since(c.idleSince) >= p.options.CheckAfter {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return c
		}
	}
	return nil
}

// check makes a round trip with a Sync message and discards the connection if it
// fails or is not answered within checkTimeout.
func (c *Conn) check(ctx context.Context) {
	ctx, done := context.WithTimeout(ctx, checkTimeout)
	defer done()
	stop := c.Watch(ctx)
	defer c.Unwatch(stop)
	if _, err := c.Write(wire.AppendMessage(nil, wire.Sync)); err != nil {
		return
	}
	frame, err := c.Next()
	if err != nil {
		return
	}
	if frame.Type() != wire.ReadyForQuery {
		c.Discard("unexpected answer to a check")
	}
}

// noPendingInput reports whether the idle connection is still open and has no
// unread data. Unread data would be a late response or an error message of the
// upstream, and the next user would take it for its own.
func (c *Conn) noPendingInput() bool {
	return c.reader.Buffered() == 0 && c.peek.noInput(c.socket)
}

// peek checks whether a socket has unread data without consuming it. Each
// connection keeps its own, so that a check does not allocate.
type peek struct {
	raw      syscall.RawConn
	peekByte func(fd uintptr) bool
	err      error
}

// noInput reports whether the socket is open and has no unread data. A
// connection that gives no access to its file descriptor always passes.
func (p *peek) noInput(socket net.Conn) bool {
	if p.raw == nil {
		source, ok := socket.(syscall.Conn)
		if !ok {
			return true
		}
		raw, err := source.SyscallConn()
		if err != nil {
			return false
		}
		p.raw, p.peekByte = raw, p.receive
	}
	err := p.raw.Read(p.peekByte)
	return err == nil && p.err == syscall.EAGAIN
}

// receive peeks at one byte without blocking. It always returns true, so that
// RawConn.Read does not wait for the socket to become readable.
func (p *peek) receive(fd uintptr) bool {
	var b [1]byte
	_, _, p.err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return true
}
