package lineproxy

import (
	"maps"

	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/upstreamrun"
)

// run executes one request and returns the reply to it.
func (s *session) run(id, text string) reply {
	st := lineproto.ParseStatement(text)
	if s.tx != nil && s.tx.failed {
		return s.runInFailedTx(st.Verb)
	}
	switch st.Verb {
	case lineproto.VerbSet, lineproto.VerbPrepare, lineproto.VerbDeallocate:
		return s.runLocal(&st)
	case lineproto.VerbUnknown:
		return s.malformed("not a statement")
	}
	p := s.resolveStatement(id, text, &st)
	if st.Verb == lineproto.VerbExecute && p.Shape == "" {
		return s.failTx(failure(lineproto.NoStatement, st.Name))
	}
	if s.tx != nil {
		return s.runInTx(&p)
	}
	return s.runOutsideTx(&p)
}

// statement is a statement that is sent to an upstream.
type statement struct {
	upstreamrun.Statement
	verb lineproto.Verb
}

// resolveStatement returns the statement for the upstream. An EXECUTE gets the shape
// that its name was prepared with; an empty shape means that the name is unknown.
func (s *session) resolveStatement(id, text string, st *lineproto.Statement) statement {
	p := statement{verb: st.Verb}
	p.ID, p.Text, p.Write = id, text, st.Verb == lineproto.VerbWrite
	if st.Verb == lineproto.VerbExecute {
		prepared := s.prepared[st.Name]
		p.Write, p.Shape, p.Arguments = prepared.write, prepared.shape, st.Value
	}
	return p
}

func (s *session) malformed(text string) reply { return s.failTx(failure(lineproto.Malformed, text)) }

// failTx rolls back the open transaction, if there is one, marks it as failed and
// returns r.
func (s *session) failTx(r reply) reply {
	if s.tx != nil {
		s.tx.rollback()
		s.tx.failed = true
	}
	return r
}

// runInFailedTx answers requests in a failed transaction, which accepts only COMMIT
// and ROLLBACK.
func (s *session) runInFailedTx(v lineproto.Verb) reply {
	switch v {
	case lineproto.VerbRollback:
		s.tx = nil
		return success()
	case lineproto.VerbCommit:
		s.tx = nil
		return failure(lineproto.Aborted, "the transaction had failed and was rolled back")
	}
	return failure(lineproto.Malformed, "the transaction has failed; only COMMIT and ROLLBACK are accepted")
}

// runLocal executes statements that change only the state of the session in this
// process: SET, PREPARE and DEALLOCATE.
func (s *session) runLocal(st *lineproto.Statement) reply {
	c := s.server.cluster.Catalog()
	if _, _, refusal := s.authorize(c); refusal != nil {
		return s.failTx(*refusal)
	}
	switch st.Verb {
	case lineproto.VerbSet:
		if _, found := s.values[st.Name]; !found && len(s.values) >= maxSessionValues {
			return s.malformed("too many session values")
		}
		// Reads that are still running for earlier requests use the old map.
		values := maps.Clone(s.values)
		values[st.Name] = st.Value
		s.values = values
	case lineproto.VerbPrepare:
		if len(s.prepared) >= maxPreparedStatements {
			return s.malformed("too many prepared statements")
		}
		s.prepared[st.Name] = preparedStatement{write: st.Write, shape: st.Shape}
	default:
		if _, found := s.prepared[st.Name]; !found {
			return s.failTx(failure(lineproto.NoStatement, st.Name))
		}
		delete(s.prepared, st.Name)
	}
	return success()
}

// runOutsideTx starts a transaction or runs a single statement.
func (s *session) runOutsideTx(p *statement) reply {
	if p.verb == lineproto.VerbCommit || p.verb == lineproto.VerbRollback {
		return failure(lineproto.Malformed, "no transaction is open")
	}
	op, refusal := s.beginOperation(p.ID)
	if refusal != nil {
		return *refusal
	}
	if p.verb == lineproto.VerbBegin || p.verb == lineproto.VerbBeginRead {
		s.tx = &transaction{operation: op, readOnly: p.verb == lineproto.VerbBeginRead, lastRequestID: p.ID}
		return success()
	}
	if p.Write {
		return op.write(p)
	}
	return op.read(p)
}

// beginOperation authorizes the caller and takes a token of the workspace's quota.
// It returns either the operation or the refusal.
func (s *session) beginOperation(id string) (*operation, *reply) {
	c := s.server.cluster.Catalog()
	route, workspace, refusal := s.authorize(c)
	if refusal != nil {
		s.server.decisions.Info(id, "request refused", func(e *Entry) {
			e.Str("code", string(refusal.code)).Str("database", s.database).Uint64("config_version", c.Version)
		})
		return nil, refusal
	}
	decision := s.server.cluster.Admit(workspace)
	if !decision.Admitted {
		s.server.count("refused.rate")
		s.server.decisions.Info(id, "request refused", func(e *Entry) {
			e.Str("code", string(lineproto.Busy)).Str("cause", "rate").Str("workspace", string(workspace)).
				Float64("share", decision.Share).Float64("tokens", decision.Tokens).Float64("shared_tokens", decision.Shared).Dur("retry_after", decision.RetryAfter)
		})
		r := failure(lineproto.Busy, retryText("the workspace's rate is used up", decision.RetryAfter))
		return nil, &r
	}
	return newOperation(s, route, workspace, c), nil
}
