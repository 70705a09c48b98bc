package upstream

import (
	"strings"

	"github.com/chervilhatch/chervilhatch/standin/upstream/internal/sqltext"
)

// settings are the run-time parameters of a session. SET stores them and SHOW
// returns them; they have no other effect.
type settings map[string]string

func (s settings) set(name, text string) { s[strings.ToLower(name)] = text }

// apply executes SET name = value and SET name TO value. Other forms, including
// RESET, have no effect.
func (s settings) apply(statement *sqltext.Statement) {
	tokens := statement.Tokens[1:]
	for len(tokens) > 0 && tokens[0].Is("session", "local") {
		tokens = tokens[1:]
	}
	if len(tokens) < 3 || !tokens[1].Is("=", "to") {
		return
	}
	var parts []string
	for _, t := range tokens[2:] {
		parts = append(parts, t.Unquote())
	}
	s.set(tokens[0].Name(), strings.Join(parts, ""))
}

// show returns the name and value of the column that SHOW returns.
func (s settings) show(statement *sqltext.Statement, readOnly bool) (name, text string) {
	var parts []string
	for _, t := range statement.Tokens[1:] {
		parts = append(parts, t.Name())
	}
	name = strings.Join(parts, "_")
	switch name {
	case "transaction_read_only":
		return name, onOff(readOnly)
	case "transaction_isolation_level", "transaction_isolation":
		return "transaction_isolation", "read committed"
	}
	return name, s[name]
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}
