// Package upstream is a stand-in for a replicated database group that speaks
// the PostgreSQL protocol.
package upstream
