// Package upstream is a stand-in for a replicated database group that speaks
// the PostgreSQL protocol. Each Server is one upstream: real SQL over SQLite
// in memory, a log of committed write transactions, replication by pulling the
// log from the primary, and the control functions of
// docs/upstream-functions.md.
//
// Isolation is that of PostgreSQL's READ COMMITTED: each read sees the data
// that was committed when it started. Write transactions run one at a time;
// SELECT ... FOR UPDATE runs in a write transaction. Replicas apply the SQL text
// and arguments of a transaction again, so statements must be deterministic.
//
// While SQLite executes a read, commits and status calls block. To simulate
// long statements, tests therefore use Options.StatementDuration or pg_sleep,
// which only occupy a slot.
package upstream
