package upstream

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilhatch/chervilhatch/standin/upstream/internal/sqltext"
	"github.com/chervilhatch/chervilhatch/standin/upstream/internal/value"
)

// prepared is a prepared statement.
type prepared struct {
	statement *sqltext.Statement
	// parameterOIDs has the types of the parameters: those that the client
	// specified, and guesses for the others.
	parameterOIDs []uint32
	// fields are the columns of the result; nil if it has none.
	fields []pgproto3.FieldDescription
	// described is true once fields is set.
	described bool
}

// portal is a prepared statement with bound parameters.
type portal struct {
	prepared *prepared
	args     []any
	formats  []int16
	// out is the outcome, set by the first Execute. It has only the rows that
	// were not sent yet.
	out    *outcome
	fields []pgproto3.FieldDescription
}

// extended processes one message of the extended protocol.
func (c *session) extended(message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Parse:
		return c.parse(m)
	case *pgproto3.Bind:
		return c.bind(m)
	case *pgproto3.Describe:
		return c.describe(m)
	case *pgproto3.Execute:
		return c.executePortal(m)
	case *pgproto3.Close:
		c.closeObject(m)
		return nil
	}
	return &pgError{codeProtocolViolation, fmt.Sprintf("unexpected message %T", message)}
}

// sync processes a Sync message, which ends an implicit transaction.
func (c *session) sync() {
	c.skipping = false
	if err := c.endImplicit(); err != nil {
		c.fail(err)
	}
	if !c.block {
		clear(c.portals)
	}
	c.ready()
}

func (c *session) parse(m *pgproto3.Parse) error {
	if m.Name != "" && c.statements[m.Name] != nil {
		return &pgError{codeDuplicateStatement, fmt.Sprintf("prepared statement %q already exists", m.Name)}
	}
	statements := sqltext.Split(m.Query)
	if len(statements) != 1 {
		return &pgError{codeSyntax, "cannot insert multiple commands into a prepared statement"}
	}
	p, err := c.prepare(statements[0], m.ParameterOIDs)
	if err != nil {
		return err
	}
	c.statements[m.Name] = p
	c.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (c *session) bind(m *pgproto3.Bind) error {
	p := c.statements[m.PreparedStatement]
	if p == nil {
		return &pgError{codeUnknownStatement, fmt.Sprintf("prepared statement %q does not exist", m.PreparedStatement)}
	}
	if len(m.Parameters) != len(p.parameterOIDs) {
		return &pgError{codeProtocolViolation, fmt.Sprintf("bind has %d parameters, the statement %d",
			len(m.Parameters), len(p.parameterOIDs))}
	}
	bound := &portal{prepared: p, formats: append([]int16(nil), m.ResultFormatCodes...)}
	for i, raw := range m.Parameters {
		arg, err := value.Decode(p.parameterOIDs[i], formatAt(m.ParameterFormatCodes, i), raw)
		if err != nil {
			return err
		}
		bound.args = append(bound.args, arg)
	}
	c.portals[m.DestinationPortal] = bound
	c.backend.Send(&pgproto3.BindComplete{})
	return nil
}

// formatAt returns the format of parameter or column i. No codes mean text for
// all, and a single code applies to all.
func formatAt(formats []int16, i int) int16 {
	switch {
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return value.TextFormat
}

func (c *session) describe(m *pgproto3.Describe) error {
	if m.ObjectType == 'S' {
		return c.describeStatement(m.Name)
	}
	bound, err := c.portal(m.Name)
	if err != nil {
		return err
	}
	if err := c.describePrepared(bound.prepared); err != nil {
		return err
	}
	c.sendFields(withFormats(bound.prepared.fields, bound.formats))
	return nil
}

func (c *session) describeStatement(name string) error {
	p := c.statements[name]
	if p == nil {
		return &pgError{codeUnknownStatement, fmt.Sprintf("prepared statement %q does not exist", name)}
	}
	if err := c.describePrepared(p); err != nil {
		return err
	}
	c.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.parameterOIDs})
	c.sendFields(p.fields)
	return nil
}

func (c *session) sendFields(fields []pgproto3.FieldDescription) {
	if len(fields) == 0 {
		c.backend.Send(&pgproto3.NoData{})
		return
	}
	c.backend.Send(&pgproto3.RowDescription{Fields: fields})
}

// withFormats returns a copy of fields with the formats of a portal.
func withFormats(fields []pgproto3.FieldDescription, formats []int16) []pgproto3.FieldDescription {
	copied := append([]pgproto3.FieldDescription(nil), fields...)
	for i := range copied {
		copied[i].Format = formatAt(formats, i)
	}
	return copied
}

func (c *session) portal(name string) (*portal, error) {
	if bound := c.portals[name]; bound != nil {
		return bound, nil
	}
	return nil, &pgError{codeUnknownPortal, fmt.Sprintf("portal %q does not exist", name)}
}

func (c *session) executePortal(m *pgproto3.Execute) error {
	bound, err := c.portal(m.Portal)
	if err != nil {
		return err
	}
	if bound.prepared.statement.Class == sqltext.Empty {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if bound.out == nil {
		if err := c.runPortal(bound); err != nil {
			return err
		}
	}
	rows := bound.out.result.Rows
	if limit := int(m.MaxRows); limit > 0 && len(rows) > limit {
		bound.out.result.Rows = rows[limit:]
		if err := c.sendRows(bound.fields, rows[:limit]); err != nil {
			return err
		}
		c.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	bound.out.result.Rows = nil
	if err := c.sendRows(bound.fields, rows); err != nil {
		return err
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(bound.out.tag)})
	return nil
}

// runPortal executes the statement of a portal. If its columns were not
// described, they get the types of their values.
func (c *session) runPortal(bound *portal) error {
	out, err := c.execute(bound.prepared.statement, bound.args)
	if err != nil {
		return err
	}
	fields := bound.prepared.fields
	if len(fields) != len(out.result.Columns) {
		fields = dynamicFields(out.result)
	}
	bound.out = out
	bound.fields = withFormats(fields, bound.formats)
	return nil
}

// closeObject processes a Close message for a statement or a portal.
func (c *session) closeObject(m *pgproto3.Close) {
	if m.ObjectType == 'S' {
		delete(c.statements, m.Name)
	} else {
		delete(c.portals, m.Name)
	}
	c.backend.Send(&pgproto3.CloseComplete{})
}
