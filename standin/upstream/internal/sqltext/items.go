package sqltext

import "strings"

// functionTypes has the result types of SQLite functions, and of some keywords
// that start a boolean expression.
var functionTypes = map[string]Type{
	"count": Integer, "length": Integer, "instr": Integer, "random": Integer,
	"changes": Integer, "row_number": Integer, "rank": Integer, "unixepoch": Integer,
	"avg": Float, "total": Float, "round": Float,
	"lower": Text, "upper": Text, "substr": Text, "trim": Text, "replace": Text,
	"hex": Text, "quote": Text, "group_concat": Text, "typeof": Text, "date": Text,
	"datetime": Text, "strftime": Text, "sqlite_version": Text,
	"exists": Boolean, "not": Boolean, "true": Boolean, "false": Boolean,
}

// ItemTypes guesses the types of the items of the outermost SELECT or RETURNING
// list. A * counts as one item, so the number of types may differ from the number
// of columns.
func (s *Statement) ItemTypes(schema Schema, params []Type) []Type {
	var types []Type
	for _, item := range s.items() {
		types = append(types, s.itemType(item, schema, params))
	}
	return types
}

// items returns the tokens of each item of the outermost list.
func (s *Statement) items() [][]Token {
	var items [][]Token
	for i := s.listStart(); i < len(s.Tokens); {
		end := s.itemEnd(i)
		items = append(items, s.Tokens[i:end])
		if !s.at(end).Is(",") {
			break
		}
		i = end + 1
	}
	return items
}

// listStart returns the index of the first token of the outermost SELECT or
// RETURNING list.
func (s *Statement) listStart() int {
	depth := 0
	for i, t := range s.Tokens {
		switch {
		case t.Is("("):
			depth++
		case t.Is(")"):
			depth--
		case depth == 0 && t.Is("select", "returning"):
			if s.at(i+1).Is("distinct", "all") {
				return i + 2
			}
			return i + 1
		}
	}
	return len(s.Tokens)
}

// itemEnd returns the index after the item that starts at index i.
func (s *Statement) itemEnd(i int) int {
	depth := 0
	for ; i < len(s.Tokens); i++ {
		t := s.Tokens[i]
		switch {
		case t.Is("("):
			depth++
		case t.Is(")"):
			depth--
		case depth == 0 && t.Is(",", "from", "where", "order", "limit", "union"):
			return i
		}
	}
	return i
}

func (s *Statement) itemType(item []Token, schema Schema, params []Type) Type {
	if len(item) == 0 {
		return Unknown
	}
	first := item[0]
	switch {
	case first.Is("cast"):
		return castType(item)
	case first.Is("case"):
		return s.caseType(item, schema, params)
	case hasOutside(item, "=", "<", ">", "<=", ">=", "<>", "!=", "like", "in", "is", "between", "and", "or"):
		return Boolean
	case hasOutside(item, "||"):
		return Text
	case first.Kind == Word && functionTypes[first.Text] != Unknown:
		return functionTypes[first.Text]
	}
	return s.firstOperandType(item, schema, params)
}

// firstOperandType returns the type of the first token whose type is known. If
// there is none, an item that starts with sum or contains count is an integer.
func (s *Statement) firstOperandType(item []Token, schema Schema, params []Type) Type {
	for _, t := range item {
		if t.Kind == Param {
			if n := t.ParamNumber(); n >= 1 && n <= len(params) && params[n-1] != Unknown {
				return params[n-1]
			}
			continue
		}
		if typ := s.operandType(t, schema); typ != Unknown {
			return typ
		}
	}
	if hasOutside(item[:1], "sum") || contains(item, "count") {
		return Integer
	}
	return Unknown
}

// caseType returns the type of the first result of a CASE expression.
func (s *Statement) caseType(item []Token, schema Schema, params []Type) Type {
	for i, t := range item {
		if t.Is("then") {
			return s.firstOperandType(item[i+1:], schema, params)
		}
	}
	return Unknown
}

// castType returns the type of CAST(x AS type).
func castType(item []Token) Type {
	for i := len(item) - 1; i > 0; i-- {
		if item[i-1].Is("as") && hasOutside(item[i:], ")") {
			return Type(strings.ToLower(item[i].Name()))
		}
	}
	return Unknown
}

// hasOutside reports whether item has one of the texts outside of parentheses.
// What follows an unmatched closing parenthesis, and the parenthesis itself, are
// outside.
func hasOutside(item []Token, texts ...string) bool {
	depth := 0
	for _, t := range item {
		if depth <= 0 && t.Is(texts...) {
			return true
		}
		switch {
		case t.Is("("):
			depth++
		case t.Is(")"):
			depth--
		}
	}
	return false
}
