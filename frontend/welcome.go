package frontend

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilhatch/chervilhatch/backend/wire"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/sqlstate"
)

// applyStartup applies the parameters of the startup message to the session.
func (s *session) applyStartup(parameters map[string]string) error {
	for name, value := range parameters {
		switch name {
		case "user", "database":
		case positionParameter:
			position, err := model.ParseSessionPosition(value)
			if err != nil {
				return fatalError(sqlstate.InvalidParameter, "malformed "+positionParameter)
			}
			s.position = position
		case traceParameter:
			s.traceParent = value
		default:
			if refusal := s.settings.set(name, value); refusal != nil {
				refusal.Fatal = true
				return refusal
			}
		}
	}
	return nil
}

// completeStartup sends the messages that follow a successful authentication,
// up to ReadyForQuery.
func (s *session) completeStartup() error {
	s.appendMessage(&pgproto3.AuthenticationOk{})
	reported := [][2]string{
		{"server_version", s.server.options.ServerVersion},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
		{"IntervalStyle", "postgres"},
		{"TimeZone", "UTC"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
		{"is_superuser", "off"},
		{"session_authorization", string(s.workspace)},
		{"application_name", s.settings.applicationName},
	}
	for _, p := range reported {
		s.appendMessage(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	if !s.position.IsZero() {
		s.appendMessage(&pgproto3.ParameterStatus{Name: positionParameter, Value: s.position.String()})
	}
	s.appendMessage(&pgproto3.BackendKeyData{ProcessID: s.processID, SecretKey: s.cancelKey})
	s.out = wire.AppendMessage(s.out, wire.ReadyForQuery, []byte{wire.Idle})
	return s.flush()
}
