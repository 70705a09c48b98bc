package frontend

import (
	"github.com/chervilhatch/chervilhatch/backend/wire"
	"github.com/chervilhatch/chervilhatch/sqlstate"
)

// preparedStatement is a statement with the name and the Parse message that the
// caller sent.
type preparedStatement struct {
	name         string
	parseMessage []byte
	info         statementInfo
}

// preparedSet has the prepared statements of a session, by the caller's names.
// The unnamed statement has the name "".
type preparedSet struct {
	byName    map[string]*preparedStatement
	totalSize int
}

func (p *preparedSet) get(name string) *preparedStatement { return p.byName[name] }

func (p *preparedSet) put(name string, statement *preparedStatement) {
	p.remove(name)
	if p.byName == nil {
		p.byName = map[string]*preparedStatement{}
	}
	p.byName[name] = statement
	p.totalSize += len(statement.parseMessage)
}

func (p *preparedSet) remove(name string) {
	if old := p.byName[name]; old != nil {
		p.totalSize -= len(old.parseMessage)
		delete(p.byName, name)
	}
}

func (p *preparedSet) clear() { *p = preparedSet{} }

// statementChange is the effect of a Parse or Close on the prepared statements.
// It is applied when the response has the matching ParseComplete or
// CloseComplete.
type statementChange struct {
	name string
	// statement is nil for a Close.
	statement *preparedStatement
	// portal is true for a Close of a portal, which affects no statement.
	portal bool
}

func (c *statementChange) apply(p *preparedSet) {
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
		name:         string(nameBytes),
		parseMessage: append([]byte(nil), frame...),
		info:         analyze(string(sql)),
	}
	return statement.name, statement, nil
}

// checkPreparedLimits refuses a Parse that would exceed the limits on the
// session's prepared statements.
func (s *session) checkPreparedLimits(name string, statement *preparedStatement) *sqlstate.Error {
	limits := &s.server.options.Limits
	if len(s.statements.byName) >= limits.PreparedStatements && s.statements.get(name) == nil {
		return sqlstate.Refuse(sqlstate.TooLarge, "too many prepared statements in this session")
	}
	if s.statements.totalSize+len(statement.parseMessage) > limits.MessageSize {
		return sqlstate.Refuse(sqlstate.TooLarge, "the prepared statements of this session are too large")
	}
	return nil
}
