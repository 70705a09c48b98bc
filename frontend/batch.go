package frontend

import (
	"github.com/chervilhatch/chervilhatch/backend/wire"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/executor"
	"github.com/chervilhatch/chervilhatch/sqlstate"
)

// batch collects the messages of a simple query, or of the extended protocol up
// to Sync or Flush, until they are run together.
type batch struct {
	messages []byte
	class    model.Class
	beginsTx bool
	// beginsReadWrite is true if a statement asks for a read-write transaction.
	beginsReadWrite bool
	endsTx          bool
	// cost is the number of statements that are executed.
	cost int
	// localActions are the actions of the statements that the proxy answers
	// itself. needsUpstream is true if there are other statements.
	localActions  []localAction
	needsUpstream bool
	// usesPortal is true if a portal is bound, described, executed or closed.
	usesPortal bool
	// reservedBytes is what the batch has taken from the server's memory
	// budget.
	reservedBytes int
	changes       []statementChange
	prepared      []executor.Prepared
	// parsed has the statements that this batch parses, by the caller's names,
	// and nil for those that it closes.
	parsed map[string]*preparedStatement
}

func newBatch() batch { return batch{class: model.Read} }

// empty reports whether the batch has no messages.
func (b *batch) empty() bool { return len(b.messages) == 0 }

// checkSupported refuses a statement that is not supported, and records whether
// the batch needs an upstream.
func (b *batch) checkSupported(info *statementInfo) *sqlstate.Error {
	if info.refusal != "" {
		return sqlstate.Refuse(sqlstate.NotSupported, info.refusal)
	}
	if info.local.kind != localNone {
		return nil
	}
	b.needsUpstream = true
	return nil
}

// addExecution adds a statement that is executed to the batch's cost, class and
// local actions.
func (b *batch) addExecution(info *statementInfo) {
	b.cost += max(info.statements, 1)
	b.beginsTx = b.beginsTx || info.beginsTx
	b.beginsReadWrite = b.beginsReadWrite || info.beginsReadWrite
	b.endsTx = info.endsTx
	if info.class == model.Write {
		b.class = model.Write
	}
	if info.local.kind != localNone {
		b.localActions = append(b.localActions, info.local)
	}
}

// addMessage adds one message of the extended protocol to the batch.
func (s *session) addMessage(frame wire.Frame) *sqlstate.Error {
	b := &s.batch
	if len(b.messages)+len(frame) > s.server.options.Limits.MessageSize {
		return sqlstate.Refuse(sqlstate.TooLarge, "the batch is too large")
	}
	if refusal := s.reserveBatchMemory(len(frame)); refusal != nil {
		return refusal
	}
	var refusal *sqlstate.Error
	var err error
	switch frame.Type() {
	case wire.Parse:
		refusal, err = s.addParse(frame)
	case wire.Bind:
		refusal, err = s.addBind(frame)
	case wire.Describe:
		refusal, err = s.addDescribe(frame)
	case wire.Close:
		err = s.addClose(frame)
	case wire.Execute:
		b.usesPortal = true
	}
	if err != nil {
		return protocolError("malformed message")
	}
	if refusal != nil {
		return refusal
	}
	b.messages = append(b.messages, frame...)
	return nil
}

func (s *session) addParse(frame wire.Frame) (*sqlstate.Error, error) {
	name, statement, err := parseStatement(frame)
	if err != nil {
		return nil, err
	}
	if name != "" && s.lookup([]byte(name)) != nil {
		return sqlstate.Refuse(sqlstate.DuplicateStatement, "prepared statement \""+name+"\" already exists"), nil
	}
	if refusal := s.checkPreparedLimits(name, statement); refusal != nil {
		return refusal, nil
	}
	if s.batch.parsed == nil {
		s.batch.parsed = map[string]*preparedStatement{}
	}
	s.batch.parsed[name] = statement
	s.batch.changes = append(s.batch.changes, statementChange{name: name, statement: statement})
	return s.batch.checkSupported(&statement.info), nil
}

// lookup returns the statement that has the name at this point of the batch,
// nil if there is none.
func (s *session) lookup(name []byte) *preparedStatement {
	if statement, ok := s.batch.parsed[string(name)]; ok {
		return statement
	}
	return s.statements.byName[string(name)]
}

// requireStatement returns the statement with the name. Unless this batch
// parses it, it is sent along with the batch, since the upstream connection may
// not have it.
func (s *session) requireStatement(name []byte) (*preparedStatement, *sqlstate.Error) {
	statement := s.lookup(name)
	if statement == nil {
		return nil, sqlstate.Refuse(sqlstate.UnknownStatement, "prepared statement \""+string(name)+"\" does not exist")
	}
	if _, ok := s.batch.parsed[string(name)]; ok {
		return statement, nil
	}
	for i := range s.batch.prepared {
		if s.batch.prepared[i].Name == statement.name {
			return statement, nil
		}
	}
	s.batch.prepared = append(s.batch.prepared, executor.Prepared{Name: statement.name, Parse: statement.parseMessage})
	return statement, s.batch.checkSupported(&statement.info)
}

func (s *session) addBind(frame wire.Frame) (*sqlstate.Error, error) {
	_, rest, err := wire.CString(frame.Body())
	if err != nil {
		return nil, err
	}
	name, _, err := wire.CString(rest)
	if err != nil {
		return nil, err
	}
	statement, refusal := s.requireStatement(name)
	if refusal != nil {
		return refusal, nil
	}
	s.batch.usesPortal = true
	s.batch.addExecution(&statement.info)
	return nil, nil
}

func (s *session) addDescribe(frame wire.Frame) (*sqlstate.Error, error) {
	body := frame.Body()
	if len(body) == 0 {
		return nil, wire.ErrMalformed
	}
	if body[0] != 'S' {
		s.batch.usesPortal = true
		return nil, nil
	}
	name, _, err := wire.CString(body[1:])
	if err != nil {
		return nil, err
	}
	_, refusal := s.requireStatement(name)
	return refusal, nil
}

func (s *session) addClose(frame wire.Frame) error {
	body := frame.Body()
	if len(body) == 0 {
		return wire.ErrMalformed
	}
	name, _, err := wire.CString(body[1:])
	if err != nil {
		return err
	}
	if body[0] != 'S' {
		s.batch.usesPortal = true
		s.batch.changes = append(s.batch.changes, statementChange{portal: true})
		return nil
	}
	if s.batch.parsed == nil {
		s.batch.parsed = map[string]*preparedStatement{}
	}
	s.batch.parsed[string(name)] = nil
	s.batch.changes = append(s.batch.changes, statementChange{name: string(name)})
	return nil
}
