// Package backend keeps connections to upstreams: it opens and authenticates
// them with the proxy's own credentials, pools them, and tracks which
// statements each has prepared.
package backend

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/chervilhatch/chervilhatch/backend/wire"
)

const (
	// readBufferSize holds several rows of an answer.
	readBufferSize = 16 << 10
	// maxMessageSize is the largest message of an upstream, for example one row. A
	// message is forwarded as a whole, so it must fit into memory.
	maxMessageSize = 64 << 20
	// cancelTimeout bounds the separate connection of a cancel request.
	cancelTimeout = 2 * time.Second
)

// ErrUnexpected reports a message of an upstream that does not fit the
// protocol's state.
var ErrUnexpected = errors.New("unexpected message from the upstream")

// Config says how connections to an upstream are opened.
type Config struct {
	Address     string
	Database    string
	Credentials *Credentials
	// TLS is nil for connections without TLS.
	TLS *tls.Config
	// MaxStatements bounds the prepared statements of one connection.
	MaxStatements int
	// ConnectTimeout bounds opening and authentication.
	ConnectTimeout time.Duration
}

// Conn is one connection to an upstream. One goroutine uses it at a time;
// Cancel and Close may be called from others.
type Conn struct {
	config     Config
	net        net.Conn
	socket     net.Conn
	reader     *wire.Reader
	processID  uint32
	secret     []byte
	statements *statementCache
	batchCount uint64
	// batch is the batch that the connection runs.
	batch Batch
	peek  peek
	// interrupt ends reads and writes; it is kept, so that a watch does not
	// allocate it.
	interrupt     func()
	status        byte
	readOnly      bool
	discardReason string
	idleSince     time.Time
}

// Discard marks the connection as not reusable for the stated reason.
func (c *Conn) Discard(reason string) {
	if c.discardReason == "" {
		c.discardReason = reason
	}
}

// Status returns the transaction status of the last ReadyForQuery.
func (c *Conn) Status() byte { return c.status }

// SetStatus records the transaction status of a ReadyForQuery.
func (c *Conn) SetStatus(status byte) { c.status = status }

// Watch ends reads and writes of the connection when ctx ends. The result is
// to be passed to EndWatch.
func (c *Conn) Watch(ctx context.Context) (watch func() bool) {
	if c.interrupt == nil {
		c.interrupt = func() { _ = c.net.SetDeadline(time.Unix(1, 0)) }
	}
	if registrar, ok := ctx.(afterFuncRegistrar); ok {
		return registrar.AfterFunc(c.interrupt)
	}
	return context.AfterFunc(ctx, c.interrupt)
}

// afterFuncRegistrar is a context that registers functions itself, which costs less
// than context.AfterFunc.
type afterFuncRegistrar interface {
	AfterFunc(f func()) (stop func() bool)
}

// Unwatch stops a watch. If its context ended before, the connection is no
// longer usable.
func (c *Conn) Unwatch(stop func() bool) {
	if !stop() {
		c.Discard("context ended")
	}
}

// Write sends p. It returns the number of bytes that may have left.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.WriteWithoutDiscard(p)
	if err != nil {
		c.Discard("write failed")
	}
	return n, err
}

// WriteWithoutDiscard is Write for a goroutine other than the one that reads. The caller
// has to call Discard after an error.
func (c *Conn) WriteWithoutDiscard(p []byte) (int, error) {
	n, err := c.net.Write(p)
	if err != nil && c.config.TLS != nil {
		// A TLS record may have left although Write counts none of it.
		n = len(p)
	}
	return n, err
}

// Next returns the next message, valid until the next call.
func (c *Conn) Next() (wire.Frame, error) {
	frame, err := c.reader.Next()
	if err != nil {
		c.Discard("read failed")
	}
	return frame, err
}

// HasFrame reports whether Next returns without waiting.
func (c *Conn) HasFrame() bool { return c.reader.HasFrame() }

// Close closes the connection; the upstream rolls back an open transaction.
func (c *Conn) Close() {
	_ = c.net.Close()
}

// Cancel asks the upstream to cancel the running statement. The connection is
// not reused afterwards, since the request may arrive late; the caller has to
// call Discard from the goroutine that uses the connection.
func (c *Conn) Cancel() error {
	ctx, done := context.WithTimeout(context.Background(), cancelTimeout)
	defer done()
	conn, err := dialSocket(ctx, &c.config)
	if err != nil {
		return err
	}
	defer conn.Close()
	return sendCancel(conn, c.processID, c.secret)
}

// SimpleQuery runs one simple query and returns the columns of its only row as
// text. It fails on an error of the upstream.
func (c *Conn) SimpleQuery(ctx context.Context, query string) ([]string, error) {
	watch := c.Watch(ctx)
	defer c.Unwatch(watch)
	if _, err := c.Write(AppendQuery(nil, query)); err != nil {
		return nil, err
	}
	return c.ReadRow()
}

// ReadRow reads the answer to a simple query up to ReadyForQuery.
func (c *Conn) ReadRow() ([]string, error) {
	var row []string
	var failure error
	for {
		frame, err := c.Next()
		if err != nil {
			return nil, err
		}
		switch frame.Type() {
		case wire.DataRow:
			row, err = TextColumns(frame)
			if err != nil {
				return nil, err
			}
		case wire.ErrorResponse:
			failure = fmt.Errorf("upstream error %s", ErrorCode(frame))
		case wire.ReadyForQuery:
			c.status = frame.Body()[0]
			return row, failure
		}
	}
}

// ReadOnly reports whether transactions of this connection are read-only by default.
func (c *Conn) ReadOnly() bool { return c.readOnly }

// AppendSetReadOnly appends the query that makes transactions of this connection
// read-only or read-write by default.
func AppendSetReadOnly(dst []byte, readOnly bool) []byte {
	value := "off"
	if readOnly {
		value = "on"
	}
	return AppendQuery(dst, "SET default_transaction_read_only TO "+value)
}

// ReadSetReadOnly reads the answer to the query of AppendSetReadOnly. An error while
// the connection stays usable means that the upstream has no such setting.
func (c *Conn) ReadSetReadOnly(readOnly bool) error {
	if _, err := c.ReadRow(); err != nil {
		return err
	}
	c.readOnly = readOnly
	return nil
}

// Usable reports whether the connection's state is certain.
func (c *Conn) Usable() bool { return c.discardReason == "" }
