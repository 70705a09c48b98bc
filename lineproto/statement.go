package lineproto

import "strings"

// Code is the error code in the first field of an Error message.
type Code string

// Codes which guarantee that the failed request or transaction has no effect.
const (
	Busy      Code = "BUSY"
	Aborted   Code = "ABORTED"
	Lagging   Code = "LAGGING"
	ReadOnly  Code = "READONLY"
	Misrouted Code = "MISROUTED"
	TooMany   Code = "TOOMANY"
)

// Codes that leave open whether the statement took effect.
const (
	InDoubt Code = "INDOUBT"
	Timeout Code = "TIMEOUT"
	Failed  Code = "FAILED"
)

// Codes of requests that are invalid or not permitted.
const (
	NoStatement Code = "NOSTMT"
	NoAuth      Code = "NOAUTH"
	NoDatabase  Code = "NODB"
	TooLarge    Code = "TOOLARGE"
	Malformed   Code = "MALFORMED"
)

// NotRun reports whether an upstream's answer with code c guarantees that the
// upstream has not run the statement.
func (c Code) NotRun() bool {
	switch c {
	case Busy, NoStatement, Lagging, ReadOnly:
		return true
	}
	return false
}

// Verb is the kind of statement.
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

// Statement is a decoded statement.
type Statement struct {
	Verb Verb
	// Name is the name of a session value (SET) or of a prepared statement.
	Name string
	// Value is the session value of SET, the arguments of EXECUTE, or the operand
	// of READ and WRITE.
	Value string
	// Write is true if PREPARE names a statement that changes data. Shape
	// identifies that statement; the proxy passes it on unchanged.
	Write bool
	Shape string
}

// ParseStatement decodes a statement. The Verb of a text that is not a valid
// statement is VerbUnknown.
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

// withoutFields returns the statement v, which must not have fields.
func withoutFields(v Verb, rest string) Statement {
	if rest != "" {
		return Statement{}
	}
	return Statement{Verb: v}
}

// withItem returns the statement v, which must have fields.
func withItem(v Verb, rest string) Statement {
	if rest == "" {
		return Statement{}
	}
	return Statement{Verb: v, Value: rest}
}

// requireName returns s if its name is valid, an unknown statement otherwise.
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
