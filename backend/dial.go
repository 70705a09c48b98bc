package backend

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"
	"golang.org/x/sys/unix"

	"github.com/chervilhatch/chervilhatch/backend/wire"
)

const (
	scramSHA256 = "SCRAM-SHA-256"
	// tcpUserTimeout closes a connection whose sent data is not acknowledged in
	// time, because an upstream that is partitioned from this VM does not close
	// its connections. It is below the 7 s within which writes must continue
	// after a failure.
	tcpUserTimeout    = 5 * time.Second
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// Credentials are the proxy's own user and password on the upstreams. They cache
// the keys that SCRAM derives from the password, because the derivation takes
// milliseconds.
type Credentials struct {
	user   string
	client *scram.Client
}

// NewCredentials returns credentials for SCRAM authentication to the upstreams.
func NewCredentials(user, password string) (*Credentials, error) {
	// PostgreSQL takes the user from the startup message and expects an empty
	// user name in the SCRAM exchange.
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return nil, err
	}
	return &Credentials{user: user, client: client}, nil
}

// Dial opens and authenticates a connection within config.ConnectTimeout.
func Dial(ctx context.Context, config Config) (*Conn, error) {
	ctx, done := context.WithTimeout(ctx, config.ConnectTimeout)
	defer done()
	socket, err := dialSocket(ctx, &config)
	if err != nil {
		return nil, err
	}
	c := &Conn{
		config:         config,
		net:            socket,
		socket:         rawSocket(socket),
		reader:         wire.NewReader(socket, readBufferSize, maxMessageSize),
		statementCache: newStatementCache(config.MaxStatements),
	}
	stop := c.Watch(ctx)
	err = c.login()
	c.Unwatch(stop)
	if err == nil && c.discardReason != "" {
		err = context.Cause(ctx)
	}
	if err != nil {
		c.Close()
		return nil, fmt.Errorf("connecting to %s: %w", config.Address, err)
	}
	c.idleSince = time.Now()
	return c, nil
}

// dialSocket opens a TCP connection and negotiates TLS if it is configured.
func dialSocket(ctx context.Context, config *Config) (net.Conn, error) {
	dialer := net.Dialer{
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	conn, err := dialer.DialContext(ctx, "tcp", config.Address)
	if err != nil || config.TLS == nil {
		return conn, err
	}
	tlsConn, err := startTLS(ctx, conn, config.TLS)
	if err != nil {
		conn.Close()
		return nil, err
	}
	return tlsConn, nil
}

// setUserTimeout sets TCP_USER_TIMEOUT, which limits how long sent data may stay
// unacknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	return errors.Join(err, failure)
}

// startTLS requests TLS with an SSLRequest and performs the handshake.
func startTLS(ctx context.Context, conn net.Conn, config *tls.Config) (net.Conn, error) {
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
		defer conn.SetDeadline(time.Time{})
	}
	request, err := (&pgproto3.SSLRequest{}).Encode(nil)
	if err != nil {
		return nil, err
	}
	if _, err := conn.Write(request); err != nil {
		return nil, err
	}
	var answer [1]byte
	if _, err := conn.Read(answer[:]); err != nil {
		return nil, err
	}
	if answer[0] != 'S' {
		return nil, errors.New("the upstream does not offer TLS")
	}
	tlsConn := tls.Client(conn, config)
	return tlsConn, tlsConn.HandshakeContext(ctx)
}

// rawSocket returns the TCP connection below TLS, or conn itself without TLS.
func rawSocket(conn net.Conn) net.Conn {
	if tlsConn, ok := conn.(*tls.Conn); ok {
		return tlsConn.NetConn()
	}
	return conn
}

// sendCancel sends a CancelRequest and waits until the upstream closes the
// connection, for at most cancelTimeout.
func sendCancel(conn net.Conn, processID uint32, secret []byte) error {
	request, err := (&pgproto3.CancelRequest{ProcessID: processID, SecretKey: secret}).Encode(nil)
	if err != nil {
		return err
	}
	if err := conn.SetDeadline(time.Now().Add(cancelTimeout)); err != nil {
		return err
	}
	if _, err := conn.Write(request); err != nil {
		return err
	}
	// The upstream closes the connection after processing the request.
	_, _ = conn.Read(make([]byte, 1))
	return nil
}

// send encodes and writes one message of the start-up phase.
func (c *Conn) send(message pgproto3.FrontendMessage) error {
	encoded, err := message.Encode(nil)
	if err != nil {
		return err
	}
	_, err = c.Write(encoded)
	return err
}

// login sends the startup message, authenticates, and reads up to the first
// ReadyForQuery.
func (c *Conn) login() error {
	startup := &pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{
			"user":             c.config.Credentials.user,
			"database":         c.config.Database,
			"application_name": "chervilhatch",
			"client_encoding":  "UTF8",
			"DateStyle":        "ISO, MDY",
			"TimeZone":         "UTC",
		},
	}
	if err := c.send(startup); err != nil {
		return err
	}
	conversation := c.config.Credentials.client.NewConversation()
	for {
		frame, err := c.Next()
		if err != nil {
			return err
		}
		ready, err := c.loginStep(frame, conversation)
		if ready || err != nil {
			return err
		}
	}
}

// loginStep handles one message of the start-up phase. It returns ready after
// ReadyForQuery, which ends the phase.
func (c *Conn) loginStep(frame wire.Frame, conversation *scram.ClientConversation) (ready bool, err error) {
	switch frame.Type() {
	case 'R':
		return false, c.authenticate(frame.Body(), conversation)
	case 'K':
		var key pgproto3.BackendKeyData
		err = key.Decode(frame.Body())
		c.processID, c.secret = key.ProcessID, key.SecretKey
		return false, err
	case wire.ErrorResponse:
		return false, fmt.Errorf("upstream error %s: %s", ErrorCode(frame), errorField(frame, 'M'))
	case wire.ReadyForQuery:
		c.status = wire.Idle
		return true, nil
	case wire.ParameterStatus, wire.NoticeResponse, 'v':
		return false, nil
	}
	return false, fmt.Errorf("%w: type %q during login", ErrUnexpected, frame.Type())
}

// authenticate answers one authentication message of the upstream. It supports
// SCRAM-SHA-256 and upstreams that require no authentication.
func (c *Conn) authenticate(body []byte, conversation *scram.ClientConversation) error {
	kind, data, err := authRequest(body)
	if err != nil {
		return err
	}
	switch kind {
	case pgproto3.AuthTypeOk:
		return nil
	case pgproto3.AuthTypeSASL:
		first, err := conversation.Step("")
		if err != nil {
			return err
		}
		return c.send(&pgproto3.SASLInitialResponse{AuthMechanism: scramSHA256, Data: []byte(first)})
	case pgproto3.AuthTypeSASLContinue:
		final, err := conversation.Step(string(data))
		if err != nil {
			return err
		}
		return c.send(&pgproto3.SASLResponse{Data: []byte(final)})
	case pgproto3.AuthTypeSASLFinal:
		_, err := conversation.Step(string(data))
		return err
	}
	return fmt.Errorf("the upstream asks for authentication type %d, only SCRAM-SHA-256 is supported", kind)
}
