package linetest

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/lineproto"
)

// Caller is a client session of the line protocol.
type Caller struct {
	T      *testing.T
	Conn   net.Conn
	Reader *lineproto.Reader
	// Timeout bounds each request.
	Timeout time.Duration

	// writes are the writes of the open transaction, and preparedWrites has the names of the
	// prepared writes.
	writes         []string
	preparedWrites map[string]bool
}

// Result is the answer to a request.
type Result struct {
	ID        string
	Rows      []string
	Signature string
	Code      lineproto.Code
	Text      string
	State     lineproto.TxState
	// Broken is true if the connection ended before the answer was complete.
	Broken bool
}

// OK reports whether the request succeeded.
func (r *Result) OK() bool { return r.Code == "" && !r.Broken }

// CommitsSeen returns the number of commits that the read saw, from its first row.
func (r *Result) CommitsSeen() int {
	fields := strings.Fields(r.Rows[0])
	n, err := strconv.Atoi(fields[1])
	if err != nil {
		panic("row without a number of commits: " + r.Rows[0])
	}
	return n
}

// Contains reports whether the rows contain text.
func (r *Result) Contains(text string) bool {
	return strings.Contains(strings.Join(r.Rows, "\n"), text)
}

// lastRequestID is the number in the last request id; ids are unique in the process.
var lastRequestID atomic.Int64

// TryConnect connects, sends the startup line and returns the answer to it.
func TryConnect(t *testing.T, address, startup string) (*Caller, lineproto.Message, error) {
	conn, err := net.DialTimeout("tcp", address, WaitTimeout)
	if err != nil {
		return nil, lineproto.Message{}, err
	}
	c := &Caller{T: t, Conn: conn, Reader: lineproto.NewReader(conn), Timeout: WaitTimeout}
	_ = conn.SetDeadline(time.Now().Add(WaitTimeout))
	c.Send(startup)
	m, err := c.Reader.Read()
	if err != nil {
		_ = conn.Close()
		return nil, m, err
	}
	return c, m, nil
}

// Connect is like TryConnect, but fails the test if there is no answer. It closes the
// connection when the test ends.
func Connect(t *testing.T, address, startup string) (*Caller, lineproto.Message) {
	t.Helper()
	c, m, err := TryConnect(t, address, startup)
	if err != nil {
		t.Fatalf("startup: %v", err)
	}
	t.Cleanup(func() { _ = c.Conn.Close() })
	return c, m
}

// OpenSession opens a session on a database with Key.
func OpenSession(t *testing.T, address, database string) *Caller {
	t.Helper()
	c, m := Connect(t, address, "STARTUP "+database+" "+Key)
	if m.Word != lineproto.Ready {
		t.Fatalf("startup: %+v", m)
	}
	return c
}

// Send writes a line and ignores errors; the next read reports them.
func (c *Caller) Send(line string) { _, _ = c.Conn.Write([]byte(line + "\r\n")) }

// Query sends a statement with a unique request id and waits for the answer. Writes that it
// sees acknowledged are checked when the test ends.
func (c *Caller) Query(text string) Result {
	sentAt := time.Now()
	r := c.query(text)
	c.recordAcknowledged(text, sentAt, &r)
	return r
}

// recordAcknowledged keeps the writes that an answer acknowledges: that of a single statement,
// or those of a transaction whose COMMIT has succeeded.
func (c *Caller) recordAcknowledged(text string, sentAt time.Time, r *Result) {
	word, rest := lineproto.Cut(text)
	name, shape := lineproto.Cut(rest)
	switch {
	case word == "BEGIN" || word == "ROLLBACK" || word == "COMMIT" && !r.OK():
		c.writes = nil
	case !r.OK():
	case word == "PREPARE":
		if c.preparedWrites == nil {
			c.preparedWrites = map[string]bool{}
		}
		c.preparedWrites[name] = strings.HasPrefix(shape, "WRITE")
	case word == "WRITE" || word == "EXECUTE" && c.preparedWrites[name]:
		c.writes = append(c.writes, r.ID)
		if r.State == lineproto.Idle {
			acknowledge(c.T, c.writes, sentAt)
			c.writes = nil
		}
	case word == "COMMIT":
		acknowledge(c.T, c.writes, sentAt)
		c.writes = nil
	}
}

// query sends a statement with a unique request id and waits for the answer.
func (c *Caller) query(text string) Result {
	r := Result{ID: fmt.Sprintf("q%d", lastRequestID.Add(1))}
	_ = c.Conn.SetDeadline(time.Now().Add(c.Timeout))
	c.Send("QUERY " + r.ID + " " + text)
	for {
		m, err := c.Reader.Read()
		if err != nil {
			r.Broken = true
			return r
		}
		switch m.Word {
		case lineproto.Row:
			r.Rows = append(r.Rows, m.Rest)
		case lineproto.Complete:
			r.Signature = m.Rest
		case lineproto.Error:
			code, text := lineproto.Cut(m.Rest)
			r.Code, r.Text = lineproto.Code(code), text
		case lineproto.Ready:
			r.State = lineproto.TxState(m.Rest[0])
			return r
		}
	}
}

// MustSucceed sends a statement and fails the test unless it succeeds.
func (c *Caller) MustSucceed(text string) Result {
	c.T.Helper()
	r := c.Query(text)
	if !r.OK() {
		c.T.Fatalf("%s: %s %s (broken: %t)", text, r.Code, r.Text, r.Broken)
	}
	return r
}

// MustFail sends a statement and fails the test unless it fails with the code.
func (c *Caller) MustFail(text string, code lineproto.Code) Result {
	c.T.Helper()
	r := c.Query(text)
	if r.Code != code {
		c.T.Fatalf("%s: %q %s (broken: %t), want %s", text, r.Code, r.Text, r.Broken, code)
	}
	return r
}

// Transaction runs a transaction with two writes. It returns the last answer, which
// is the first failure if there is one, and the ids of the writes.
func (c *Caller) Transaction() (last Result, ids []string) {
	for _, text := range []string{"BEGIN", "WRITE item one", "WRITE item two", "COMMIT"} {
		last = c.Query(text)
		if text[0] == 'W' {
			ids = append(ids, last.ID)
		}
		if !last.OK() {
			if last.State == lineproto.TxFailed {
				c.Query("ROLLBACK")
			}
			return last, ids
		}
	}
	return last, ids
}
