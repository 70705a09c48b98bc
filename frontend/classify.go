package frontend

import (
	"strings"

	"github.com/chervilhatch/chervilhatch/core/model"
)

const (
	// maxLeadTokens is how many tokens are kept of each statement for its
	// classification.
	maxLeadTokens = 8
	// maxKeywordLen is the length of the longest word in scannedKeywords.
	maxKeywordLen = len("TEMPORARY")
)

// statementInfo is the classification of the SQL of one message.
type statementInfo struct {
	// statements is the number of statements.
	statements int
	// class is Read if all statements start like reads.
	class model.Class
	// beginsTx is true if a statement opens a transaction, and beginsReadWrite
	// if one asks for read-write access.
	beginsTx, beginsReadWrite bool
	// endsTx is true for a single COMMIT or ROLLBACK.
	endsTx bool
	// refusal is why the SQL is not supported, "" if it is.
	refusal string
	// local is the proxy's action if the SQL is a single statement that the
	// proxy answers itself.
	local localAction
}

// statementScan collects the tokens of one statement.
type statementScan struct {
	leadTokens [maxLeadTokens]token
	tokenCount int
	// previousKeyword is the last word, in upper case, if it is in
	// scannedKeywords, and "" if not.
	previousKeyword string
	refusal         string
	keywords        keywordSet
}

// keywordSet has the keywords and pairs of keywords that matter at any place in
// a statement.
type keywordSet struct {
	only, write, hold, forSeen, stdin, to, onCommitDrop, analyze, intoTemp bool
}

// analyze classifies the SQL of a Query or Parse message.
func analyze(sql string) statementInfo {
	info := statementInfo{class: model.Read}
	lex := lexer{text: sql}
	var current statementScan
	for {
		t := lex.next()
		switch t.kind {
		case tokenEnd, tokenSeparator:
			if current.tokenCount > 0 {
				info.addStatement(&current)
			}
			current = statementScan{}
			if t.kind == tokenEnd {
				info.allowLocal()
				return info
			}
		default:
			current.addToken(t)
		}
	}
}

func (c *statementScan) addToken(t token) {
	if c.tokenCount < maxLeadTokens {
		c.leadTokens[c.tokenCount] = t
	}
	c.tokenCount++
	if t.kind != tokenWord && t.kind != tokenQuoted {
		return
	}
	c.checkName(t.text)
	if t.kind == tokenWord {
		c.scanKeyword(t.text)
	}
}

// scannedKeywords has the words that scanKeyword looks for, and those that
// precede them in pairs. Each word maps to itself: the lookup with a byte array
// as key gives a string in upper case without an allocation.
var scannedKeywords = map[string]string{
	"ONLY": "ONLY", "WRITE": "WRITE", "WITH": "WITH", "HOLD": "HOLD", "STDIN": "STDIN",
	"TO": "TO", "COMMIT": "COMMIT", "DROP": "DROP", "ANALYZE": "ANALYZE",
	"INTO": "INTO", "TEMP": "TEMP", "TEMPORARY": "TEMPORARY", "FOR": "FOR",
}

func upperASCII(c byte) byte {
	if 'a' <= c && c <= 'z' {
		return c - ('a' - 'A')
	}
	return c
}

// scanKeyword records a word that is in scannedKeywords.
func (c *statementScan) scanKeyword(text string) {
	previousKeyword := c.previousKeyword
	c.previousKeyword = ""
	if len(text) > maxKeywordLen {
		return
	}
	var upper [maxKeywordLen]byte
	for i := range len(text) {
		upper[i] = upperASCII(text[i])
	}
	word := scannedKeywords[string(upper[:len(text)])]
	c.previousKeyword = word
	switch word {
	case "ONLY":
		c.keywords.only = true
	case "WRITE":
		c.keywords.write = true
	case "FOR":
		c.keywords.forSeen = true
	case "HOLD":
		// The options of a cursor precede FOR, its query follows it.
		c.keywords.hold = c.keywords.hold || previousKeyword == "WITH" && !c.keywords.forSeen
	case "STDIN":
		c.keywords.stdin = true
	case "TO":
		c.keywords.to = true
	case "DROP":
		c.keywords.onCommitDrop = previousKeyword == "COMMIT"
	case "ANALYZE":
		c.keywords.analyze = true
	case "TEMP", "TEMPORARY":
		c.keywords.intoTemp = c.keywords.intoTemp || previousKeyword == "INTO"
	}
}

// word returns the i-th token in upper case, "" if it is not a word or was not
// kept.
func (c *statementScan) word(i int) string {
	if i >= min(c.tokenCount, maxLeadTokens) || c.leadTokens[i].kind != tokenWord {
		return ""
	}
	return strings.ToUpper(c.leadTokens[i].text)
}

// addStatement adds the classification of a complete statement.
func (info *statementInfo) addStatement(c *statementScan) {
	info.statements++
	if !isRead(c) {
		info.class = model.Write
	}
	first := c.word(0)
	if first == "BEGIN" || first == "START" {
		info.beginsTx = true
		info.beginsReadWrite = info.beginsReadWrite || c.keywords.write
	}
	info.endsTx = info.statements == 1 && endsTransaction(c)
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

// allowLocal removes the refusal of a single statement that the proxy answers
// itself.
func (info *statementInfo) allowLocal() {
	if info.statements == 1 && info.local.kind != localNone {
		info.refusal = ""
	}
}

// isRead reports whether a statement starts like a read. One that starts with
// WITH or SELECT may still write; the upstream then refuses it with SQLSTATE
// 25006.
func isRead(c *statementScan) bool {
	switch c.word(0) {
	case "SELECT", "SHOW", "VALUES", "TABLE", "WITH", "FETCH", "MOVE", "DECLARE", "CLOSE":
		return true
	case "EXPLAIN":
		return !c.keywords.analyze
	case "BEGIN", "START":
		return c.keywords.only && !c.keywords.write
	case "":
		// A parenthesis may start a SELECT.
		return c.leadTokens[0].text == "("
	}
	return false
}

// endsTransaction reports whether the statement is COMMIT or ROLLBACK, but not
// ROLLBACK TO a savepoint.
func endsTransaction(c *statementScan) bool {
	switch c.word(0) {
	case "COMMIT", "END", "ABORT":
		return true
	case "ROLLBACK":
		return !c.keywords.to
	}
	return false
}
