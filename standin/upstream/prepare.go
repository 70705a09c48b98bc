package upstream

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilhatch/chervilhatch/standin/upstream/internal/sqltext"
	"github.com/chervilhatch/chervilhatch/standin/upstream/internal/store"
	"github.com/chervilhatch/chervilhatch/standin/upstream/internal/value"
)

// schemaQuery selects the columns of all tables and views.
const schemaQuery = "SELECT m.name, c.name, lower(c.type) FROM sqlite_master m" +
	" JOIN pragma_table_info(m.name) c WHERE m.type IN ('table', 'view') ORDER BY m.name, c.cid"

// prepare returns a prepared statement. Parameters whose type the client did not
// choose get a guessed type.
func (c *session) prepare(s *sqltext.Statement, chosen []uint32) (*prepared, error) {
	p := &prepared{statement: s, parameterOIDs: make([]uint32, s.ParamCount())}
	if len(p.parameterOIDs) == 0 {
		return p, nil
	}
	copy(p.parameterOIDs, chosen)
	if s.Class == sqltext.Function {
		return p, nil
	}
	schema, err := c.schema()
	if err != nil {
		return nil, err
	}
	for i, t := range s.ParamTypes(schema) {
		if p.parameterOIDs[i] == value.UnknownOID {
			p.parameterOIDs[i] = value.OID(t)
		}
	}
	return p, nil
}

// internalQuery runs a query that the client did not send. It needs no slot and
// is not counted.
func (c *session) internalQuery(sql string, args []any) (*store.Result, error) {
	ctx := context.Background()
	if c.write != nil {
		return c.write.query(ctx, sql, args)
	}
	return c.node.data.Read(ctx, sql, args, func() {})
}

// cachedSchema is the schema at one value of [store.Store.SchemaVersion].
type cachedSchema struct {
	schemaVersion uint64
	schema        sqltext.Schema
}

// schema returns the columns of all tables. They are cached, because each Parse
// of a statement with parameters needs them.
func (c *session) schema() (sqltext.Schema, error) {
	if c.write != nil && c.write.defines {
		return c.querySchema()
	}
	// Read the version before the schema. If the schema changes in between, it
	// is cached under the old version and the next call reads it again.
	schemaVersion := c.node.data.SchemaVersion()
	if cached := c.node.schema.Load(); cached != nil && cached.schemaVersion == schemaVersion {
		return cached.schema, nil
	}
	schema, err := c.querySchema()
	if err == nil {
		c.node.schema.Store(&cachedSchema{schemaVersion: schemaVersion, schema: schema})
	}
	return schema, err
}

func (c *session) querySchema() (sqltext.Schema, error) {
	result, err := c.internalQuery(schemaQuery, nil)
	if err != nil {
		return nil, err
	}
	var schema sqltext.Schema
	for _, row := range result.Rows {
		table, _ := row[0].(string)
		name, _ := row[1].(string)
		declared, _ := row[2].(string)
		schema = append(schema, sqltext.Column{Table: table, Name: name, Type: sqltext.Type(declared)})
	}
	return schema, nil
}

// describePrepared sets the columns of a prepared statement without executing
// it.
func (c *session) describePrepared(p *prepared) error {
	if p.described {
		return nil
	}
	fields, err := c.describeFields(p)
	if err != nil {
		return err
	}
	p.fields = fields
	p.described = true
	return nil
}

func (c *session) describeFields(p *prepared) ([]pgproto3.FieldDescription, error) {
	s := p.statement
	switch {
	case s.Class == sqltext.Show:
		return dynamicFields(c.show(s)), nil
	case s.Class == sqltext.Function:
		return functionFields(s), nil
	case s.Class == sqltext.Read && s.Tokens[0].Is("explain"):
		return c.explainFields(p)
	case s.Class == sqltext.Read || s.Locking:
		return c.selectFields(p, s.SQL)
	case s.Class == sqltext.Write && s.Has("returning"):
		return c.selectFields(p, returningQuery(s))
	}
	return nil, nil
}

// explainFields describes the columns of an EXPLAIN by running it, which does
// not execute the explained statement.
func (c *session) explainFields(p *prepared) ([]pgproto3.FieldDescription, error) {
	result, err := c.internalQuery(p.statement.SQL, make([]any, len(p.parameterOIDs)))
	if err != nil {
		return nil, err
	}
	return dynamicFields(result), nil
}

// returningQuery returns a query that selects the RETURNING list of a statement
// from its table.
func returningQuery(s *sqltext.Statement) string {
	table := ""
	for i, t := range s.Tokens[:len(s.Tokens)-1] {
		if t.Is("into", "update", "from") {
			table = s.Tokens[i+1].Text
			break
		}
	}
	return "SELECT " + s.After("returning") + " FROM " + table
}

// selectFields describes the columns of a query by their declared types. A
// column without one has the type that the text of the query suggests.
func (c *session) selectFields(p *prepared, query string) ([]pgproto3.FieldDescription, error) {
	nulls := make([]any, len(p.parameterOIDs))
	result, err := c.internalQuery("SELECT * FROM ("+query+") LIMIT 0", nulls)
	if err != nil {
		return nil, err
	}
	schema, err := c.schema()
	if err != nil {
		return nil, err
	}
	guesses := p.statement.ItemTypes(schema, p.statement.ParamTypes(schema))
	fields := make([]pgproto3.FieldDescription, len(result.Columns))
	for i, column := range result.Columns {
		oid := value.OID(sqltext.Type(column.Type))
		if oid == value.UnknownOID && len(guesses) == len(fields) {
			oid = value.OID(guesses[i])
		}
		fields[i] = field(column.Name, oid)
	}
	return fields, nil
}
