package pgcontrol

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"

	"github.com/jackc/pgx/v5/pgconn"
)

// applicationName tells the upstream's operators whose connection it is.
const applicationName = "chervilhatch-control"

// link is the connection to one upstream.
type link struct {
	credentials Credentials
	// life ends when the link is shut.
	life context.Context
	end  context.CancelFunc
	// turn holds a token while a call runs; it guards conn and address.
	turn    chan struct{}
	conn    *pgconn.PgConn
	address string
}

func newLink(credentials Credentials) *link {
	l := &link{credentials: credentials, turn: make(chan struct{}, 1)}
	l.life, l.end = context.WithCancel(context.Background())
	return l
}

// shut ends a running call and closes the connection.
func (l *link) shut() {
	l.end()
	l.turn <- struct{}{}
	l.drop()
	<-l.turn
}

// call runs a statement that returns one row.
func (l *link) call(ctx context.Context, address, sql string, args []string) ([]string, error) {
	select {
	case l.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-l.turn }()
	if l.life.Err() != nil {
		return nil, ErrClosed
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(l.life, cancel)()
	reused := l.connected(address)
	row, err := l.attempt(ctx, address, sql, args)
	if err != nil && reused && l.conn == nil && ctx.Err() == nil {
		// The upstream has closed the old connection, for example because it
		// restarted. The control functions may be repeated.
		row, err = l.attempt(ctx, address, sql, args)
	}
	return row, err
}

// attempt runs the statement once and closes the connection if its state is
// uncertain afterwards.
func (l *link) attempt(ctx context.Context, address, sql string, args []string) ([]string, error) {
	if err := l.connect(ctx, address); err != nil {
		return nil, err
	}
	row, err := l.run(ctx, sql, args)
	var refused *pgconn.PgError
	if err != nil && (!errors.As(err, &refused) || l.conn.IsClosed()) {
		// An answer may still arrive and must not be taken for that of the
		// next call.
		l.drop()
	}
	return row, err
}

// connected reports whether there is a connection to the address.
func (l *link) connected(address string) bool {
	return l.conn != nil && !l.conn.IsClosed() && l.address == address
}

// connect opens the connection if there is none to the address.
func (l *link) connect(ctx context.Context, address string) error {
	if l.connected(address) {
		return nil
	}
	l.drop()
	config, err := l.config(address)
	if err != nil {
		return err
	}
	conn, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return err
	}
	l.conn = conn
	l.address = address
	return nil
}

func (l *link) config(address string) (*pgconn.Config, error) {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil, fmt.Errorf("port of %q: %w", address, err)
	}
	// pgconn accepts only a configuration that it has parsed itself.
	config, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, err
	}
	config.Host = host
	config.Port = uint16(port)
	config.User = l.credentials.User
	config.Password = l.credentials.Password
	config.Database = l.credentials.Database
	config.TLSConfig = l.credentials.TLS
	config.Fallbacks = nil
	config.RuntimeParams = map[string]string{"application_name": applicationName}
	return config, nil
}

// run executes the statement with text parameters and a text result.
func (l *link) run(ctx context.Context, sql string, args []string) ([]string, error) {
	params := make([][]byte, len(args))
	for i, arg := range args {
		params[i] = []byte(arg)
	}
	result := l.conn.ExecParams(ctx, sql, params, nil, nil, nil).Read()
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

// drop closes the connection without waiting for the upstream, which may be
// unreachable.
func (l *link) drop() {
	if l.conn == nil {
		return
	}
	_ = l.conn.Conn().Close()
	l.conn = nil
}
