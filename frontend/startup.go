package frontend

import (
	"encoding/binary"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilhatch/chervilhatch/backend/wire"
	"github.com/chervilhatch/chervilhatch/sqlstate"
)

const (
	// maxStartupSize is the largest startup packet in bytes, as in PostgreSQL.
	maxStartupSize = 10_000
	// maxLoginMessageSize is the largest message of the SCRAM exchange in
	// bytes.
	maxLoginMessageSize = 4096
	loginBufferSize     = 512

	cancelRequestCode = 80877102
	sslRequestCode    = 80877103
	gssEncRequestCode = 80877104

	protocolMajor = 3
	// protocolOptionPrefix starts the names of protocol options.
	protocolOptionPrefix = "_pq_."
	// positionParameter carries the session position, in the startup message
	// and in ParameterStatus.
	positionParameter = "chervilhatch.position"
	traceParameter    = "chervilhatch.traceparent"
)

// startupPacket is the content of a startup message.
type startupPacket struct {
	minorVersion uint32
	parameters   map[string]string
	// unrecognizedOptions are the names of all protocol options, since the
	// proxy supports none.
	unrecognizedOptions []string
}

// protocolError returns an error that ends the session or the login, for a
// caller that violates the protocol.
func protocolError(message string) *sqlstate.Error {
	return fatalError(sqlstate.ProtocolViolation, message)
}

func fatalError(code sqlstate.Code, message string) *sqlstate.Error {
	return &sqlstate.Error{Code: code, Message: message, NotRun: true, Fatal: true}
}

// requestCode returns the code after the length of a startup packet: the
// protocol version or the kind of request.
func requestCode(packet []byte) uint32 { return binary.BigEndian.Uint32(packet[4:]) }

// parseStartup decodes a startup message.
func parseStartup(packet []byte) (*startupPacket, *sqlstate.Error) {
	version := requestCode(packet)
	if version>>16 != protocolMajor {
		return nil, fatalError(sqlstate.NotSupported, "only version 3 of the protocol is supported")
	}
	p := &startupPacket{minorVersion: version & 0xffff, parameters: map[string]string{}}
	body := packet[8:]
	for {
		name, rest, err := wire.CString(body)
		if err != nil {
			return nil, protocolError("malformed startup message")
		}
		if len(name) == 0 {
			return p.finish(rest)
		}
		value, rest, err := wire.CString(rest)
		if err != nil {
			return nil, protocolError("malformed startup message")
		}
		p.add(string(name), string(value))
		body = rest
	}
}

func (p *startupPacket) add(name, value string) {
	if strings.HasPrefix(name, protocolOptionPrefix) {
		p.unrecognizedOptions = append(p.unrecognizedOptions, name)
		return
	}
	p.parameters[name] = value
}

// finish checks that nothing follows the parameters, and adds those in
// "options".
func (p *startupPacket) finish(rest []byte) (*startupPacket, *sqlstate.Error) {
	if len(rest) > 0 {
		return nil, protocolError("malformed startup message")
	}
	options, ok := p.parameters["options"]
	if !ok {
		return p, nil
	}
	delete(p.parameters, "options")
	for name, value := range parseOptions(options) {
		if name == "" {
			return nil, fatalError(sqlstate.InvalidParameter, "malformed option "+value)
		}
		p.parameters[name] = value
	}
	return p, nil
}

// negotiation returns the message for a client that asks for a newer minor
// version or for protocol options, nil if none is needed.
func (p *startupPacket) negotiation() *pgproto3.NegotiateProtocolVersion {
	if p.minorVersion == 0 && len(p.unrecognizedOptions) == 0 {
		return nil
	}
	return &pgproto3.NegotiateProtocolVersion{
		NewestMinorProtocol: 0,
		UnrecognizedOptions: p.unrecognizedOptions,
	}
}

// parseOptions parses "-c name=value --name=value". An argument of any other
// form ends the parsing and is returned under the empty name.
func parseOptions(options string) map[string]string {
	found := map[string]string{}
	words := splitOptions(options)
	for i := 0; i < len(words); i++ {
		setting, ok := strings.CutPrefix(words[i], "--")
		if !ok {
			setting, ok = strings.CutPrefix(words[i], "-c")
		}
		if ok && setting == "" && i+1 < len(words) {
			i++
			setting = words[i]
		}
		name, value, pair := strings.Cut(setting, "=")
		if !ok || !pair || name == "" {
			found[""] = words[i]
			return found
		}
		found[name] = value
	}
	return found
}

// splitOptions splits at white space that is not escaped with a backslash.
func splitOptions(options string) []string {
	var words []string
	var word strings.Builder
	escaped, inWord := false, false
	for _, r := range options {
		switch {
		case escaped:
			word.WriteRune(r)
			escaped = false
		case r == '\\':
			escaped, inWord = true, true
		case r == ' ' || r == '\t' || r == '\n':
			if inWord {
				words = append(words, word.String())
				word.Reset()
			}
			inWord = false
		default:
			word.WriteRune(r)
			inWord = true
		}
	}
	if inWord {
		words = append(words, word.String())
	}
	return words
}
