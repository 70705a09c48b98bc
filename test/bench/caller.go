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
	// readBuffer holds an answer.
	readBuffer = 4 << 10
	headerLen  = 5
	statement  = "read_entry"
)

var errAnswer = errors.New("the statement failed")

// caller is a connection whose messages are written as they are, so that the
// measuring process costs little.
type caller struct {
	net net.Conn
	buf []byte
}

// dial opens and authenticates a connection.
func dial(ctx context.Context, url string) (*caller, error) {
	conn, err := pgconn.Connect(ctx, url)
	if err != nil {
		return nil, err
	}
	hijacked, err := conn.Hijack()
	if err != nil {
		return nil, err
	}
	return &caller{net: hijacked.Conn, buf: make([]byte, readBuffer)}, nil
}

func (c *caller) close() { _ = c.net.Close() }

// do sends a request and reads up to ReadyForQuery.
func (c *caller) do(request []byte) error {
	if _, err := c.net.Write(request); err != nil {
		return err
	}
	have := 0
	for {
		n, err := c.net.Read(c.buf[have:])
		if err != nil {
			return err
		}
		have += n
		if done, err := complete(c.buf[:have]); done || err != nil {
			return err
		}
	}
}

// complete reports whether an answer ends with ReadyForQuery.
func complete(answer []byte) (bool, error) {
	for len(answer) >= headerLen {
		size := int(binary.BigEndian.Uint32(answer[1:])) + 1
		if size > len(answer) {
			return false, nil
		}
		switch answer[0] {
		case wire.ErrorResponse:
			return false, errors.Join(errAnswer, errors.New(string(answer[headerLen:size])))
		case wire.ReadyForQuery:
			return true, nil
		}
		answer = answer[size:]
	}
	return false, nil
}

func simple(sql string) []byte {
	return wire.AppendMessage(nil, wire.Query, []byte(sql), []byte{0})
}

// parse prepares the statement that execute runs.
func parse(sql string) []byte {
	out := wire.AppendMessage(nil, wire.Parse, []byte(statement), []byte{0}, []byte(sql), []byte{0, 0, 0})
	return wire.AppendMessage(out, wire.Sync)
}

func execute() []byte {
	out := wire.AppendMessage(nil, wire.Bind, []byte{0}, []byte(statement), []byte{0, 0, 0, 0, 0, 0, 0})
	out = wire.AppendMessage(out, wire.Execute, []byte{0, 0, 0, 0, 0})
	return wire.AppendMessage(out, wire.Sync)
}
