package frontend

import (
	"testing"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Guards against the content of strings and comments being taken for
// statements, and against state that outlives a transaction on a shared
// connection.
func TestAnalyze(t *testing.T) {
	cases := []struct {
		sql     string
		class   model.Class
		refused bool
		local   localKind
	}{
		{"SELECT 1", model.Read, false, localNone},
		{"-- UPDATE\n/* a /* b */ c */ select 1;", model.Read, false, localNone},
		{"(SELECT 1) UNION SELECT 2", model.Read, false, localNone},
		{"WITH a AS (SELECT 1) SELECT 1", model.Read, false, localNone},
		{"EXPLAIN SELECT 1", model.Read, false, localNone},
		{"EXPLAIN ANALYZE DELETE FROM a", model.Write, false, localNone},
		{"", model.Read, false, localNone},
		{"INSERT INTO a VALUES ('; SET x = 1; LISTEN y')", model.Write, false, localNone},
		{"INSERT INTO a VALUES (E'\\'; LISTEN y')", model.Write, false, localNone},
		{"INSERT INTO a VALUES ('it''s; LISTEN y')", model.Write, false, localNone},
		{"INSERT INTO a VALUES ($t$; LISTEN y $x$ $t$)", model.Write, false, localNone},
		{"SELECT $1; SELECT $2", model.Read, false, localNone},
		{"SELECT 1; LISTEN y", model.Write, true, localNone},
		{"SELECT 1 $; LISTEN y", model.Write, true, localNone},
		{"LISTEN y", model.Write, true, localNone},
		{"UNLISTEN *", model.Write, false, localNoOp},
		{"CREATE TEMP TABLE a (b int)", model.Write, true, localNone},
		{"create local temporary table a (b int)", model.Write, true, localNone},
		{"CREATE TEMP TABLE a (b int) ON COMMIT DROP", model.Write, false, localNone},
		{"CREATE TABLE pg_temp.a (b int)", model.Write, true, localNone},
		{"SELECT 1 INTO TEMP a", model.Read, true, localNone},
		{"SELECT 1 INTO TEMP a FROM temp", model.Read, true, localNone},
		{"SELECT pg_advisory_lock(1)", model.Read, true, localNone},
		{"SELECT \"pg_advisory_lock\"(1)", model.Read, true, localNone},
		{"SELECT pg_advisory_xact_lock(1)", model.Read, false, localNone},
		{"SELECT PG_CATALOG.Set_Config('a', 'b', false)", model.Read, true, localNone},
		{"SELECT 'set_config'", model.Read, false, localNone},
		{"SELECT chervilhatch_fence(9, 'x')", model.Read, true, localNone},
		{"DECLARE c CURSOR WITH HOLD FOR SELECT 1", model.Read, true, localNone},
		{"DECLARE c CURSOR WITH HOLD FOR SELECT hold FROM a", model.Read, true, localNone},
		{"DECLARE c CURSOR FOR SELECT 1", model.Read, false, localNone},
		{"DECLARE c CURSOR FOR WITH hold AS (SELECT 1) SELECT 1", model.Read, false, localNone},
		{"COPY a FROM STDIN", model.Write, true, localNone},
		{"COPY a TO STDOUT", model.Write, false, localNone},
		{"PREPARE a AS SELECT 1", model.Write, true, localNone},
		{"COMMIT PREPARED 'x'", model.Write, true, localNone},
		{"DISCARD ALL", model.Write, false, localDeallocateAll},
		{"DISCARD TEMP", model.Write, true, localNone},
		{"SET LOCAL lock_timeout = 1", model.Write, false, localNone},
		{"SET TRANSACTION ISOLATION LEVEL SERIALIZABLE", model.Write, false, localNone},
		{"SET TRANSACTION READ WRITE", model.Write, true, localNone},
		{"SET LOCAL transaction_read_only = off", model.Write, true, localNone},
		{"SET search_path TO a", model.Write, false, localSet},
		{"SET SESSION CHARACTERISTICS AS TRANSACTION READ WRITE", model.Write, true, localNone},
		{"SET ROLE a", model.Write, true, localNone},
		{"RESET ALL", model.Write, false, localReset},
		{"SET a = 1; SELECT 1", model.Write, true, localSet},
		{"BEGIN READ ONLY", model.Read, false, localNone},
		{"START TRANSACTION READ WRITE", model.Write, false, localNone},
	}
	for _, c := range cases {
		info := analyze(c.sql)
		if info.class != c.class || (info.refusal != "") != c.refused || info.local.kind != c.local {
			t.Errorf("%s: class %s, refusal %q, local %d", c.sql, info.class, info.refusal, info.local.kind)
		}
	}
}

// Guards against a SET that is acknowledged although it has no effect.
func TestSettings(t *testing.T) {
	cases := []struct {
		sql string
		ok  bool
	}{
		{"SET client_encoding = 'UTF8'", true},
		{"SET NAMES 'utf8'", true},
		{"SET NAMES latin1", false},
		{"SET TIME ZONE 'UTC'", true},
		{"SET TIME ZONE 'Europe/Rome'", false},
		{"SET SESSION DateStyle TO ISO, MDY", true},
		{"SET DateStyle TO German", false},
		{"SET extra_float_digits = 3", true},
		{"SET statement_timeout = '5 s'", true},
		{"SET statement_timeout TO soon", false},
		{"SET search_path TO a", false},
		{"SET", false},
		{"RESET statement_timeout", true},
		{"RESET search_path", false},
	}
	for _, c := range cases {
		s := &session{}
		if refusal := s.applyLocal(analyze(c.sql).local); (refusal == nil) != c.ok {
			t.Errorf("%s: %v", c.sql, refusal)
		}
	}
	s := &session{access: Access{StatementTimeout: 1 << 40}}
	s.applyLocal(analyze("SET statement_timeout = 1500").local)
	if got := s.timeout().Milliseconds(); got != 1500 {
		t.Errorf("timeout %d ms", got)
	}
}

// FuzzAnalyze guards against SQL that makes the lexer panic or loop forever.
func FuzzAnalyze(f *testing.F) {
	for _, sql := range []string{"SELECT '", "$a$", "/*/*", "E'\\", "--", "\"", "SET SESSION", ";;"} {
		f.Add(sql)
	}
	f.Fuzz(func(_ *testing.T, sql string) { analyze(sql) })
}
