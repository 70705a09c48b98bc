package frontend

import (
	"strconv"
	"strings"
	"time"

	"github.com/chervilhatch/chervilhatch/sqlstate"
)

// fixedSettings are the parameters with a fixed value on every upstream
// connection, and the values with that meaning that a caller may set. Other
// values are refused, because callers share the connections.
var fixedSettings = map[string][]string{
	"client_encoding":             {"utf8", "utf-8", "unicode"},
	"datestyle":                   {"iso", "iso, mdy", "iso,mdy"},
	"timezone":                    {"utc", "etc/utc", "gmt"},
	"intervalstyle":               {"postgres"},
	"standard_conforming_strings": {"on", "true", "1"},
	"extra_float_digits":          {"1", "2", "3"},
	"replication":                 {"false", "off", "no", "0"},
}

// settings are the parameters that the proxy applies itself.
type settings struct {
	applicationName string
	// statementTimeout is 0 if the caller has set none.
	statementTimeout time.Duration
}

// set applies a parameter, or returns why it cannot be set.
func (s *settings) set(name, value string) *sqlstate.Error {
	name = strings.ToLower(name)
	if name == "names" {
		name = "client_encoding"
	}
	switch name {
	case "application_name":
		s.applicationName = value
		return nil
	case "statement_timeout":
		return s.setTimeout(value)
	}
	for _, allowed := range fixedSettings[name] {
		if strings.EqualFold(value, allowed) {
			return nil
		}
	}
	return sqlstate.Refuse(sqlstate.NotSupported, "parameter "+name+" cannot be set to this value through chervilhatch")
}

// reset returns a parameter, or all parameters, to the default.
func (s *settings) reset(name string) *sqlstate.Error {
	switch name = strings.ToLower(name); name {
	case "all":
		*s = settings{}
		return nil
	case "application_name":
		s.applicationName = ""
		return nil
	case "statement_timeout":
		s.statementTimeout = 0
		return nil
	}
	if _, ok := fixedSettings[name]; ok {
		return nil
	}
	return sqlstate.Refuse(sqlstate.NotSupported, "parameter "+name+" cannot be reset through chervilhatch")
}

// setTimeout takes a number of milliseconds, or a number with the unit ms, s,
// min or h.
func (s *settings) setTimeout(value string) *sqlstate.Error {
	value = strings.ReplaceAll(strings.ReplaceAll(value, " ", ""), "min", "m")
	if _, err := strconv.Atoi(value); err == nil {
		value += "ms"
	}
	timeout, err := time.ParseDuration(value)
	if err != nil || timeout < 0 {
		return sqlstate.Refuse(sqlstate.InvalidParameter, "invalid statement_timeout")
	}
	s.statementTimeout = timeout
	return nil
}
