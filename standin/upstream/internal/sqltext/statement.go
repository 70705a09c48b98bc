package sqltext

import (
	"strings"
)

// Class determines how a statement is executed.
type Class uint8

// Classes of a statement.
const (
	// Empty has no tokens.
	Empty Class = iota
	// Read runs on the published data.
	Read
	// Write runs in a write transaction. Statements with an unknown keyword have
	// this class too.
	Write
	// Begin starts a transaction block.
	Begin
	// Commit ends a transaction block.
	Commit
	// Rollback rolls back a transaction block.
	Rollback
	// Savepoint is SAVEPOINT or RELEASE.
	Savepoint
	// RollbackTo is ROLLBACK TO a savepoint.
	RollbackTo
	// Set is SET or RESET.
	Set
	// Show is SHOW.
	Show
	// Deallocate drops prepared statements.
	Deallocate
	// NoOp succeeds without any effect.
	NoOp
	// Function is a SELECT that calls a control function or pg_sleep.
	Function
	// Unsupported fails.
	Unsupported
)

// Statement is one SQL statement.
type Statement struct {
	// SQL is the text for SQLite: the original text without casts and the locking
	// clause, and with serial types replaced by INTEGER.
	SQL    string
	Tokens []Token
	Class  Class
	// Locking is true for SELECT ... FOR UPDATE or FOR SHARE. The class is then
	// Write, although the statement changes nothing.
	Locking bool
	// Casts has the type names of the parameters with a cast, such as $1::int8, by
	// parameter number.
	Casts map[int]string
}

// Split returns the statements of sql, or one Empty statement if there are none.
func Split(sql string) []*Statement {
	var statements []*Statement
	start := 0
	tokens := Tokens(sql)
	for i := 0; i <= len(tokens); i++ {
		if i < len(tokens) && !tokens[i].Is(";") {
			continue
		}
		if i > start {
			statements = append(statements, newStatement(sql, tokens[start:i]))
		}
		start = i + 1
	}
	if len(statements) == 0 {
		statements = append(statements, &Statement{Class: Empty})
	}
	return statements
}

func newStatement(sql string, tokens []Token) *Statement {
	s := &Statement{Casts: make(map[int]string)}
	if i := lockingClause(tokens); i > 0 {
		s.Locking = true
		tokens = tokens[:i]
	}
	var text strings.Builder
	pos := tokens[0].Start
	for i := 0; i < len(tokens); i++ {
		t := tokens[i]
		if n := castLength(tokens[i:]); n > 0 {
			text.WriteString(sql[pos:t.Start])
			if i > 0 && tokens[i-1].Kind == Param {
				s.Casts[tokens[i-1].ParamNumber()] = tokens[i+1].Name()
			}
			i += n - 1
			pos = tokens[i].End
			continue
		}
		if t.Is("bigserial", "serial") {
			text.WriteString(sql[pos:t.Start])
			text.WriteString("INTEGER")
			pos = t.End
		}
		s.Tokens = append(s.Tokens, t)
	}
	text.WriteString(sql[pos:tokens[len(tokens)-1].End])
	s.SQL = text.String()
	s.Class = classify(s.Tokens)
	if s.Locking {
		s.Class = Write
	}
	return s
}

// lockingClause returns the index of FOR UPDATE or FOR SHARE outside of
// parentheses, or 0 if there is none.
func lockingClause(tokens []Token) int {
	if !tokens[0].Is("select", "with") {
		return 0
	}
	depth := 0
	for i := 0; i+1 < len(tokens); i++ {
		switch {
		case tokens[i].Is("("):
			depth++
		case tokens[i].Is(")"):
			depth--
		case depth == 0 && tokens[i].Is("for") && tokens[i+1].Is("update", "share", "no", "key"):
			return i
		}
	}
	return 0
}

// castLength returns the number of tokens of a cast such as ::varchar(10) at
// the start of tokens, or 0 if there is none.
func castLength(tokens []Token) int {
	if len(tokens) < 2 || !tokens[0].Is("::") {
		return 0
	}
	n := 2
	if len(tokens) > n && tokens[1].Is("double") && tokens[n].Is("precision") {
		n++
	}
	if len(tokens) > n+2 && tokens[n].Is("(") && tokens[n+2].Is(")") {
		n += 3
	}
	return n
}

// classes maps the first keyword of a statement to its class.
var classes = map[string]Class{
	"select": Read, "values": Read, "explain": Read, "table": Read,
	"begin": Begin, "start": Begin,
	"commit": Commit, "end": Commit,
	"rollback": Rollback, "abort": Rollback,
	"savepoint": Savepoint, "release": Savepoint,
	"set": Set, "reset": Set,
	"show":       Show,
	"deallocate": Deallocate, "discard": Deallocate,
	"listen": NoOp, "unlisten": NoOp, "notify": NoOp, "lock": NoOp,
	"pragma": Unsupported, "attach": Unsupported, "detach": Unsupported, "vacuum": Unsupported,
	"copy": Unsupported, "prepare": Unsupported, "execute": Unsupported, "declare": Unsupported,
	"fetch": Unsupported,
}

func classify(tokens []Token) Class {
	first := tokens[0]
	if first.Is("with") {
		return classifyWith(tokens)
	}
	class, known := classes[first.Text]
	switch {
	case !known || first.Kind != Word:
		return Write
	case class == Rollback && contains(tokens, "to"):
		return RollbackTo
	case class == Read && functionName(tokens) != "":
		return Function
	}
	return class
}

// classifyWith returns Write if a WITH statement has a keyword that changes data,
// and Read otherwise.
func classifyWith(tokens []Token) Class {
	for _, t := range tokens {
		if t.Is(dataChangingKeywords...) {
			return Write
		}
	}
	return Read
}

// dataChangingKeywords are the keywords, other than SELECT, that may follow common
// table expressions.
var dataChangingKeywords = []string{"insert", "update", "delete"}

func contains(tokens []Token, word string) bool {
	for _, t := range tokens {
		if t.Is(word) {
			return true
		}
	}
	return false
}

// functionName returns the name of the function f if the statement is
// SELECT f(...) or SELECT * FROM f(...) and f is a control function or pg_sleep.
// Otherwise it returns "".
func functionName(tokens []Token) string {
	i := functionIndex(tokens)
	if i < 0 {
		return ""
	}
	return tokens[i].Text
}

// functionIndex returns the index of the name that functionName returns, or -1.
func functionIndex(tokens []Token) int {
	i := 1
	if len(tokens) > 3 && tokens[1].Is("*") && tokens[2].Is("from") {
		i = 3
	}
	if i+2 >= len(tokens) || !tokens[i+1].Is("(") || tokens[i].Kind != Word {
		return -1
	}
	if strings.HasPrefix(tokens[i].Text, "chervilhatch_") || tokens[i].Text == "pg_sleep" {
		return i
	}
	return -1
}

// Call returns the function of a Function statement and its arguments.
func (s *Statement) Call() (name string, arguments []Token) {
	i := functionIndex(s.Tokens)
	for _, t := range s.Tokens[i+2:] {
		if t.Is(")") {
			break
		}
		if !t.Is(",") {
			arguments = append(arguments, t)
		}
	}
	return s.Tokens[i].Text, arguments
}

// Has reports whether the statement has the word as an unquoted token.
func (s *Statement) Has(word string) bool { return contains(s.Tokens, word) }

// ReadOnly reports whether a Begin or Set statement has READ ONLY.
func (s *Statement) ReadOnly() bool {
	for i := 1; i < len(s.Tokens); i++ {
		if s.Tokens[i].Is("only") && s.Tokens[i-1].Is("read") {
			return true
		}
	}
	return false
}

// ParamCount returns the highest parameter number, or 0 without parameters.
func (s *Statement) ParamCount() int {
	count := 0
	for _, t := range s.Tokens {
		if t.Kind == Param {
			count = max(count, t.ParamNumber())
		}
	}
	return count
}

// Tag returns the command tag without its row count. counted reports whether the
// tag has a row count.
func (s *Statement) Tag() (tag string, counted bool) {
	first := s.command()
	switch first {
	case "select", "values", "table":
		return "SELECT", true
	case "insert", "replace":
		return "INSERT 0", true
	case "update", "delete":
		return strings.ToUpper(first), true
	case "create", "drop", "alter":
		return s.definitionTag(), false
	case "start":
		return "BEGIN", false
	case "end":
		return "COMMIT", false
	case "abort":
		return "ROLLBACK", false
	}
	return strings.ToUpper(first), false
}

// command returns the keyword that names the statement. For WITH, this is the
// keyword after the common table expressions.
func (s *Statement) command() string {
	first := s.Tokens[0]
	if !first.Is("with") {
		return first.Text
	}
	for _, t := range s.Tokens {
		if t.Is(dataChangingKeywords...) {
			return t.Text
		}
	}
	return "select"
}

// definitionTag returns the command tag of CREATE, ALTER or DROP, such as CREATE
// TABLE.
func (s *Statement) definitionTag() string {
	for _, t := range s.Tokens[1:] {
		if t.Is("table", "index", "view", "trigger") {
			return strings.ToUpper(s.Tokens[0].Text + " " + t.Text)
		}
	}
	return strings.ToUpper(s.Tokens[0].Text)
}

// After returns the part of SQL that follows the last occurrence of the word, or
// "".
func (s *Statement) After(word string) string {
	tokens := Tokens(s.SQL)
	for i := len(tokens) - 1; i >= 0; i-- {
		if tokens[i].Is(word) {
			return s.SQL[tokens[i].End:]
		}
	}
	return ""
}
