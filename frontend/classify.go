package frontend

import (
	"strings"

	"github.com/chervilhatch/chervilhatch/core/model"
)

const (
	// leadLen is how many tokens of a statement are kept for the rules.
	leadLen = 8
	// longestNoted is the length of the longest word that note looks for.
	longestNoted = len("TEMPORARY")
)

// statementInfo is what the proxy knows of the SQL of one message.
type statementInfo struct {
	// statements counts the statements.
	statements int
	// class is Read if the first words of all statements are those of reads.
	class model.Class
	// begin is true if a statement opens a transaction, and beginWrite if it
	// asks for read-write access.
	begin, beginWrite bool
	// ends is true for a lone COMMIT or ROLLBACK.
	ends bool
	// refusal tells why the SQL is not supported, "" if it is.
	refusal string
	// local is the proxy's own action, if the SQL is one such statement.
	local localAction
}

// scan collects one statement.
type scan struct {
	lead  [leadLen]token
	count int
	// previous is the last word in upper case, if it is one of noted.
	previous string
	refusal  string
	words    wordSet
}

// wordSet are words that matter anywhere in a statement.
type wordSet struct {
	only, write, hold, stdin, to, onCommitDrop, analyze, tempTarget bool
}

// analyze classifies the SQL of a Query or Parse message.
func analyze(sql string) statementInfo {
	info := statementInfo{class: model.Read}
	lex := lexer{text: sql}
	var current scan
	for {
		t := lex.next()
		switch t.kind {
		case tokenEnd, tokenSeparator:
			if current.count > 0 {
				info.add(&current)
			}
			current = scan{}
			if t.kind == tokenEnd {
				info.checkLocal()
				return info
			}
		default:
			current.take(t)
		}
	}
}

func (c *scan) take(t token) {
	if c.count < leadLen {
		c.lead[c.count] = t
	}
	c.count++
	if t.kind != tokenWord && t.kind != tokenQuoted {
		return
	}
	c.checkName(t.text)
	if t.kind == tokenWord {
		c.note(t.text)
	}
}

// noted has the words that note looks for and their predecessors. The lookup
// turns a word into upper case without an allocation.
var noted = map[string]string{
	"ONLY": "ONLY", "WRITE": "WRITE", "WITH": "WITH", "HOLD": "HOLD", "STDIN": "STDIN",
	"TO": "TO", "COMMIT": "COMMIT", "DROP": "DROP", "ANALYZE": "ANALYZE",
	"INTO": "INTO", "TEMP": "TEMP", "TEMPORARY": "TEMPORARY",
}

func upperCase(c byte) byte {
	if 'a' <= c && c <= 'z' {
		return c - ('a' - 'A')
	}
	return c
}

// note records a keyword.
func (c *scan) note(text string) {
	previous := c.previous
	c.previous = ""
	if len(text) > longestNoted {
		return
	}
	var upper [longestNoted]byte
	for i := range len(text) {
		upper[i] = upperCase(text[i])
	}
	word := noted[string(upper[:len(text)])]
	c.previous = word
	switch word {
	case "ONLY":
		c.words.only = true
	case "WRITE":
		c.words.write = true
	case "HOLD":
		c.words.hold = previous == "WITH"
	case "STDIN":
		c.words.stdin = true
	case "TO":
		c.words.to = true
	case "DROP":
		c.words.onCommitDrop = previous == "COMMIT"
	case "ANALYZE":
		c.words.analyze = true
	case "TEMP", "TEMPORARY":
		c.words.tempTarget = previous == "INTO"
	}
}

// word returns the i-th token in upper case if it is a word.
func (c *scan) word(i int) string {
	if i >= min(c.count, leadLen) || c.lead[i].kind != tokenWord {
		return ""
	}
	return strings.ToUpper(c.lead[i].text)
}

// add takes a complete statement into account.
func (info *statementInfo) add(c *scan) {
	info.statements++
	if !isRead(c) {
		info.class = model.Write
	}
	first := c.word(0)
	if first == "BEGIN" || first == "START" {
		info.begin = true
		info.beginWrite = info.beginWrite || c.words.write
	}
	info.ends = info.statements == 1 && endsTransaction(c)
	if info.refusal == "" {
		info.refusal = refusalOf(c)
	}
	action := localActionOf(c)
	if info.statements == 1 {
		info.local = action
	} else if action.kind != localNone || info.local.kind != localNone {
		info.refusal = "session state cannot be changed together with other statements"
	}
}

// checkLocal drops the refusal of a statement that the proxy answers itself.
func (info *statementInfo) checkLocal() {
	if info.statements == 1 && info.local.kind != localNone {
		info.refusal = ""
	}
}

// isRead reports whether the first words are those of a read. WITH and SELECT
// may still write; the upstream then refuses with 25006.
func isRead(c *scan) bool {
	switch c.word(0) {
	case "SELECT", "SHOW", "VALUES", "TABLE", "WITH", "FETCH", "MOVE", "DECLARE", "CLOSE":
		return true
	case "EXPLAIN":
		return !c.words.analyze
	case "BEGIN", "START":
		return c.words.only && !c.words.write
	case "":
		// A parenthesis may start a SELECT.
		return c.lead[0].text == "("
	}
	return false
}

// endsTransaction reports whether the statement is COMMIT or ROLLBACK, but not
// ROLLBACK TO a savepoint.
func endsTransaction(c *scan) bool {
	switch c.word(0) {
	case "COMMIT", "END", "ABORT":
		return true
	case "ROLLBACK":
		return !c.words.to
	}
	return false
}
