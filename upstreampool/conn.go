// Package upstreampool pools this VM's connections to upstreams that speak the
// line protocol. A connection belongs to one workspace; the sessions of that
// workspace share it between transactions.
package upstreampool

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/sockopt"
)

const (
	// userTimeout ends a connection whose sent data is not acknowledged
	// (TCP_USER_TIMEOUT). The loss of a VM or network link gives no other sign.
	userTimeout = 2 * time.Second
	// maxPrepared limits the prepared statements of one connection.
	maxPrepared = 200
	// maxRowBytes limits the total size of the rows of one answer, which are
	// buffered until the answer is complete.
	maxRowBytes = 8 << 20
	// connectTimeout bounds the TCP connect, which a busy upstream does not delay.
	connectTimeout = 250 * time.Millisecond
)

// Answer is the answer to one statement. Code is empty on success.
type Answer struct {
	Rows      []string
	Signature string
	Code      lineproto.Code
	Text      string
	Ready     lineproto.ReadyInfo
}

// preparedKey identifies a prepared statement on a connection. name is the name
// of its shape.
type preparedKey struct {
	write bool
	name  string
}

// Conn is one connection to an upstream. It is not safe for concurrent use.
type Conn struct {
	upstream  model.UpstreamID
	workspace string
	conn      net.Conn
	reader    *lineproto.Reader
	// buffer is reused to encode the statements to send.
	buffer []byte
	broken bool

	// values and prepared mirror the state that the upstream keeps for this
	// connection: session values, and names of prepared statements.
	values   map[string]string
	prepared map[preparedKey]string
	// lastPrepared is the number in the name of the last prepared statement.
	lastPrepared int
	// session is the last session that used the connection.
	session uint64
	// idleSince is the time of the last release.
	idleSince time.Time
	// slot is the slot that the connection holds, nil if none.
	slot *slot
}

// dialTarget describes a connection to open.
type dialTarget struct {
	upstream  model.UpstreamID
	address   string
	service   string
	workspace string
}

// open connects and starts a session for a workspace.
func open(ctx context.Context, t dialTarget, timeout time.Duration) (*Conn, error) {
	dialer := net.Dialer{Timeout: connectTimeout, Control: sockopt.UserTimeout(userTimeout)}
	start := time.Now()
	raw, err := dialer.DialContext(ctx, "tcp", t.address)
	if err != nil {
		return nil, &BrokenError{Upstream: t.upstream, Dialing: true, Err: err}
	}
	c := &Conn{
		upstream: t.upstream, workspace: t.workspace, conn: raw,
		reader: lineproto.NewReader(raw),
		values: map[string]string{}, prepared: map[preparedKey]string{},
	}
	if err := c.startup(t, start.Add(timeout)); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Conn) startup(t dialTarget, deadline time.Time) error {
	err := c.conn.SetDeadline(deadline)
	if err == nil {
		_, err = c.conn.Write(lineproto.Append(nil, lineproto.Startup, t.service, t.workspace, string(t.upstream)))
	}
	if err != nil {
		return &BrokenError{Upstream: t.upstream, Err: err}
	}
	m, err := c.reader.Read()
	switch {
	case err != nil:
		return &BrokenError{Upstream: t.upstream, Err: err}
	case m.Word == lineproto.Error:
		code, text := lineproto.Cut(m.Rest)
		return &RefusedError{Upstream: t.upstream, Code: lineproto.Code(code), Text: text}
	case m.Word != lineproto.Ready:
		return &BrokenError{Upstream: t.upstream, Err: fmt.Errorf("%w: unexpected %s after startup", lineproto.ErrSyntax, m.Word)}
	}
	return nil
}

// Upstream returns the upstream's id.
func (c *Conn) Upstream() model.UpstreamID { return c.upstream }

// Close closes the connection. The upstream rolls back an open transaction.
func (c *Conn) Close() {
	c.broken = true
	// The connection is discarded, so an error is of no consequence.
	_ = c.conn.Close()
}

// Broken reports whether the connection can no longer be used.
func (c *Conn) Broken() bool { return c.broken }

// alive checks the socket without blocking. An idle connection that is still
// open has nothing to read.
func (c *Conn) alive() bool {
	if c.broken || c.reader.Buffered() {
		return false
	}
	// Reading fails while the deadline of the last statement is set and has
	// passed.
	if err := c.conn.SetDeadline(time.Time{}); err != nil {
		return false
	}
	raw, err := c.conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	var one [1]byte
	peek := func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		alive = errors.Is(err, unix.EAGAIN)
		return true
	}
	return raw.Read(peek) == nil && alive
}

// Query sends one statement and waits until deadline for its complete answer.
func (c *Conn) Query(deadline time.Time, id, text string) (Answer, error) {
	answers, err := c.Pipeline(deadline, [][2]string{{id, text}})
	if err != nil {
		return Answer{}, err
	}
	return answers[0], nil
}

// Pipeline sends several statements at once, each as an id and a text, and
// waits for all answers. The connection is broken after an error.
func (c *Conn) Pipeline(deadline time.Time, statements [][2]string) ([]Answer, error) {
	if c.broken {
		return nil, &BrokenError{Upstream: c.upstream, Err: net.ErrClosed}
	}
	c.buffer = c.buffer[:0]
	for _, s := range statements {
		c.buffer = lineproto.Append(c.buffer, lineproto.Query, s[0], s[1])
	}
	if err := c.conn.SetDeadline(deadline); err != nil {
		return nil, c.fail(false, err)
	}
	if n, err := c.conn.Write(c.buffer); err != nil {
		return nil, c.fail(n > 0, err)
	}
	answers := make([]Answer, 0, len(statements))
	for range statements {
		a, err := c.readAnswer()
		if err != nil {
			return answers, c.fail(true, err)
		}
		answers = append(answers, a)
	}
	return answers, nil
}

func (c *Conn) fail(sent bool, err error) error {
	c.Close()
	return &BrokenError{Upstream: c.upstream, Sent: sent, Err: err}
}

// readAnswer reads one answer up to its Ready message.
func (c *Conn) readAnswer() (Answer, error) {
	var a Answer
	size := 0
	ended := false
	for {
		m, err := c.reader.Read()
		if err != nil {
			return a, err
		}
		switch {
		case m.Word == lineproto.Row && !ended:
			size += len(m.Rest)
			if size > maxRowBytes {
				return a, lineproto.ErrTooLong
			}
			a.Rows = append(a.Rows, m.Rest)
		case m.Word == lineproto.Complete && !ended:
			a.Signature, ended = m.Rest, true
		case m.Word == lineproto.Error && !ended:
			code, text := lineproto.Cut(m.Rest)
			a.Code, a.Text, ended = lineproto.Code(code), text, true
		case m.Word == lineproto.Ready && ended:
			a.Ready, err = lineproto.ParseReady(m.Rest)
			return a, err
		default:
			return a, fmt.Errorf("%w: unexpected %s", lineproto.ErrSyntax, m.Word)
		}
	}
}
