package backend

import (
	"encoding/binary"
	"fmt"

	"github.com/chervilhatch/chervilhatch/backend/wire"
)

// AppendQuery appends a Query message, which runs query with the simple query
// protocol.
func AppendQuery(dst []byte, query string) []byte {
	return wire.AppendMessage(dst, wire.Query, []byte(query), []byte{0})
}

// ErrorCode returns the SQLSTATE of an ErrorResponse, or "" if it has none.
func ErrorCode(frame wire.Frame) string {
	return errorField(frame, 'C')
}

// errorField returns the given field of an ErrorResponse, or "" if the message
// lacks it or is malformed.
func errorField(frame wire.Frame, field byte) string {
	body := frame.Body()
	for len(body) > 1 && body[0] != 0 {
		kind := body[0]
		text, rest, err := wire.CString(body[1:])
		if err != nil {
			return ""
		}
		if kind == field {
			return string(text)
		}
		body = rest
	}
	return ""
}

// TextColumns returns the columns of a DataRow as text. NULL is returned as "".
func TextColumns(frame wire.Frame) ([]string, error) {
	body := frame.Body()
	if len(body) < 2 {
		return nil, fmt.Errorf("%w: data row", wire.ErrMalformed)
	}
	count := int(binary.BigEndian.Uint16(body))
	body = body[2:]
	columns := make([]string, 0, min(count, len(body)))
	for range count {
		if len(body) < 4 {
			return nil, fmt.Errorf("%w: data row", wire.ErrMalformed)
		}
		size := int(int32(binary.BigEndian.Uint32(body)))
		body = body[4:]
		if size > len(body) {
			return nil, fmt.Errorf("%w: data row", wire.ErrMalformed)
		}
		size = max(size, 0)
		columns = append(columns, string(body[:size]))
		body = body[size:]
	}
	return columns, nil
}

// authRequest returns the type and the data of an authentication message.
func authRequest(body []byte) (kind uint32, data []byte, err error) {
	if len(body) < 4 {
		return 0, nil, fmt.Errorf("%w: authentication request", wire.ErrMalformed)
	}
	return binary.BigEndian.Uint32(body), body[4:], nil
}
