package sqltext

import (
	"slices"
	"testing"
)

var schema = Schema{
	{Table: "item", Name: "id", Type: "bigint"},
	{Table: "item", Name: "name", Type: "text"},
	{Table: "item", Name: "ratio", Type: "real"},
}

// Quotes and comments must not affect how statements are split and classified.
func TestSplitAndClassify(t *testing.T) {
	for sql, want := range map[string][]Class{
		"":                              {Empty},
		" -- nothing\n;":                {Empty},
		"SELECT ';' /* ; */; SELECT 1;": {Read, Read},
		"/* x */ insert into t values ('it''s; x')":  {Write},
		"WITH x AS (SELECT 1) SELECT * FROM x":       {Read},
		"WITH x AS (SELECT 1) DELETE FROM t":         {Write},
		"SELECT 'delete' AS \"update\"":              {Read},
		"BEGIN; SAVEPOINT a; ROLLBACK TO a; END":     {Begin, Savepoint, RollbackTo, Commit},
		"SELECT chervilhatch_position()":             {Function},
		"select * from chervilhatch_fence($1, 'vm')": {Function},
		"SELECT 1 FROM t FOR UPDATE SKIP LOCKED":     {Write},
		"PRAGMA query_only = off":                    {Unsupported},
	} {
		var got []Class
		for _, s := range Split(sql) {
			got = append(got, s.Class)
		}
		if !slices.Equal(got, want) {
			t.Errorf("%q: classes %v, want %v", sql, got, want)
		}
	}
}

// Casts with :: must be removed, because SQLite does not support them.
func TestCastsAreRemoved(t *testing.T) {
	s := Split("SELECT $1::varchar(10), '1::2', id::double precision FROM item")[0]
	if want := "SELECT $1, '1::2', id FROM item"; s.SQL != want {
		t.Errorf("got %q, want %q", s.SQL, want)
	}
	if s.Casts[1] != "varchar" {
		t.Errorf("casts %v", s.Casts)
	}
}

// Parameters must be described with a type as which a client can encode their
// values.
func TestParamTypes(t *testing.T) {
	for sql, want := range map[string][]Type{
		"SELECT * FROM item WHERE id = $1 AND $2 < item.ratio":           {"bigint", "real"},
		"SELECT * FROM item WHERE id NOT IN ($1, $2) LIMIT $3":           {"bigint", "bigint", Integer},
		"SELECT * FROM item WHERE id BETWEEN $1 AND $2 AND name LIKE $3": {"bigint", "bigint", Text},
		"INSERT INTO item (name, id) VALUES ($1, $2), (lower($3), $4)":   {"text", "bigint", Unknown, "bigint"},
		"INSERT INTO item VALUES ($1, $2, $3) ON CONFLICT DO NOTHING":    {"bigint", "text", "real"},
		"UPDATE item SET name = $2, ratio = ratio + 1.5 * $1":            {Float, "text"},
		"SELECT $1::int4": {"int4"},
	} {
		if got := Split(sql)[0].ParamTypes(schema); !slices.Equal(got, want) {
			t.Errorf("%q: types %q, want %q", sql, got, want)
		}
	}
}

// Result columns must be described with a type that fits their values. A count,
// for example, must not be text.
func TestItemTypes(t *testing.T) {
	for sql, want := range map[string][]Type{
		"SELECT count(*), max(ratio), coalesce(sum(id), 0) FROM item":      {Integer, "real", "bigint"},
		"SELECT id = 1, name || 'x', CAST(id AS text), exists(SELECT 1)":   {Boolean, Text, "text", Boolean},
		"SELECT CASE WHEN id = 1 THEN 'a' ELSE 'b' END AS x, $1 FROM item": {Text, "int8"},
		"INSERT INTO item VALUES (1) RETURNING id + 1, lower(name)":        {"bigint", Text},
	} {
		if got := Split(sql)[0].ItemTypes(schema, []Type{"int8"}); !slices.Equal(got, want) {
			t.Errorf("%q: types %q, want %q", sql, got, want)
		}
	}
}
