package holder_test

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"go.opentelemetry.io/otel/trace"

	"github.com/chervilhatch/chervilhatch/backend"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/executor"
	"github.com/chervilhatch/chervilhatch/frontend"
	"github.com/chervilhatch/chervilhatch/holder"
	"github.com/chervilhatch/chervilhatch/sqlstate"
)

const (
	testUpstream = model.UpstreamID("u1")
	testKey      = "caller-secret-key"
	testTimeout  = 10 * time.Second
)

// decider is a fake Decider that admits every batch.
type decider struct {
	primary  bool
	majority error
	floor    model.Position
	// staleTerm makes the term of assignments older than the upstream's.
	staleTerm bool

	mu        sync.Mutex
	slotsHeld int
	done      []holder.Outcome
	awaited   []model.Position
	// ended counts the calls of EndWrite, and endedEarly those that came before
	// AwaitMajority.
	ended      int
	endedEarly int
	keyErr     error
	// queueKeyErr replaces keyErr when Schedule is called.
	queueKeyErr error
}

func (d *decider) Schedule(_ context.Context, r *holder.Request) (holder.Assignment, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slotsHeld++
	d.keyErr = d.queueKeyErr
	floor := d.floor
	if r.HasFloor {
		floor = r.Floor
	}
	term := model.Term{Counter: 7, Proposer: "vm-a1"}
	if d.staleTerm {
		term.Counter--
	}
	return holder.Assignment{Primary: d.primary, Term: term, Floor: floor}, nil
}

var fakeHint = holder.Hint{Applied: model.Position{Pos: 99}, Primary: "primary", Term: model.Term{Counter: 7}}

func (d *decider) Done(_ holder.Assignment, outcome holder.Outcome) holder.Hint {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slotsHeld--
	d.done = append(d.done, outcome)
	return fakeHint
}

func (d *decider) EndWrite(holder.Assignment) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended++
	if len(d.awaited) < d.ended {
		d.endedEarly++
	}
}

func (d *decider) AwaitMajority(_ context.Context, _ model.Database, p model.Position) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.awaited = append(d.awaited, p)
	return d.majority
}

func (d *decider) Hint(model.Database, model.UpstreamID) holder.Hint {
	return fakeHint
}

func (d *decider) KeyValid(model.Workspace, model.KeyID, model.Job) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.keyErr
}

func (d *decider) slots() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.slotsHeld
}

// fixture is a scripted upstream with its pool, a holder and, after serve, a
// frontend.
type fixture struct {
	upstream *upstream
	decider  *decider
	pool     *backend.Pool
	holder   *holder.Holder
	keys     atomic.Pointer[[]frontend.Key]
	server   *frontend.Server
	address  string
	idleInTx time.Duration
	tracer   trace.Tracer
}

func newFixture(t *testing.T, primary bool) *fixture {
	t.Helper()
	b := &fixture{upstream: startUpstream(t), decider: &decider{primary: primary}}
	b.upstream.replica = !primary
	b.open(t, b.upstream.address)
	return b
}

// open creates the pool and the holder.
func (b *fixture) open(t *testing.T, address string) {
	t.Helper()
	credentials, err := backend.NewCredentials("proxy", upstreamPassword)
	if err != nil {
		t.Fatal(err)
	}
	b.pool = backend.NewPool(backend.PoolOptions{
		Config: backend.Config{Address: address, Database: "entries1", Credentials: credentials, MaxStatements: 4},
		Budget: 2,
	})
	pools := holder.NewPools()
	pools.Set(testUpstream, b.pool)
	t.Cleanup(func() { pools.Remove(testUpstream) })
	b.holder = holder.New(holder.Options{Decider: b.decider, Pools: pools, IdleInTransaction: b.idleInTx, Tracer: b.tracer})
}

func (b *fixture) stream(t *testing.T) executor.Stream {
	t.Helper()
	s, err := b.holder.Open(context.Background(), executor.Hello{Workspace: "w", Job: "j", Database: "entries1"}, testUpstream)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

// runQuery runs a query of the simple protocol and returns the types of the
// answer's messages.
func runQuery(t *testing.T, s executor.Stream, class model.Class, sql string) (types string, r executor.Result, err error) {
	t.Helper()
	return runMessages(t, s, &executor.Batch{Class: class, Messages: backend.AppendQuery(nil, sql)})
}

func runMessages(t *testing.T, s executor.Stream, b *executor.Batch) (types string, r executor.Result, err error) {
	t.Helper()
	var answer []byte
	b.Deadline = time.Now().Add(testTimeout)
	r, err = s.Run(context.Background(), b, func(messages []byte) error {
		answer = append(answer, messages...)
		return nil
	})
	return messageTypes(t, answer), r, err
}

// singleUpstream implements executor.Executor with the fixture's only upstream.
type singleUpstream struct{ b *fixture }

func (d singleUpstream) Open(ctx context.Context, h executor.Hello) (executor.Stream, error) {
	return d.b.holder.Open(ctx, h, testUpstream)
}

func (b *fixture) Lookup(w model.Workspace, _ model.Job) (frontend.Access, error) {
	access := frontend.Access{Database: "entries1", MaxAge: time.Second}
	if w == "w" {
		access.Keys = *b.keys.Load()
	}
	return access, nil
}

func (b *fixture) Admit(context.Context, model.Workspace, int) error { return nil }

// serve starts a frontend in front of the holder.
func (b *fixture) serve(t *testing.T) {
	t.Helper()
	stored := verifierOf(testKey)
	b.keys.Store(&[]frontend.Key{{ID: "k1", Verifier: frontend.Verifier{
		Salt: []byte(stored.Salt), Iterations: stored.Iters, StoredKey: stored.StoredKey, ServerKey: stored.ServerKey,
	}}})
	b.server = frontend.New(frontend.Options{Directory: b, Admitter: b, Executor: singleUpstream{b}, Tracer: b.tracer})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b.address = l.Addr().String()
	go func() { _ = b.server.Serve(l) }()
	t.Cleanup(func() {
		ctx, done := context.WithCancel(context.Background())
		done()
		_ = b.server.Shutdown(ctx)
	})
}

func (b *fixture) connect(t *testing.T, extra ...string) *pgconn.PgConn {
	t.Helper()
	host, port, _ := strings.Cut(b.address, ":")
	conn, err := pgconn.Connect(context.Background(),
		"host="+host+" port="+port+" user=w database=j sslmode=disable password="+testKey+" "+strings.Join(extra, " "))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}

func codeOf(err error) sqlstate.Code {
	if sqlErr, ok := err.(*sqlstate.Error); ok {
		return sqlErr.Code
	}
	if pg, ok := err.(*pgconn.PgError); ok {
		return sqlstate.Code(pg.Code)
	}
	return ""
}
