package upstream

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilhatch/chervilhatch/standin/upstream/internal/sqltext"
	"github.com/chervilhatch/chervilhatch/standin/upstream/internal/store"
	"github.com/chervilhatch/chervilhatch/standin/upstream/internal/value"
)

// simpleQuery executes a Query message. Its statements form one implicit
// transaction, unless there is a BEGIN or COMMIT among them.
func (c *session) simpleQuery(sql string) {
	c.skipping = false
	statements := sqltext.Split(sql)
	for i, s := range statements {
		out, err := c.execute(s, nil)
		if err == nil && i == len(statements)-1 {
			// Commit before sending the last result, which reports success.
			err = c.endImplicit()
		}
		if err == nil {
			err = c.sendSimple(s, out)
		}
		if err != nil {
			c.fail(err)
			break
		}
	}
	if !c.block {
		c.rollback()
	}
	c.ready()
}

// sendSimple sends the rows, in text format, and the command tag.
func (c *session) sendSimple(s *sqltext.Statement, out *outcome) error {
	if s.Class == sqltext.Empty {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if len(out.result.Columns) > 0 {
		fields := dynamicFields(out.result)
		c.backend.Send(&pgproto3.RowDescription{Fields: fields})
		if err := c.sendRows(fields, out.result.Rows); err != nil {
			return err
		}
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(out.tag)})
	return nil
}

func (c *session) sendRows(fields []pgproto3.FieldDescription, rows [][]any) error {
	for _, row := range rows {
		values := make([][]byte, len(row))
		for i, v := range row {
			encoded, err := value.Encode(fields[i].DataTypeOID, fields[i].Format, v)
			if err != nil {
				return err
			}
			values[i] = encoded
		}
		c.backend.Send(&pgproto3.DataRow{Values: values})
	}
	return nil
}

// dynamicFields describes the columns of a result by their declared types. A
// column without one has the type of its first value that is not null.
func dynamicFields(result *store.Result) []pgproto3.FieldDescription {
	fields := make([]pgproto3.FieldDescription, len(result.Columns))
	for i, column := range result.Columns {
		oid := value.OID(sqltext.Type(column.Type))
		for r := 0; oid == value.UnknownOID && r < len(result.Rows); r++ {
			if v := result.Rows[r][i]; v != nil {
				oid = value.DynamicOID(v)
			}
		}
		fields[i] = field(column.Name, oid)
	}
	return fields
}

// field describes a column. A column of unknown type is described as text.
func field(name string, oid uint32) pgproto3.FieldDescription {
	if oid == value.UnknownOID {
		oid = value.TextOID
	}
	return pgproto3.FieldDescription{
		Name:         []byte(name),
		DataTypeOID:  oid,
		DataTypeSize: value.Size(oid),
		TypeModifier: -1,
	}
}
