package backend

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"golang.org/x/sys/unix"
)

// testProcess is the process ID that server reports for every connection.
const testProcess = 7

// server is an upstream that accepts connections without authentication and
// answers every message with ReadyForQuery.
type server struct {
	net.Listener
	// canceled counts cancel requests.
	canceled atomic.Int32
	// tlsConfig is nil when the server offers no TLS.
	tlsConfig *tls.Config
}

func startServer(t *testing.T) *server { return startServerTLS(t, nil) }

func startServerTLS(t *testing.T, tlsConfig *tls.Config) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{Listener: l, tlsConfig: tlsConfig}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *server) serve(conn net.Conn) {
	defer conn.Close()
	pg := pgproto3.NewBackend(conn, conn)
	first, err := pg.ReceiveStartupMessage()
	if _, ok := first.(*pgproto3.SSLRequest); ok && s.tlsConfig != nil {
		_, _ = conn.Write([]byte{'S'})
		tlsConn := tls.Server(conn, s.tlsConfig)
		pg = pgproto3.NewBackend(tlsConn, tlsConn)
		first, err = pg.ReceiveStartupMessage()
	}
	if request, ok := first.(*pgproto3.CancelRequest); ok && request.ProcessID == testProcess {
		s.canceled.Add(1)
	}
	if _, ok := first.(*pgproto3.StartupMessage); err != nil || !ok {
		return
	}
	pg.Send(&pgproto3.BackendKeyData{ProcessID: testProcess, SecretKey: make([]byte, 4)})
	pg.Send(&pgproto3.AuthenticationOk{})
	for {
		pg.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		if pg.Flush() != nil {
			return
		}
		if _, err := pg.Receive(); err != nil {
			return
		}
	}
}

func newTestPool(t *testing.T, address string, budget, warm int) *Pool {
	t.Helper()
	return newTestPoolTLS(t, address, budget, warm, nil)
}

func newTestPoolTLS(t *testing.T, address string, budget, warm int, tlsConfig *tls.Config) *Pool {
	t.Helper()
	credentials, err := NewCredentials("proxy", "secret")
	if err != nil {
		t.Fatal(err)
	}
	config := Config{Address: address, Credentials: credentials, TLS: tlsConfig}
	p := NewPool(PoolOptions{Config: config, Budget: budget, Warm: warm})
	t.Cleanup(p.Close)
	return p
}

func mustGet(t *testing.T, p *Pool) *Conn {
	t.Helper()
	c, err := p.Get(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// waitUntil waits until the condition holds and fails the test after 10 s.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatal("timed out after 10 s waiting for " + what)
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against opening more connections than the budget allows and against
// serving waiters out of order.
func TestBudgetAndOrder(t *testing.T) {
	p := newTestPool(t, startServer(t).Addr().String(), 1, 0)
	first := mustGet(t, p)
	order := make(chan int, 2)
	for i := range 2 {
		go func() {
			c, err := p.Get(context.Background())
			order <- i
			if err == nil {
				p.Put(c)
			}
		}()
		waitUntil(t, "the waiter", func() bool { return p.Stats().Waiting == i+1 })
	}
	p.Put(first)
	if a, b := <-order, <-order; a != 0 || b != 1 {
		t.Fatalf("waiters served in the order %d, %d; want 0, 1", a, b)
	}
	if s := p.Stats(); s.Opens != 1 || s.Open != 1 || s.Waits != 3 {
		t.Fatalf("%+v", s)
	}
}

// Guards against connections that stay open after the budget is lowered, and
// against waiters that get no connection after it is raised.
func TestBudgetChanges(t *testing.T) {
	p := newTestPool(t, startServer(t).Addr().String(), 2, 2)
	waitUntil(t, "warm connections", func() bool { return p.Stats().Idle == 2 })
	inUse := mustGet(t, p)
	p.SetBudget(0)
	if s := p.Stats(); s.Open != 1 || s.Closes[CloseBudget] != 1 {
		t.Fatalf("%+v", s)
	}
	p.Put(inUse)
	if s := p.Stats(); s.Open != 0 || s.Closes[CloseBudget] != 2 {
		t.Fatalf("%+v", s)
	}
	got := make(chan *Conn)
	go func() { got <- mustGet(t, p) }()
	waitUntil(t, "the waiter", func() bool { return p.Stats().Waiting == 1 })
	p.SetBudget(1)
	p.Put(<-got)
}

// Guards against reusing a connection that was discarded, is inside a transaction
// or has unread data.
func TestUncertainConnectionsAreClosed(t *testing.T) {
	p := newTestPool(t, startServer(t).Addr().String(), 1, 0)
	makeUnusable := map[CloseReason]func(*Conn){
		CloseUncertain:     func(c *Conn) { c.Discard("test") },
		CloseInTransaction: func(c *Conn) { c.SetStatus('T') },
		CloseUnexpected:    func(c *Conn) { _, _ = c.Write([]byte{'S', 0, 0, 0, 4}); _ = c.reader.Wait() },
	}
	for reason, f := range makeUnusable {
		c := mustGet(t, p)
		f(c)
		p.Put(c)
		if s := p.Stats(); s.Open != 0 || s.Closes[reason] != 1 {
			t.Fatalf("%s: %+v", reason, s)
		}
	}
}

// Guards against handing out an idle connection on which a message has arrived:
// its next user would take the message for a response to its own request.
func TestLateMessageClosesConnection(t *testing.T) {
	p := newTestPool(t, startServer(t).Addr().String(), 1, 0)
	c := mustGet(t, p)
	p.Put(c)
	if _, err := c.Write([]byte{'S', 0, 0, 0, 4}); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the late message", func() bool { return !c.noPendingInput() })
	if next := mustGet(t, p); next == c {
		t.Fatal("Get returned the connection that has unread data")
	}
}

// Guards against calls of Get that wait, instead of failing, while the upstream is
// unreachable.
func TestUnreachable(t *testing.T) {
	s := startServer(t)
	address := s.Addr().String()
	s.Close()
	p := newTestPool(t, address, 1, 0)
	if _, err := p.Get(context.Background()); err == nil {
		t.Fatal("Get succeeded although the upstream does not listen")
	}
	if _, err := p.Get(context.Background()); err == nil {
		t.Fatal("Get succeeded during the backoff")
	}
	if stats := p.Stats(); stats.OpenFailures == 0 || stats.Waiting != 0 {
		t.Fatalf("%+v", stats)
	}
}

// Guards against losing a connection when the context of a waiting Get ends.
func TestWaiterGivesUp(t *testing.T) {
	p := newTestPool(t, startServer(t).Addr().String(), 1, 0)
	c := mustGet(t, p)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := p.Get(ctx); !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
	p.Put(c)
	if s := p.Stats(); s.Idle != 1 || s.Waiting != 0 {
		t.Fatalf("%+v", s)
	}
}

// Guards against keeping a closed idle connection in the pool, and against closing
// a healthy one.
func TestIdleCheck(t *testing.T) {
	p := newTestPool(t, startServer(t).Addr().String(), 1, 0)
	c := mustGet(t, p)
	p.Put(c)
	c.idleSince = time.Time{}
	p.checkOneIdle(t)
	if s := p.Stats(); s.Idle != 1 {
		t.Fatalf("after the check of a healthy connection: %+v", s)
	}
	c.Close()
	c.idleSince = time.Time{}
	p.checkOneIdle(t)
	if s := p.Stats(); s.Open != 0 || s.Closes[CloseUncertain] != 1 {
		t.Fatalf("after the check of a closed connection: %+v", s)
	}
}

// checkOneIdle checks one connection that is due, as checkIdle does.
func (p *Pool) checkOneIdle(t *testing.T) {
	t.Helper()
	c := p.takeIdleForCheck()
	if c == nil {
		t.Fatal("no idle connection is due for a check")
	}
	c.check(p.ctx)
	p.Put(c)
}

// Guards against closing a TLS connection because messages that belong to the
// handshake count as unread data, and against connecting without TLS when TLS is
// configured.
func TestUpstreamTLS(t *testing.T) {
	serverTLS := &tls.Config{Certificates: []tls.Certificate{testCertificate(t)}}
	s := startServerTLS(t, serverTLS)
	clientTLS := &tls.Config{InsecureSkipVerify: true}
	p := newTestPoolTLS(t, s.Addr().String(), 1, 0, clientTLS)
	for range 3 {
		c := mustGet(t, p)
		c.check(t.Context())
		if err := c.Cancel(); err != nil {
			t.Fatal(err)
		}
		p.Put(c)
	}
	if stats := p.Stats(); stats.Opens != 1 || s.canceled.Load() != 3 {
		t.Fatalf("%+v, %d cancel requests", stats, s.canceled.Load())
	}
	plain := newTestPoolTLS(t, startServer(t).Addr().String(), 1, 0, clientTLS)
	if _, err := plain.Get(t.Context()); err == nil {
		t.Fatal("connected without TLS although TLS is configured")
	}
}

// Guards against connections to a partitioned upstream that stay open for minutes
// because TCP_USER_TIMEOUT is not set.
func TestTCPUserTimeout(t *testing.T) {
	p := newTestPool(t, startServer(t).Addr().String(), 1, 0)
	c := mustGet(t, p)
	raw, err := c.socket.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var limit int
	err = raw.Control(func(fd uintptr) {
		limit, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	})
	if err != nil || limit != int(tcpUserTimeout.Milliseconds()) {
		t.Fatalf("TCP_USER_TIMEOUT is %d ms, error %v", limit, err)
	}
}
