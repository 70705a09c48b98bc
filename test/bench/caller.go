package main

import (
	"context"
	"encoding/binary"
	"errors"
	"net"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/chervilhatch/chervilhatch/backend/wire"
)

const (
	readSQL  = "SELECT id, note FROM entry WHERE id = 1"
	writeSQL = "UPDATE entry SET note = 'two' WHERE id = 1"
	// readBufferBytes is the size of a caller's buffer. A whole answer fits in it.
	readBufferBytes = 4 << 10
	headerLen       = 5
	statementName   = "read_entry"
)

var errStatementFailed = errors.New("the statement failed")

// caller is a connection that sends prebuilt protocol messages and parses only the
// message headers of answers, so that the benchmark process uses little CPU time.
type caller struct {
	net net.Conn
	buf []byte
}

// dial connects with pgconn, which authenticates, and takes over the connection.
func dial(ctx context.Context, url string) (*caller, error) {
	conn, err := pgconn.Connect(ctx, url)
	if err != nil {
		return nil, err
	}
	hijacked, err := conn.Hijack()
	if err != nil {
		return nil, err
	}
	return &caller{net: hijacked.Conn, buf: make([]byte, readBufferBytes)}, nil
}

func (c *caller) close() { _ = c.net.Close() }

// roundTrip sends a request and reads the answer up to ReadyForQuery.
func (c *caller) roundTrip(request []byte) error {
	if _, err := c.net.Write(request); err != nil {
		return err
	}
	filled := 0
	for {
		n, err := c.net.Read(c.buf[filled:])
		if err != nil {
			return err
		}
		filled += n
		if done, err := complete(c.buf[:filled]); done || err != nil {
			return err
		}
	}
}

// complete reports whether an answer contains ReadyForQuery. It returns an error
// if the answer contains an ErrorResponse before.
func complete(answer []byte) (bool, error) {
	for len(answer) >= headerLen {
		size := int(binary.BigEndian.Uint32(answer[1:])) + 1
		if size > len(answer) {
			return false, nil
		}
		switch answer[0] {
		case wire.ErrorResponse:
			return false, errors.Join(errStatementFailed, errors.New(string(answer[headerLen:size])))
		case wire.ReadyForQuery:
			return true, nil
		}
		answer = answer[size:]
	}
	return false, nil
}

func simpleQuery(sql string) []byte {
	return wire.AppendMessage(nil, wire.Query, []byte(sql), []byte{0})
}

// prepareMessages returns the messages that prepare the statement that
// executeMessages runs.
func prepareMessages(sql string) []byte {
	out := wire.AppendMessage(nil, wire.Parse, []byte(statementName), []byte{0}, []byte(sql), []byte{0, 0, 0})
	return wire.AppendMessage(out, wire.Sync)
}

func executeMessages() []byte {
	out := wire.AppendMessage(nil, wire.Bind, []byte{0}, []byte(statementName), []byte{0, 0, 0, 0, 0, 0, 0})
	out = wire.AppendMessage(out, wire.Execute, []byte{0, 0, 0, 0, 0})
	return wire.AppendMessage(out, wire.Sync)
}
