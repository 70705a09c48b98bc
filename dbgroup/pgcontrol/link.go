package pgcontrol

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"

	"github.com/jackc/pgx/v5/pgconn"
)

// applicationName identifies the connection to the upstream's operators.
const applicationName = "chervilhatch-control"

// controlConn is the connection to one upstream. It opens on the first call, and
// again after a failure or a change of the upstream's address.
type controlConn struct {
	credentials Credentials
	// closeCtx is canceled by close.
	closeCtx context.Context
	cancel   context.CancelFunc
	// sem holds a token while a call runs, and thereby guards conn and address.
	// Unlike a mutex, it can be waited for together with a context.
	sem     chan struct{}
	conn    *pgconn.PgConn
	address string
}

func newControlConn(credentials Credentials) *controlConn {
	c := &controlConn{credentials: credentials, sem: make(chan struct{}, 1)}
	c.closeCtx, c.cancel = context.WithCancel(context.Background())
	return c
}

// close cancels a running call, waits for its end and closes the connection.
func (c *controlConn) close() {
	c.cancel()
	c.sem <- struct{}{}
	c.disconnect()
	<-c.sem
}

// call runs a statement and returns the columns of its only row. It repeats the
// statement once if the connection turns out to be closed.
func (c *controlConn) call(ctx context.Context, address, sql string, args []string) ([]string, error) {
	select {
	case c.sem <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-c.sem }()
	if c.closeCtx.Err() != nil {
		return nil, ErrClosed
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(c.closeCtx, cancel)()
	reused := c.connected(address)
	row, err := c.attempt(ctx, address, sql, args)
	if err != nil && reused && c.conn == nil && ctx.Err() == nil {
		// The upstream may have closed the existing connection, for example when
		// it restarted. Repeating a control function is safe.
		row, err = c.attempt(ctx, address, sql, args)
	}
	return row, err
}

// attempt runs the statement once. It closes the connection on any error other than
// an error response of the upstream.
func (c *controlConn) attempt(ctx context.Context, address, sql string, args []string) ([]string, error) {
	if err := c.ensureConnected(ctx, address); err != nil {
		return nil, err
	}
	row, err := c.run(ctx, sql, args)
	var refused *pgconn.PgError
	if err != nil && (!errors.As(err, &refused) || c.conn.IsClosed()) {
		// A late response must not be taken for the response to the next call.
		c.disconnect()
	}
	return row, err
}

// connected reports whether the connection is open and to the given address.
func (c *controlConn) connected(address string) bool {
	return c.conn != nil && !c.conn.IsClosed() && c.address == address
}

// ensureConnected opens a connection to the address unless it is already open.
func (c *controlConn) ensureConnected(ctx context.Context, address string) error {
	if c.connected(address) {
		return nil
	}
	c.disconnect()
	config, err := c.config(address)
	if err != nil {
		return err
	}
	conn, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return err
	}
	c.conn = conn
	c.address = address
	return nil
}

// config returns the pgconn configuration for the address.
func (c *controlConn) config(address string) (*pgconn.Config, error) {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil, fmt.Errorf("port of %q: %w", address, err)
	}
	// pgconn accepts only a Config that was created by ParseConfig.
	config, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, err
	}
	config.Host = host
	config.Port = uint16(port)
	config.User = c.credentials.User
	config.Password = c.credentials.Password
	config.Database = c.credentials.Database
	config.TLSConfig = c.credentials.TLS
	config.Fallbacks = nil
	config.RuntimeParams = map[string]string{"application_name": applicationName}
	return config, nil
}

// run executes the statement with parameters and result in text format.
func (c *controlConn) run(ctx context.Context, sql string, args []string) ([]string, error) {
	params := make([][]byte, len(args))
	for i, arg := range args {
		params[i] = []byte(arg)
	}
	result := c.conn.ExecParams(ctx, sql, params, nil, nil, nil).Read()
	if result.Err != nil {
		return nil, result.Err
	}
	if len(result.Rows) != 1 {
		return nil, fmt.Errorf("%w: %d rows", ErrMalformed, len(result.Rows))
	}
	row := make([]string, len(result.Rows[0]))
	for i, column := range result.Rows[0] {
		row[i] = string(column)
	}
	return row, nil
}

// disconnect closes the socket directly. PgConn.Close would wait for the upstream,
// which may be unreachable.
func (c *controlConn) disconnect() {
	if c.conn == nil {
		return
	}
	_ = c.conn.Conn().Close()
	c.conn = nil
}
