// Package client calls the operator service of the daemons. It fails over to the
// next daemon when one does not answer.
package client

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/status"

	"github.com/chervilhatch/chervilhatch/findings/jsondoc"
	operatorv1 "github.com/chervilhatch/chervilhatch/proto/operator/v1"
)

const (
	// callTimeout exceeds the time a daemon takes to read back from the store
	// whether a change was stored when the store's answer was lost.
	callTimeout    = 15 * time.Second
	connectTimeout = 5 * time.Second
	// reconnectDelay is the pause between two WaitInForce streams.
	reconnectDelay = 200 * time.Millisecond
	// maxMessageBytes leaves room for a document of the maximum size and the rest
	// of its message.
	maxMessageBytes = 4 * jsondoc.MaxBytes
)

var (
	// ErrNoDaemon means that Options has no address.
	ErrNoDaemon = errors.New("no daemon's address was given")
	// ErrUnavailable means that no daemon answered, or that the store did not.
	ErrUnavailable = errors.New("unavailable")
)

// Options configures a Client.
type Options struct {
	// Addresses are the operator addresses of the daemons, in the order in which
	// they are tried.
	Addresses []string
	// Cert, Key and CA are paths of PEM files for mutual TLS.
	Cert string
	Key  string
	CA   string
}

// Client is a client of the operator service with one connection per daemon.
type Client struct {
	conns   []*grpc.ClientConn
	daemons []endpoint
}

// endpoint is the service of one daemon.
type endpoint struct {
	operatorv1.OperatorClient
	// connected tries to connect and reports whether it succeeded.
	connected func(ctx context.Context) bool
}

// New returns a client. Connections are established on first use.
func New(o Options) (*Client, error) {
	if len(o.Addresses) == 0 {
		return nil, ErrNoDaemon
	}
	creds, err := loadTLS(o)
	if err != nil {
		return nil, err
	}
	c := &Client{}
	for _, address := range o.Addresses {
		conn, err := grpc.NewClient("passthrough:///"+address,
			grpc.WithTransportCredentials(creds),
			grpc.WithDisableRetry(),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)))
		if err != nil {
			return nil, errors.Join(fmt.Errorf("daemon %s: %w", address, err), c.Close())
		}
		c.conns = append(c.conns, conn)
		c.daemons = append(c.daemons, endpoint{
			OperatorClient: operatorv1.NewOperatorClient(conn),
			connected:      func(ctx context.Context) bool { return waitConnected(ctx, conn) },
		})
	}
	return c, nil
}

func loadTLS(o Options) (credentials.TransportCredentials, error) {
	cert, err := tls.LoadX509KeyPair(o.Cert, o.Key)
	if err != nil {
		return nil, fmt.Errorf("load the client certificate: %w", err)
	}
	pem, err := os.ReadFile(o.CA)
	if err != nil {
		return nil, fmt.Errorf("load the CA: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("load the CA: %s has no certificate", o.CA)
	}
	return credentials.NewTLS(&tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      roots,
		MinVersion:   tls.VersionTLS13,
	}), nil
}

// waitConnected connects and reports whether the connection became ready within
// connectTimeout.
func waitConnected(ctx context.Context, conn *grpc.ClientConn) bool {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn.Connect()
	for {
		switch state := conn.GetState(); state {
		case connectivity.Ready:
			return true
		case connectivity.TransientFailure, connectivity.Shutdown:
			return false
		default:
			if !conn.WaitForStateChange(ctx, state) {
				return false
			}
		}
	}
}

// Close closes all connections.
func (c *Client) Close() error {
	var errs []error
	for _, conn := range c.conns {
		errs = append(errs, conn.Close())
	}
	return errors.Join(errs...)
}

// callAny calls f on one daemon after the other until one answers.
func callAny[T any](ctx context.Context, c *Client, f func(context.Context, operatorv1.OperatorClient) (T, error)) (T, error) {
	var answer T
	var err error
	for _, client := range c.daemons {
		answer, err = callOne(ctx, client, f)
		if err == nil || !isUnanswered(err) || ctx.Err() != nil {
			break
		}
	}
	if err != nil && isUnanswered(err) {
		err = fmt.Errorf("%w: %s", ErrUnavailable, status.Convert(err).Message())
	}
	return answer, err
}

func callOne[T any](ctx context.Context, client operatorv1.OperatorClient, f func(context.Context, operatorv1.OperatorClient) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return f(ctx, client)
}

// isUnanswered reports whether the daemon gave no answer, so that the next one
// should be tried.
func isUnanswered(err error) bool {
	code := status.Code(err)
	return code == codes.Unavailable || code == codes.DeadlineExceeded || code == codes.Canceled
}

// Config returns a version of the configuration; 0 means the one in force.
func (c *Client) Config(ctx context.Context, version uint64) (*operatorv1.GetConfigResponse, error) {
	return callAny(ctx, c, func(ctx context.Context, o operatorv1.OperatorClient) (*operatorv1.GetConfigResponse, error) {
		return o.GetConfig(ctx, &operatorv1.GetConfigRequest{Version: version})
	})
}

// History returns the newest changes.
func (c *Client) History(ctx context.Context, limit int) (*operatorv1.HistoryResponse, error) {
	return callAny(ctx, c, func(ctx context.Context, o operatorv1.OperatorClient) (*operatorv1.HistoryResponse, error) {
		return o.History(ctx, &operatorv1.HistoryRequest{Limit: int32(limit)})
	})
}

// Status returns what a daemon knows of the deployment.
func (c *Client) Status(ctx context.Context) (*operatorv1.StatusResponse, error) {
	return callAny(ctx, c, func(ctx context.Context, o operatorv1.OperatorClient) (*operatorv1.StatusResponse, error) {
		return o.Status(ctx, &operatorv1.StatusRequest{})
	})
}

// Apply submits a change. A daemon that does not answer may have applied it, so the
// same request with the same request id goes to the next one; the id makes the
// request idempotent. If a daemon may have applied the change and no later one
// gives a definite answer, the outcome is unknown.
func (c *Client) Apply(ctx context.Context, r *operatorv1.ApplyConfigRequest) (*operatorv1.ApplyConfigResponse, error) {
	sent, maybeApplied := false, false
	for _, daemon := range c.daemons {
		if !daemon.connected(ctx) {
			continue
		}
		sent = true
		answer, err := callOne(ctx, daemon, func(ctx context.Context, o operatorv1.OperatorClient) (*operatorv1.ApplyConfigResponse, error) {
			return o.ApplyConfig(ctx, r)
		})
		switch {
		case err != nil && !isUnanswered(err):
			return nil, err
		case err != nil, answer.GetOutcome() == operatorv1.ApplyConfigResponse_OUTCOME_UNKNOWN:
			maybeApplied = true
		case answer.GetOutcome() != operatorv1.ApplyConfigResponse_OUTCOME_STORE_UNAVAILABLE:
			return answer, nil
		}
	}
	switch {
	case maybeApplied:
		return &operatorv1.ApplyConfigResponse{Outcome: operatorv1.ApplyConfigResponse_OUTCOME_UNKNOWN}, nil
	case !sent:
		return nil, fmt.Errorf("%w: no daemon could be reached; nothing was changed", ErrUnavailable)
	}
	return &operatorv1.ApplyConfigResponse{Outcome: operatorv1.ApplyConfigResponse_OUTCOME_STORE_UNAVAILABLE}, nil
}

// Progress is called with each reported state of a change.
type Progress func(*operatorv1.WaitInForceResponse)

// WaitInForce calls progress with each reported state of the change until it is in
// force on every live VM or the timeout expires. When a stream ends early, it goes
// on with the next daemon. It returns the last state, or nil if no daemon answered.
func (c *Client) WaitInForce(ctx context.Context, version uint64, timeout time.Duration, progress Progress) *operatorv1.WaitInForceResponse {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	deadline := time.Now().Add(timeout)
	var last *operatorv1.WaitInForceResponse
	for i := 0; ctx.Err() == nil && !last.GetDone(); i++ {
		request := &operatorv1.WaitInForceRequest{Version: version, TimeoutMs: time.Until(deadline).Milliseconds()}
		receiveProgress(ctx, c.daemons[i%len(c.daemons)], request, func(m *operatorv1.WaitInForceResponse) {
			last = m
			progress(m)
		})
		if !last.GetDone() {
			sleep(ctx, reconnectDelay)
		}
	}
	return last
}

// receiveProgress calls fn with each message of one stream until the stream ends.
func receiveProgress(ctx context.Context, client operatorv1.OperatorClient, r *operatorv1.WaitInForceRequest, fn Progress) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := client.WaitInForce(ctx, r)
	for err == nil {
		var m *operatorv1.WaitInForceResponse
		m, err = stream.Recv()
		if err == nil {
			fn(m)
		}
	}
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
