package frontend

import (
	"strings"

	"github.com/chervilhatch/chervilhatch/sqlstate"
)

// controlFunctionPrefix starts the names of the control functions of upstreams.
const controlFunctionPrefix = "chervilhatch_"

// connectionStateNames are the names of functions, schemas and parameters that
// act on the state of the upstream connection, which callers share, or on other
// connections.
var connectionStateNames = map[string]bool{
	"set_config":                          true,
	"pg_advisory_lock":                    true,
	"pg_advisory_lock_shared":             true,
	"pg_try_advisory_lock":                true,
	"pg_try_advisory_lock_shared":         true,
	"pg_advisory_unlock":                  true,
	"pg_advisory_unlock_shared":           true,
	"pg_advisory_unlock_all":              true,
	"pg_terminate_backend":                true,
	"pg_cancel_backend":                   true,
	"pg_temp":                             true,
	"transaction_read_only":               true,
	"default_transaction_read_only":       true,
	"pg_replication_origin_session_setup": true,
}

// checkName refuses names whose effect reaches beyond the caller's transaction.
func (c *statementScan) checkName(name string) {
	if c.refusal != "" || len(name) < len("pg_temp") {
		return
	}
	lower := strings.ToLower(name)
	if strings.HasPrefix(lower, controlFunctionPrefix) {
		c.refusal = "the control functions are not available to callers"
	}
	if connectionStateNames[lower] {
		c.refusal = lower + " acts on state that callers share"
	}
}

// refusalOf returns why a statement is not supported, "" if it is.
func refusalOf(c *statementScan) string {
	if c.refusal != "" && c.word(0) != "SHOW" {
		return c.refusal
	}
	second := c.word(1)
	switch first := c.word(0); first {
	case "LISTEN", "LOAD", "EXECUTE", "DEALLOCATE", "DISCARD", "RESET", "PREPARE", "UNLISTEN":
		return first + " changes state that outlives a transaction"
	case "SET":
		return refuseSet(c, second)
	case "CREATE":
		return refuseTemp(c, second)
	case "SELECT", "WITH":
		if c.keywords.intoTemp {
			return "temporary tables outlive a transaction"
		}
	case "DECLARE":
		if c.keywords.hold {
			return "a cursor WITH HOLD outlives a transaction"
		}
	case "COPY":
		if c.keywords.stdin {
			return "COPY FROM STDIN is not supported"
		}
	case "COMMIT", "ROLLBACK":
		if second == "PREPARED" {
			return "two-phase commit is not supported"
		}
	}
	return ""
}

// refuseSet accepts only forms whose effect ends with the transaction. SET
// TRANSACTION READ WRITE is refused, because it would allow writes in a
// transaction that is routed as a read.
func refuseSet(c *statementScan, second string) string {
	switch second {
	case "LOCAL", "CONSTRAINTS":
		return ""
	case "TRANSACTION":
		if c.keywords.write {
			return "SET TRANSACTION READ WRITE is not supported; use BEGIN READ WRITE"
		}
		return ""
	}
	return "SET changes state that outlives a transaction"
}

func refuseTemp(c *statementScan, second string) string {
	isTemp := false
	for _, word := range []string{second, c.word(2), c.word(3)} {
		if word == "TEMP" || word == "TEMPORARY" {
			isTemp = true
		}
	}
	if isTemp && !c.keywords.onCommitDrop {
		return "temporary tables outlive a transaction unless they are created with ON COMMIT DROP"
	}
	return ""
}

// localKind is the kind of a statement that the proxy answers itself.
type localKind uint8

const (
	localNone localKind = iota
	localSet
	localReset
	// localDeallocateAll removes the session's prepared statements.
	localDeallocateAll
	// localNoOp is a statement without effect: UNLISTEN, since LISTEN is
	// refused.
	localNoOp
)

// localAction is what the proxy does for a statement that it answers itself.
type localAction struct {
	kind        localKind
	tag         string
	name, value string
}

// localActionOf recognizes SET, RESET, DISCARD ALL, DEALLOCATE ALL and
// UNLISTEN.
func localActionOf(c *statementScan) localAction {
	switch c.word(0) {
	case "SET":
		return localSetOf(c)
	case "RESET":
		if c.tokenCount == 2 {
			return localAction{kind: localReset, tag: "RESET", name: c.leadTokens[1].text}
		}
	case "DISCARD":
		if c.word(1) == "ALL" {
			return localAction{kind: localDeallocateAll, tag: "DISCARD ALL"}
		}
	case "DEALLOCATE":
		if c.word(c.tokenCount-1) == "ALL" {
			return localAction{kind: localDeallocateAll, tag: "DEALLOCATE ALL"}
		}
	case "UNLISTEN":
		return localAction{kind: localNoOp, tag: "UNLISTEN"}
	}
	return localAction{}
}

// localSetOf parses SET [SESSION] name {TO | =} value, SET TIME ZONE value and
// SET NAMES value.
func localSetOf(c *statementScan) localAction {
	i := 1
	if c.word(i) == "SESSION" {
		i++
	}
	switch c.word(i) {
	case "LOCAL", "TRANSACTION", "CONSTRAINTS", "CHARACTERISTICS", "AUTHORIZATION", "ROLE":
		return localAction{}
	}
	set := localAction{kind: localSet, tag: "SET", name: c.leadTokens[i].text}
	if c.word(i) == "TIME" && c.word(i+1) == "ZONE" {
		set.name = "timezone"
		set.value = c.joinTokens(i + 2)
		return set
	}
	if c.word(i) == "NAMES" {
		set.value = c.joinTokens(i + 1)
		return set
	}
	set.value = c.joinTokens(i + 2)
	return set
}

// joinTokens joins the tokens from i on. If the statement has more tokens than
// are kept, it returns "", which is an invalid value of every parameter except
// application_name.
func (c *statementScan) joinTokens(i int) string {
	if c.tokenCount > maxLeadTokens {
		return ""
	}
	var value strings.Builder
	for ; i < c.tokenCount; i++ {
		value.WriteString(c.leadTokens[i].text)
	}
	return value.String()
}

// applyLocal applies the action to the session.
func (s *session) applyLocal(action localAction) *sqlstate.Error {
	switch action.kind {
	case localSet:
		return s.settings.set(action.name, action.value)
	case localReset:
		return s.settings.reset(action.name)
	case localDeallocateAll:
		s.statements.clear()
	}
	return nil
}
