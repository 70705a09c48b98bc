package lineproto

import "strings"

// Code is the first field of an Error message.
type Code string

// Codes that promise that nothing of the caller's attempt is kept.
const (
	Busy      Code = "BUSY"
	Aborted   Code = "ABORTED"
	Lagging   Code = "LAGGING"
	ReadOnly  Code = "READONLY"
	Misrouted Code = "MISROUTED"
	TooMany   Code = "TOOMANY"
)

// Codes that promise nothing about what was run.
const (
	InDoubt Code = "INDOUBT"
	Timeout Code = "TIMEOUT"
	Failed  Code = "FAILED"
)

// Codes of requests that cannot be run at all.
const (
	NoStatement Code = "NOSTMT"
	NoAuth      Code = "NOAUTH"
	NoDatabase  Code = "NODB"
	TooLarge    Code = "TOOLARGE"
	Malformed   Code = "MALFORMED"
)

// NotRun reports whether an upstream that answers with c has certainly not run
// the statement.
func (c Code) NotRun() bool {
	switch c {
	case Busy, NoStatement, Lagging, ReadOnly:
		return true
	}
	return false
}

// Verb is the kind of a statement.
type Verb uint8

// Kinds of statements.
const (
	VerbUnknown Verb = iota
	VerbBegin
	VerbBeginRead
	VerbCommit
	VerbRollback
	VerbRead
	VerbWrite
	VerbSet
	VerbPrepare
	VerbExecute
	VerbDeallocate
)

// Statement is a decoded statement text.
type Statement struct {
	Verb Verb
	// Name is that of a session value or of a prepared statement.
	Name string
	// Value is a session value, or the arguments of an execution.
	Value string
	// Write tells whether a prepared statement changes data, and Shape which
	// statement it is.
	Write bool
	Shape string
}

// ParseStatement decodes a statement text; Verb is VerbUnknown when the text is
// not a statement.
func ParseStatement(text string) Statement {
	word, rest := Cut(text)
	switch word {
	case "BEGIN":
		return parseBegin(rest)
	case "COMMIT":
		return withoutFields(VerbCommit, rest)
	case "ROLLBACK":
		return withoutFields(VerbRollback, rest)
	case "READ":
		return withItem(VerbRead, rest)
	case "WRITE":
		return withItem(VerbWrite, rest)
	case "SET":
		name, value := Cut(rest)
		return requireName(Statement{Verb: VerbSet, Name: name, Value: value})
	case "PREPARE":
		return parsePrepare(rest)
	case "EXECUTE":
		name, arguments := Cut(rest)
		return requireName(Statement{Verb: VerbExecute, Name: name, Value: arguments})
	case "DEALLOCATE":
		return requireName(Statement{Verb: VerbDeallocate, Name: rest})
	}
	return Statement{}
}

func parseBegin(rest string) Statement {
	if rest == "READ" {
		return Statement{Verb: VerbBeginRead}
	}
	return withoutFields(VerbBegin, rest)
}

// withoutFields returns a statement that has no fields.
func withoutFields(v Verb, rest string) Statement {
	if rest != "" {
		return Statement{}
	}
	return Statement{Verb: v}
}

func withItem(v Verb, rest string) Statement {
	if rest == "" {
		return Statement{}
	}
	return Statement{Verb: v, Value: rest}
}

func requireName(s Statement) Statement {
	if s.Name == "" || strings.ContainsRune(s.Name, ' ') {
		return Statement{}
	}
	return s
}

func parsePrepare(rest string) Statement {
	name, rest := Cut(rest)
	kind, shape := Cut(rest)
	if shape == "" || (kind != "READ" && kind != "WRITE") {
		return Statement{}
	}
	return requireName(Statement{Verb: VerbPrepare, Name: name, Write: kind == "WRITE", Shape: shape})
}
