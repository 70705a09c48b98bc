// Package pgcontrol implements dbgroup.Control over the PostgreSQL protocol. It calls
// the SQL functions that docs/upstream-functions.md specifies.
package pgcontrol

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"strconv"
	"sync"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/dbgroup"
)

// Credentials are the proxy's own credentials on the upstreams.
type Credentials struct {
	User     string
	Password string
	Database string
	// TLS is nil for connections without TLS.
	TLS *tls.Config
}

// Resolve returns the current address of an upstream as host:port.
type Resolve func(model.UpstreamID) (address string, ok bool)

// ErrUnknownUpstream means that Resolve returned no address for the upstream.
var ErrUnknownUpstream = errors.New("the upstream's address is not known")

// ErrClosed means that the Control is closed.
var ErrClosed = errors.New("the control connections are closed")

// ErrMalformed means that the result of a control function does not have the
// specified format.
var ErrMalformed = errors.New("malformed answer of a control function")

// Control keeps one connection to each upstream. Calls to the same upstream run one
// after the other, calls to different upstreams concurrently.
type Control struct {
	resolve     Resolve
	credentials Credentials

	mu     sync.Mutex
	closed bool
	conns  map[model.UpstreamID]*controlConn
}

var _ dbgroup.Control = (*Control)(nil)

// New returns a Control. It connects to an upstream on the first call.
func New(resolve func(model.UpstreamID) (address string, ok bool), credentials Credentials) *Control {
	return &Control{
		resolve:     resolve,
		credentials: credentials,
		conns:       make(map[model.UpstreamID]*controlConn),
	}
}

// Close closes all connections. Running calls return an error.
func (c *Control) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.conns {
		conn.close()
	}
}

// Status implements dbgroup.Control.
func (c *Control) Status(ctx context.Context, u model.UpstreamID) (dbgroup.Status, error) {
	row, err := c.call(ctx, u, "SELECT * FROM chervilhatch_status()")
	if err != nil {
		return dbgroup.Status{}, err
	}
	return parseStatus(row)
}

// Fence implements dbgroup.Control.
func (c *Control) Fence(ctx context.Context, u model.UpstreamID, t model.Term) (bool, dbgroup.Status, error) {
	row, err := c.call(ctx, u, "SELECT * FROM chervilhatch_fence($1, $2)", formatCounter(t), t.Proposer)
	if err != nil {
		return false, dbgroup.Status{}, err
	}
	if len(row) == 0 {
		return false, dbgroup.Status{}, fmt.Errorf("%w: no columns", ErrMalformed)
	}
	accepted, err := strconv.ParseBool(row[0])
	if err != nil {
		return false, dbgroup.Status{}, fmt.Errorf("%w: accepted is %q", ErrMalformed, row[0])
	}
	status, err := parseStatus(row[1:])
	return accepted && err == nil, status, err
}

// Promote implements dbgroup.Control.
func (c *Control) Promote(ctx context.Context, u model.UpstreamID, t model.Term) (dbgroup.Status, error) {
	row, err := c.call(ctx, u, "SELECT * FROM chervilhatch_promote($1, $2)", formatCounter(t), t.Proposer)
	if err != nil {
		return dbgroup.Status{}, err
	}
	return parseStatus(row)
}

// Follow implements dbgroup.Control.
func (c *Control) Follow(ctx context.Context, u model.UpstreamID, t model.Term, primary model.UpstreamID) (dbgroup.Status, error) {
	address, ok := c.resolve(primary)
	if !ok {
		return dbgroup.Status{}, fmt.Errorf("%w: %s", ErrUnknownUpstream, primary)
	}
	row, err := c.call(ctx, u, "SELECT * FROM chervilhatch_follow($1, $2, $3)", formatCounter(t), t.Proposer, address)
	if err != nil {
		return dbgroup.Status{}, err
	}
	return parseStatus(row)
}

// call runs a query on u and returns the columns of its only row.
func (c *Control) call(ctx context.Context, u model.UpstreamID, sql string, args ...string) ([]string, error) {
	address, ok := c.resolve(u)
	if !ok {
		return nil, fmt.Errorf("%w: %s", ErrUnknownUpstream, u)
	}
	conn, err := c.controlConn(u)
	if err != nil {
		return nil, err
	}
	row, err := conn.call(ctx, address, sql, args)
	if err != nil {
		return nil, fmt.Errorf("upstream %s: %w", u, err)
	}
	return row, nil
}

// controlConn returns the connection to u, which may not be open yet.
func (c *Control) controlConn(u model.UpstreamID) (*controlConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	conn := c.conns[u]
	if conn == nil {
		conn = newControlConn(c.credentials)
		c.conns[u] = conn
	}
	return conn, nil
}

func formatCounter(t model.Term) string { return strconv.FormatUint(t.Counter, 10) }
