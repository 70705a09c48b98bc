// Package upstreampool keeps the connections of this VM to upstreams that speak
// the line protocol. A connection belongs to one workspace; sessions of that
// workspace share it between transactions.
package upstreampool

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/lineproto"
)

const (
	// userTimeout ends a connection whose bytes are not acknowledged; a VM or
	// network link that is gone gives no other sign.
	userTimeout = 2 * time.Second
	// maxPrepared bounds the statements prepared on one connection.
	maxPrepared = 200
	// maxRows bounds the bytes of one answer that are kept before they are
	// passed on.
	maxRows = 8 << 20
	// connectTimeout bounds the connection itself, which no busy upstream delays.
	connectTimeout = 250 * time.Millisecond
)

// Answer is the answer to one statement. Code is empty after success.
type Answer struct {
	Rows      []string
	Signature string
	Code      lineproto.Code
	Text      string
	Ready     lineproto.ReadyInfo
}

// RefusedError is a startup that the upstream refused.
type RefusedError struct {
	Upstream model.UpstreamID
	Code     lineproto.Code
	Text     string
}

// Error names the upstream and its reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("upstream %s refused the connection: %s %s", e.Upstream, e.Code, e.Text)
}

// Replaced reports whether another upstream answers at the address.
func (e *RefusedError) Replaced() bool {
	return e.Code == lineproto.Misrouted && e.Text != "" && e.Text != string(e.Upstream)
}

// BrokenError is a connection that failed. Sent tells that the statement may
// have reached the upstream, Dialing that not even a connection was made: an
// upstream that accepts one and answers late may only be busy.
type BrokenError struct {
	Upstream model.UpstreamID
	Sent     bool
	Dialing  bool
	Err      error
}

// Error names the upstream and the cause.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("connection to upstream %s broke (sent: %t): %v", e.Upstream, e.Sent, e.Err)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }

// shape identifies a prepared statement on a connection.
type shape struct {
	write bool
	name  string
}

// Conn is one connection to an upstream. One goroutine uses it at a time.
type Conn struct {
	upstream  model.UpstreamID
	workspace string
	conn      net.Conn
	reader    *lineproto.Reader
	buffer    []byte
	broken    bool

	// values and prepared are what the upstream holds for this connection.
	values       map[string]string
	prepared     map[shape]string
	lastPrepared int
	// session is the last session that used the connection.
	session   uint64
	idleSince time.Time
}

// target is where to connect and as whom.
type target struct {
	upstream  model.UpstreamID
	address   string
	service   string
	workspace string
}

// open connects and starts a session for a workspace.
func open(ctx context.Context, t target, timeout time.Duration) (*Conn, error) {
	dialer := net.Dialer{Timeout: connectTimeout, Control: setUserTimeout}
	start := time.Now()
	raw, err := dialer.DialContext(ctx, "tcp", t.address)
	if err != nil {
		return nil, &BrokenError{Upstream: t.upstream, Dialing: true, Err: err}
	}
	c := &Conn{
		upstream: t.upstream, workspace: t.workspace, conn: raw,
		reader: lineproto.NewReader(raw),
		values: map[string]string{}, prepared: map[shape]string{},
	}
	if err := c.startup(t, start.Add(timeout)); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Conn) startup(t target, deadline time.Time) error {
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
		return &BrokenError{Upstream: t.upstream, Err: fmt.Errorf("%w: %s after startup", lineproto.ErrSyntax, m.Word)}
	}
	return nil
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	control := func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	}
	if e := raw.Control(control); e != nil {
		return e
	}
	return err
}

// Upstream returns the upstream's id.
func (c *Conn) Upstream() model.UpstreamID { return c.upstream }

// Close ends the connection; the upstream rolls back an open transaction.
func (c *Conn) Close() {
	c.broken = true
	// Nothing is lost when the end of a discarded connection fails.
	_ = c.conn.Close()
}

// Broken reports whether the connection can no longer be used.
func (c *Conn) Broken() bool { return c.broken }

// alive looks at the socket: an idle connection has nothing to read.
func (c *Conn) alive() bool {
	if c.broken || c.reader.Buffered() {
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

// Query sends one statement and waits for its whole answer until deadline.
func (c *Conn) Query(deadline time.Time, id, text string) (Answer, error) {
	answers, err := c.Pipeline(deadline, [][2]string{{id, text}})
	if err != nil {
		return Answer{}, err
	}
	return answers[0], nil
}

// Pipeline sends statements, each an id and a text, at once and waits for all
// answers. After an error the connection is broken.
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
		a, err := c.answer()
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

// answer reads one answer up to its Ready message.
func (c *Conn) answer() (Answer, error) {
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
			if size > maxRows {
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

// SessionState is what a session expects of its connection.
type SessionState struct {
	ID     uint64
	Values map[string]string
}

// Adopt makes the connection carry the values of a session, without what other
// sessions left.
func (c *Conn) Adopt(deadline time.Time, s *SessionState) error {
	statements, reset := c.missing(s)
	if len(statements) > 0 {
		answers, err := c.Pipeline(deadline, statements)
		if err != nil {
			return notSent(err)
		}
		for _, a := range answers {
			if a.Code != "" {
				return notSent(c.fail(false, fmt.Errorf("session values refused: %s %s", a.Code, a.Text)))
			}
		}
		c.adopted(s, reset)
	}
	c.session = s.ID
	return nil
}

// notSent marks an error as one before the caller's statement was sent.
func notSent(err error) error {
	var broken *BrokenError
	if errors.As(err, &broken) {
		broken.Sent = false
	}
	return err
}

// missing returns the statements that give the connection a session's values.
func (c *Conn) missing(s *SessionState) (statements [][2]string, reset bool) {
	for name := range c.values {
		if _, wanted := s.Values[name]; !wanted {
			reset = true
		}
	}
	if reset {
		statements = append(statements, [2]string{lineproto.OwnID, "RESET"})
	}
	for name, value := range s.Values {
		if held, found := c.values[name]; reset || !found || held != value {
			statements = append(statements, [2]string{lineproto.OwnID, "SET " + name + " " + value})
		}
	}
	return statements, reset
}

func (c *Conn) adopted(s *SessionState, reset bool) {
	if reset {
		clear(c.values)
		clear(c.prepared)
	}
	for name, value := range s.Values {
		c.values[name] = value
	}
}

// Prepare makes sure that a statement is prepared and returns its name on this
// connection.
func (c *Conn) Prepare(deadline time.Time, write bool, shapeName string) (string, error) {
	key := shape{write: write, name: shapeName}
	if name, found := c.prepared[key]; found {
		return name, nil
	}
	c.lastPrepared++
	name := "p" + strconv.Itoa(c.lastPrepared)
	kind := "READ"
	if write {
		kind = "WRITE"
	}
	a, err := c.Query(deadline, lineproto.OwnID, "PREPARE "+name+" "+kind+" "+shapeName)
	if err != nil {
		return "", notSent(err)
	}
	if a.Code != "" {
		return "", notSent(c.fail(false, fmt.Errorf("prepare refused: %s %s", a.Code, a.Text)))
	}
	c.prepared[key] = name
	return name, nil
}
