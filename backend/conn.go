// Package backend manages connections to upstreams over the PostgreSQL
// protocol: it opens and authenticates them with the proxy's own credentials,
// pools them, and tracks which statements are prepared on each connection.
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
	// readBufferSize is the initial size of a connection's read buffer. It
	// holds several rows of a typical result.
	readBufferSize = 16 << 10
	// maxMessageSize is the largest message, for example one row, that is
	// accepted from an upstream. A message is buffered whole before it is
	// forwarded, so it must fit into memory.
	maxMessageSize = 64 << 20
	// cancelTimeout limits dialing and using the separate connection on which
	// a cancel request is sent.
	cancelTimeout = 2 * time.Second
)

// ErrUnexpected means that an upstream sent a message that is not valid in the
// current state of the protocol.
var ErrUnexpected = errors.New("unexpected message from the upstream")

// Config configures connections to one upstream.
type Config struct {
	Address     string
	Database    string
	Credentials *Credentials
	// TLS is nil for connections without TLS.
	TLS *tls.Config
	// MaxStatements limits the prepared statements of one connection; 0 means
	// defaultMaxStatements.
	MaxStatements int
	// ConnectTimeout limits dialing, the TLS handshake and authentication.
	ConnectTimeout time.Duration
}

// Conn is one connection to an upstream. Only one goroutine may use it at a
// time, except that Cancel, Close and WriteWithoutDiscard may be called
// concurrently from another one.
type Conn struct {
	config Config
	// net is the connection that messages are read from and written to: the TLS
	// connection, or the socket itself without TLS.
	net net.Conn
	// socket is the TCP connection below TLS.
	socket net.Conn
	reader *wire.Reader
	// processID and secret identify the session in a cancel request.
	processID      uint32
	secret         []byte
	statementCache *statementCache
	batchCount     uint64
	// batch is the batch that runs on the connection; its buffers are reused.
	batch Batch
	peek  peek
	// interrupt aborts pending reads and writes. It is stored so that Watch does
	// not allocate a closure on each call.
	interrupt     func()
	status        byte
	readOnly      bool
	discardReason string
	idleSince     time.Time
}

// Discard marks the connection as not reusable, so that Pool.Put closes it. The
// reason of the first call is kept.
func (c *Conn) Discard(reason string) {
	if c.discardReason == "" {
		c.discardReason = reason
	}
}

// Status returns the transaction status from the last ReadyForQuery.
func (c *Conn) Status() byte { return c.status }

// SetStatus records the transaction status from a ReadyForQuery that the caller
// read with Next.
func (c *Conn) SetStatus(status byte) { c.status = status }

// Watch aborts reads and writes on the connection when ctx ends. The result must
// be passed to Unwatch.
func (c *Conn) Watch(ctx context.Context) (stop func() bool) {
	if c.interrupt == nil {
		c.interrupt = func() { _ = c.net.SetDeadline(time.Unix(1, 0)) }
	}
	if registrar, ok := ctx.(afterFuncRegistrar); ok {
		return registrar.AfterFunc(c.interrupt)
	}
	return context.AfterFunc(ctx, c.interrupt)
}

// afterFuncRegistrar is implemented by contexts that register functions
// themselves, which is cheaper than context.AfterFunc.
type afterFuncRegistrar interface {
	AfterFunc(f func()) (stop func() bool)
}

// Unwatch ends the effect of a call of Watch, whose result it takes. If the
// context has already ended, the connection's deadline has passed and the
// connection is discarded.
func (c *Conn) Unwatch(stop func() bool) {
	if !stop() {
		c.Discard("context ended")
	}
}

// Write sends p. It returns the number of bytes that may have been sent, and
// discards the connection on an error.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.WriteWithoutDiscard(p)
	if err != nil {
		c.Discard("write failed")
	}
	return n, err
}

// WriteWithoutDiscard is like Write, but leaves it to the caller to call Discard
// after an error. It may be called by a goroutine other than the one that reads.
func (c *Conn) WriteWithoutDiscard(p []byte) (int, error) {
	n, err := c.net.Write(p)
	if err != nil && c.config.TLS != nil {
		// A TLS record may have been sent although Write does not count it.
		n = len(p)
	}
	return n, err
}

// Next returns the next message, which is valid until the next call. It discards
// the connection on an error.
func (c *Conn) Next() (wire.Frame, error) {
	frame, err := c.reader.Next()
	if err != nil {
		c.Discard("read failed")
	}
	return frame, err
}

// HasFrame reports whether a complete message is buffered, so that Next returns
// without reading from the network.
func (c *Conn) HasFrame() bool { return c.reader.HasFrame() }

// Close closes the connection. The upstream rolls back an open transaction.
func (c *Conn) Close() {
	_ = c.net.Close()
}

// Cancel sends a cancel request for the running statement over a separate
// connection. The request may arrive late and cancel a later statement, so the
// connection must not be reused: the caller has to call Discard from the
// goroutine that uses the connection.
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

// SimpleQuery runs a simple query that returns at most one row, and returns the
// row's columns as text. An ErrorResponse from the upstream is returned as an
// error.
func (c *Conn) SimpleQuery(ctx context.Context, query string) ([]string, error) {
	stop := c.Watch(ctx)
	defer c.Unwatch(stop)
	if _, err := c.Write(AppendQuery(nil, query)); err != nil {
		return nil, err
	}
	return c.ReadRow()
}

// ReadRow reads the response to a simple query up to ReadyForQuery and returns
// the columns of its last row as text.
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

// ReadOnly reports whether transactions on this connection are read-only by
// default.
func (c *Conn) ReadOnly() bool { return c.readOnly }

// AppendSetReadOnly appends a simple query that makes transactions on a
// connection read-only or read-write by default.
func AppendSetReadOnly(dst []byte, readOnly bool) []byte {
	value := "off"
	if readOnly {
		value = "on"
	}
	return AppendQuery(dst, "SET default_transaction_read_only TO "+value)
}

// ReadSetReadOnly reads the response to the query of AppendSetReadOnly and
// records the new default. If it returns an error and Usable still reports true,
// the upstream does not support the setting.
func (c *Conn) ReadSetReadOnly(readOnly bool) error {
	if _, err := c.ReadRow(); err != nil {
		return err
	}
	c.readOnly = readOnly
	return nil
}

// Usable reports whether the connection may be reused, that is, whether Discard
// has not been called.
func (c *Conn) Usable() bool { return c.discardReason == "" }
