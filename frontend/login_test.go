package frontend

import (
	"bytes"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilhatch/chervilhatch/backend/wire"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/sqlstate"
)

func sqlStateOf(err error) sqlstate.Code {
	var pg *pgconn.PgError
	if errors.As(err, &pg) {
		return sqlstate.Code(pg.Code)
	}
	if err != nil {
		return sqlstate.Code(err.Error())
	}
	return ""
}

// Guards against a wrong key that is accepted, a valid key that is refused, and
// errors that reveal to unauthenticated callers which workspaces and jobs
// exist.
func TestLogin(t *testing.T) {
	f := newFakeBackend()
	f.keys = []Key{newTestKey(t, "k3", "third", "a"), newTestKey(t, "k2", "second", "a"), newTestKey(t, "k1", "first", "b")}
	_, address := startServer(t, f, nil)
	cases := []struct {
		user, job, password string
		want                sqlstate.Code
	}{
		{"w", "j", "third", ""},
		{"w", "j", "second", ""},
		{"w", "j", "first", sqlstate.WrongKey},
		{"w#k1", "j", "first", ""},
		{"w#k1", "j", "second", sqlstate.WrongKey},
		{"w#k9", "j", "second", sqlstate.WrongKey},
		{"w", "j", "wrong", sqlstate.WrongKey},
		{"stranger", "j", "third", sqlstate.WrongKey},
		{"stranger", "unknown", "third", sqlstate.WrongKey},
		{"w", "unknown", "third", sqlstate.UnknownJob},
		{"stranger", "open", "", ""},
	}
	for _, c := range cases {
		_, err := connect(t, address, c.user, c.job, c.password, "")
		if got := sqlStateOf(err); got != c.want {
			t.Errorf("%s to %s with %q: %q, want %q (%v)", c.user, c.job, c.password, got, c.want, err)
		}
	}
}

// Guards against a salt that reveals that a workspace is unknown, because it
// changes between logins or between VMs.
func TestMockSaltIsStable(t *testing.T) {
	s := New(Options{MockSecret: []byte("secret")})
	other := New(Options{MockSecret: []byte("secret")})
	a, b := s.mockKey("x", "").Verifier, other.mockKey("x", "").Verifier
	if !bytes.Equal(a.Salt, b.Salt) || bytes.Equal(a.StoredKey, b.StoredKey) {
		t.Fatalf("%v, %v", a, b)
	}
}

// Guards against parameters of the startup message that are ignored, and
// against unsupported ones that are accepted.
func TestStartupParameters(t *testing.T) {
	f := newFakeBackend()
	_, address := startServer(t, f, nil)
	const position = "db/1.p/77"
	for _, extra := range []string{
		"chervilhatch.position=" + position,
		"options='-c chervilhatch.position=" + position + " --application_name=a\\\\ b'",
	} {
		conn := mustConnect(t, address, extra)
		if got := conn.ParameterStatus(positionParameter); got != position {
			t.Fatalf("%s: position %q", extra, got)
		}
		if code := execSQL(t, conn, "SELECT 1"); code != "" {
			t.Fatal(code)
		}
		if b := f.lastBatch(); !b.HasFloor || b.Floor.Pos != 77 {
			t.Fatalf("%s: %+v", extra, b)
		}
	}
	for extra, want := range map[string]sqlstate.Code{
		"chervilhatch.position=x": sqlstate.InvalidParameter,
		"options=-x":              sqlstate.InvalidParameter,
		"TimeZone=Iceland":        sqlstate.NotSupported,
		"search_path=x":           sqlstate.NotSupported,
		"client_encoding=UTF8":    "",
	} {
		_, err := connect(t, address, "w", "open", "", extra)
		if sqlStateOf(err) != want {
			t.Errorf("%s: %v", extra, err)
		}
	}
}

// dial opens a connection without a login.
func dial(t testing.TB, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	t.Cleanup(func() { conn.Close() })
	return conn
}

func startupBytes(version uint32, parameters ...string) []byte {
	body := binary.BigEndian.AppendUint32(nil, version)
	for _, p := range parameters {
		body = append(append(body, p...), 0)
	}
	body = append(body, 0)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4)), body...)
}

// Guards against responses to encryption requests and to newer protocol
// versions that differ from the protocol.
func TestNegotiation(t *testing.T) {
	_, address := startServer(t, newFakeBackend(), nil)
	conn := dial(t, address)
	for _, code := range []uint32{gssEncRequestCode, sslRequestCode} {
		request := binary.BigEndian.AppendUint32([]byte{0, 0, 0, 8}, code)
		if _, err := conn.Write(request); err != nil {
			t.Fatal(err)
		}
		var answer [1]byte
		if _, err := io.ReadFull(conn, answer[:]); err != nil || answer[0] != 'N' {
			t.Fatalf("%q, %v", answer, err)
		}
	}
	if _, err := conn.Write(startupBytes(3<<16|2, "user", "w", "database", "open", "_pq_.x", "1")); err != nil {
		t.Fatal(err)
	}
	message, err := pgproto3.NewFrontend(conn, conn).Receive()
	negotiated, ok := message.(*pgproto3.NegotiateProtocolVersion)
	if err != nil || !ok || negotiated.NewestMinorProtocol != 0 || len(negotiated.UnrecognizedOptions) != 1 {
		t.Fatalf("%+v, %v", message, err)
	}
}

// Guards against a proxy that requires TLS but serves plain-text connections,
// and against bytes sent before the TLS handshake that are processed after it.
func TestTLS(t *testing.T) {
	f := newFakeBackend()
	f.keys = []Key{newTestKey(t, "k1", "first", "a")}
	_, address := startServer(t, f, func(o *Options) {
		o.TLS = &tls.Config{Certificates: []tls.Certificate{testCertificate(t)}}
		o.RequireTLS = true
		o.Limits.IdleReleaseDelay = time.Millisecond
	})
	if _, err := connect(t, address, "w", "j", "first", ""); sqlStateOf(err) != sqlstate.WorkspaceForbidden {
		t.Fatalf("without TLS: %v", err)
	}
	conn, err := connect(t, address, "w", "j", "first", "sslmode=require")
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		if code := execSQL(t, conn, "SELECT 1"); code != "" {
			t.Fatal(code)
		}
		time.Sleep(5 * time.Millisecond)
	}
	injected := dial(t, address)
	if _, err := injected.Write(append([]byte{0, 0, 0, 8, 4, 210, 22, 47}, startupBytes(3<<16, "user", "w")...)); err != nil {
		t.Fatal(err)
	}
	expectFatal(t, injected, sqlstate.ProtocolViolation)
}

// expectFatal reads until the connection is closed and expects a fatal error
// with the code.
func expectFatal(t testing.TB, conn net.Conn, code sqlstate.Code) {
	t.Helper()
	all, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(all), "C"+string(code)+"\x00") || !strings.Contains(string(all), "SFATAL\x00") {
		t.Fatalf("answer %q, want %s", all, code)
	}
}

// Guards against logins that use unbounded memory, time or slots.
func TestLoginLimits(t *testing.T) {
	s, address := startServer(t, newFakeBackend(), func(o *Options) {
		o.Limits.LoginTimeout = 300 * time.Millisecond
		o.Limits.Logins = 1
		o.Limits.Sessions = 1
	})
	slow := dial(t, address)
	waitFor(t, "the login", func() bool { return len(s.loginSlots) == 1 })
	expectFatal(t, dial(t, address), sqlstate.TooManyConnections)
	expectFatal(t, slow, sqlstate.ConnectionFailure)
	slow.Close()
	waitFor(t, "the login's end", func() bool { return len(s.loginSlots) == 0 })
	large := dial(t, address)
	if _, err := large.Write([]byte{0, 1, 0, 0, 0, 3, 0, 0}); err != nil {
		t.Fatal(err)
	}
	expectFatal(t, large, sqlstate.TooLarge)
	large.Close()
	waitFor(t, "the login's end", func() bool { return len(s.loginSlots) == 0 })
	malformed := dial(t, address)
	if _, err := malformed.Write([]byte{0, 0, 0, 1}); err != nil {
		t.Fatal(err)
	}
	expectFatal(t, malformed, sqlstate.ProtocolViolation)
	malformed.Close()
	waitFor(t, "the logins' end", func() bool { return len(s.loginSlots) == 0 })
	conn := mustConnect(t, address, "")
	waitFor(t, "the login's end", func() bool { return len(s.loginSlots) == 0 })
	if _, err := connect(t, address, "w", "open", "", ""); sqlStateOf(err) != sqlstate.TooManyConnections {
		t.Fatal(err)
	}
	conn.Close(t.Context())
	waitFor(t, "the session's end", func() bool { return s.Sessions() == 0 })
}

func waitFor(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for " + what)
		}
		time.Sleep(time.Millisecond)
	}
}

// FuzzStartup guards against a login that panics, hangs or opens a session
// without a valid SCRAM proof.
func FuzzStartup(f *testing.F) {
	fake := newFakeBackend()
	fake.keys = []Key{newTestKey(f, "k1", "first", "a")}
	s := New(Options{Directory: closedDirectory{fake}, Admitter: fake, Executor: fake, Limits: Limits{LoginTimeout: time.Second}})
	initial := wire.AppendMessage(nil, 'p', []byte("SCRAM-SHA-256\x00\x00\x00\x00\x09n,,n=,r=x"))
	proof := wire.AppendMessage(nil, 'p', []byte("c=biws,r=x,p=AAAA"))
	f.Add([]byte{0, 0, 0, 8, 4, 210, 22, 47})
	f.Add(append(startupBytes(3<<16, "user", "w", "database", "j"), append(initial, proof...)...))
	f.Add(startupBytes(3<<16|2, "user", "w#k1", "options", "-c a=b", "_pq_.x", "1"))
	f.Add([]byte{0, 0, 0, 16, 4, 210, 22, 46, 0, 0, 0, 1, 0, 0, 0, 2})
	f.Fuzz(func(t *testing.T, input []byte) {
		conn := &scriptedConn{input: bytes.NewReader(input)}
		session, last := s.login(conn)
		if session != nil {
			t.Fatal("a session was opened without a key")
		}
		if last != nil && !last.err.Fatal {
			t.Fatalf("login ended with an error that is not fatal: %v", last.err)
		}
	})
}

// closedDirectory is a Directory without open jobs.
type closedDirectory struct{ *fakeBackend }

func (d closedDirectory) Lookup(w model.Workspace, j model.Job) (Access, error) {
	access, err := d.fakeBackend.Lookup(w, j)
	access.Open = false
	return access, err
}

// scriptedConn is a connection that reads the input of a fuzz run and discards
// what is written.
type scriptedConn struct {
	net.Conn
	input *bytes.Reader
}

func (c *scriptedConn) Read(p []byte) (int, error)  { return c.input.Read(p) }
func (c *scriptedConn) Write(p []byte) (int, error) { return len(p), nil }
func (c *scriptedConn) SetDeadline(time.Time) error { return nil }
