// Package frontend is the caller side of the proxy: a PostgreSQL version 3
// server that authenticates workspaces, classifies their batches and streams
// the answers of an executor.Executor.
//
// # Session state
//
// A session may get another upstream connection for each batch outside a
// transaction, so state that outlives a transaction is handled as follows.
//
//   - Prepared statements of the protocol are replayed on the connection that
//     needs them.
//   - SET and RESET of a few parameters (see settings.go) are answered by the
//     proxy if the value is the one in force anyway, or if the proxy can apply
//     it itself. All others are refused with 0A000. SET LOCAL, SET TRANSACTION
//     and SET CONSTRAINTS end with their transaction and are passed on.
//   - TEMP tables are refused, except with ON COMMIT DROP.
//   - LISTEN, session advisory locks, cursors WITH HOLD, SQL-level PREPARE,
//     set_config(), LOAD, COPY FROM STDIN, two-phase commit and function-call
//     messages are refused.
//   - DISCARD ALL, DEALLOCATE ALL and UNLISTEN are answered by the proxy.
//
// The check looks at the words of a statement outside strings and comments. It
// does not see what a function or a DO block executes.
//
// # Flush
//
// A Flush inside a transaction is sent upstream as a Sync whose ReadyForQuery
// is removed. Outside a transaction this is done for batches that only parse,
// describe or close statements; others are refused with 0A000, because an
// early Sync would commit them.
package frontend

import (
	"context"
	"crypto/tls"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/executor"
)

// ClassPolicy is what a job says about its requests.
type ClassPolicy uint8

// Declarations of a job.
const (
	// ByStatement classifies each batch by its statements.
	ByStatement ClassPolicy = iota
	// AlwaysWrite sends every batch to the primary.
	AlwaysWrite
	// AlwaysRead sends every batch to a replica first.
	AlwaysRead
)

// Verifier is a SCRAM-SHA-256 verifier.
type Verifier struct {
	Salt       []byte
	Iterations int
	StoredKey  []byte
	ServerKey  []byte
}

// Key is one valid key of a workspace.
type Key struct {
	ID       model.KeyID
	Verifier Verifier
}

// Access is what a workspace may do with a job.
type Access struct {
	// Open is true when the job asks for no key.
	Open bool
	// Keys are the workspace's valid keys, newest first.
	Keys     []Key
	Database model.Database
	Class    ClassPolicy
	// Idempotent is true when the job's requests may run more than once.
	Idempotent bool
	// MaxAge is the freshness bound of reads; 0 means that only the primary will do.
	MaxAge time.Duration
	// StatementTimeout bounds each batch.
	StatementTimeout time.Duration
}

// Directory tells what the configuration in force allows.
type Directory interface {
	// Lookup is called at login and before each batch outside a transaction.
	// With an error it still returns the workspace's keys, so that a caller
	// learns the reason only after it has authenticated. Errors are
	// *sqlstate.Error.
	Lookup(w model.Workspace, j model.Job) (Access, error)
}

// Admitter takes a workspace's rate tokens.
type Admitter interface {
	// Admit returns nil or a *sqlstate.Error. cost is the number of statements.
	Admit(ctx context.Context, w model.Workspace, cost int) error
}

// Limits bound what callers can use. A zero value takes the default.
type Limits struct {
	// MessageSize bounds one message and one batch, in bytes.
	MessageSize int
	// Sessions bounds the sessions of this VM.
	Sessions int
	// Logins bounds the logins under way.
	Logins int
	// LoginTimeout bounds a login from the accept on.
	LoginTimeout time.Duration
	// PreparedStatements bounds the named prepared statements of a session.
	PreparedStatements int
	// IdleReleaseDelay is how long a session is idle before its buffers and its
	// stream are released.
	IdleReleaseDelay time.Duration
	// BatchTimeout bounds how long a batch may be incomplete, and how long a
	// caller may be silent inside a transaction.
	BatchTimeout time.Duration
	// Memory bounds what all sessions together use for large messages and
	// batches, in bytes.
	Memory int
}

// Defaults of Limits.
const (
	defaultMessageSize        = 16 << 20
	defaultSessions           = 20_000
	defaultLogins             = 256
	defaultLoginTimeout       = 10 * time.Second
	defaultPreparedStatements = 1000
	defaultIdleReleaseDelay   = 2 * time.Second
	defaultBatchTimeout       = time.Minute
	defaultMemory             = 256 << 20
	// defaultStatementTimeout applies to jobs without one.
	defaultStatementTimeout = 30 * time.Second
)

// Options configures a Server.
type Options struct {
	Directory Directory
	Admitter  Admitter
	Executor  executor.Executor
	// TLS is nil when TLS is not offered.
	TLS        *tls.Config
	RequireTLS bool
	Limits     Limits
	// MockSecret makes the salts of unknown workspaces. It should be the same
	// on all VMs, since a salt that differs between VMs shows that the
	// workspace is unknown. Empty means a random one.
	MockSecret []byte
	// ServerVersion is reported to callers.
	ServerVersion string
	// Tracer is nil when spans are not recorded.
	Tracer trace.Tracer
}

func (o *Options) setDefaults() {
	l := &o.Limits
	setDefault(&l.MessageSize, defaultMessageSize)
	setDefault(&l.Sessions, defaultSessions)
	setDefault(&l.Logins, defaultLogins)
	setDefault(&l.LoginTimeout, defaultLoginTimeout)
	setDefault(&l.PreparedStatements, defaultPreparedStatements)
	setDefault(&l.IdleReleaseDelay, defaultIdleReleaseDelay)
	setDefault(&l.BatchTimeout, defaultBatchTimeout)
	setDefault(&l.Memory, defaultMemory)
	if o.ServerVersion == "" {
		o.ServerVersion = "16.0 (chervilhatch)"
	}
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
