package frontend

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilhatch/chervilhatch/backend/wire"
	"github.com/chervilhatch/chervilhatch/sqlstate"
)

// isLocal reports whether the proxy can answer the batch itself. It is called
// for batches that do not need an upstream and is true if they execute local
// statements, or use no portal.
func (b *batch) isLocal() bool { return len(b.localActions) > 0 || !b.usesPortal }

// runLocal applies the batch's local actions and answers it.
func (s *session) runLocal(b *batch) {
	for _, action := range b.localActions {
		if refusal := s.applyLocal(action); refusal != nil {
			s.refuseBatch(refusal)
			s.response.batchFailed = true
			return
		}
	}
	s.respondLocally(b)
}

// runAborted answers a batch in a transaction that the proxy has already rolled
// back. Only a lone COMMIT or ROLLBACK is accepted and ends the transaction.
func (s *session) runAborted(b *batch) {
	if !b.endsTx || b.cost != 1 {
		s.appendError(sqlstate.Refuse(sqlstate.FailedTransaction,
			"the transaction failed, commands are ignored until it ends"))
		s.response.batchFailed = true
		return
	}
	s.txAborted = false
	s.txStatus = wire.Idle
	b.localActions = []localAction{{tag: "ROLLBACK"}}
	s.respondLocally(b)
}

// respondLocally sends the response to each message of the batch without an
// upstream.
func (s *session) respondLocally(b *batch) {
	pending := b.localActions
	messages := b.messages
	for len(messages) > 0 {
		frame, rest, err := wire.Split(messages)
		if err != nil {
			return
		}
		messages = rest
		switch frame.Type() {
		case wire.Parse, wire.Close:
			s.confirmChange(frame.Type())
		case wire.Bind:
			s.appendMessage(&pgproto3.BindComplete{})
		case wire.Describe:
			s.describeLocally(frame)
		case wire.Execute, wire.Query:
			if len(pending) > 0 {
				s.appendMessage(&pgproto3.CommandComplete{CommandTag: []byte(pending[0].tag)})
				pending = pending[1:]
			}
		}
	}
}

func (s *session) confirmChange(kind byte) {
	if len(s.response.changes) > 0 {
		s.response.changes[0].apply(&s.statements)
		s.response.changes = s.response.changes[1:]
	}
	if kind == wire.Parse {
		s.appendMessage(&pgproto3.ParseComplete{})
		return
	}
	s.appendMessage(&pgproto3.CloseComplete{})
}

func (s *session) describeLocally(frame wire.Frame) {
	if body := frame.Body(); len(body) > 0 && body[0] == 'S' {
		s.appendMessage(&pgproto3.ParameterDescription{})
	}
	s.appendMessage(&pgproto3.NoData{})
}
