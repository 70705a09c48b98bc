package frontend

import (
	"context"
	"crypto/sha256"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"github.com/chervilhatch/chervilhatch/backend/wire"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/executor"
	"github.com/chervilhatch/chervilhatch/sqlstate"
)

const testTimeout = 10 * time.Second

// fakeBackend implements Directory, Admitter and executor.Executor.
type fakeBackend struct {
	mu          sync.Mutex
	keys        []Key
	lookupErr   error
	classPolicy ClassPolicy
	// database is the database of all jobs, "db" if empty.
	database      model.Database
	admitErr      error
	batches       []*executor.Batch
	closedStreams int
	// cancels counts the calls of Stream.Cancel.
	cancels int
	// hangStarted receives a value when a statement with "hang" starts. It runs
	// until hangResume has a value.
	hangStarted chan struct{}
	hangResume  chan struct{}
}

func newFakeBackend() *fakeBackend {
	return &fakeBackend{hangStarted: make(chan struct{}, 10), hangResume: make(chan struct{}, 10)}
}

func (f *fakeBackend) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeBackend) Lookup(w model.Workspace, j model.Job) (Access, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	access := Access{Open: j == "open", Database: "db", MaxAge: time.Second, Class: f.classPolicy}
	if f.database != "" {
		access.Database = f.database
	}
	if w == "w" {
		access.Keys = f.keys
	}
	if j == "unknown" {
		return access, sqlstate.Refuse(sqlstate.UnknownJob, "unknown job")
	}
	return access, f.lookupErr
}

func (f *fakeBackend) Admit(context.Context, model.Workspace, int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.admitErr
}

func (f *fakeBackend) Open(context.Context, executor.Hello) (executor.Stream, error) {
	return &fakeStream{f: f, status: 'I'}, nil
}

func (f *fakeBackend) lastBatch() executor.Batch {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.batches) == 0 {
		return executor.Batch{}
	}
	return *f.batches[len(f.batches)-1]
}

func (f *fakeBackend) batchCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.batches)
}

// fakeStream answers like an upstream that has no tables. It tracks the
// transaction status.
type fakeStream struct {
	f      *fakeBackend
	status byte
}

func (s *fakeStream) Run(ctx context.Context, b *executor.Batch, sink executor.Sink) (executor.Result, error) {
	kept := *b
	kept.Messages = append([]byte(nil), b.Messages...)
	s.f.update(func() { s.f.batches = append(s.f.batches, &kept) })
	var out []byte
	for messages := kept.Messages; len(messages) > 0; {
		frame, rest, _ := wire.Split(messages)
		messages = rest
		text := string(frame.Body())
		if strings.Contains(text, "hang") {
			s.f.hangStarted <- struct{}{}
			select {
			case <-s.f.hangResume:
			case <-ctx.Done():
				return executor.Result{TxStatus: 'I'}, sqlstate.Unknown("interrupted")
			}
		}
		if strings.Contains(text, "lost") {
			return executor.Result{TxStatus: 'E'}, sqlstate.Unknown("lost")
		}
		out = s.respond(out, frame, text)
	}
	pos := model.Position{Term: model.Term{Counter: 1, Proposer: "p"}, Pos: model.LogPos(s.f.batchCount())}
	return executor.Result{TxStatus: s.status, Position: pos}, sink(out)
}

func (s *fakeStream) respond(out []byte, frame wire.Frame, text string) []byte {
	switch {
	case strings.Contains(text, "BEGIN"):
		s.status = 'T'
	case strings.Contains(text, "COMMIT"):
		s.status = 'I'
	}
	var m []pgproto3.BackendMessage
	switch frame.Type() {
	case wire.Query:
		m = append(m, &pgproto3.CommandComplete{CommandTag: []byte("DONE")}, &pgproto3.ReadyForQuery{TxStatus: s.status})
	case wire.Parse:
		if strings.Contains(text, "WRONG") {
			m = append(m, &pgproto3.ErrorResponse{Severity: "ERROR", Code: "42601"})
			break
		}
		m = append(m, &pgproto3.ParseComplete{})
	case wire.Bind:
		m = append(m, &pgproto3.BindComplete{})
	case wire.Describe:
		m = append(m, &pgproto3.ParameterDescription{}, &pgproto3.NoData{})
	case wire.Execute:
		m = append(m, &pgproto3.CommandComplete{CommandTag: []byte("DONE")})
	case wire.Close:
		m = append(m, &pgproto3.CloseComplete{})
	case wire.Sync:
		m = append(m, &pgproto3.ReadyForQuery{TxStatus: s.status})
	}
	for _, message := range m {
		out, _ = message.Encode(out)
	}
	return out
}

func (s *fakeStream) Cancel() {
	s.f.update(func() { s.f.cancels++ })
	s.f.hangResume <- struct{}{}
}

func (s *fakeStream) Close() error {
	s.f.update(func() { s.f.closedStreams++ })
	return nil
}

// newTestKey returns a key for the password. Keys with the same salt argument
// have the same salt.
func newTestKey(t testing.TB, id model.KeyID, password, salt string) Key {
	t.Helper()
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		t.Fatal(err)
	}
	sum := sha256.Sum256([]byte(salt))
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(sum[:16]), Iters: 4096})
	if err != nil {
		t.Fatal(err)
	}
	return Key{ID: id, Verifier: Verifier{
		Salt: sum[:16], Iterations: 4096, StoredKey: stored.StoredKey, ServerKey: stored.ServerKey,
	}}
}

func startServer(t testing.TB, f *fakeBackend, configure func(*Options)) (*Server, string) {
	t.Helper()
	options := Options{Directory: f, Admitter: f, Executor: f}
	if configure != nil {
		configure(&options)
	}
	s := New(options)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.Shutdown(ctx)
	})
	return s, l.Addr().String()
}

// connect opens an authenticated connection. user may be followed by # and a
// key ID.
func connect(t testing.TB, address, user, job, password, extra string) (*pgconn.PgConn, error) {
	t.Helper()
	host, port, _ := strings.Cut(address, ":")
	config := "host=" + host + " port=" + port + " sslmode=disable user=" + user + " database=" + job + " password='" + password + "'"
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	conn, err := pgconn.Connect(ctx, config+" "+extra)
	if err == nil {
		t.Cleanup(func() { conn.Close(context.Background()) })
	}
	return conn, err
}

func mustConnect(t testing.TB, address, extra string) *pgconn.PgConn {
	t.Helper()
	conn, err := connect(t, address, "w", "open", "", extra)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

func execSQL(t testing.TB, conn *pgconn.PgConn, sql string) sqlstate.Code {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, err := conn.Exec(ctx, sql).ReadAll()
	return sqlStateOf(err)
}
