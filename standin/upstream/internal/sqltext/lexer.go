// Package sqltext splits SQL text into statements, classifies them, and guesses
// the types of their parameters and columns. It works on tokens and keywords and
// does not parse expressions.
package sqltext

import (
	"strconv"
	"strings"
)

// Kind is the kind of a token.
type Kind uint8

// Kinds of a token.
const (
	// Word is a keyword or an unquoted name.
	Word Kind = iota
	// QuotedName is a name in double quotes.
	QuotedName
	// String is a string literal.
	String
	// Number is a numeric literal.
	Number
	// Param is a parameter such as $1.
	Param
	// Symbol is an operator or a punctuation mark.
	Symbol
)

// Token is one token of a statement.
type Token struct {
	Kind Kind
	// Text is the token as written; a Word is converted to lower case.
	Text string
	// Start and End are the byte offsets of the token in the SQL text.
	Start, End int
}

// Is reports whether t is one of the given words or symbols.
func (t Token) Is(texts ...string) bool {
	if t.Kind != Word && t.Kind != Symbol {
		return false
	}
	for _, text := range texts {
		if t.Text == text {
			return true
		}
	}
	return false
}

// IsName reports whether t may name a column or a table.
func (t Token) IsName() bool { return t.Kind == Word || t.Kind == QuotedName }

// Name returns the name without the quotes of a QuotedName.
func (t Token) Name() string {
	if t.Kind == QuotedName {
		return strings.ReplaceAll(strings.Trim(t.Text, `"`), `""`, `"`)
	}
	return t.Text
}

// Unquote returns the value of a String, or the text of any other token.
func (t Token) Unquote() string {
	if t.Kind != String {
		return t.Text
	}
	return strings.ReplaceAll(t.Text[1:len(t.Text)-1], "''", "'")
}

// ParamNumber returns the number n of a parameter $n, or 0 if it is invalid.
func (t Token) ParamNumber() int {
	n, err := strconv.Atoi(t.Text[1:])
	if err != nil {
		return 0
	}
	return n
}

// twoByteSymbols are the two-byte operators that are recognized. Any other
// operator is split into single bytes.
var twoByteSymbols = []string{"::", "<=", ">=", "<>", "!=", "||"}

// Tokens returns the tokens of sql, without white space and comments.
func Tokens(sql string) []Token {
	var tokens []Token
	for pos := 0; pos < len(sql); {
		if n := blankLength(sql[pos:]); n > 0 {
			pos += n
			continue
		}
		kind, n := nextToken(sql[pos:])
		text := sql[pos : pos+n]
		if kind == Word {
			text = strings.ToLower(text)
		}
		tokens = append(tokens, Token{Kind: kind, Text: text, Start: pos, End: pos + n})
		pos += n
	}
	return tokens
}

// blankLength returns the length of the white space or comment at the start of
// s, or 0 if there is none.
func blankLength(s string) int {
	switch {
	case strings.ContainsRune(" \t\r\n\f", rune(s[0])):
		return 1
	case strings.HasPrefix(s, "--"):
		if end := strings.IndexByte(s, '\n'); end >= 0 {
			return end + 1
		}
		return len(s)
	case strings.HasPrefix(s, "/*"):
		if end := strings.Index(s[2:], "*/"); end >= 0 {
			return end + 4
		}
		return len(s)
	}
	return 0
}

// nextToken returns the kind and length of the token at the start of s.
func nextToken(s string) (Kind, int) {
	c := s[0]
	switch {
	case c == '\'':
		return String, quotedLength(s, '\'')
	case c == '"':
		return QuotedName, quotedLength(s, '"')
	case c == '$' && len(s) > 1 && isDigit(s[1]):
		return Param, 1 + spanLength(s[1:], isDigit)
	case isDigit(c):
		return Number, numberLength(s)
	case isWordByte(c):
		return Word, spanLength(s, isWordByte)
	}
	for _, symbol := range twoByteSymbols {
		if strings.HasPrefix(s, symbol) {
			return Symbol, len(symbol)
		}
	}
	return Symbol, 1
}

// quotedLength returns the length of the quoted token at the start of s. A
// doubled quote does not end the token, and an unterminated token extends to the
// end of s.
func quotedLength(s string, quote byte) int {
	for i := 1; i < len(s); i++ {
		if s[i] != quote {
			continue
		}
		if i+1 < len(s) && s[i+1] == quote {
			i++
			continue
		}
		return i + 1
	}
	return len(s)
}

func numberLength(s string) int {
	return spanLength(s, func(c byte) bool {
		return isDigit(c) || c == '.' || c == 'e' || c == 'E'
	})
}

// spanLength returns the number of leading bytes of s for which in is true.
func spanLength(s string, in func(byte) bool) int {
	n := 0
	for n < len(s) && in(s[n]) {
		n++
	}
	return n
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isWordByte(c byte) bool {
	return c == '_' || isDigit(c) || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}
