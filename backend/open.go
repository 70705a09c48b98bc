package backend

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/chervilhatch/chervilhatch/backend/wire"
)

const defaultConnectTimeout = 5 * time.Second

// openMore starts to open connections for the waiters and the warm target.
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

// openFailed schedules the next attempt. Waiters are refused if no connection
// is left that could serve them.
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

// checkLoop checks connections that have been idle for long.
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

// takeIdleForCheck removes a connection from the idle list that needs a check.
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

// check makes a round trip; a failure marks the connection as uncertain.
func (c *Conn) check(ctx context.Context) {
	ctx, done := context.WithTimeout(ctx, checkTimeout)
	defer done()
	watch := c.Watch(ctx)
	defer c.Unwatch(watch)
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

// noPendingInput reports whether the idle connection is open and has received nothing.
// A pending byte would be a late answer or an error of the upstream.
func (c *Conn) noPendingInput() bool {
	return c.reader.Buffered() == 0 && c.peek.noInput(c.socket)
}

// peek looks for received bytes of a socket without taking them. It is kept
// with its connection, so that a look does not allocate.
type peek struct {
	raw      syscall.RawConn
	peekByte func(fd uintptr) bool
	err      error
}

// noInput reports whether the socket is open and has received nothing.
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

func (p *peek) receive(fd uintptr) bool {
	var b [1]byte
	_, _, p.err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return true
}
