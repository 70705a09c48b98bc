package frontend

import (
	"github.com/chervilhatch/chervilhatch/backend/wire"
	"github.com/chervilhatch/chervilhatch/sqlstate"
)

// preparedStatement is a statement as the caller parsed it.
type preparedStatement struct {
	name  string
	parse []byte
	info  statementInfo
}

// preparedSet are the prepared statements of a session, by the caller's names.
// The unnamed statement has the name "".
type preparedSet struct {
	byName map[string]*preparedStatement
	bytes  int
}

func (p *preparedSet) get(name string) *preparedStatement { return p.byName[name] }

func (p *preparedSet) put(name string, statement *preparedStatement) {
	p.remove(name)
	if p.byName == nil {
		p.byName = map[string]*preparedStatement{}
	}
	p.byName[name] = statement
	p.bytes += len(statement.parse)
}

func (p *preparedSet) remove(name string) {
	if old := p.byName[name]; old != nil {
		p.bytes -= len(old.parse)
		delete(p.byName, name)
	}
}

func (p *preparedSet) clear() { *p = preparedSet{} }

// change is a Parse or Close of a batch. It takes effect when the answer has
// its ParseComplete or CloseComplete.
type change struct {
	name string
	// statement is nil for a Close.
	statement *preparedStatement
	// portal is true for a Close of a portal, which changes no statement.
	portal bool
}

func (c *change) apply(p *preparedSet) {
	switch {
	case c.portal:
	case c.statement != nil:
		p.put(c.name, c.statement)
	default:
		p.remove(c.name)
	}
}

// parseStatement decodes a Parse message and classifies its SQL.
func parseStatement(frame wire.Frame) (name string, statement *preparedStatement, err error) {
	nameBytes, rest, err := wire.CString(frame.Body())
	if err != nil {
		return "", nil, err
	}
	sql, _, err := wire.CString(rest)
	if err != nil {
		return "", nil, err
	}
	statement = &preparedStatement{
		name:  string(nameBytes),
		parse: append([]byte(nil), frame...),
		info:  analyze(string(sql)),
	}
	return statement.name, statement, nil
}

// checkRoom refuses a Parse that would exceed the session's limits.
func (s *session) checkRoom(name string, statement *preparedStatement) *sqlstate.Error {
	limits := &s.server.options.Limits
	if len(s.statements.byName) >= limits.Statements && s.statements.get(name) == nil {
		return sqlstate.Refuse(sqlstate.TooLarge, "too many prepared statements in this session")
	}
	if s.statements.bytes+len(statement.parse) > limits.MessageSize {
		return sqlstate.Refuse(sqlstate.TooLarge, "the prepared statements of this session are too large")
	}
	return nil
}
