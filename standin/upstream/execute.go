package upstream

import (
	"context"
	"fmt"

	"github.com/chervilhatch/chervilhatch/standin/upstream/internal/sqltext"
	"github.com/chervilhatch/chervilhatch/standin/upstream/internal/store"
)

// outcome is the result of a statement and its command tag.
type outcome struct {
	tag    string
	result *store.Result
}

// execute executes a statement of any class.
func (c *session) execute(s *sqltext.Statement, args []any) (*outcome, error) {
	ctx, done := c.statementContext()
	defer done()
	if c.failed && !endsFailure(s.Class) {
		return nil, errFailed
	}
	switch s.Class {
	case sqltext.Read:
		result, err := c.runRead(ctx, s, args)
		return c.withRows(s, result, err)
	case sqltext.Write:
		result, err := c.runWrite(ctx, s, args)
		return c.withRows(s, result, err)
	case sqltext.Function:
		result, err := c.call(ctx, s, args)
		return c.withRows(s, result, err)
	}
	return c.executeCommand(ctx, s)
}

// endsFailure reports whether statements of the class are allowed in a failed
// transaction.
func endsFailure(class sqltext.Class) bool {
	return class == sqltext.Commit || class == sqltext.Rollback || class == sqltext.RollbackTo
}

// executeCommand executes a statement that is not a Read, Write or Function.
func (c *session) executeCommand(ctx context.Context, s *sqltext.Statement) (*outcome, error) {
	if s.Class == sqltext.Empty {
		return &outcome{}, nil
	}
	tag, _ := s.Tag()
	out := &outcome{tag: tag, result: &store.Result{}}
	var err error
	switch s.Class {
	case sqltext.Begin:
		c.begin(s)
	case sqltext.Commit:
		out.tag, err = c.commit()
	case sqltext.Rollback:
		c.rollback()
	case sqltext.Savepoint, sqltext.RollbackTo:
		err = c.runSavepoint(ctx, s)
	case sqltext.Set:
		c.set(s)
	case sqltext.Show:
		out.result = c.show(s)
	case sqltext.Deallocate:
		c.deallocate(s)
	case sqltext.Unsupported:
		err = &pgError{codeNotSupported, tag + " is not supported"}
	}
	return out, err
}

func (c *session) set(s *sqltext.Statement) {
	if s.Has("transaction") && s.ReadOnly() {
		c.readOnly = true
		return
	}
	c.settings.apply(s)
}

func (c *session) show(s *sqltext.Statement) *store.Result {
	name, text := c.settings.show(s, c.readOnly || !c.node.isPrimary())
	return &store.Result{
		Columns: []store.Column{{Name: name, Type: string(sqltext.Text)}},
		Rows:    [][]any{{text}},
	}
}

// deallocate executes DEALLOCATE name, DEALLOCATE ALL and DISCARD ALL.
func (c *session) deallocate(s *sqltext.Statement) {
	if s.Has("all") {
		clear(c.statements)
		return
	}
	delete(c.statements, s.Tokens[len(s.Tokens)-1].Name())
}

// withRows returns the outcome of a statement, with the number of rows in the
// command tag if the tag has one.
func (c *session) withRows(s *sqltext.Statement, result *store.Result, err error) (*outcome, error) {
	if err != nil {
		return nil, err
	}
	tag, counted := s.Tag()
	if counted {
		tag = fmt.Sprintf("%s %d", tag, max(result.Affected, int64(len(result.Rows))))
	}
	return &outcome{tag: tag, result: result}, nil
}
