package upstream

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/dbgroup"
	"github.com/chervilhatch/chervilhatch/standin/upstream/internal/sqltext"
	"github.com/chervilhatch/chervilhatch/standin/upstream/internal/store"
	"github.com/chervilhatch/chervilhatch/standin/upstream/internal/value"
)

// functionArity has the number of arguments of each supported function.
var functionArity = map[string]int{
	"chervilhatch_status":   0,
	"chervilhatch_position": 0,
	"chervilhatch_fence":    2,
	"chervilhatch_promote":  2,
	"chervilhatch_follow":   3,
	"pg_sleep":              1,
}

// statusColumns are the columns of the functions that return a status. Terms
// are formatted by model.Term.String.
var statusColumns = []store.Column{
	{Name: "role", Type: string(sqltext.Text)},
	{Name: "promised", Type: string(sqltext.Text)},
	{Name: "last_term", Type: string(sqltext.Text)},
	{Name: "term_start", Type: string(sqltext.Integer)},
	{Name: "received", Type: string(sqltext.Integer)},
	{Name: "applied", Type: string(sqltext.Integer)},
	{Name: "applied_term", Type: string(sqltext.Text)},
}

// positionColumns are the columns of chervilhatch_position.
var positionColumns = []store.Column{
	{Name: "term", Type: string(sqltext.Text)},
	{Name: "position", Type: string(sqltext.Integer)},
}

// acceptedColumn precedes statusColumns in the result of chervilhatch_fence.
var acceptedColumn = store.Column{Name: "accepted", Type: string(sqltext.Boolean)}

// functionColumns returns the columns of a function's result.
func functionColumns(name string) []store.Column {
	switch name {
	case "chervilhatch_position":
		return positionColumns
	case "pg_sleep":
		return []store.Column{{Name: name, Type: string(sqltext.Text)}}
	case "chervilhatch_fence":
		return append([]store.Column{acceptedColumn}, statusColumns...)
	}
	return statusColumns
}

func functionFields(s *sqltext.Statement) []pgproto3.FieldDescription {
	name, _ := s.Call()
	return dynamicFields(&store.Result{Columns: functionColumns(name)})
}

// call executes a Function statement: a control function or pg_sleep.
func (c *session) call(ctx context.Context, s *sqltext.Statement, args []any) (*store.Result, error) {
	name, tokens := s.Call()
	arity, known := functionArity[name]
	if !known || arity != len(tokens) {
		return nil, &pgError{codeUnknownFunction, fmt.Sprintf("function %s with %d arguments does not exist", name, len(tokens))}
	}
	texts := make([]string, len(tokens))
	for i, t := range tokens {
		texts[i] = argumentText(t, args)
	}
	row, err := c.callNamed(ctx, name, texts)
	if err != nil {
		return nil, err
	}
	return &store.Result{Columns: functionColumns(name), Rows: [][]any{row}}, nil
}

// argumentText returns an argument as text: the value of a parameter, a literal
// without its quotes, or the token itself.
func argumentText(t sqltext.Token, args []any) string {
	if t.Kind == sqltext.Param {
		if n := t.ParamNumber(); n >= 1 && n <= len(args) {
			text, _ := value.Encode(value.TextOID, value.TextFormat, args[n-1])
			return string(text)
		}
	}
	return t.Unquote()
}

func (c *session) callNamed(ctx context.Context, name string, texts []string) ([]any, error) {
	switch name {
	case "chervilhatch_status":
		return statusRow(c.node.status()), nil
	case "chervilhatch_position":
		p, err := c.position()
		return []any{p.Term.String(), int64(p.Pos)}, err
	case "pg_sleep":
		return c.sleep(ctx, texts[0])
	}
	counter, err := strconv.ParseUint(texts[0], 10, 64)
	if err != nil {
		return nil, &pgError{codeInvalidText, "the counter of a term must be an integer: " + texts[0]}
	}
	return c.changeTerm(name, model.Term{Counter: counter, Proposer: texts[1]}, texts[2:])
}

// changeTerm executes chervilhatch_fence, chervilhatch_promote and
// chervilhatch_follow.
func (c *session) changeTerm(name string, t model.Term, rest []string) ([]any, error) {
	var status dbgroup.Status
	var err error
	switch name {
	case "chervilhatch_fence":
		accepted, status := c.node.fence(t)
		return append([]any{accepted}, statusRow(status)...), nil
	case "chervilhatch_promote":
		status, err = c.node.promote(t)
	default:
		status, err = c.node.follow(t, rest[0])
	}
	return statusRow(status), err
}

func statusRow(s dbgroup.Status) []any {
	return []any{
		s.Role.String(),
		s.Promised.String(),
		s.LastTerm.String(),
		int64(s.TermStart),
		int64(s.Received),
		int64(s.Applied),
		s.AppliedTerm.String(),
	}
}

// sleep executes pg_sleep, which occupies a slot like a read or write.
func (c *session) sleep(ctx context.Context, seconds string) ([]any, error) {
	n, err := strconv.ParseFloat(seconds, 64)
	if err != nil {
		return nil, &pgError{codeInvalidText, "pg_sleep needs a number: " + seconds}
	}
	if err := c.server.limiter.acquire(ctx); err != nil {
		return nil, err
	}
	defer c.server.limiter.release()
	if sleep(ctx, time.Duration(n*float64(time.Second))) != nil {
		return nil, errCanceled
	}
	return []any{""}, nil
}

// position returns the position of the session's last commit or read, or the
// applied position if there was none. It fails if the upstream has left the
// term in which the position was observed, because the entry at that position
// may have been discarded since.
func (c *session) position() (model.Position, error) {
	n := c.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.role == dbgroup.Fenced || n.role == dbgroup.Replica && !n.synced {
		return model.Position{}, &pgError{codeNotInRequiredState, "this upstream has accepted term " + n.promised.String() + " and does not yet take part in it"}
	}
	if !c.hasLast {
		return n.log.position(n.applied), nil
	}
	if c.lastGeneration != n.generation.Load() {
		return model.Position{}, &pgError{codeNotInRequiredState, "the position of this session is of an earlier term"}
	}
	return c.last, nil
}
