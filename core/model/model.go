// Package model defines the identifiers, terms and log positions that all packages
// share.
package model

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// VMID identifies a VM of the proxy. It is unique across zones.
type VMID string

// Zone names an availability zone.
type Zone string

// Workspace names a customer's workspace.
type Workspace string

// Job names a job of the configuration; see config.Job.
type Job string

// Database names a replicated database group.
type Database string

// UpstreamID identifies one server of a database group. It is unique across groups.
type UpstreamID string

// KeyID identifies a key of a workspace. It is not secret.
type KeyID string

// Time is a reading of the VM's monotonic clock in nanoseconds. Times of different
// VMs are not comparable.
type Time int64

// Add returns t+d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration t-u.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Class states whether a request may modify data.
type Class uint8

// Classes of requests.
const (
	// Write must run on the primary.
	Write Class = iota
	// Read may run on a replica.
	Read
)

// String returns "read" or "write".
func (c Class) String() string {
	if c == Read {
		return "read"
	}
	return "write"
}

// Term identifies a period in which a database group has at most one primary.
// Terms are ordered by Counter, then by Proposer. A term contains its proposer, so
// two proposers never use the same term. The zero Term is below all others.
type Term struct {
	Counter  uint64
	Proposer string
}

// Compare returns -1 if t is below u, 0 if they are equal, and 1 if t is above u.
func (t Term) Compare(u Term) int {
	if t.Counter != u.Counter {
		if t.Counter < u.Counter {
			return -1
		}
		return 1
	}
	return strings.Compare(t.Proposer, u.Proposer)
}

// Less reports whether t is below u.
func (t Term) Less(u Term) bool { return t.Compare(u) < 0 }

// Next returns the term of proposer with the counter after t's. It is above t.
func (t Term) Next(proposer string) Term {
	return Term{Counter: t.Counter + 1, Proposer: proposer}
}

// String returns "counter.proposer", for example "7.vm-a1".
func (t Term) String() string {
	return strconv.FormatUint(t.Counter, 10) + "." + t.Proposer
}

// ErrSyntax is returned for a term or position that cannot be parsed.
var ErrSyntax = errors.New("malformed term or position")

// ParseTerm parses a term in the form of Term.String.
func ParseTerm(s string) (Term, error) {
	counter, proposer, found := strings.Cut(s, ".")
	if !found {
		return Term{}, fmt.Errorf("%w: %q", ErrSyntax, s)
	}
	n, err := strconv.ParseUint(counter, 10, 64)
	if err != nil {
		return Term{}, fmt.Errorf("%w: %q", ErrSyntax, s)
	}
	return Term{Counter: n, Proposer: proposer}, nil
}

// LogPos is a position in a database's log: the number of entries up to and
// including the entry at that position.
type LogPos uint64

// Position is a log position with the term in which it was observed.
type Position struct {
	Term Term
	Pos  LogPos
}

// Compare orders positions by term, then by log position.
func (p Position) Compare(q Position) int {
	if c := p.Term.Compare(q.Term); c != 0 {
		return c
	}
	switch {
	case p.Pos < q.Pos:
		return -1
	case p.Pos > q.Pos:
		return 1
	}
	return 0
}

// Max returns the higher of p and q.
func (p Position) Max(q Position) Position {
	if p.Compare(q) < 0 {
		return q
	}
	return p
}

// IsZero reports whether p is the zero position.
func (p Position) IsZero() bool { return p == Position{} }

// SessionPosition is the position in one database up to which a session has
// written or read.
type SessionPosition struct {
	Database Database
	Position
}

// String returns "database/term/pos", for example "entries1/7.vm-a1/1234".
func (s SessionPosition) String() string {
	return string(s.Database) + "/" + s.Term.String() + "/" + strconv.FormatUint(uint64(s.Pos), 10)
}

// ParseSessionPosition parses a position in the form of SessionPosition.String.
func ParseSessionPosition(text string) (SessionPosition, error) {
	parts := strings.Split(text, "/")
	if len(parts) != 3 {
		return SessionPosition{}, fmt.Errorf("%w: %q", ErrSyntax, text)
	}
	term, err := ParseTerm(parts[1])
	if err != nil {
		return SessionPosition{}, err
	}
	pos, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return SessionPosition{}, fmt.Errorf("%w: %q", ErrSyntax, text)
	}
	return SessionPosition{
		Database: Database(parts[0]),
		Position: Position{Term: term, Pos: LogPos(pos)},
	}, nil
}
