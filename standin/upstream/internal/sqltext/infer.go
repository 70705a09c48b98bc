package sqltext

import "strings"

// Type is the name of an SQL type.
type Type string

// Types that are guessed from the text of a statement. Any other Type is the
// declared type of a column or the type of a cast.
const (
	Unknown Type = ""
	Integer Type = "int8"
	Float   Type = "float8"
	Text    Type = "text"
	Boolean Type = "bool"
)

// Column is a column of a table.
type Column struct {
	Table string
	Name  string
	Type  Type
}

// Schema has the columns of all tables. Those of one table are in the order of
// their declaration.
type Schema []Column

// table returns the columns of one table.
func (s Schema) table(name string) []Column {
	var columns []Column
	for _, c := range s {
		if strings.EqualFold(c.Table, name) {
			columns = append(columns, c)
		}
	}
	return columns
}

// columnType returns the type of the named column in a table that the statement
// mentions, or Unknown.
func (s Schema) columnType(name string, statement *Statement) Type {
	for _, c := range s {
		if strings.EqualFold(c.Name, name) && statement.mentions(c.Table) {
			return c.Type
		}
	}
	return Unknown
}

// mentions reports whether the statement has the name of the table.
func (s *Statement) mentions(table string) bool {
	for _, t := range s.Tokens {
		if t.IsName() && strings.EqualFold(t.Name(), table) {
			return true
		}
	}
	return false
}

// ParamTypes guesses the type of each parameter from its cast, from the column
// that it is inserted into, or from the adjacent tokens.
func (s *Statement) ParamTypes(schema Schema) []Type {
	types := make([]Type, s.ParamCount())
	inserted := s.insertedTypes(schema)
	for i, t := range s.Tokens {
		if t.Kind != Param || t.ParamNumber() == 0 {
			continue
		}
		n := t.ParamNumber()
		switch {
		case s.Casts[n] != "":
			types[n-1] = Type(s.Casts[n])
		case types[n-1] != Unknown:
		case inserted[i] != Unknown:
			types[n-1] = inserted[i]
		default:
			types[n-1] = s.adjacentType(i, schema)
		}
	}
	return types
}

// adjacentType guesses the type of the parameter at token index i from the tokens
// around it.
func (s *Statement) adjacentType(i int, schema Schema) Type {
	before := s.at(i - 1)
	switch {
	case before.Is("limit", "offset"):
		return Integer
	case before.Is("like") || before.Is("||") || s.at(i+1).Is("||"):
		return Text
	case isOperator(before):
		return s.operandType(s.at(i-2), schema)
	case isOperator(s.at(i + 1)):
		return s.operandType(s.afterQualifier(i+2), schema)
	case before.Is("between"):
		return s.operandType(s.at(i-2), schema)
	case before.Is("and") && s.at(i-3).Is("between"):
		return s.operandType(s.at(i-4), schema)
	case before.Is("(", ","):
		return s.listType(i, schema)
	}
	return Unknown
}

// listType guesses the type of a parameter in a list such as column IN ($1, $2).
func (s *Statement) listType(i int, schema Schema) Type {
	for i--; i >= 0; i-- {
		t := s.Tokens[i]
		if t.Is("in") {
			if s.at(i - 1).Is("not") {
				i--
			}
			return s.operandType(s.at(i-1), schema)
		}
		if !t.Is("(", ",") && t.Kind != Param {
			return Unknown
		}
	}
	return Unknown
}

func (s *Statement) operandType(t Token, schema Schema) Type {
	switch {
	case t.Kind == Number && strings.Contains(t.Text, "."):
		return Float
	case t.Kind == Number:
		return Integer
	case t.Kind == String:
		return Text
	case t.IsName():
		return schema.columnType(t.Name(), s)
	}
	return Unknown
}

// afterQualifier returns the token at index i or, for table.column, the column.
func (s *Statement) afterQualifier(i int) Token {
	if s.at(i + 1).Is(".") {
		return s.at(i + 2)
	}
	return s.at(i)
}

func (s *Statement) at(i int) Token {
	if i < 0 || i >= len(s.Tokens) {
		return Token{Kind: Symbol}
	}
	return s.Tokens[i]
}

func isOperator(t Token) bool {
	return t.Is("=", "<", ">", "<=", ">=", "<>", "!=", "+", "-", "*", "/", "%")
}

// insertedTypes returns the types of the parameters in the tuples of
// INSERT INTO table (columns) VALUES (...), (...), by token index.
func (s *Statement) insertedTypes(schema Schema) map[int]Type {
	types := make(map[int]Type)
	if !s.at(0).Is("insert", "replace") {
		return types
	}
	into := s.index("into")
	values := s.index("values")
	if into < 0 || values < 0 {
		return types
	}
	columns := s.insertedColumns(into+1, values, schema)
	depth, column := 0, 0
	for i := values + 1; i < len(s.Tokens); i++ {
		t := s.Tokens[i]
		switch {
		case t.Is("on", "returning"):
			return types
		case t.Is("("):
			depth++
			if depth == 1 {
				column = 0
			}
		case t.Is(")"):
			depth--
		case t.Is(",") && depth == 1:
			column++
		case t.Kind == Param && depth == 1 && column < len(columns):
			types[i] = columns[column].Type
		}
	}
	return types
}

// insertedColumns returns the columns listed between the table's name and VALUES,
// or all columns of the table if none are listed.
func (s *Statement) insertedColumns(tableIndex, values int, schema Schema) []Column {
	all := schema.table(s.at(tableIndex).Name())
	var columns []Column
	for _, t := range s.Tokens[tableIndex+1 : values] {
		if !t.IsName() {
			continue
		}
		column := Column{Name: t.Name()}
		for _, c := range all {
			if strings.EqualFold(c.Name, column.Name) {
				column = c
			}
		}
		columns = append(columns, column)
	}
	if len(columns) == 0 {
		return all
	}
	return columns
}

func (s *Statement) index(word string) int {
	for i, t := range s.Tokens {
		if t.Is(word) {
			return i
		}
	}
	return -1
}
