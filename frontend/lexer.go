package frontend

import "strings"

// token is a lexical element of SQL, with its text.
type token struct {
	kind tokenKind
	text string
}

type tokenKind uint8

const (
	tokenEnd tokenKind = iota
	// tokenWord is a keyword or an unquoted identifier.
	tokenWord
	// tokenQuoted is an identifier in double quotes.
	tokenQuoted
	// tokenString is a string constant.
	tokenString
	tokenNumber
	// tokenSeparator is a semicolon.
	tokenSeparator
	// tokenOther is any other single character.
	tokenOther
)

// lexer splits SQL into tokens. It skips white space and comments. A string or
// a quoted identifier is one token, so that its content is not taken for
// keywords.
type lexer struct {
	text string
	pos  int
}

func (l *lexer) next() token {
	l.skipSpace()
	if l.pos >= len(l.text) {
		return token{}
	}
	c := l.text[l.pos]
	switch {
	case c == '\'':
		return token{kind: tokenString, text: l.quoted('\'', false)}
	case c == '"':
		return token{kind: tokenQuoted, text: l.quoted('"', false)}
	case c == '$':
		return l.dollar()
	case c == ';':
		l.pos++
		return token{kind: tokenSeparator}
	case isDigit(c):
		return token{kind: tokenNumber, text: l.takeWhile(isNumberPart)}
	case isWordStart(c):
		return l.word()
	}
	l.pos++
	return token{kind: tokenOther, text: l.text[l.pos-1 : l.pos]}
}

// word returns a word, or the string constant if the word is the prefix E of
// one.
func (l *lexer) word() token {
	word := l.takeWhile(isWordPart)
	if (word == "e" || word == "E") && l.pos < len(l.text) && l.text[l.pos] == '\'' {
		return token{kind: tokenString, text: l.quoted('\'', true)}
	}
	return token{kind: tokenWord, text: word}
}

func (l *lexer) takeWhile(part func(byte) bool) string {
	start := l.pos
	for l.pos < len(l.text) && part(l.text[l.pos]) {
		l.pos++
	}
	return l.text[start:l.pos]
}

// quoted returns the content of a string or quoted identifier. A doubled quote
// does not end it and is kept as it is.
func (l *lexer) quoted(quote byte, escapes bool) string {
	start := l.pos + 1
	l.pos++
	for l.pos < len(l.text) {
		c := l.text[l.pos]
		l.pos++
		if escapes && c == '\\' {
			l.pos++
			continue
		}
		if c != quote {
			continue
		}
		if l.pos < len(l.text) && l.text[l.pos] == quote {
			l.pos++
			continue
		}
		return l.text[start : l.pos-1]
	}
	l.pos = len(l.text)
	return l.text[min(start, len(l.text)):]
}

// dollar returns a dollar-quoted string, or the dollar sign of a parameter.
func (l *lexer) dollar() token {
	end := l.pos + 1
	for end < len(l.text) && isTagPart(l.text[end]) {
		end++
	}
	isTag := end < len(l.text) && l.text[end] == '$' && !isDigit(l.text[l.pos+1])
	if !isTag {
		l.pos++
		return token{kind: tokenOther, text: "$"}
	}
	tag := l.text[l.pos : end+1]
	body := l.text[end+1:]
	size := strings.Index(body, tag)
	if size < 0 {
		l.pos = len(l.text)
		return token{kind: tokenString, text: body}
	}
	l.pos = end + 1 + size + len(tag)
	return token{kind: tokenString, text: body[:size]}
}

func (l *lexer) skipSpace() {
	for l.pos < len(l.text) {
		rest := l.text[l.pos:]
		switch {
		case isSpace(rest[0]):
			l.pos++
		case strings.HasPrefix(rest, "--"):
			l.skipLine()
		case strings.HasPrefix(rest, "/*"):
			l.skipComment()
		default:
			return
		}
	}
}

func (l *lexer) skipLine() {
	end := strings.IndexAny(l.text[l.pos:], "\r\n")
	if end < 0 {
		l.pos = len(l.text)
		return
	}
	l.pos += end
}

// skipComment skips a block comment, which may contain others as in PostgreSQL.
func (l *lexer) skipComment() {
	depth := 0
	for l.pos < len(l.text) {
		rest := l.text[l.pos:]
		switch {
		case strings.HasPrefix(rest, "/*"):
			depth++
			l.pos += 2
		case strings.HasPrefix(rest, "*/"):
			depth--
			l.pos += 2
		default:
			l.pos++
		}
		if depth == 0 {
			return
		}
	}
}

func isSpace(c byte) bool {
	return c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' || c == '\v'
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isWordStart(c byte) bool {
	lower := c | 0x20
	return c == '_' || c >= 0x80 || (lower >= 'a' && lower <= 'z')
}

func isWordPart(c byte) bool { return isWordStart(c) || isDigit(c) || c == '$' }

func isTagPart(c byte) bool { return isWordStart(c) || isDigit(c) }

func isNumberPart(c byte) bool { return isDigit(c) || c == '.' }
