// Package frontend is the caller side of the proxy: a server for version 3 of
// the PostgreSQL protocol. It authenticates workspaces, classifies their
// batches and streams the responses of an executor.Executor to the callers.
//
// # Session state
//
// A session may use a different upstream connection for each batch outside a
// transaction, so state that outlives a transaction is handled as follows.
//
//   - Protocol-level prepared statements are prepared again on each connection
//     that needs them.
//   - SET and RESET of a few parameters (see settings.go) are answered by the
//     proxy if the value is in force on every connection, or if the proxy can
//     apply it itself. All others are refused with 0A000. SET LOCAL, SET
//     TRANSACTION and SET CONSTRAINTS last until the end of their transaction
//     and are sent to the upstream.
//   - Temporary tables are refused, except with ON COMMIT DROP.
//   - LISTEN, session-level advisory locks, cursors WITH HOLD, SQL-level
//     PREPARE, set_config(), LOAD, COPY FROM STDIN, two-phase commit and
//     function-call messages are refused.
//   - DISCARD ALL, DEALLOCATE ALL and UNLISTEN are answered by the proxy.
//
// These checks look at the words of a statement outside strings and comments.
// They do not see what a function or a DO block executes.
//
// # Flush
//
// A Flush inside a transaction is sent to the upstream as a Sync, and the
// ReadyForQuery of its response is removed. Outside a transaction this is done
// only for batches that parse, describe or close statements; other batches are
// refused with 0A000, because the early Sync would commit them.
package frontend

import (
	"context"
	"crypto/tls"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/executor"
)

// ClassPolicy selects how the batches of a job are classified.
type ClassPolicy uint8

// Class policies.
const (
	// ByStatement classifies each batch by its statements.
	ByStatement ClassPolicy = iota
	// AlwaysWrite treats every batch as a write, which the primary executes.
	AlwaysWrite
	// AlwaysRead treats every batch as a read, for which replicas are tried
	// first, except one with BEGIN READ WRITE.
	AlwaysRead
)

// Verifier is a SCRAM-SHA-256 verifier.
type Verifier struct {
	Salt       []byte
	Iterations int
	StoredKey  []byte
	ServerKey  []byte
}

// Key is a valid key of a workspace.
type Key struct {
	ID       model.KeyID
	Verifier Verifier
}

// Access is what the configuration allows a workspace with a job.
type Access struct {
	// Open is true if the job requires no key.
	Open bool
	// Keys are the workspace's valid keys, newest first.
	Keys     []Key
	Database model.Database
	Class    ClassPolicy
	// Idempotent is true if the job's requests may be executed more than once.
	Idempotent bool
	// MaxAge is the freshness bound of reads. With 0, only the primary serves
	// them.
	MaxAge time.Duration
	// StatementTimeout bounds each batch.
	StatementTimeout time.Duration
}

// Directory looks up access in the configuration in force.
type Directory interface {
	// Lookup is called at login and before each batch outside a transaction.
	// Together with an error it still returns the workspace's keys, so that a
	// caller gets the error only after it has authenticated. Errors are
	// *sqlstate.Error.
	Lookup(w model.Workspace, j model.Job) (Access, error)
}

// Admitter admits batches by the rate limit of their workspace.
type Admitter interface {
	// Admit takes cost rate tokens, where cost is the number of statements, and
	// may wait for them. It returns nil or a *sqlstate.Error.
	Admit(ctx context.Context, w model.Workspace, cost int) error
}

// Limits bound the resources that callers can use. A zero field gets the
// default.
type Limits struct {
	// MessageSize is the largest message, batch, and total of a session's
	// prepared statements, in bytes.
	MessageSize int
	// Sessions is the largest number of sessions of this VM.
	Sessions int
	// Logins is the largest number of concurrent logins.
	Logins int
	// LoginTimeout bounds a login, from when its connection is accepted.
	LoginTimeout time.Duration
	// PreparedStatements is the largest number of prepared statements of a
	// session.
	PreparedStatements int
	// IdleReleaseDelay is how long a session has to be idle before its buffers
	// and its stream are released.
	IdleReleaseDelay time.Duration
	// BatchTimeout bounds how long a batch may be incomplete, and how long a
	// caller may send nothing inside a transaction.
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

// Options configure a Server.
type Options struct {
	Directory Directory
	Admitter  Admitter
	Executor  executor.Executor
	// TLS is nil if TLS is not offered.
	TLS        *tls.Config
	RequireTLS bool
	Limits     Limits
	// MockSecret is the key from which the salts of unknown workspaces are
	// derived. It should be the same on all VMs, since a salt that differs
	// between VMs shows that the workspace is unknown. If it is empty, New
	// creates a random one.
	MockSecret []byte
	// ServerVersion is reported to callers as server_version.
	ServerVersion string
	// Tracer is nil if spans are not recorded.
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
