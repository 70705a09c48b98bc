// Package upstream is a stand-in for a replicated database group that speaks
// the PostgreSQL protocol. Each Server is one upstream: real SQL over SQLite
// in memory, a log of committed write transactions, replication by pulling the
// log from the primary, and the control functions of
// docs/upstream-functions.md.
//
// Isolation is that of PostgreSQL's READ COMMITTED: each read sees the
// committed data at its start. Write transactions run one at a time; SELECT ...
// FOR UPDATE counts as one. Entries are replayed as SQL text with their
// arguments, so statements must be deterministic.
//
// A read holds back commits and the status for as long as SQLite works on it.
// Long statements are therefore simulated by Options.StatementDuration or
// pg_sleep, which hold a slot only.
package upstream
